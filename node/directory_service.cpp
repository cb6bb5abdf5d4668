#include "node/directory_service.h"

#include "core/events.h"
#include "node/target_call.h"

#include <utility>
#include <vector>

namespace snipestream
{

namespace
{

constexpr const char *kAnnounceMethod = "directory.announce";
constexpr const char *kSubscribeMethod = "directory.subscribe";
constexpr const char *kUpdateMethod = "directory.update";

constexpr Duration kTick = milliseconds(100);
/// Announcements and subscriptions are renewed once a second.
constexpr int kTicksPerRenewal = 10;
/// A service that was not called for this long is no longer subscribed to.
constexpr Duration kServiceIdle = seconds(300);
/// Longest wait for targets of a service of which no directory knows any while the fleet changes: two renewals.
constexpr Duration kFirstAnswerWait = seconds(2);
/// Time after a join or leave in which all nodes learn of it and announce their targets to the new directories.
constexpr Duration kFleetSettles = seconds(7);

auto peerOf(const NodeState &state, const NodeName &node) -> const Endpoint *
{
    const auto row = state.nodes.nodes.find(node);
    return row == state.nodes.nodes.end() || !row->second.isMember ? nullptr : &row->second.endpoint;
}

/// Sends updates to subscribers; those at this node are applied at once.
void sendUpdates(NodeState &state, const std::vector<DirectoryUpdate> &updates)
{
    for (const auto &update : updates) {
        if (update.subscriber == state.settings.node) {
            applyUpdate(state.endpoints, update.message, BootClock::now());
        } else if (const Endpoint *peer = peerOf(state, update.subscriber)) {
            state.peers->notify(*peer, kUpdateMethod, toJson(update.message));
        }
    }
}

/// Groups the records by directory node, so that each node gets one message.
void announceRecords(NodeState &state, const std::vector<EndpointRecord> &records)
{
    std::map<NodeName, AnnounceMessage> messages;
    for (const auto &record : records) {
        for (const auto &[domain, names] : directoryNodes(state.nodes, state.directoryCache, record.service)) {
            for (const auto &name : names) {
                messages[name].records.push_back(record);
            }
        }
    }
    for (const auto &[name, message] : messages) {
        if (name == state.settings.node) {
            applyAnnouncement(state.directory, message, BootClock::now());
        } else if (const Endpoint *peer = peerOf(state, name)) {
            state.peers->notify(*peer, kAnnounceMethod, toJson(message));
        }
    }
}

auto knowsEndpoints(const NodeState &state, const ServiceName &service) -> bool
{
    const auto row = state.endpoints.services.find(service);
    return row != state.endpoints.services.end() && !row->second.rows.empty();
}

/// Tries the directory nodes of the service in the own failure domain, then those elsewhere. A node that became a
/// directory of the service a moment ago, because others joined or left, knows no targets yet; then the next one is
/// asked too. Returns whether one answered.
auto subscribeTo(NodeState &state, const ServiceName &service) -> bool
{
    const auto directories = directoryNodes(state.nodes, state.directoryCache, service);
    std::vector<NodeName> order;
    if (const auto own = directories.find(state.settings.domain); own != directories.end()) {
        order = own->second;
    }
    for (const auto &[domain, names] : directories) {
        if (domain != state.settings.domain) {
            order.insert(order.end(), names.begin(), names.end());
        }
    }
    bool answered = false;
    for (const auto &name : order) {
        if (answered && knowsEndpoints(state, service)) {
            return true;
        }
        const SubscribeMessage message = makeSubscription(state.endpoints, service, name);
        if (name == state.settings.node) {
            applyUpdate(state.endpoints, subscribe(state.directory, message, BootClock::now()), BootClock::now());
            answered = true;
            continue;
        }
        const Endpoint *const peer = peerOf(state, name);
        if (peer == nullptr) {
            continue;
        }
        const auto answer = state.peers->call(*peer, kSubscribeMethod, toJson(message), state.settings.timeouts.peer);
        const auto update = answer ? updateMessageFromJson(answer.value()) : Result<UpdateMessage>(answer.error());
        if (update) {
            applyUpdate(state.endpoints, update.value(), BootClock::now());
            answered = true;
        }
    }
    return answered;
}

/// Returns whether nodes joined or left a moment ago, or this node has just started.
auto isFleetChanging(const NodeState &state) -> bool
{
    return BootClock::now() - state.nodesChangedAt < kFleetSettles;
}

void renewSubscriptions(NodeState &state)
{
    std::vector<ServiceName> services;
    const TimePoint now = BootClock::now();
    for (auto row = state.calledServices.begin(); row != state.calledServices.end();) {
        if (now - row->second > kServiceIdle) {
            state.endpoints.services.erase(row->first);
            row = state.calledServices.erase(row);
            continue;
        }
        services.push_back(row->first);
        ++row;
    }
    for (const auto &service : services) {
        subscribeTo(state, service);
    }
}

void expireTargets(NodeState &state, const std::vector<TargetName> &expired)
{
    for (const auto &name : expired) {
        logEvent(EventId::TargetExpired, {{"target", name.value}});
        applyDequeueResults(state, removeTarget(state.admission, name));
        state.targetConnections.erase(name);
    }
}

} // namespace

void announceLocalTargets(NodeState &state)
{
    std::vector<TargetName> expired;
    const auto records = tickLocalTargets(state.localTargets, BootClock::now(), expired);
    expireTargets(state, expired);
    announceRecords(state, records);
    sendUpdates(state, tickDirectory(state.directory, BootClock::now()));
}

void serveDirectory(NodeState &state)
{
    state.peers->onNotice(kAnnounceMethod, [&state](const PeerIdentity &, const nlohmann::json &payload) {
        if (const auto message = announceMessageFromJson(payload)) {
            applyAnnouncement(state.directory, message.value(), BootClock::now());
        }
    });
    state.peers->onNotice(kUpdateMethod, [&state](const PeerIdentity &, const nlohmann::json &payload) {
        if (const auto message = updateMessageFromJson(payload)) {
            applyUpdate(state.endpoints, message.value(), BootClock::now());
        }
    });
    const auto onSubscribe = [&state](const PeerIdentity &, const nlohmann::json &payload) -> Result<nlohmann::json> {
        BOOST_OUTCOME_TRY(const SubscribeMessage message, subscribeMessageFromJson(payload));
        return toJson(subscribe(state.directory, message, BootClock::now()));
    };
    state.peers->onCall(kSubscribeMethod, onSubscribe);
}

void runDirectory(NodeState &state)
{
    uint64_t seenRevision = 0;
    for (int ticks = 0; !state.ending; ++ticks) {
        if (state.nodes.revision != seenRevision) {
            seenRevision = state.nodes.revision;
            state.nodesChangedAt = BootClock::now();
        }
        if (ticks % kTicksPerRenewal == 0) {
            announceLocalTargets(state);
            // A slow directory node must not delay the announcements.
            state.runtime.spawn([&state] {
                renewSubscriptions(state);
            });
        }
        sendUpdates(state, tickDirectory(state.directory, BootClock::now()));
        for (const auto &change : tickEndpoints(state.endpoints, BootClock::now())) {
            logEvent(change.ejected ? EventId::TargetEjected : EventId::TargetReturned,
                     {{"service", change.service.value}, {"target", change.endpoint.target.value}});
        }
        state.runtime.sleepFor(kTick);
    }
}

void ensureSubscribed(NodeState &state, const ServiceName &service)
{
    const bool isNew = state.calledServices.count(service) == 0;
    state.calledServices[service] = BootClock::now();
    if (!isNew && knowsEndpoints(state, service)) {
        return;
    }
    const TimePoint end = BootClock::now() + kFirstAnswerWait;
    bool answered = isNew ? subscribeTo(state, service) : true;
    // While the fleet changes, directories may all be new; the next renewals tell them of the targets.
    while (!knowsEndpoints(state, service) && isFleetChanging(state) && BootClock::now() < end && !state.ending) {
        state.runtime.sleepFor(kTick);
        answered = subscribeTo(state, service) || answered;
    }
    if (!answered) {
        // Forgotten, so that the next call asks again at once.
        state.calledServices.erase(service);
    }
}

} // namespace snipestream
