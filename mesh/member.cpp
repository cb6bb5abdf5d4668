#include "mesh/member.h"

#include "core/hash.h"
#include "core/json_fields.h"

#include <limits>

#include <boost/asio/ip/address_v4.hpp>
#include <nlohmann/json.hpp>

namespace snipestream
{

namespace
{

/// Separates the address from the rest of the key of a departure.
constexpr char kDepartureSeparator = '/';

auto toJson(const DepartedTarget &departed) -> nlohmann::json
{
    return {{"instance", departed.instance}, {"start", departed.startedAtMs}};
}

/// Reads a departure and notes errors in `errors`.
auto readDeparture(const nlohmann::json &object, JsonFields &errors) -> DepartedTarget
{
    JsonFields fields(object);
    DepartedTarget departed{fields.shortText("instance"), fields.integer("start", 0, std::numeric_limits<int64_t>::max())};
    if (fields.failed()) {
        errors.reject(fields.error().message);
    }
    return departed;
}

} // namespace

auto isMemberAddress(const std::string &key) -> bool
{
    boost::system::error_code error;
    return boost::asio::ip::make_address_v4(key, error).to_string() == key && !error;
}

auto encodeMemberRecord(const MemberRecord &record) -> std::string
{
    const Member &member = record.member;
    nlohmann::json object{{"node", member.node.value}, {"domain", member.domain.value}, {"service", member.service.value}};
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
            record.departures.push_back(readDeparture(row, fields));
        }
    }
    if (fields.failed()) {
        return failure(ErrorCode::InvalidInput, "the record of member " + address + ": " + fields.error().message);
    }
    return record;
}

auto departureKey(const std::string &address, const DepartedTarget &departed) -> std::string
{
    // An instance may be as long as a whole key.
    const uint64_t hash = stableHash(departed.instance, static_cast<uint64_t>(departed.startedAtMs));
    return address + kDepartureSeparator + std::to_string(hash);
}

auto addressOfDeparture(const std::string &key) -> std::optional<std::string>
{
    const auto separator = key.find(kDepartureSeparator);
    if (separator == std::string::npos) {
        return std::nullopt;
    }
    std::string address = key.substr(0, separator);
    return isMemberAddress(address) ? std::make_optional(std::move(address)) : std::nullopt;
}

auto encodeDeparture(const DepartedTarget &departed) -> std::string
{
    return toJson(departed).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

auto decodeDeparture(const std::string &key, std::string_view value) -> Result<DepartedTarget>
{
    const auto object = nlohmann::json::parse(value, nullptr, false);
    JsonFields fields(object);
    DepartedTarget departed = readDeparture(object, fields);
    const auto address = addressOfDeparture(key);
    if (!fields.failed() && (!address || departureKey(*address, departed) != key)) {
        fields.reject("it is the record of another departure");
    }
    if (fields.failed()) {
        return failure(ErrorCode::InvalidInput, "the departure " + key + ": " + fields.error().message);
    }
    return departed;
}

} // namespace snipestream
