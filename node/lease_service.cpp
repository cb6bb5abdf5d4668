#include "node/lease_service.h"

#include "core/events.h"
#include "idempotency/claim.h"
#include "node/config_service.h"

#include <optional>
#include <utility>

namespace snipestream
{

namespace
{

constexpr const char *kPingMethod = "lease.ping";
constexpr const char *kReleaseMethod = "lease.release";
constexpr Duration kTickInterval = milliseconds(100);
/// Lease records are appended only if the log, directly or through a relay, has confirmed the configuration within this
/// time.
constexpr Duration kMaxConfigAgeForAppend = seconds(3);

auto liveNodes(const NodeState &state) -> LiveNodes
{
    LiveNodes live;
    for (const auto &[name, row] : state.nodes.nodes) {
        if (row.isMember && row.domain == state.settings.domain) {
            live.emplace(name, row.incarnation);
        }
    }
    return live;
}

void sendPing(NodeState &state, const NodeName &witness, const LeasePing &message)
{
    if (witness == state.settings.node) {
        const LeasePong pong = answerPing(state.leaseNode.witness, state.leases, state.leaseNode.params, message, BootClock::now());
        applyPong(state.leaseNode.holder, state.leaseNode.params, pong, BootClock::now());
        return;
    }
    const auto row = state.nodes.nodes.find(witness);
    if (row == state.nodes.nodes.end()) {
        return;
    }
    state.runtime.spawn([&state, endpoint = row->second.endpoint, message] {
        const auto response = state.peers->call(endpoint, kPingMethod, toJson(message), seconds(1));
        if (!response) {
            return;
        }
        if (const auto pong = leasePongFromJson(response.value())) {
            applyPong(state.leaseNode.holder, state.leaseNode.params, pong.value(), BootClock::now());
        }
    });
}

void appendLeaseRecord(NodeState &state, const LeaseRecord &record)
{
    logEvent(EventId::LeaseClaimed, {{"range", std::to_string(record.key.range)}, {"epoch", std::to_string(record.epoch)}});
    state.runtime.spawn([&state, text = toJson(record).dump()] {
        static_cast<void>(state.log.append(kConfigStream, text));
    });
}

} // namespace

void serveLeases(NodeState &state)
{
    state.peers->onCall(kPingMethod, [&state](const PeerIdentity &, const nlohmann::json &payload) -> Result<nlohmann::json> {
        BOOST_OUTCOME_TRY(const LeasePing message, leasePingFromJson(payload));
        return toJson(answerPing(state.leaseNode.witness, state.leases, state.leaseNode.params, message, BootClock::now()));
    });
    state.peers->onCall(kReleaseMethod, [&state](const PeerIdentity &, const nlohmann::json &payload) -> Result<nlohmann::json> {
        BOOST_OUTCOME_TRY(const LeaseRelease message, leaseReleaseFromJson(payload));
        applyRelease(state.leaseNode.witness, message);
        return nlohmann::json(true);
    });
}

void runLeases(NodeState &state)
{
    // The inputs are reused between ticks: collecting the live nodes of a large domain ten times a second would cost
    // more than the rest of the tick.
    LeaseInputs inputs;
    std::optional<uint64_t> liveRevision;
    while (!state.ending) {
        if (state.freshness.caughtUp && !state.leaseNode.witness.logRead) {
            markLogRead(state.leaseNode.witness, state.leases);
        }
        const TimePoint now = BootClock::now();
        inputs.canAppend = !state.stopping && configAge(state, now) < kMaxConfigAgeForAppend;
        if (liveRevision != state.nodes.revision) {
            inputs.live = liveNodes(state);
            liveRevision = state.nodes.revision;
        }
        const LeaseOutputs outputs = tickLease(state.leaseNode, state.leases, now, inputs);
        for (const auto &[witness, message] : outputs.pings) {
            sendPing(state, witness, message);
        }
        for (const auto &record : outputs.appends) {
            appendLeaseRecord(state, record);
        }
        for (const auto &key : outputs.acquired) {
            if (homeDomainOf(key.range, domainNames(state)) != key.domain) {
                // Claims of this range are stored in another domain, so no previous holder can have any in memory.
                markPriorResolved(state.leaseNode.holder, key);
            }
            logEvent(EventId::LeaseAcquired, {{"range", std::to_string(key.range)}});
        }
        for (const auto &key : outputs.lost) {
            logEvent(EventId::LeaseLost, {{"range", std::to_string(key.range)}});
        }
        state.runtime.sleepFor(kTickInterval);
    }
}

void releaseLeases(NodeState &state)
{
    LiveNodes live = liveNodes(state);
    live.erase(state.settings.node);
    const LeaseHandOver handOver = handOverLeases(state.leaseNode.holder, live, BootClock::now());
    for (const auto &[witness, release] : handOver.releases) {
        const auto row = state.nodes.nodes.find(witness);
        if (row != state.nodes.nodes.end() && witness != state.settings.node) {
            static_cast<void>(state.peers->call(row->second.endpoint, kReleaseMethod, toJson(release), milliseconds(200)));
        }
    }
    for (const auto &record : handOver.records) {
        static_cast<void>(state.log.append(kConfigStream, toJson(record).dump()));
    }
}

auto holderOf(const NodeState &state, const LeaseKey &key) -> std::optional<std::pair<NodeName, Endpoint>>
{
    const LeaseEntry *const entry = findLease(state.leases, key);
    if (entry == nullptr) {
        return std::nullopt;
    }
    const auto row = state.nodes.nodes.find(entry->record.holder);
    if (row == state.nodes.nodes.end()) {
        return std::nullopt;
    }
    return std::make_pair(row->first, row->second.endpoint);
}

} // namespace snipestream
