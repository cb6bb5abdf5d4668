#include "ctl/node_calls.h"

#include "config/json_reader.h"

namespace snipestream
{

auto callNode(const CtlContext &context, const Endpoint &node, const std::string &method, const std::string &path, Duration timeout) -> Result<nlohmann::json>
{
    const auto response = context.nodeTransport(node)(method, path, "", timeout);
    if (!response) {
        return response.error();
    }
    const int status = response.value().status;
    auto document = nlohmann::json::parse(response.value().body, nullptr, false);
    if (status >= 400 && status < 500) {
        const std::string detail = document.is_object() ? fieldText(document, "detail") : std::string("?");
        return failure(ErrorCode::InvalidInput,
                       "node " + toString(node) + " refused " + method + " " + path + " with status " + std::to_string(status)
                           + (detail == "?" ? "" : ": " + detail));
    }
    if (status < 200 || status > 299) {
        return failure(ErrorCode::Unavailable, "node " + toString(node) + " answered " + method + " " + path + " with status " + std::to_string(status));
    }
    if (response.value().body.empty()) {
        return nlohmann::json::object();
    }
    if (!document.is_object()) {
        return failure(ErrorCode::ProtocolViolation, "node " + toString(node) + " answered " + path + " with something else than a JSON object");
    }
    return document;
}

auto fieldText(const nlohmann::json &response, const char *name) -> std::string
{
    const auto field = response.find(name);
    if (field == response.end() || field->is_null()) {
        return "?";
    }
    return field->is_string() ? field->get<std::string>() : dumpJson(*field);
}

auto fieldNumber(const nlohmann::json &response, const char *name) -> uint64_t
{
    const auto field = response.find(name);
    return field != response.end() && field->is_number_unsigned() ? field->get<uint64_t>() : 0;
}

} // namespace snipestream
