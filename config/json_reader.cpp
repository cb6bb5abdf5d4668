#include "config/json_reader.h"

#include "config/text.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace snipestream
{

using Json = nlohmann::json;

namespace
{

/// Returns the location of the syntax error in an invalid text, such as " at line 2".
auto errorLocation(std::string_view text) -> std::string
{
    try {
        [[maybe_unused]] const Json unread = Json::parse(text);
    } catch (const Json::parse_error &error) {
        const std::string_view before = text.substr(0, error.byte == 0 ? 0 : error.byte - 1);
        return " at line " + std::to_string(1 + std::count(before.begin(), before.end(), '\n'));
    } catch (const Json::exception &) {
        // A number out of range is not reported as a parse_error, and its location is unknown.
        return ": a number is out of range";
    }
    return {};
}

} // namespace

auto joinErrors(const std::vector<JsonError> &errors, std::string_view separator) -> std::string
{
    std::vector<std::string> lines;
    lines.reserve(errors.size());
    for (const JsonError &error : errors) {
        lines.push_back(error.path + ": " + error.message);
    }
    return joined(lines, separator);
}

JsonReader::JsonReader(const Json &value, std::string path, std::vector<JsonError> &errors)
    : value_(value)
    , path_(std::move(path))
    , errors_(errors)
{
    if (!value_.is_object() && !value_.is_discarded()) {
        errors_.push_back(JsonError{path_, std::string("is a ") + value_.type_name() + ", expected an object"});
    }
}

auto JsonReader::pathOf(const std::string &name) const -> std::string
{
    return path_ + "." + name;
}

void JsonReader::addError(const std::string &name, std::string message)
{
    errors_.push_back(JsonError{pathOf(name), std::move(message)});
}

auto JsonReader::has(const std::string &name) const -> bool
{
    return value_.is_object() && value_.contains(name);
}

auto JsonReader::hasText(const std::string &name) const -> bool
{
    return has(name) && value_[name].is_string();
}

auto JsonReader::find(const std::string &name, bool required) -> const Json *
{
    readFields_.insert(name);
    if (!value_.is_object()) {
        return nullptr;
    }
    const auto field = value_.find(name);
    if (field == value_.end()) {
        if (required) {
            addError(name, "is missing");
        }
        return nullptr;
    }
    return &*field;
}

auto JsonReader::text(const std::string &name, std::optional<std::string> fallback) -> std::string
{
    const Json *field = find(name, !fallback.has_value());
    if (field == nullptr) {
        return fallback.value_or("");
    }
    if (!field->is_string()) {
        addError(name, std::string("is a ") + field->type_name() + ", expected a string");
        return {};
    }
    return field->get<std::string>();
}

auto JsonReader::number(const std::string &name, uint64_t min, uint64_t max, std::optional<uint64_t> fallback) -> uint64_t
{
    const Json *field = find(name, !fallback.has_value());
    if (field == nullptr) {
        return fallback.value_or(0);
    }
    if (!field->is_number_unsigned() || field->get<uint64_t>() < min || field->get<uint64_t>() > max) {
        addError(name, "is " + inQuotes(dumpJson(*field)) + ", expected a whole number from " + std::to_string(min) + " to " + std::to_string(max));
        return fallback.value_or(0);
    }
    return field->get<uint64_t>();
}

auto JsonReader::list(const std::string &name, bool required) -> std::vector<std::pair<const Json *, std::string>>
{
    std::vector<std::pair<const Json *, std::string>> elements;
    const Json *field = find(name, required);
    if (field == nullptr) {
        return elements;
    }
    if (!field->is_array()) {
        addError(name, std::string("is a ") + field->type_name() + ", expected an array");
        return elements;
    }
    for (const Json &element : *field) {
        elements.emplace_back(&element, pathOf(name) + "[" + std::to_string(elements.size()) + "]");
    }
    return elements;
}

auto JsonReader::texts(const std::string &name, bool required) -> std::vector<std::string>
{
    std::vector<std::string> found;
    for (const auto &[element, path] : list(name, required)) {
        if (!element->is_string()) {
            errors_.push_back(JsonError{path, std::string("is a ") + element->type_name() + ", expected a string"});
            continue;
        }
        found.push_back(element->get<std::string>());
    }
    return found;
}

auto JsonReader::value(const std::string &name) -> const Json *
{
    return find(name, true);
}

void JsonReader::finish()
{
    if (!value_.is_object()) {
        return;
    }
    for (const auto &field : value_.items()) {
        if (readFields_.count(field.key()) == 0) {
            addError(field.key(), "is not a known field");
        }
    }
}

auto parseJsonText(std::string_view text, std::vector<JsonError> &errors) -> Json
{
    Json value = Json::parse(text, nullptr, false);
    if (value.is_discarded()) {
        errors.push_back(JsonError{"$", "the text is not valid JSON" + errorLocation(text)});
    }
    return value;
}

auto dumpJson(const Json &value) -> std::string
{
    return value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace snipestream
