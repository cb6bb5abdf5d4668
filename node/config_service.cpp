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
constexpr Duration kLogPollInterval = milliseconds(250);
/// Maximum time for which a request for records is held if there are none. A relay answers a third of its failure
/// domain at this interval. It has to stay below kMaxConfigAgeForAppend in lease_service.cpp, since an answered poll
/// is what confirms the configuration of a node that is not a relay.
constexpr Duration kLongPollTimeout = seconds(2);
/// Delay after neither the log nor any peer answered.
constexpr Duration kRetryDelay = milliseconds(250);
/// Delay before the join record is appended again; it doubles with every retry. When a failure domain restarts, all its
/// nodes append within the same seconds, and retries at a fixed interval would keep the log overloaded.
constexpr Duration kMinJoinRetryDelay = seconds(2);
constexpr Duration kMaxJoinRetryDelay = seconds(32);
/// Maximum records per read of the log. A record has up to 120 KB, and all records of a read are in memory at once.
constexpr size_t kMaxRecordsPerRead = 100;
/// After a read of at least this many records, free heap memory is returned to the system.
constexpr size_t kMinRecordsForTrim = 20;
constexpr size_t kMaxRecordsPageBytes = 150 * 1024;
/// Maximum age of the cached snapshot when a node starts to fetch it. The node then gets the newer records one by one.
constexpr Duration kMaxStatePartsAge = seconds(5);
/// The cached snapshot is freed this long after its last use.
constexpr Duration kStatePartsRetention = seconds(10);

/// Sets the weight of each team in admission to its configured rate.
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

/// Updates everything that depends on the configuration after a record was applied.
void onRecordApplied(NodeState &state, const LogRecord &record, const FoldOutcome &outcome)
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

void markConfigConfirmed(NodeState &state)
{
    state.freshness.confirmedAt = BootClock::now();
    state.freshness.caughtUp = true;
}

/// Reads the log to its end. Returns whether the log could be read.
auto readLog(NodeState &state) -> bool
{
    const auto listener = [&state](const LogRecord &record, const FoldOutcome &outcome) {
        onRecordApplied(state, record, outcome);
    };
    const auto outcome = catchUpFromLog(state.fold, state.log, kMaxRecordsPerRead, wallClockMs(), listener);
    if (!outcome) {
        setLogReachable(state, false, outcome.error().message);
        return false;
    }
    if (outcome.value().outcomes.size() >= kMinRecordsForTrim) {
        malloc_trim(0);
    }
    setLogReachable(state, true, {});
    if (outcome.value().snapshotAdopted) {
        logEvent(EventId::ConfigSnapshotTaken, {{"offset", std::to_string(state.fold.state.nextOffset)}});
        applyTeamWeights(state);
        endLongPolls(state);
    }
    markConfigConfirmed(state);
    return true;
}

/// Appends a snapshot if one is due and this node's publish delay has passed. A second snapshot by another node does no
/// harm.
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
    const auto publishDelay = snapshotPublishDelay(state.settings.node, nodes);
    if (!publishDelay || now - *state.snapshotDueSince < *publishDelay) {
        return;
    }
    const std::string id = state.settings.node.value + "-" + std::to_string(state.fold.state.nextOffset);
    static_cast<void>(publishSnapshot(state.fold, state.log, id, wallClockMs()));
    malloc_trim(0);
}

