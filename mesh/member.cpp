#include "mesh/member.h"

#include "core/json_fields.h"

#include <nlohmann/json.hpp>

namespace snipestream
{

auto encodeMember(const Member &member) -> std::string
{
    return nlohmann::json{{"node", member.node.value}, {"domain", member.domain.value}, {"service", member.service.value}}.dump();
}

auto decodeMember(const std::string &address, std::string_view value) -> Result<Member>
{
    const auto object = nlohmann::json::parse(value, nullptr, false);
    if (!object.is_object()) {
        return failure(ErrorCode::InvalidInput, "the record of member " + address + " is not a JSON object");
    }
    JsonFields fields(object);
    Member member;
    member.address = address;
    member.node = NodeName(fields.shortText("node"));
    member.domain = DomainName(fields.shortText("domain"));
    member.service = ServiceName(fields.shortText("service"));
    if (fields.failed()) {
        return failure(ErrorCode::InvalidInput, "the record of member " + address + ": " + fields.error().message);
    }
    return member;
}

} // namespace snipestream
