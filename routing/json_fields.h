#pragma once

#include "core/result.h"

#include <cstdint>
#include <string>

#include <nlohmann/json.hpp>

namespace snipestream {

/// Reads fields of a message one after another and keeps the first error, so that readers check once at the end.
class JsonFields
{
public:
    explicit JsonFields(const nlohmann::json &json);

    /// Returns a text that is not empty and has at most 255 bytes.
    auto text(const char *name) -> std::string;
    /// Returns an integer between the bounds, both included.
    auto integer(const char *name, int64_t least, int64_t most) -> int64_t;
    auto unsignedInteger(const char *name) -> uint64_t;
    auto boolean(const char *name) -> bool;
    /// Returns an array, or an empty one if the field is not an array.
    auto array(const char *name) -> const nlohmann::json &;
    /// Notes an error found by the caller.
    void reject(const std::string &message);

    [[nodiscard]] auto ok() const -> bool;
    [[nodiscard]] auto error() const -> Error;

private:
    auto field(const char *name) -> const nlohmann::json *;

    const nlohmann::json &json_;
    std::string message_;
};

} // namespace snipestream
