#include "lease/record.h"

#include "core/hash.h"
#include "core/json_fields.h"

#include <set>

namespace snipestream
{

auto toJson(const LeaseRecord &record) -> nlohmann::json
{
    nlohmann::json witnesses = nlohmann::json::array();
    for (const auto &witness : record.witnesses) {
        witnesses.push_back(witness.value);
    }
    return {
        {"type", "lease"},        {"domain", record.key.domain.value}, {"range", record.key.range},
        {"epoch", record.epoch},  {"holder", record.holder.value},     {"incarnation", record.incarnation},
        {"witnesses", witnesses}, {"settled", record.settled},
    };
}

auto leaseRecordFromJson(const nlohmann::json &json) -> Result<LeaseRecord>
{
    JsonFields fields(json);
    LeaseRecord record;
    if (fields.text("type") != "lease") {
        fields.reject("field 'type' is not 'lease'");
    }
    fields.read("domain", record.key.domain);
    const auto range = fields.count("range");
    if (range >= kRangeCount) {
        fields.reject("range " + std::to_string(range) + " is not below " + std::to_string(kRangeCount));
    }
    record.key.range = static_cast<uint32_t>(range);
    record.epoch = static_cast<uint64_t>(fields.count("epoch"));
    fields.read("holder", record.holder);
    record.incarnation = static_cast<uint64_t>(fields.count("incarnation"));
    for (const auto &witness : fields.array("witnesses")) {
        if (!witness.is_string()) {
            fields.reject("a witness is not a string");
            break;
        }
        record.witnesses.emplace_back(witness.get<std::string>());
    }
    const std::set<NodeName> distinct(record.witnesses.begin(), record.witnesses.end());
    if (distinct.empty() || distinct.size() != record.witnesses.size() || distinct.size() > kMaxWitnesses) {
        fields.reject("the witnesses are not 1 to 5 different nodes");
    }
    record.settled = fields.flag("settled");
    if (fields.failed()) {
        return fields.error();
    }
    return record;
}

} // namespace snipestream
