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
    /// Place of the error, such as "$.limits.maxBodyBytes".
    std::string path;
    std::string message;
};

/// Returns the errors as "path: message" joined by the separator.
auto joinErrors(const std::vector<JsonError> &errors, std::string_view separator) -> std::string;

/// Reads the fields of a JSON object and collects every error. A field that is absent and has no fallback is an error,
/// as is every field that was never asked for, which finish() reports. Wrong fields read as empty values.
class JsonReader
{
public:
    /// `value` and `errors` must outlive the reader.
    JsonReader(const nlohmann::json &value, std::string path, std::vector<JsonError> &errors);

    [[nodiscard]] auto has(const std::string &name) const -> bool;
    /// Returns whether the field is there and a string.
    [[nodiscard]] auto hasText(const std::string &name) const -> bool;
    auto text(const std::string &name, std::optional<std::string> fallback = std::nullopt) -> std::string;
    auto number(const std::string &name, uint64_t min, uint64_t max, std::optional<uint64_t> fallback = std::nullopt) -> uint64_t;
    /// Returns the elements of an array with the path of each.
    auto list(const std::string &name, bool required = true) -> std::vector<std::pair<const nlohmann::json *, std::string>>;
    /// Returns the texts of an array of strings.
    auto texts(const std::string &name, bool required = true) -> std::vector<std::string>;
    /// Returns the value of a field that must be there, or null after an error.
    auto value(const std::string &name) -> const nlohmann::json *;
    /// Returns the path of a field.
    [[nodiscard]] auto pathOf(const std::string &name) const -> std::string;
    void addError(const std::string &name, std::string message);
    /// Reports the fields that were never asked for.
    void finish();

private:
    auto find(const std::string &name, bool required) -> const nlohmann::json *;

    const nlohmann::json &value_;
    std::string path_;
    std::vector<JsonError> &errors_;
    std::set<std::string> asked_;
};

/// Parses a JSON text; a text that is no JSON gives a discarded value and an error at "$".
auto parseJsonText(std::string_view text, std::vector<JsonError> &errors) -> nlohmann::json;

/// Returns the JSON text of a value; bytes that are not UTF-8 are replaced.
auto dumpJson(const nlohmann::json &value) -> std::string;

} // namespace snipestream
