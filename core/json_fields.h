#pragma once

#include "core/ids.h"
#include "core/result.h"

#include <cstdint>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace snipestream
{

/// Reads the fields of a JSON object that came from another process. The first missing or wrong field is remembered and
/// later reads return defaults, so that a message is checked once, after all its fields were read.
class JsonFields
{
public:
    explicit JsonFields(const nlohmann::json &json);

    auto text(const char *name) -> std::string;
    /// Reads a text of 1 to 255 bytes, such as a name.
    auto shortText(const char *name) -> std::string;
    /// Reads an integer between the bounds, both included.
    auto integer(const char *name, int64_t least, int64_t most) -> int64_t;
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

    /// Records a failure that the caller found, unless there was one before.
    void reject(std::string message);
    [[nodiscard]] auto failed() const -> bool;
    [[nodiscard]] auto error() const -> Error;

private:
    auto field(const char *name) -> const nlohmann::json *;

    const nlohmann::json &json_;
    std::string problem_;
};

} // namespace snipestream
