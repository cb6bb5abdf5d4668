#include "routing/endpoint.h"

#include "core/json_fields.h"

#include <nlohmann/json.hpp>

namespace snipestream
{

auto endpointStateName(EndpointState state) -> std::string_view
{
    switch (state) {
    case EndpointState::Active:
        return "active";
    case EndpointState::Draining:
        return "draining";
    case EndpointState::Left:
        return "left";
    }
    return "left";
}

auto isNewer(const EndpointRecord &a, const EndpointRecord &b) -> bool
{
    return std::tie(a.incarnation, a.version, a.suspect) > std::tie(b.incarnation, b.version, b.suspect);
}

auto differsForCallers(const EndpointRecord &a, const EndpointRecord &b) -> bool
{
    return a.service != b.service || a.domain != b.domain || a.slots != b.slots || a.state != b.state || a.suspect != b.suspect
        || a.incarnation != b.incarnation;
}

auto toJson(const EndpointRecord &record) -> nlohmann::json
{
    return {{"node", record.id.node.value}, {"target", record.id.target.value},         {"service", record.service.value}, {"domain", record.domain.value},
            {"slots", record.slots},        {"state", endpointStateName(record.state)}, {"suspect", record.suspect},       {"inc", record.incarnation},
            {"ver", record.version}};
}

auto endpointRecordFromJson(const nlohmann::json &json) -> Result<EndpointRecord>
{
    JsonFields fields(json);
    EndpointRecord record;
    record.id = EndpointId{NodeName(fields.shortText("node")), TargetName(fields.shortText("target"))};
    record.service = ServiceName(fields.shortText("service"));
    record.domain = DomainName(fields.shortText("domain"));
    record.slots = static_cast<int>(fields.integer("slots", 1, 1'000'000));
    record.suspect = fields.flag("suspect");
    record.incarnation = fields.unsignedInteger("inc");
    record.version = fields.unsignedInteger("ver");
    const std::string state = fields.shortText("state");
    bool isValidState = false;
    for (const auto candidate : {EndpointState::Active, EndpointState::Draining, EndpointState::Left}) {
        if (endpointStateName(candidate) == state) {
            record.state = candidate;
            isValidState = true;
        }
    }
    if (!isValidState) {
        fields.reject("state \"" + state + "\" is not active, draining or left");
    }
    if (fields.failed()) {
        return fields.error();
    }
    return record;
}

} // namespace snipestream
