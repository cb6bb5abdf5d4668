#pragma once

#include "core/time.h"
#include "http/message.h"
#include "mesh/policy_freshness.h"
#include "mesh/store_readers.h"
#include "platform/store_client.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace snipestream
{

struct SidecarState;

/// What this node knows of the store's contents, and passes on to others or gets from them.
struct StoreView {
    /// The operator's document of the policy in force.
    std::shared_ptr<const std::string> policyDocument;
    /// Newest records by key, and the offset up to which they are known: those of the members by address, including removed
    /// ones, and the newest departures of each VM (see departureKey()).
    std::map<std::string, KeyedRecord> memberRecords;
    uint64_t membersOffset = 0;
    /// When the members were last confirmed by the store or a reader.
    TimePoint membersConfirmedAt;

    ReaderSettings readerSettings;
    FreshnessLimits freshness;
    /// Position of this node between the limits of others, from 0 to 1.
    double freshnessSpread = 0;
    ReaderPolls polls;
    /// Followers of this node and when they last asked.
    std::map<std::string, TimePoint> followers;
    TimePoint nextNotificationAt;
    /// The last read of the store by this node failed.
    bool isStoreFailing = false;
    StoreContact contact;
    /// When another node last named a newer policy than the one in force here.
    std::optional<TimePoint> newerPolicyHeardAt;
    /// Nodes from which the policy is being fetched, with the newest version that each has announced. One that does not respond
    /// must not keep this node from asking others.
    std::map<std::string, uint64_t> policySources;
    bool isFetchingMembers = false;
};

/// Derives the limits for the age of the policy's confirmation from the settings.
void applyFreshnessSettings(SidecarState &state);

/// Starts to handle the questions and answers of other nodes.
void startDistribution(SidecarState &state);

/// Asks a reader for news if this node does not read the store itself. Must be called with each tick.
void tickDistribution(SidecarState &state, TimePoint now);

/// Gets the members and the policy from a node that has sent a message, if this node has started while it cannot read them
/// from the store.
void learnFromPeer(SidecarState &state, const std::string &address);

/// Tells the followers at once that there is a newer policy or that members have changed.
void notifyFollowers(SidecarState &state);

/// Responds to a request of another node for the policy or the members; an empty value if the request is neither.
auto serveStoreView(const SidecarState &state, const RequestMessage &request) -> std::optional<ResponseMessage>;

} // namespace snipestream
