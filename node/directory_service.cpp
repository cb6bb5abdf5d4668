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

constexpr Duration kTickInterval = milliseconds(100);
/// Announcements and subscriptions are renewed once a second.
constexpr int kTicksPerRenewal = 10;
/// The subscription to a service ends when the service was not called for this long.
constexpr Duration kSubscriptionIdleTimeout = seconds(300);
/// Maximum wait for a first endpoint of a service while the membership changes: two renewals of the announcements.
constexpr Duration kFirstEndpointTimeout = seconds(2);
/// Within this time after a join or leave all nodes have seen it and announced their targets to the new directories.
constexpr Duration kMembershipSettleTime = seconds(7);

auto memberEndpoint(const NodeState &state, const NodeName &node) -> const Endpoint *
{
    const auto row = state.nodes.nodes.find(node);
    return row == state.nodes.nodes.end() || !row->second.isMember ? nullptr : &row->second.endpoint;
}

/// Sends updates to their subscribers; updates for this node itself are applied directly.
void sendUpdates(NodeState &state, const std::vector<DirectoryUpdate> &updates)
{
    for (const auto &update : updates) {
        if (update.subscriber == state.settings.node) {
            applyUpdate(state.endpoints, update.message, BootClock::now());
        } else if (const Endpoint *peer = memberEndpoint(state, update.subscriber)) {
            state.peers->notify(*peer, kUpdateMethod, toJson(update.message));
        }
    }
}

/// Announces the records to the directory nodes of their services, with one message per node.
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
        } else if (const Endpoint *peer = memberEndpoint(state, name)) {
            state.peers->notify(*peer, kAnnounceMethod, toJson(message));
        }
    }
}

auto hasEndpoints(const NodeState &state, const ServiceName &service) -> bool
{
    const auto row = state.endpoints.services.find(service);
    return row != state.endpoints.services.end() && !row->second.rows.empty();
}

/// Subscribes at the directory nodes of the service, those of the node's own failure domain first, until one has
/// answered and endpoints are known. A node that has just become a directory of the service, because of a join or
/// leave, has no targets yet; in that case the next one is tried as well. Returns whether one answered.
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
        if (answered && hasEndpoints(state, service)) {
            return true;
        }
        const SubscribeMessage message = makeSubscription(state.endpoints, service, name);
        if (name == state.settings.node) {
            applyUpdate(state.endpoints, subscribe(state.directory, message, BootClock::now()), BootClock::now());
            answered = true;
            continue;
        }
        const Endpoint *const peer = memberEndpoint(state, name);
        if (peer == nullptr) {
            continue;
        }
        const auto response = state.peers->call(*peer, kSubscribeMethod, toJson(message), state.settings.timeouts.peer);
        const auto update = response ? updateMessageFromJson(response.value()) : Result<UpdateMessage>(response.error());
        if (update) {
            applyUpdate(state.endpoints, update.value(), BootClock::now());
            answered = true;
        }
    }
    return answered;
}

/// Returns whether nodes have recently joined or left, or this node has just started.
auto isMembershipChanging(const NodeState &state) -> bool
{
    return BootClock::now() - state.nodesChangedAt < kMembershipSettleTime;
}

void renewSubscriptions(NodeState &state)
{
    std::vector<ServiceName> services;
    const TimePoint now = BootClock::now();
    for (auto row = state.calledServices.begin(); row != state.calledServices.end();) {
        if (now - row->second > kSubscriptionIdleTimeout) {
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
        state.runtime.sleepFor(kTickInterval);
    }
}

void ensureSubscribed(NodeState &state, const ServiceName &service)
{
    const bool isNew = state.calledServices.count(service) == 0;
    state.calledServices[service] = BootClock::now();
    if (!isNew && hasEndpoints(state, service)) {
        return;
    }
    const TimePoint deadline = BootClock::now() + kFirstEndpointTimeout;
    bool answered = isNew ? subscribeTo(state, service) : true;
    // While the membership changes, all directories of the service may be new and get its targets only with the next
    // renewals.
    while (!hasEndpoints(state, service) && isMembershipChanging(state) && BootClock::now() < deadline && !state.ending) {
        state.runtime.sleepFor(kTickInterval);
        answered = subscribeTo(state, service) || answered;
    }
    if (!answered) {
        // Removed, so that the next call to the service subscribes again at once.
        state.calledServices.erase(service);
    }
}

} // namespace snipestream