/// Fetches a snapshot from a peer that no longer has the records this node needs. Returns whether it could be applied.
auto fetchState(NodeState &state, const Endpoint &peer) -> bool
{
    SnapshotAssembly assembly;
    uint32_t parts = 1;
    for (uint32_t part = 0; part < parts; ++part) {
        const auto response = state.peers->call(peer, kStateMethod, {{"part", part}}, state.settings.timeouts.peer);
        if (!response || !response.value().is_string()) {
            return false;
        }
        auto decoded = decodeSnapshotPart(response.value().get<std::string>());
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

/// Fetches newer records from a peer with a long poll, or a snapshot if the peer no longer has the records. Returns
/// whether the peer sent a valid response.
auto fetchRecords(NodeState &state, const Endpoint &peer) -> bool
{
    const auto response = state.peers->call(peer, kRecordsMethod, {{"from", state.fold.state.nextOffset}}, kLongPollTimeout + state.settings.timeouts.peer);
    if (!response || !response.value().is_object()) {
        return false;
    }
    const auto text = response.value().find("records");
    const auto age = response.value().find("ageMs");
    if (text == response.value().end() || !text->is_string() || age == response.value().end() || !age->is_number_integer()) {
        return false;
    }
    const auto decoded = decodeRecordsResponse(text->get<std::string>());
    if (!decoded) {
        return false;
    }
    const CatchUp plan = planCatchUp(state.fold.state.nextOffset, decoded.value());
    if (plan.step == CatchUpStep::FetchState) {
        return fetchState(state, peer);
    }
    for (const auto &record : plan.records) {
        onRecordApplied(state, record, applyRecord(state.fold, record, wallClockMs()));
    }
    if (state.fold.state.nextOffset >= decoded.value().nextOffset) {
        // This node is now as up to date as the peer was when it answered.
        const TimePoint peerConfirmed = BootClock::now() - milliseconds(age->get<int64_t>());
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

/// Returns the relays of the node's own domain, or those of the other domains, in the order in which they are tried.
/// Within the own domain each node starts with a relay that depends on its name, which spreads the long polls over the
/// relays.
auto configSources(const NodeState &state, bool isOwnDomain) -> std::vector<Endpoint>
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

/// Tries the peers in order until one of them sends a valid response; returns whether one did.
auto fetchFromAny(NodeState &state, const std::vector<Endpoint> &peers) -> bool
{
    return std::any_of(peers.begin(), peers.end(), [&state](const Endpoint &peer) {
        return fetchRecords(state, peer);
    });
}

auto hasJoined(const NodeState &state) -> bool
{
    const auto row = state.nodes.nodes.find(state.settings.node);
    return row != state.nodes.nodes.end() && row->second.isMember && row->second.incarnation == state.incarnation;
}

/// Starts a new incarnation if the log has a leave record for the current one, for example because other nodes reported
/// it dead while the process was paused. All leases of the old incarnation are dropped, because other nodes may have
/// taken them over.
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

/// Answers a request for the records since an offset. If there are none, the response is delayed until there is one, at
/// most by kLongPollTimeout.
auto handleRecordsRequest(NodeState &state, const nlohmann::json &payload) -> Result<nlohmann::json>
{
    const auto from = payload.is_object() ? payload.find("from") : payload.end();
    if (!payload.is_object() || from == payload.end() || !from->is_number_unsigned()) {
        return failure(ErrorCode::InvalidInput, "config.records needs an offset in 'from'");
    }
    const auto offset = from->get<uint64_t>();
    if (state.fold.state.nextOffset <= offset && !state.ending) {
        FoldWait wait;
        state.foldWaits.insert(&wait);
        waitFor(state.runtime.context(), wait.event, kLongPollTimeout, wait.isOver);
        state.foldWaits.erase(&wait);
    }
    const RecordsResponse response = recordsSince(state.history, state.fold.state.nextOffset, offset, kMaxRecordsPageBytes);
    return nlohmann::json{{"records", encodeRecordsResponse(response)}, {"ageMs", toMsRoundedUp(configAge(state, BootClock::now()))}};
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

/// Answers a request for one part of the configuration snapshot. All nodes that fetch within a few seconds get parts of
/// the same cached snapshot: a new one per request would cost seconds of CPU time per node, and parts of different
/// snapshots cannot be combined.
auto handleStateRequest(NodeState &state, const nlohmann::json &payload) -> Result<nlohmann::json>
{
    const auto part = payload.is_object() ? payload.find("part") : payload.end();
    if (!payload.is_object() || part == payload.end() || !part->is_number_unsigned()) {
        return failure(ErrorCode::InvalidInput, "config.state needs the number of a part");
    }
    const TimePoint now = BootClock::now();
    StateParts &cached = state.stateParts;
    const bool hasRecordsSince = !state.history.records.empty() && state.history.records.front().offset <= cached.nextOffset;
    const bool isOutdated = cached.nextOffset != state.fold.state.nextOffset && (!hasRecordsSince || now - cached.madeAt > kMaxStatePartsAge);
    if (cached.parts.empty() || (part->get<uint64_t>() == 0 && isOutdated)) {
        cached = makeStateParts(state, now);
    }
    cached.usedAt = now;
    if (part->get<uint64_t>() >= cached.parts.size()) {
        return failure(ErrorCode::NotFound, "the state has only " + std::to_string(cached.parts.size()) + " parts");
    }
    return nlohmann::json(cached.parts[part->get<size_t>()]);
}

/// Frees the cached snapshot once no node has fetched a part of it for a while.
void expireStateParts(NodeState &state)
{
    if (!state.stateParts.parts.empty() && BootClock::now() - state.stateParts.usedAt > kStatePartsRetention) {
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
    // Called 50 times a second, so it reads only the domain rules, which are adjacent in the order of ids.
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
    // There are no records of this type; the section only stores the history of the domain weights in snapshots.
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
        return handleRecordsRequest(state, payload);
    });
    state.peers->onCall(kStateMethod, [&state](const PeerIdentity &, const nlohmann::json &payload) {
        return handleStateRequest(state, payload);
    });
}

auto loadConfigAtStart(NodeState &state) -> bool
{
    const bool isLoaded = readLog(state) || fetchFromAny(state, state.settings.seedPeers);
    // Reading the log and writing a snapshot leave free blocks of several times their size, which the allocator would
    // otherwise not return to the system.
    malloc_trim(0);
    return isLoaded;
}

void runConfigSync(NodeState &state)
{
    TimePoint nextJoinAt = BootClock::now();
    Duration joinRetryDelay = kMinJoinRetryDelay;
    while (!state.ending) {
        if (hasJoined(state)) {
            joinRetryDelay = kMinJoinRetryDelay;
        } else if (BootClock::now() >= nextJoinAt && !state.stopping) {
            renewIncarnation(state);
            static_cast<void>(state.log.append(kConfigStream, nodeRecord(state, true)));
            nextJoinAt = BootClock::now() + joinRetryDelay;
            joinRetryDelay = std::min(joinRetryDelay * 2, kMaxJoinRetryDelay);
        }
        if (state.freshness.caughtUp) {
            publishSnapshotIfDue(state);
        }
        expireStateParts(state);
        if (!isRelay(state) && fetchFromAny(state, configSources(state, true))) {
            continue;
        }
        if (readLog(state)) {
            // The pause also applies to nodes that read the log because no relay answered: otherwise every node would
            // read it continuously.
            state.runtime.sleepFor(kLogPollInterval);
            continue;
        }
        if (!fetchFromAny(state, configSources(state, false)) && !fetchFromAny(state, state.settings.seedPeers)) {
            state.runtime.sleepFor(kRetryDelay);
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
    if (hasJoined(state)) {
        static_cast<void>(state.log.append(kConfigStream, nodeRecord(state, false)));
    }
}

} // namespace snipestream
