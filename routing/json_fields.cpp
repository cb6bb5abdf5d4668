#include "routing/json_fields.h"

namespace snipestream {

namespace {
constexpr size_t kMaxTextBytes = 255;
} // namespace

JsonFields::JsonFields(const nlohmann::json &json)
    : json_(json)
{
    if (!json.is_object()) {
        reject("the message is not an object");
    }
}

auto JsonFields::field(const char *name) -> const nlohmann::json *
{
    if (!json_.is_object()) {
        return nullptr;
    }
    const auto found = json_.find(name);
    if (found == json_.end()) {
        reject(std::string("field \"") + name + "\" is missing");
        return nullptr;
    }
    return &*found;
}

auto JsonFields::text(const char *name) -> std::string
{
    const auto *value = field(name);
    if (value == nullptr) {
        return {};
    }
    if (!value->is_string() || value->get_ref<const std::string &>().empty()
        || value->get_ref<const std::string &>().size() > kMaxTextBytes) {
        reject(std::string("field \"") + name + "\" is not a text of 1 to 255 bytes");
        return {};
    }
    return value->get<std::string>();
}

auto JsonFields::integer(const char *name, int64_t least, int64_t most) -> int64_t
{
    const auto *value = field(name);
    if (value == nullptr) {
        return least;
    }
    const bool tooLarge = value->is_number_unsigned() && value->get<uint64_t>() > static_cast<uint64_t>(INT64_MAX);
    if (!value->is_number_integer() || tooLarge || value->get<int64_t>() < least || value->get<int64_t>() > most) {
        reject(std::string("field \"") + name + "\" is not an integer from " + std::to_string(least) + " to "
               + std::to_string(most));
        return least;
    }
    return value->get<int64_t>();
}

auto JsonFields::unsignedInteger(const char *name) -> uint64_t
{
    const auto *value = field(name);
    if (value == nullptr) {
        return 0;
    }
    if (!value->is_number_integer() || (!value->is_number_unsigned() && value->get<int64_t>() < 0)) {
        reject(std::string("field \"") + name + "\" is not an unsigned integer");
        return 0;
    }
    return value->get<uint64_t>();
}

auto JsonFields::boolean(const char *name) -> bool
{
    const auto *value = field(name);
    if (value == nullptr) {
        return false;
    }
    if (!value->is_boolean()) {
        reject(std::string("field \"") + name + "\" is not true or false");
        return false;
    }
    return value->get<bool>();
}

auto JsonFields::array(const char *name) -> const nlohmann::json &
{
    static const nlohmann::json empty = nlohmann::json::array();
    const auto *value = field(name);
    if (value == nullptr) {
        return empty;
    }
    if (!value->is_array()) {
        reject(std::string("field \"") + name + "\" is not an array");
        return empty;
    }
    return *value;
}

void JsonFields::reject(const std::string &message)
{
    if (message_.empty()) {
        message_ = message;
    }
}

auto JsonFields::ok() const -> bool
{
    return message_.empty();
}

auto JsonFields::error() const -> Error
{
    return Error { ErrorCode::InvalidInput, message_ };
}

} // namespace snipestream
