#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace snipestream
{

/// An error in a JSON document.
struct JsonError {
    /// JSON path of the error, such as "$.limits.maxBodyBytes".
    std::string path;
    std::string message;
};

/// Returns the errors, each as "path: message", joined by the separator.
auto joinErrors(const std::vector<JsonError> &errors, std::string_view separator) -> std::string;

/// Reads the fields of a JSON object and collects all errors. A missing field without a fallback is an error, and so is
/// a field that no call has read, which finish() reports. A field of the wrong type or out of range reads as its
/// fallback or as an empty value.
class JsonReader
{
public:
    /// `value` and `errors` must outlive the reader.
    JsonReader(const nlohmann::json &value, std::string path, std::vector<JsonError> &errors);

    [[nodiscard]] auto has(const std::string &name) const -> bool;
    /// Returns whether the field is present and a string.
    [[nodiscard]] auto hasText(const std::string &name) const -> bool;
    auto text(const std::string &name, std::optional<std::string> fallback = std::nullopt) -> std::string;
    auto number(const std::string &name, uint64_t min, uint64_t max, std::optional<uint64_t> fallback = std::nullopt) -> uint64_t;
    /// Returns the elements of an array, each with its JSON path.
    auto list(const std::string &name, bool required = true) -> std::vector<std::pair<const nlohmann::json *, std::string>>;
    /// Returns the elements of an array of strings; other elements are errors.
    auto texts(const std::string &name, bool required = true) -> std::vector<std::string>;
    /// Returns the value of a required field, or null after an error.
    auto value(const std::string &name) -> const nlohmann::json *;
    /// Returns the JSON path of a field.
    [[nodiscard]] auto pathOf(const std::string &name) const -> std::string;
    void addError(const std::string &name, std::string message);
    /// Adds an error for each field that no call has read.
    void finish();

private:
    auto find(const std::string &name, bool required) -> const nlohmann::json *;

    const nlohmann::json &value_;
    std::string path_;
    std::vector<JsonError> &errors_;
    std::set<std::string> readFields_;
};

/// Parses a JSON text. If it is not valid JSON, adds an error at "$" and returns a discarded value.
auto parseJsonText(std::string_view text, std::vector<JsonError> &errors) -> nlohmann::json;

/// Serializes a value; bytes that are not UTF-8 are replaced by U+FFFD.
auto dumpJson(const nlohmann::json &value) -> std::string;

} // namespace snipestream
