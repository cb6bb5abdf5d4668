#include "core/json_fields.h"
#include "routing/directory.h"

namespace snipestream
{

namespace
{

/// Exceeds the number of targets of any service; a longer list is an error of the sender.
constexpr size_t kMaxRecords = 10'000;

auto recordsToJson(const std::vector<EndpointRecord> &records) -> nlohmann::json
{
    nlohmann::json list = nlohmann::json::array();
    for (const auto &record : records) {
        list.push_back(toJson(record));
    }
    return list;
}

auto recordsFromJson(JsonFields &fields) -> std::vector<EndpointRecord>
{
    std::vector<EndpointRecord> records;
    const auto &list = fields.array("records");
    if (list.size() > kMaxRecords) {
        fields.reject("the message has " + std::to_string(list.size()) + " records");
        return records;
    }
    for (const auto &json : list) {
        auto record = endpointRecordFromJson(json);
        if (!record) {
            fields.reject(record.error().message);
            return records;
        }
        records.push_back(std::move(record.value()));
    }
    return records;
}

} // namespace

auto toJson(const AnnounceMessage &message) -> nlohmann::json
{
    return {{"records", recordsToJson(message.records)}};
}

auto toJson(const SubscribeMessage &message) -> nlohmann::json
{
    return {
        {"service", message.service.value}, {"subscriber", message.subscriber.value}, {"inc", message.directoryIncarnation}, {"known", message.seenVersion}};
}

auto toJson(const UpdateMessage &message) -> nlohmann::json
{
    return {
        {"service", message.service.value}, {"directory", message.directory.value}, {"inc", message.directoryIncarnation},      {"from", message.fromVersion},
        {"to", message.toVersion},          {"complete", message.complete},         {"records", recordsToJson(message.records)}};
}

auto announceMessageFromJson(const nlohmann::json &json) -> Result<AnnounceMessage>
{
    JsonFields fields(json);
    AnnounceMessage message{recordsFromJson(fields)};
    if (fields.failed()) {
        return fields.error();
    }
    return message;
}

auto subscribeMessageFromJson(const nlohmann::json &json) -> Result<SubscribeMessage>
{
    JsonFields fields(json);
    SubscribeMessage message;
    message.service = ServiceName(fields.shortText("service"));
    message.subscriber = NodeName(fields.shortText("subscriber"));
    message.directoryIncarnation = fields.unsignedInteger("inc");
    message.seenVersion = fields.unsignedInteger("known");
    if (fields.failed()) {
        return fields.error();
    }
    return message;
}

auto updateMessageFromJson(const nlohmann::json &json) -> Result<UpdateMessage>
{
    JsonFields fields(json);
    UpdateMessage message;
    message.service = ServiceName(fields.shortText("service"));
    message.directory = NodeName(fields.shortText("directory"));
    message.directoryIncarnation = fields.unsignedInteger("inc");
    message.fromVersion = fields.unsignedInteger("from");
    message.toVersion = fields.unsignedInteger("to");
    message.complete = fields.flag("complete");
    message.records = recordsFromJson(fields);
    if (fields.failed()) {
        return fields.error();
    }
    return message;
}

} // namespace snipestream
