#include "tests/config/fold_world.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace snipestream::testing
{

namespace
{

constexpr size_t kNodeCount = 4;
constexpr size_t kKeyCount = 4;
constexpr const char *kRequestedBy = " # asked by ops: fuzz";

/// Keys of all runs. They are created once, because random secrets are expensive and their values do not matter.
auto keyPool() -> const std::vector<NewKey> &
{
    static const std::vector<NewKey> pool = [] {
        std::vector<NewKey> keys;
        for (size_t i = 0; i < kKeyCount * 2; ++i) {
            // Each key id has two secrets, because the second one must never replace the first.
            keys.push_back(createKey(TeamName("t" + std::to_string(i % 2)), KeyId("k" + std::to_string(i % kKeyCount)), RequestedBy{"ops", "fuzz"}));
        }
        return keys;
    }();
    return pool;
}

/// Returns one of the rules that operators publish, with its id.
auto makeRule(uint32_t choice, uint32_t value) -> std::pair<std::string, OracleRule>
{
    OracleRule rule;
    const std::string number = std::to_string(value % 5 + 1);
    if (choice % 11 < 3) {
        const std::string name = "team t" + std::to_string(choice % 11);
        rule.line = name + " rate=" + number + "/s burst=3" + kRequestedBy;
        return {name, rule};
    }
    if (choice % 11 < 5) {
        const std::string name = "domain d" + std::to_string(choice % 11 - 3);
        rule.line = name + " weight=" + number + kRequestedBy;
        return {name, rule};
    }
    if (choice % 11 < 7) {
        const std::string name = "route r" + std::to_string(choice % 11 - 5);
        rule.path = "GET /p" + std::to_string(value % 3);
        rule.line = name + " " + rule.path + " service=s priority=high idempotent=yes open=no" + kRequestedBy;
        return {name, rule};
    }
    const NewKey &key = keyPool()[choice % 11 - 7 + (value % 4 == 0 ? kKeyCount : 0)];
    rule.team = key.rule.team.value;
    rule.hash = key.rule.salt + ":" + key.rule.hmac;
    rule.line = "key " + rule.team + " " + key.rule.id.value + " hash=" + rule.hash + kRequestedBy;
    return {"key " + key.rule.id.value, rule};
}

auto encodeRecord(const OracleRecord &record) -> std::string
{
    nlohmann::json lines = nlohmann::json::array();
    for (const auto &[id, rule] : record.upserts) {
        lines.push_back(rule.line);
    }
    return nlohmann::json{{"type", "change"}, {"id", record.id}, {"base", record.base}, {"by", "op"}, {"upserts", lines}, {"removals", record.removals}}.dump();
}

auto numbersSection(std::vector<int> &numbers) -> FoldSection
{
    return FoldSection{"number",
                       [&numbers](uint64_t offset, const nlohmann::json &record) -> Result<void> {
                           numbers.push_back(record["value"].get<int>());
                           return success();
                       },
                       [&numbers] {
                           return nlohmann::json(numbers);
                       },
                       [&numbers](const nlohmann::json &dumped) -> Result<void> {
                           numbers = dumped.get<std::vector<int>>();
                           return success();
                       }};
}

} // namespace

auto productHooks() -> WorldHooks
{
    WorldHooks hooks;
    // Each call uses a different time, because the folded state must not depend on it.
    hooks.apply = [now = int64_t{0}](ConfigFold &fold, const LogRecord &record) mutable {
        return applyRecord(fold, record, ++now);
    };
    hooks.adopt = [](ConfigFold &fold, const Snapshot &snapshot) {
        (void)adoptSnapshot(fold, snapshot, 0);
    };
    hooks.plan = planCatchUp;
    hooks.authenticate = [](ConfigFold &fold, const std::string &header) {
        return authenticate(fold.state, fold.keyCache, header);
    };
    return hooks;
}

FoldWorld::FoldWorld(WorldHooks hooks, std::set<std::string> checks)
    : hooks_(std::move(hooks))
    , checks_(std::move(checks))
    , nodes_(kNodeCount)
{
    for (Node &node : nodes_) {
        node.fold.keyCache.capacity = 2;
        node.history.maxBytes = 2000;
        node.fold.sections.push_back(numbersSection(node.numbers));
    }
}

auto FoldWorld::run(const std::vector<WorldStep> &steps) -> std::optional<std::string>
{
    for (const WorldStep &step : steps) {
        runStep(step);
        for (Node &node : nodes_) {
            check(node);
        }
        if (failed_) {
            return failed_;
        }
    }
    log_.setFaults({});
    for (Node &node : nodes_) {
        readLog(node, 1000);
        check(node);
    }
    checkRaces();
    return failed_;
}

auto FoldWorld::situations() const -> const std::map<std::string, uint64_t> &
{
    return situations_;
}

void FoldWorld::runStep(const WorldStep &step)
{
    Node &node = nodes_[step.a % kNodeCount];
    switch (step.kind % 14) {
    case 0:
    case 1:
    case 2:
    case 3:
        publish(step);
        return;
    case 4:
        if (!sent_.empty()) {
            const size_t index = step.b % sent_.size();
            append(sent_[index], sentRecords_[index]);
        }
        return;
    case 5:
    case 6:
        readLog(node, step.b % 4);
        return;
    case 7:
    case 8:
        catchUpFromPeer(node, nodes_[step.b % kNodeCount], step);
        return;
    case 9:
        restart(node);
        return;
    case 10:
        publishState(node, step.b);
        return;
    case 11: {
        // The log expires only records that are covered by a snapshot; FoldTest::testNewNodesAlwaysCatchUp() tests that
        // snapshots are published in time.
        const uint64_t safe = nodes_[step.b % kNodeCount].fold.state.snapshotOffset;
        log_.expireBefore(kConfigStream, safe);
        return;
    }
    case 12: {
        LogFaults faults;
        faults.down = step.b % 4 == 0;
        faults.lostResponses = static_cast<int>(step.c % 3);
        log_.setFaults(faults);
        return;
    }
    default: {
        OracleRecord record;
        record.isNumber = step.b % 2 == 0;
        record.number = static_cast<int>(step.c % 100);
        append(record.isNumber ? R"({"type":"number","value":)" + std::to_string(record.number) + "}" : R"({"type":"change","id":)", record);
        return;
    }
    }
}

void FoldWorld::append(const std::string &payload, const OracleRecord &record)
{
    const bool down = log_.faults().down;
    (void)log_.append(kConfigStream, payload);
    if (!down) {
        oracle_.append(record);
    }
}

void FoldWorld::publish(const WorldStep &step)
{
    // The operator reads the rules from some node, which may be stale.
    const ConfigState &view = nodes_[step.a % kNodeCount].fold.state;
    OracleRecord record;
    record.id = "c" + std::to_string(++changes_);
    record.base = view.revision + (step.c % 61 == 0 ? 1 : 0);
    const uint32_t touched = step.b % 3 + 1;
    for (uint32_t i = 0; i < touched; ++i) {
        const uint32_t seed = step.b / 3 + i * 7 + step.c;
        const auto [id, rule] = makeRule(seed, step.c + i);
        if ((step.c + i) % 3 == 0) {
            record.removals.insert(id);
        } else {
            record.upserts[id] = rule;
        }
    }
    const std::string payload = encodeRecord(record);
    sent_.push_back(payload);
    sentRecords_.push_back(record);
    append(payload, record);
}

void FoldWorld::foldInto(Node &node, const LogRecord &record)
{
    const FoldOutcome outcome = hooks_.apply(node.fold, record);
    if (outcome.kind == "change") {
        verdicts_.emplace(record.offset, outcome.verdict);
    }
    ++situations_[outcome.kind + " " + std::string(verdictName(outcome.verdict))];
    appendToHistory(node.history, record);
}

void FoldWorld::readLog(Node &node, size_t pages)
{
    for (size_t i = 0; i < pages; ++i) {
        const auto page = log_.read(kConfigStream, node.fold.state.nextOffset, 3);
        if (page) {
            for (const LogRecord &record : page.value().records) {
                foldInto(node, record);
            }
            continue;
        }
        ConfigFold scratch;
        const auto earliest = earliestOfExpired(page.error());
        if (!earliest || !catchUpFromLog(scratch, log_.client(), 5, 0)) {
            return;
        }
        expect(scratch.state.revision == oracle_.at(scratch.state.nextOffset).revision, kStateCheck, "after catching up from the log");
        // The snapshot that catchUpFromLog() found is adopted again through the hook, so that a faulty hook is
        // detected.
        SnapshotAssembly assembly;
        const auto retained = log_.read(kConfigStream, *earliest, 100000);
        for (const LogRecord &record : retained.value().records) {
            auto part = decodeSnapshotPart(record.payload);
            const auto snapshot = part ? addSnapshotPart(assembly, std::move(part.value())) : std::nullopt;
            if (snapshot && snapshot->nextOffset >= *earliest) {
                ++situations_["snapshot from the log"];
                hooks_.adopt(node.fold, *snapshot);
                break;
            }
        }
    }
}

void FoldWorld::catchUpFromPeer(Node &node, const Node &peer, const WorldStep &step)
{
    const uint64_t ownOffset = node.fold.state.nextOffset;
    const uint64_t fromOffset = step.c % 5 == 0 ? ownOffset - std::min<uint64_t>(ownOffset, 2) : ownOffset;
    auto response = decodeRecordsResponse(encodeRecordsResponse(recordsSince(peer.history, peer.fold.state.nextOffset, fromOffset, 500))).value();
    // A faulty peer omits a record.
    if (step.c % 7 == 0 && response.records.size() > 1) {
        response.records.erase(response.records.begin() + static_cast<std::ptrdiff_t>(step.b % response.records.size()));
    }
    const CatchUp plan = hooks_.plan(ownOffset, response);
    situations_["records from a peer"] += plan.records.size();
    for (const LogRecord &record : plan.records) {
        LogRecord next = record;
        next.offset = node.fold.state.nextOffset;
        foldInto(node, next);
    }
    // Some nodes fetch the state although they could have used the records, as after a lost response.
    if (plan.step == CatchUpStep::FetchState || step.c % 3 == 0) {
        fetchState(node, peer);
    }
}

void FoldWorld::fetchState(Node &node, const Node &peer)
{
    SnapshotAssembly assembly;
    for (const SnapshotPart &part : splitSnapshot(takeSnapshot(peer.fold), "peer", 1)) {
        if (const auto snapshot = addSnapshotPart(assembly, part)) {
            ++situations_[snapshot->nextOffset > node.fold.state.nextOffset ? "newer state from a peer" : "stale state from a peer"];
            hooks_.adopt(node.fold, *snapshot);
        }
    }
}

void FoldWorld::publishState(const Node &node, uint32_t seed)
{
    for (const SnapshotPart &part : splitSnapshot(takeSnapshot(node.fold), "s" + std::to_string(seed), 1)) {
        append(encodeSnapshotPart(part), OracleRecord{});
    }
}

void FoldWorld::restart(Node &node)
{
    node.fold.state = ConfigState();
    clearKeyCache(node.fold.keyCache);
    node.numbers.clear();
    node.history = RecordHistory();
    node.history.maxBytes = 2000;
    node.highestOffset = 0;
    node.revisions.clear();
}

void FoldWorld::expect(bool holds, const char *name, const std::string &location)
{
    if (!holds && !failed_ && (checks_.empty() || checks_.count(name) != 0)) {
        failed_ = std::string(name) + ": " + location;
    }
}

void FoldWorld::check(Node &node)
{
    const ConfigState &state = node.fold.state;
    const std::string location = "at offset " + std::to_string(state.nextOffset);
    expect(state.nextOffset >= node.highestOffset, kForwardCheck, location);
    node.highestOffset = std::max(node.highestOffset, state.nextOffset);
    if (state.nextOffset > oracle_.size()) {
        expect(false, kStateCheck, location + ", beyond the log");
        return;
    }
    const OracleState &expected = oracle_.at(state.nextOffset);
    bool same = state.revision == expected.revision && state.rules.size() == expected.rules.size() && node.numbers == expected.numbers;
    for (const auto &[id, entry] : state.rules) {
        const auto expectedRule = expected.rules.find(id);
        same = same && expectedRule != expected.rules.end() && expectedRule->second.line == formatRule(entry.rule);
        uint64_t &last = node.revisions[id];
        expect(entry.revision >= last, kForwardCheck, id);
        last = std::max(last, entry.revision);
    }
    expect(same, kStateCheck, location);
    const std::string text = takeSnapshot(node.fold).text;
    const auto [first, isNew] = textAt_.emplace(state.nextOffset, text);
    expect(isNew || first->second == text, kSameTextCheck, location + ":\n" + first->second + "\n" + text);
    checkKeys(node, expected);
}

void FoldWorld::checkKeys(Node &node, const OracleState &expected)
{
    for (const NewKey &key : keyPool()) {
        const std::string id = "key " + key.rule.id.value;
        const auto team = hooks_.authenticate(node.fold, "Bearer " + key.bearer);
        if (expected.withdrawn.count(id) != 0) {
            expect(!team, kWithdrawnCheck, id);
            continue;
        }
        const auto rule = expected.rules.find(id);
        const bool valid = rule != expected.rules.end() && rule->second.hash == key.rule.salt + ":" + key.rule.hmac;
        expect(valid == team.has_value(), kStateCheck, id);
        expect(!team || team.value() == key.rule.team, kStateCheck, "team of " + id);
    }
}

void FoldWorld::checkRaces()
{
    for (uint64_t i = 0; i < oracle_.size(); ++i) {
        for (uint64_t j = i + 1; j < oracle_.size(); ++j) {
            const OracleRecord &a = oracle_.record(i);
            const OracleRecord &b = oracle_.record(j);
            if (a.id.empty() || b.id.empty() || a.base != b.base) {
                continue;
            }
            const bool touchSame = std::any_of(a.upserts.begin(), a.upserts.end(), [&b](const auto &entry) {
                return b.upserts.count(entry.first) != 0;
            });
            const auto wins = [this](uint64_t offset) {
                const auto verdict = verdicts_.find(offset);
                return verdict != verdicts_.end() && verdict->second == ChangeVerdict::Applied;
            };
            expect(!(touchSame && wins(i) && wins(j)), kRaceCheck, "offsets " + std::to_string(i) + " and " + std::to_string(j));
        }
    }
}

} // namespace snipestream::testing
