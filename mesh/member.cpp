#include "mesh/member.h"

#include "core/json_fields.h"

#include <limits>

#include <boost/asio/ip/address_v4.hpp>
#include <nlohmann/json.hpp>

namespace snipestream
{

auto isMemberAddress(const std::string &key) -> bool
{
    boost::system::error_code error;
    return boost::asio::ip::make_address_v4(key, error).to_string() == key && !error;
}

auto encodeMemberRecord(const MemberRecord &record) -> std::string
{
    const Member &member = record.member;
    nlohmann::json object{{"node", member.node.value}, {"domain", member.domain.value}, {"service", member.service.value}};
    for (const auto &departed : record.departures) {
        object["departed"].push_back({{"instance", departed.instance}, {"start", departed.startedAtMs}});
    }
    if (record.hasLeft) {
        object["left"] = true;
    }
    return object.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

auto decodeMemberRecord(const std::string &address, std::string_view value) -> Result<MemberRecord>
{
    const auto object = nlohmann::json::parse(value, nullptr, false);
    if (!object.is_object()) {
        return failure(ErrorCode::InvalidInput, "the record of member " + address + " is not a JSON object");
    }
    JsonFields fields(object);
    MemberRecord record;
    Member &member = record.member;
    member.address = address;
    member.node = NodeName(fields.shortText("node"));
    member.domain = DomainName(fields.shortText("domain"));
    member.service = ServiceName(fields.shortText("service"));
    record.hasLeft = object.contains("left") && fields.flag("left");
    if (object.contains("departed")) {
        for (const auto &row : fields.array("departed")) {
            JsonFields rowFields(row);
            record.departures.push_back({rowFields.shortText("instance"), rowFields.integer("start", 0, std::numeric_limits<int64_t>::max())});
            if (rowFields.failed()) {
                fields.reject(rowFields.error().message);
            }
        }
    }
    if (fields.failed()) {
        return failure(ErrorCode::InvalidInput, "the record of member " + address + ": " + fields.error().message);
    }
    return record;
}

} // namespace snipestream
