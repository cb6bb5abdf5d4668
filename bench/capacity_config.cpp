#include "bench/capacity_measure.h"

#include "config/fold.h"
#include "config/relay.h"
#include "config/snapshot.h"

#include <glog/logging.h>
#include <nlohmann/json.hpp>

namespace snipestream::bench
{

namespace
{

const RequestedBy kRequestedBy{"operator@studio.example", "new studio, ticket 4711"};

auto keyRule(size_t number, char digit) -> KeyRule
{
    return KeyRule{KeyId("key-" + std::to_string(number)), TeamName("team-" + std::to_string(number % 1000)), std::string(32, digit), std::string(64, digit),
                   kRequestedBy};
}

auto changeText(uint64_t id, uint64_t base, std::vector<Rule> rules) -> std::string
{
    return encodeChange({"change-" + std::to_string(id), base, "operator@studio.example", std::move(rules), {}});
}

} // namespace

void benchConfig()
{
    printHead("Configuration fold", {"rules", "change of one rule", "bytes per rule", "snapshot", "snapshot bytes", "parts", "adopt a snapshot"});
    for (const size_t count : {1000U, 10000U, 100000U}) {
        const double before = allocatedBytes();
        ConfigFold fold;
        uint64_t revision = 0;
        constexpr size_t kTeams = 1000;
        std::vector<Rule> teams;
        for (size_t i = 0; i < kTeams; ++i) {
            teams.emplace_back(TeamRule{TeamName("team-" + std::to_string(i)), 100, 200, kRequestedBy});
        }
        applyRecord(fold, LogRecord{0, changeText(revision, revision, std::move(teams))}, 1);
        ++revision;
        constexpr size_t kRulesPerChange = 200;
        for (size_t i = 0; i < count; i += kRulesPerChange) {
            std::vector<Rule> rules;
            for (size_t j = i; j < i + kRulesPerChange; ++j) {
                rules.emplace_back(keyRule(j, 'a'));
            }
            const LogRecord record{fold.state.nextOffset, changeText(revision, revision, std::move(rules))};
            applyRecord(fold, record, 1);
            ++revision;
        }
        CHECK_EQ(fold.state.rules.size(), count + kTeams) << "a change was rejected";
        const double bytes = (allocatedBytes() - before) / static_cast<double>(count);
        const double change = microsPerRun([&] {
            const LogRecord record{fold.state.nextOffset, changeText(revision, revision, {keyRule(revision % count, revision % 2 == 0 ? 'b' : 'c')})};
            applyRecord(fold, record, 1);
            ++revision;
        });
        Snapshot snapshot;
        const double dump = microsOnce([&] {
            snapshot = takeSnapshot(fold);
        });
        const size_t parts = splitSnapshot(snapshot, "bench", 1).size();
        const double adopt = microsOnce([&] {
            ConfigFold other;
            static_cast<void>(adoptSnapshot(other, snapshot, 1));
        });
        printRow({std::to_string(count), formatNumber(change), formatNumber(bytes), formatNumber(dump), std::to_string(snapshot.text.size()),
                  std::to_string(parts), formatNumber(adopt)});
    }

    printHead("Relay answers", {"records in the history", "answer without news", "answer with one record"});
    for (const size_t count : {100U, 1000U, 4000U}) {
        RecordHistory history;
        for (size_t i = 0; i < count; ++i) {
            appendToHistory(history, {i, changeText(i, i, {keyRule(i, 'a')})});
        }
        const double empty = microsPerRun([&] {
            nlohmann::json::to_cbor({{"records", encodeRecordsResponse(recordsSince(history, count, count, size_t{150} * 1024))}, {"ageMs", 120}});
        });
        const double one = microsPerRun([&] {
            nlohmann::json::to_cbor({{"records", encodeRecordsResponse(recordsSince(history, count, count - 1, size_t{150} * 1024))}, {"ageMs", 120}});
        });
        printRow({std::to_string(count), formatNumber(empty), formatNumber(one)});
    }
}

} // namespace snipestream::bench
