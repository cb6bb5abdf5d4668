#include "node/config_service.h"

#include "config/catch_up.h"
#include "config/snapshot.h"
#include "core/events.h"
#include "core/hash.h"
#include "lease/table.h"
#include "net/await.h"
#include "node/quota_service.h"

#include <algorithm>
#include <utility>
#include <vector>

#include <malloc.h>

namespace snipestream
{

namespace
{

constexpr const char *kRecordsMethod = "config.records";
constexpr const char *kStateMethod = "config.state";

/// How often a relay polls the log.
constexpr Duration kLogPoll = milliseconds(250);
/// How long a node that asks for records is kept waiting if there are none. A relay answers a third of its failure
/// domain this often. It stays below kLogHeardWithin of the leases, which counts from the answers.
constexpr Duration kLongPoll = seconds(2);
/// Pause after nobody answered.
constexpr Duration kRetryPause = milliseconds(250);
/// Pause after an append of the join record, which doubles with every further one. The nodes of a failure domain that
/// starts again all append in the same seconds; repeats at a fixed pace would keep the log from working them off.
constexpr Duration kJoinRetryMin = seconds(2);
constexpr Duration kJoinRetryMax = seconds(32);
/// Records of one read. Records hold up to 120 KB, and a whole page is in memory at once.
constexpr size_t kPageRecords = 100;
/// After a read of this many records the memory that they took is returned.
constexpr size_t kTrimAfterRecords = 20;
constexpr size_t kMaxResponseBytes = 150 * 1024;
/// A node that begins to fetch the state gets one that is at most this old; records follow for what is newer.
constexpr Duration kStatePartsFresh = seconds(5);
constexpr Duration kStatePartsKept = seconds(10);

/// Makes the rates of the teams their weights in the fairness of admission.
void applyTeamWeights(NodeState &state)
{
    if (state.weightsRevision == state.fold.state.revision) {
        return;
    }
    state.weightsRevision = state.fold.state.revision;
    std::map<TeamName, double> weights;
    for (const auto &[name, rule] : state.fold.state.index.teams) {
        weights[name] = static_cast<double>(rule.rate);
    }
    setTeamWeights(state.admission, std::move(weights));
}

/// Takes note of a record that was folded.
void onFolded(NodeState &state, const LogRecord &record, const FoldOutcome &outcome)
{
    appendToHistory(state.history, record);
    logOutcome(outcome);
    applyTeamWeights(state);
    recordDomainWeights(state);
    endLongPolls(state);
}

void setLogReachable(NodeState &state, bool reachable, const std::string &detail)
{
    if (state.freshness.logReachable == reachable) {
        return;
    }
    state.freshness.logReachable = reachable;
    if (reachable) {
        logEvent(EventId::LogAvailable, {{"log", toString(state.settings.log)}});
    } else {
        logEvent(EventId::LogUnavailable, {{"log", toString(state.settings.log)}, {"detail", detail}});
    }
}

void confirmFresh(NodeState &state)
{
    state.freshness.confirmedAt = BootClock::now();
    state.freshness.caughtUp = true;
}

/// Reads the log to its end. Returns whether it answered.
auto readLog(NodeState &state) -> bool
{
    const auto listener = [&state](const LogRecord &record, const FoldOutcome &outcome) {
        onFolded(state, record, outcome);
    };
    const auto outcome = catchUpFromLog(state.fold, state.log, kPageRecords, wallClockMs(), listener);
    if (!outcome) {
        setLogReachable(state, false, outcome.error().message);
        return false;
    }
    if (outcome.value().outcomes.size() >= kTrimAfterRecords) {
        malloc_trim(0);
    }
    setLogReachable(state, true, {});
    if (outcome.value().snapshotAdopted) {
        logEvent(EventId::ConfigSnapshotTaken, {{"offset", std::to_string(state.fold.state.nextOffset)}});
        applyTeamWeights(state);
        endLongPolls(state);
    }
    confirmFresh(state);
    return true;
}

/// Appends a snapshot if one is due and it is this node's turn; a second snapshot is harmless.
void publishSnapshotIfDue(NodeState &state)
{
    if (!isSnapshotDue(state.fold.state, state.settings.retention, wallClockMs())) {
        state.snapshotDueSince.reset();
        return;
    }
    std::vector<NodeName> nodes;
    for (const auto &[name, row] : state.nodes.nodes) {
        if (row.isMember) {
            nodes.push_back(name);
        }
    }
    const TimePoint now = BootClock::now();
    state.snapshotDueSince = state.snapshotDueSince.value_or(now);
    const auto turn = snapshotPublishDelay(state.settings.node, nodes);
    if (!turn || now - *state.snapshotDueSince < *turn) {
        return;
    }
    const std::string id = state.settings.node.value + "-" + std::to_string(state.fold.state.nextOffset);
    static_cast<void>(publishSnapshot(state.fold, state.log, id, wallClockMs()));
    malloc_trim(0);
}

/// Fetches the whole state of a peer that no longer has the records this node needs.
auto takeState(NodeState &state, const Endpoint &peer) -> bool
{
    SnapshotAssembly assembly;
    uint32_t parts = 1;
    for (uint32_t part = 0; part < parts; ++part) {
        const auto answer = state.peers->call(peer, kStateMethod, {{"part", part}}, state.settings.timeouts.peer);
        if (!answer || !answer.value().is_string()) {
            return false;
        }
        auto decoded = decodeSnapshotPart(answer.value().get<std::string>());
        if (!decoded) {
            return false;
        }
        parts = decoded.value().parts;
        if (const auto snapshot = addSnapshotPart(assembly, std::move(decoded).value())) {
            const auto adopted = adoptSnapshot(state.fold, *snapshot, wallClockMs());
            assembly = SnapshotAssembly{};
            malloc_trim(0);
            if (adopted && adopted.value().adopted) {
                state.history.records.clear();
                logEvent(EventId::ConfigSnapshotTaken, {{"offset", std::to_string(state.fold.state.nextOffset)}});
                applyTeamWeights(state);
                endLongPolls(state);
            }
            return adopted.has_value();
        }
    }
    return false;
}

/// Asks a peer for what is newer. Returns whether it answered.
auto askPeer(NodeState &state, const Endpoint &peer) -> bool
{
    const auto answer = state.peers->call(peer, kRecordsMethod, {{"from", state.fold.state.nextOffset}}, kLongPoll + state.settings.timeouts.peer);
    if (!answer || !answer.value().is_object()) {
        return false;
    }
    const auto text = answer.value().find("records");
    const auto fresh = answer.value().find("ageMs");
    if (text == answer.value().end() || !text->is_string() || fresh == answer.value().end() || !fresh->is_number_integer()) {
        return false;
    }
    const auto decoded = decodeRecordsResponse(text->get<std::string>());
    if (!decoded) {
        return false;
    }
    const CatchUp plan = planCatchUp(state.fold.state.nextOffset, decoded.value());
    if (plan.step == CatchUpStep::FetchState) {
        return takeState(state, peer);
    }
    for (const auto &record : plan.records) {
        onFolded(state, record, applyRecord(state.fold, record, wallClockMs()));
    }
    if (state.fold.state.nextOffset >= decoded.value().nextOffset) {
        // This node is as fresh as the peer was when it answered.
        const TimePoint peerConfirmed = BootClock::now() - milliseconds(fresh->get<int64_t>());
        state.freshness.confirmedAt = std::max(state.freshness.confirmedAt, peerConfirmed);
        state.freshness.caughtUp = true;
    }
    return true;
}

auto nodesOf(const NodeState &state, const DomainName &domain) -> std::vector<NodeName>
{
    std::vector<NodeName> names;
    for (const auto &[name, row] : state.nodes.nodes) {
        if (row.isMember && row.domain == domain) {
            names.push_back(name);
        }
    }
    return names;
}

auto isRelay(const NodeState &state) -> bool
{
    const auto relays = relaysOf(state.settings.domain, nodesOf(state, state.settings.domain));
    return relays.empty() || std::find(relays.begin(), relays.end(), state.settings.node) != relays.end();
}

/// Returns whom to ask: the relays of the own domain, or those of the other domains. Each node starts with another one
/// of the own domain's relays, so that they share the long polls of the domain.
auto peersToAsk(const NodeState &state, bool isOwnDomain) -> std::vector<Endpoint>
{
    std::vector<NodeName> names;
    if (isOwnDomain) {
        names = relaysOf(state.settings.domain, nodesOf(state, state.settings.domain));
        if (!names.empty()) {
            const auto first = static_cast<std::ptrdiff_t>(stableHash(state.settings.node.value) % names.size());
            std::rotate(names.begin(), names.begin() + first, names.end());
        }
    } else {
        std::vector<DomainName> domains;
        for (const auto &[name, row] : state.nodes.nodes) {
            if (row.domain != state.settings.domain && std::find(domains.begin(), domains.end(), row.domain) == domains.end()) {
                domains.push_back(row.domain);
            }
        }
        for (const auto &domain : domains) {
            const auto relays = relaysOf(domain, nodesOf(state, domain));
            names.insert(names.end(), relays.begin(), relays.end());
        }
    }
    std::vector<Endpoint> peers;
    for (const auto &name : names) {
        if (name != state.settings.node) {
            peers.push_back(state.nodes.nodes.at(name).endpoint);
        }
    }
    return peers;
}

/// Asks one after the other until one answers.
auto askAny(NodeState &state, const std::vector<Endpoint> &peers) -> bool
{
    return std::any_of(peers.begin(), peers.end(), [&state](const Endpoint &peer) {
        return askPeer(state, peer);
    });
}

auto isJoined(const NodeState &state) -> bool
{
    const auto row = state.nodes.nodes.find(state.settings.node);
    return row != state.nodes.nodes.end() && row->second.isMember && row->second.incarnation == state.incarnation;
}

/// Takes a new incarnation if the log says that this one left, such as after a pause in which others reported it dead.
/// All leases of the old incarnation are given up, because others may have taken them over.
void renewIncarnation(NodeState &state)
{
    const auto row = state.nodes.nodes.find(state.settings.node);
    if (row == state.nodes.nodes.end() || row->second.isMember || row->second.incarnation < state.incarnation) {
        return;
    }
    state.incarnation = std::max(static_cast<uint64_t>(wallClockMs()), row->second.incarnation + 1);
    state.leaseNode = makeLeaseNode(state.settings.node, state.settings.domain, state.incarnation, BootClock::now());
    logEvent(EventId::NodeRejoining, {{"incarnation", std::to_string(state.incarnation)}});
}

auto nodeRecord(const NodeState &state, bool join) -> std::string
{
    const NodeRecord record{state.settings.node, join, state.settings.domain, state.settings.peerListen, state.incarnation};
    return toJson(record).dump();
}

/// Serves "records since offset"; keeps the asking node waiting for a while if there are none.
auto answerRecords(NodeState &state, const nlohmann::json &payload) -> Result<nlohmann::json>
{
    const auto from = payload.is_object() ? payload.find("from") : payload.end();
    if (!payload.is_object() || from == payload.end() || !from->is_number_unsigned()) {
        return failure(ErrorCode::InvalidInput, "config.records needs an offset in 'from'");
    }
    const auto offset = from->get<uint64_t>();
    if (state.fold.state.nextOffset <= offset && !state.ending) {
        FoldWait wait;
        state.foldWaits.insert(&wait);
        waitFor(state.runtime.context(), wait.event, kLongPoll, wait.isOver);
        state.foldWaits.erase(&wait);
    }
    const RecordsResponse answer = recordsSince(state.history, state.fold.state.nextOffset, offset, kMaxResponseBytes);
    return nlohmann::json{{"records", encodeRecordsResponse(answer)}, {"ageMs", toMsRoundedUp(configAge(state, BootClock::now()))}};
}

auto makeStateParts(const NodeState &state, TimePoint now) -> StateParts
{
    StateParts made;
    const Snapshot snapshot = takeSnapshot(state.fold);
    made.nextOffset = snapshot.nextOffset;
    made.madeAt = now;
    const std::string id = state.settings.node.value + "@" + std::to_string(snapshot.nextOffset);
    for (const auto &part : splitSnapshot(snapshot, id, wallClockMs())) {
        made.parts.push_back(encodeSnapshotPart(part));
    }
    return made;
}

/// Serves one part of the whole state. All nodes that fetch it within a few seconds get the same one: a snapshot per
/// part would cost seconds of processor time per node, and parts of two snapshots do not fit together.
auto answerState(NodeState &state, const nlohmann::json &payload) -> Result<nlohmann::json>
{
    const auto part = payload.is_object() ? payload.find("part") : payload.end();
    if (!payload.is_object() || part == payload.end() || !part->is_number_unsigned()) {
        return failure(ErrorCode::InvalidInput, "config.state needs the number of a part");
    }
    const TimePoint now = BootClock::now();
    StateParts &kept = state.stateParts;
    const bool hasRecordsSince = !state.history.records.empty() && state.history.records.front().offset <= kept.nextOffset;
    const bool isOld = kept.nextOffset != state.fold.state.nextOffset && (!hasRecordsSince || now - kept.madeAt > kStatePartsFresh);
    if (kept.parts.empty() || (part->get<uint64_t>() == 0 && isOld)) {
        kept = makeStateParts(state, now);
    }
    kept.usedAt = now;
    if (part->get<uint64_t>() >= kept.parts.size()) {
        return failure(ErrorCode::NotFound, "the state has only " + std::to_string(kept.parts.size()) + " parts");
    }
    return nlohmann::json(kept.parts[part->get<size_t>()]);
}

/// Frees the parts of the state once nobody fetches them any more.
void dropStateParts(NodeState &state)
{
    if (!state.stateParts.parts.empty() && BootClock::now() - state.stateParts.usedAt > kStatePartsKept) {
        state.stateParts = StateParts{};
        malloc_trim(0);
    }
}

} // namespace

auto configAge(const NodeState &state, TimePoint now) -> Duration
{
    return now - state.freshness.confirmedAt;
}

auto domainNames(const NodeState &state) -> std::vector<DomainName>
{
    std::vector<DomainName> names;
    for (const auto &[name, weight] : domainWeights(state.fold.state)) {
        names.push_back(name);
    }
    return names;
}

auto domainListRevision(const NodeState &state) -> uint64_t
{
    // It is asked for 50 times a second, so it looks only at rules of that kind, which stand together in id order.
    const std::string prefix = "domain ";
    const auto isDomain = [&prefix](const std::string &id) {
        return id.compare(0, prefix.size(), prefix) == 0;
    };
    uint64_t revision = 0;
    const auto &rules = state.fold.state.rules;
    for (auto row = rules.lower_bound(prefix); row != rules.end() && isDomain(row->first); ++row) {
        revision = std::max(revision, row->second.revision);
    }
    const auto &removed = state.fold.state.removedRules.revisions;
    for (auto row = removed.lower_bound(prefix); row != removed.end() && isDomain(row->first); ++row) {
        revision = std::max(revision, row->second);
    }
    return revision;
}

void addFoldSections(NodeState &state)
{
    // Records of this section do not exist: it only carries the history of the weights through snapshots.
    FoldSection weights;
    weights.name = "domain-weights";
    weights.apply = [](uint64_t, const nlohmann::json &) -> Result<void> {
        return failure(ErrorCode::InvalidInput, "there are no records of type domain-weights");
    };
    weights.dump = [&state] {
        return dumpWeightHistory(state.quota);
    };
    weights.load = [&state](const nlohmann::json &dumped) {
        return loadWeightHistory(state.quota, dumped);
    };
    state.fold.sections.push_back(std::move(weights));

    FoldSection nodes;
    nodes.name = "node";
    nodes.apply = [&state](uint64_t, const nlohmann::json &record) -> Result<void> {
        BOOST_OUTCOME_TRY(const NodeRecord parsed, nodeRecordFromJson(record));
        applyNodeRecord(state.nodes, parsed);
        return success();
    };
    nodes.dump = [&state] {
        return dumpNodeTable(state.nodes);
    };
    nodes.load = [&state](const nlohmann::json &dumped) -> Result<void> {
        BOOST_OUTCOME_TRY(NodeTable loaded, loadNodeTable(dumped));
        loaded.revision = std::max(loaded.revision, state.nodes.revision) + 1;
        state.nodes = std::move(loaded);
        return success();
    };
    state.fold.sections.push_back(std::move(nodes));

    FoldSection leases;
    leases.name = "lease";
    leases.apply = [&state](uint64_t, const nlohmann::json &record) -> Result<void> {
        BOOST_OUTCOME_TRY(const LeaseRecord parsed, leaseRecordFromJson(record));
        applyLeaseRecord(state.leases, parsed);
        return success();
    };
    leases.dump = [&state] {
        return dumpLeaseTable(state.leases);
    };
    leases.load = [&state](const nlohmann::json &dumped) -> Result<void> {
        BOOST_OUTCOME_TRY(LeaseTable loaded, loadLeaseTable(dumped));
        state.leases = std::move(loaded);
        return success();
    };
    state.fold.sections.push_back(std::move(leases));
}

void serveConfig(NodeState &state)
{
    state.peers->onCall(kRecordsMethod, [&state](const PeerIdentity &, const nlohmann::json &payload) {
        return answerRecords(state, payload);
    });
    state.peers->onCall(kStateMethod, [&state](const PeerIdentity &, const nlohmann::json &payload) {
        return answerState(state, payload);
    });
}

auto loadConfigAtStart(NodeState &state) -> bool
{
    const bool isLoaded = readLog(state) || askAny(state, state.settings.seedPeers);
    // Reading the log and writing a snapshot leave several times their size in free blocks, which the allocator would
    // keep.
    malloc_trim(0);
    return isLoaded;
}

void followConfig(NodeState &state)
{
    TimePoint nextJoin = BootClock::now();
    Duration joinRetry = kJoinRetryMin;
    while (!state.ending) {
        if (isJoined(state)) {
            joinRetry = kJoinRetryMin;
        } else if (BootClock::now() >= nextJoin && !state.stopping) {
            renewIncarnation(state);
            static_cast<void>(state.log.append(kConfigStream, nodeRecord(state, true)));
            nextJoin = BootClock::now() + joinRetry;
            joinRetry = std::min(joinRetry * 2, kJoinRetryMax);
        }
        if (state.freshness.caughtUp) {
            publishSnapshotIfDue(state);
        }
        dropStateParts(state);
        if (!isRelay(state) && askAny(state, peersToAsk(state, true))) {
            continue;
        }
        if (readLog(state)) {
            // Also without a relay that answers: the log must not get reads without a pause from every node.
            state.runtime.sleepFor(kLogPoll);
            continue;
        }
        if (!askAny(state, peersToAsk(state, false)) && !askAny(state, state.settings.seedPeers)) {
            state.runtime.sleepFor(kRetryPause);
        }
    }
}

void endLongPolls(NodeState &state)
{
    for (FoldWait *const wait : state.foldWaits) {
        wait->isOver = true;
        wait->event.notify();
    }
}

void appendLeave(NodeState &state)
{
    if (isJoined(state)) {
        static_cast<void>(state.log.append(kConfigStream, nodeRecord(state, false)));
    }
}

} // namespace snipestream
