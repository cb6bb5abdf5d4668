#pragma once

#include "routing/endpoint.h"

#include <map>
#include <vector>

namespace snipestream
{

/// Time after which a subscription that is not renewed expires. Subscribers renew theirs every second.
inline constexpr Duration kSubscriptionLease = seconds(3);

/// Payload of `directory.announce`: the records of one node's targets.
struct AnnounceMessage {
    std::vector<EndpointRecord> records;
};

/// Payload of `directory.subscribe`, sent every second by each node that calls the service. The reply is an
/// UpdateMessage with all changes after `seenVersion`, so a lost update is recovered within a second.
struct SubscribeMessage {
    ServiceName service;
    NodeName subscriber;
    /// Incarnation and version of the directory up to which the subscriber has received updates; zero if none.
    uint64_t directoryIncarnation = 0;
    uint64_t seenVersion = 0;
};

/// Payload of `directory.update` and of the reply to `directory.subscribe`.
struct UpdateMessage {
    ServiceName service;
    NodeName directory;
    uint64_t directoryIncarnation = 0;
    /// The records contain all changes after `fromVersion` up to `toVersion`.
    uint64_t fromVersion = 0;
    uint64_t toVersion = 0;
    /// The records are all that the directory has, and it has been running for at least a target lease, so a target
    /// that is not listed has left.
    bool complete = false;
    std::vector<EndpointRecord> records;
};

auto toJson(const AnnounceMessage &message) -> nlohmann::json;
auto toJson(const SubscribeMessage &message) -> nlohmann::json;
auto toJson(const UpdateMessage &message) -> nlohmann::json;

/// These functions fail with InvalidInput on a missing or malformed field and never throw.
auto announceMessageFromJson(const nlohmann::json &json) -> Result<AnnounceMessage>;
auto subscribeMessageFromJson(const nlohmann::json &json) -> Result<SubscribeMessage>;
auto updateMessageFromJson(const nlohmann::json &json) -> Result<UpdateMessage>;

/// A target in the table of a directory node.
struct DirectoryRow {
    EndpointRecord record;
    /// Version of the service's directory at the last change that callers need to receive.
    uint64_t changedVersion = 0;
    TimePoint renewedAt;
};

/// A node that receives the updates of a service.
struct Subscriber {
    TimePoint expiresAt;
    /// Version up to which updates were sent to it.
    uint64_t sentVersion = 0;
};

/// All targets of one service.
struct DirectoryService {
    uint64_t version = 0;
    std::map<EndpointId, DirectoryRow> rows;
    std::map<NodeName, Subscriber> subscribers;
};

/// Soft state of a directory node: not stored, and rebuilt from announcements after a restart.
struct DirectoryTable {
    NodeName node;
    /// Incarnation of this node's process; a new one makes subscribers fetch all records.
    uint64_t incarnation = 0;
    TimePoint startedAt;
    std::map<ServiceName, DirectoryService> services;
};

/// An update and the subscriber it is sent to.
struct DirectoryUpdate {
    NodeName subscriber;
    UpdateMessage message;
};

/// Merges announced records. Older and duplicate records have no effect.
void applyAnnouncement(DirectoryTable &table, const AnnounceMessage &message, TimePoint now);

/// Adds or renews the subscription and returns the reply.
auto subscribe(DirectoryTable &table, const SubscribeMessage &message, TimePoint now) -> UpdateMessage;

/// Marks targets whose renewals stopped as suspect, removes expired rows and subscriptions, and returns the updates to
/// send. Called after each announcement and every 100 ms.
auto tickDirectory(DirectoryTable &table, TimePoint now) -> std::vector<DirectoryUpdate>;

} // namespace snipestream
