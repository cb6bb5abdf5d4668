#include "core/json_fields.h"

#include <limits>

namespace snipestream
{

JsonFields::JsonFields(const nlohmann::json &json)
    : json_(json)
{
    if (!json_.is_object()) {
        reject("the message is not an object");
    }
}

auto JsonFields::text(const char *name) -> std::string
{
    const auto *found = field(name);
    if (found == nullptr) {
        return {};
    }
    if (!found->is_string()) {
        reject("field '" + std::string(name) + "' is not a string");
        return {};
    }
    return found->get<std::string>();
}

auto JsonFields::shortText(const char *name) -> std::string
{
    std::string value = text(name);
    if (value.empty() || value.size() > kMaxShortTextBytes) {
        reject("field '" + std::string(name) + "' is not a text of 1 to 255 bytes");
        return {};
    }
    return value;
}

auto JsonFields::integer(const char *name, int64_t min, int64_t max) -> int64_t
{
    const auto *found = field(name);
    if (found == nullptr) {
        return min;
    }
    const bool tooLarge = found->is_number_unsigned() && found->get<uint64_t>() > static_cast<uint64_t>(INT64_MAX);
    if (!found->is_number_integer() || tooLarge || found->get<int64_t>() < min || found->get<int64_t>() > max) {
        reject("field '" + std::string(name) + "' is not an integer from " + std::to_string(min) + " to " + std::to_string(max));
        return min;
    }
    return found->get<int64_t>();
}

auto JsonFields::unsignedInteger(const char *name) -> uint64_t
{
    const auto *found = field(name);
    if (found == nullptr) {
        return 0;
    }
    if (!found->is_number_integer() || (!found->is_number_unsigned() && found->get<int64_t>() < 0)) {
        reject("field '" + std::string(name) + "' is not an unsigned integer");
        return 0;
    }
    return found->get<uint64_t>();
}

auto JsonFields::count(const char *name) -> int64_t
{
    const auto *found = field(name);
    if (found == nullptr) {
        return 0;
    }
    constexpr auto kMaxCount = static_cast<uint64_t>(std::numeric_limits<int64_t>::max());
    const bool fits = found->is_number_unsigned() ? found->get<uint64_t>() <= kMaxCount : found->is_number_integer() && found->get<int64_t>() >= 0;
    if (!fits) {
        reject("field '" + std::string(name) + "' is not an integer from 0 to 2^63 - 1");
        return 0;
    }
    return found->get<int64_t>();
}

auto JsonFields::flag(const char *name) -> bool
{
    const auto *found = field(name);
    if (found == nullptr) {
        return false;
    }
    if (!found->is_boolean()) {
        reject("field '" + std::string(name) + "' is not true or false");
        return false;
    }
    return found->get<bool>();
}

auto JsonFields::array(const char *name) -> const nlohmann::json &
{
    static const nlohmann::json empty = nlohmann::json::array();
    const auto *found = field(name);
    if (found == nullptr) {
        return empty;
    }
    if (!found->is_array()) {
        reject("field '" + std::string(name) + "' is not an array");
        return empty;
    }
    return *found;
}

void JsonFields::reject(std::string message)
{
    if (firstError_.empty()) {
        firstError_ = std::move(message);
    }
}

auto JsonFields::failed() const -> bool
{
    return !firstError_.empty();
}

auto JsonFields::error() const -> Error
{
    return Error{ErrorCode::InvalidInput, firstError_};
}

auto JsonFields::field(const char *name) -> const nlohmann::json *
{
    if (!json_.is_object()) {
        return nullptr;
    }
    const auto found = json_.find(name);
    if (found == json_.end()) {
        reject("field '" + std::string(name) + "' is missing");
        return nullptr;
    }
    return &*found;
}

} // namespace snipestream
