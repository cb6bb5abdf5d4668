#pragma once

#include "routing/endpoint.h"

#include <map>
#include <vector>

namespace snipestream
{

/// Time after which a subscription that is not repeated ends. Subscribers repeat theirs every second.
inline constexpr Duration kSubscriptionLease = seconds(3);

/// Payload of `directory.announce`: records of one node's targets.
struct AnnounceMessage {
    std::vector<EndpointRecord> records;
};

/// Payload of `directory.subscribe`, sent every second by each node that calls the service. The reply is an
/// UpdateMessage with everything since `knownVersion`, so a lost update is made good within a second.
struct SubscribeMessage {
    ServiceName service;
    NodeName subscriber;
    /// Incarnation and version of the directory that the subscriber has seen; zero if none.
    uint64_t directoryIncarnation = 0;
    uint64_t knownVersion = 0;
};

/// Payload of `directory.update` and of the reply to `directory.subscribe`.
struct UpdateMessage {
    ServiceName service;
    NodeName directory;
    uint64_t directoryIncarnation = 0;
    /// The records are all changes after `fromVersion` up to `toVersion`.
    uint64_t fromVersion = 0;
    uint64_t toVersion = 0;
    /// The records are all that the directory knows, and it has run for longer than a lease, so that a target it does
    /// not know is gone.
    bool complete = false;
    std::vector<EndpointRecord> records;
};

auto toJson(const AnnounceMessage &message) -> nlohmann::json;
auto toJson(const SubscribeMessage &message) -> nlohmann::json;
auto toJson(const UpdateMessage &message) -> nlohmann::json;

/// These fail with InvalidInput on a missing or wrong field and never throw.
auto announceMessageFromJson(const nlohmann::json &json) -> Result<AnnounceMessage>;
auto subscribeMessageFromJson(const nlohmann::json &json) -> Result<SubscribeMessage>;
auto updateMessageFromJson(const nlohmann::json &json) -> Result<UpdateMessage>;

/// A target as a directory node knows it.
struct DirectoryRow {
    EndpointRecord record;
    /// Version of the service's directory at the last change that callers have to learn of.
    uint64_t changedAt = 0;
    TimePoint renewedAt;
};

/// A node that receives the updates of a service.
struct Subscriber {
    TimePoint until;
    /// Version up to which updates were sent to it.
    uint64_t sentVersion = 0;
};

/// All targets of one service.
struct DirectoryService {
    uint64_t version = 0;
    std::map<EndpointId, DirectoryRow> rows;
    std::map<NodeName, Subscriber> subscribers;
};

/// Soft state of a directory node.
struct DirectoryTable {
    NodeName node;
    /// Incarnation of this node's process; a new one makes subscribers fetch everything.
    uint64_t incarnation = 0;
    TimePoint startedAt;
    std::map<ServiceName, DirectoryService> services;
};

/// An update and the node that it goes to.
struct DirectoryUpdate {
    NodeName subscriber;
    UpdateMessage message;
};

/// Takes announced records into account. Older records and repeats have no effect.
void applyAnnouncement(DirectoryTable &table, const AnnounceMessage &message, TimePoint now);

/// Notes the subscription and returns the reply.
auto subscribe(DirectoryTable &table, const SubscribeMessage &message, TimePoint now) -> UpdateMessage;

/// Marks targets whose renewals stopped as suspect, drops old rows and subscriptions, and returns the updates to send.
/// Called after each announcement and every 100 ms.
auto tickDirectory(DirectoryTable &table, TimePoint now) -> std::vector<DirectoryUpdate>;

} // namespace snipestream
