#include "lease/table.h"

#include "core/json_fields.h"

#include <algorithm>

namespace snipestream
{

namespace
{

void addSet(std::vector<std::vector<NodeName>> &sets, std::vector<NodeName> set)
{
    std::sort(set.begin(), set.end());
    if (std::find(sets.begin(), sets.end(), set) == sets.end()) {
        sets.push_back(std::move(set));
    }
}

} // namespace

auto applyLeaseRecord(LeaseTable &table, const LeaseRecord &record) -> bool
{
    const auto found = table.entries.find(record.key);
    const uint64_t last = found == table.entries.end() ? 0 : found->second.record.epoch;
    if (record.epoch != last + 1) {
        return false;
    }
    LeaseEntry next;
    next.record = record;
    if (last != 0) {
        if (record.settled) {
            addSet(next.sets, found->second.record.witnesses);
        } else {
            next.sets = found->second.sets;
        }
    }
    addSet(next.sets, record.witnesses);
    table.entries[record.key] = std::move(next);
    return true;
}

auto findLease(const LeaseTable &table, const LeaseKey &key) -> const LeaseEntry *
{
    const auto found = table.entries.find(key);
    return found == table.entries.end() ? nullptr : &found->second;
}

auto dumpLeaseTable(const LeaseTable &table) -> nlohmann::json
{
    nlohmann::json dump = nlohmann::json::array();
    for (const auto &[key, entry] : table.entries) {
        nlohmann::json sets = nlohmann::json::array();
        for (const auto &set : entry.sets) {
            nlohmann::json names = nlohmann::json::array();
            for (const auto &name : set) {
                names.push_back(name.value);
            }
            sets.push_back(std::move(names));
        }
        dump.push_back({{"record", toJson(entry.record)}, {"sets", std::move(sets)}});
    }
    return dump;
}

auto loadLeaseTable(const nlohmann::json &json) -> Result<LeaseTable>
{
    if (!json.is_array()) {
        return failure(ErrorCode::InvalidInput, "the lease snapshot is not an array");
    }
    LeaseTable table;
    for (const auto &item : json) {
        JsonFields fields(item);
        LeaseEntry entry;
        for (const auto &names : fields.array("sets")) {
            std::vector<NodeName> set;
            for (const auto &name : names) {
                if (!name.is_string()) {
                    return failure(ErrorCode::InvalidInput, "a witness of a lease snapshot is not a string");
                }
                set.emplace_back(name.get<std::string>());
            }
            if (set.empty()) {
                return failure(ErrorCode::InvalidInput, "a lease snapshot has an empty witness set");
            }
            entry.sets.push_back(std::move(set));
        }
        if (fields.failed()) {
            return fields.error();
        }
        if (!item.contains("record") || entry.sets.empty()) {
            return failure(ErrorCode::InvalidInput, "a lease snapshot entry lacks its record or its witness sets");
        }
        auto record = leaseRecordFromJson(item["record"]);
        if (!record) {
            return record.error();
        }
        entry.record = std::move(record.value());
        const LeaseKey key = entry.record.key;
        table.entries[key] = std::move(entry);
    }
    return table;
}

} // namespace snipestream
