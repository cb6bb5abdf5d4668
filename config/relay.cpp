#include "config/relay.h"

#include "config/json_reader.h"
#include "core/hash.h"

#include <algorithm>
#include <limits>

#include <nlohmann/json.hpp>

namespace snipestream
{

namespace
{

constexpr uint64_t kMaxNumber = std::numeric_limits<uint64_t>::max();

/// Returns the first `count` nodes in the rendezvous order of the key.
auto highestRankedNodes(const std::string &key, const std::vector<NodeName> &nodes, size_t count) -> std::vector<NodeName>
{
    std::vector<std::string> names;
    names.reserve(nodes.size());
    for (const NodeName &node : nodes) {
        names.push_back(node.value);
    }
    std::vector<NodeName> first;
    first.reserve(count);
    for (const size_t index : rendezvousOrder(key, names, count)) {
        first.push_back(nodes[index]);
    }
    return first;
}

} // namespace

auto relaysOf(const DomainName &domain, const std::vector<NodeName> &nodesOfDomain) -> std::vector<NodeName>
{
    return highestRankedNodes("relay " + domain.value, nodesOfDomain, kRelaysPerDomain);
}

auto snapshotPublishDelay(const NodeName &self, const std::vector<NodeName> &nodes) -> std::optional<Duration>
{
    const auto publishers = highestRankedNodes("snapshot", nodes, kSnapshotPublishers);
    const auto found = std::find(publishers.begin(), publishers.end(), self);
    if (found == publishers.end()) {
        return std::nullopt;
    }
    return kSnapshotPublishInterval * (found - publishers.begin());
}

void appendToHistory(RecordHistory &history, const LogRecord &record)
{
    if (!history.records.empty() && history.records.back().offset + 1 != record.offset) {
        history.records.clear();
        history.bytes = 0;
    }
    history.records.push_back(record);
    history.bytes += record.payload.size();
    while (history.bytes > history.maxBytes && history.records.size() > 1) {
        history.bytes -= history.records.front().payload.size();
        history.records.pop_front();
    }
}

auto recordsSince(const RecordHistory &history, uint64_t nextOffset, uint64_t fromOffset, size_t maxBytes) -> RecordsResponse
{
    RecordsResponse response;
    response.nextOffset = nextOffset;
    if (history.records.empty() || fromOffset < history.records.front().offset) {
        return response;
    }
    size_t bytes = 0;
    for (size_t i = fromOffset - history.records.front().offset; i < history.records.size(); ++i) {
        const LogRecord &record = history.records[i];
        bytes += record.payload.size();
        if (bytes > maxBytes && !response.records.empty()) {
            return response;
        }
        response.records.push_back(record);
    }
    return response;
}

auto contiguousFrom(uint64_t nextOffset, const std::vector<LogRecord> &received) -> std::vector<LogRecord>
{
    std::vector<LogRecord> records;
    for (const LogRecord &record : received) {
        if (record.offset == nextOffset + records.size()) {
            records.push_back(record);
        } else if (record.offset > nextOffset + records.size()) {
            break;
        }
    }
    return records;
}

auto planCatchUp(uint64_t nextOffset, const RecordsResponse &response) -> CatchUp
{
    CatchUp plan;
    plan.records = contiguousFrom(nextOffset, response.records);
    if (!plan.records.empty()) {
        plan.step = CatchUpStep::ApplyRecords;
    } else if (response.nextOffset > nextOffset) {
        plan.step = CatchUpStep::FetchState;
    }
    return plan;
}

auto encodeRecordsResponse(const RecordsResponse &response) -> std::string
{
    nlohmann::json records = nlohmann::json::array();
    for (const LogRecord &record : response.records) {
        records.push_back({{"offset", record.offset}, {"payload", record.payload}});
    }
    return dumpJson(nlohmann::json{{"nextOffset", response.nextOffset}, {"records", std::move(records)}});
}

auto decodeRecordsResponse(std::string_view text) -> Result<RecordsResponse>
{
    std::vector<JsonError> errors;
    const nlohmann::json document = parseJsonText(text, errors);
    JsonReader reader(document, "$", errors);
    RecordsResponse response;
    response.nextOffset = reader.number("nextOffset", 0, kMaxNumber);
    for (const auto &[element, path] : reader.list("records")) {
        JsonReader fields(*element, path, errors);
        LogRecord record;
        record.offset = fields.number("offset", 0, kMaxNumber - 1);
        record.payload = fields.text("payload");
        fields.finish();
        response.records.push_back(std::move(record));
    }
    reader.finish();
    if (!errors.empty()) {
        return failure(ErrorCode::InvalidInput, joinErrors(errors, "; "));
    }
    return response;
}

} // namespace snipestream
