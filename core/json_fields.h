#pragma once

#include "core/ids.h"
#include "core/result.h"

#include <cstdint>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace snipestream
{

/// Maximum length of the names that processes exchange, in bytes.
constexpr size_t kMaxShortTextBytes = 255;

/// Reads the fields of a JSON object received from another process. Reading a missing or invalid field returns a default
/// and stores the first error, so that callers read all fields and then check failed() once.
class JsonFields
{
public:
    explicit JsonFields(const nlohmann::json &json);

    auto text(const char *name) -> std::string;
    /// Reads a string of 1 to kMaxShortTextBytes bytes, such as a name.
    auto shortText(const char *name) -> std::string;
    /// Reads an integer from `min` to `max`, both included; returns `min` after an error.
    auto integer(const char *name, int64_t min, int64_t max) -> int64_t;
    /// Reads an integer from 0 to 2^64 - 1.
    auto unsignedInteger(const char *name) -> uint64_t;
    /// Reads an integer from 0 to 2^63 - 1.
    auto count(const char *name) -> int64_t;
    auto flag(const char *name) -> bool;
    /// Returns the array, or an empty array if the field is missing or of another type.
    auto array(const char *name) -> const nlohmann::json &;

    template<typename Tag>
    void read(const char *name, Name<Tag> &into)
    {
        into = Name<Tag>(text(name));
    }

    /// Stores an error that the caller found, unless one is stored already.
    void reject(std::string message);
    [[nodiscard]] auto failed() const -> bool;
    [[nodiscard]] auto error() const -> Error;

private:
    auto field(const char *name) -> const nlohmann::json *;

    const nlohmann::json &json_;
    std::string firstError_;
};

} // namespace snipestream
