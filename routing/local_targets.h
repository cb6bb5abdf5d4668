#pragma once

#include "routing/endpoint.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace snipestream
{

/// Time after its last renewal at which the lease of a target expires and the target counts as left.
inline constexpr Duration kTargetLease = seconds(3);
/// Interval between renewals, returned to targets in the response.
inline constexpr Duration kRenewInterval = seconds(1);
/// Retention of records of targets that left. It has to exceed the delay of any message.
inline constexpr Duration kTombstoneRetention = seconds(60);
/// Retention of suspect targets. It exceeds the usual length of a partition, so that the targets of a partitioned
/// domain are usable again at once when the partition ends.
inline constexpr Duration kSuspectRetention = seconds(600);

/// Body of `POST /snipestream/v1/targets`. The same body announces, renews, drains and removes a target.
struct TargetAnnouncement {
    TargetName target;
    ServiceName service;
    Endpoint endpoint;
    int slots = 1;
    int connections = 1;
    bool isWarmingUp = false;
    EndpointState state = EndpointState::Active;
    /// Increases with each start of the target process, for example its start time; zero if the target does not provide
    /// one. It distinguishes a restart from a renewal that arrives after the drain.
    uint64_t instance = 0;
};

/// Returns the announcement as JSON.
auto toJson(const TargetAnnouncement &announcement) -> nlohmann::json;

/// Reads an announcement; "cold", "state" and "instance" are optional. Fails with InvalidInput if it is malformed.
auto targetAnnouncementFromJson(const nlohmann::json &json) -> Result<TargetAnnouncement>;

/// A target on this VM.
struct LocalTarget {
    TargetAnnouncement announcement;
    uint64_t incarnation = 0;
    uint64_t version = 0;
    TimePoint leaseUntil;
    /// When the target left; used for the removal of the row.
    TimePoint leftAt;
    /// The target itself drained or left, as opposed to a lease that expired while the target was active.
    bool leftVoluntarily = false;
};

/// Targets on this VM.
struct LocalTargetTable {
    NodeName node;
    DomainName domain;
    std::map<TargetName, LocalTarget> targets;
};

/// Effect of an announcement.
enum class AnnounceEffect {
    /// A new target, a target that returned, or one that moved to another endpoint or service.
    Started,
    Renewed,
    /// The number of slots or connections changed.
    Changed,
    Draining,
    Left,
    /// The announcement is out of date, or it drains or removes an unknown target.
    Ignored,
};

/// Applies an announcement of a target. `wallMs` is the wall-clock time in ms; a new incarnation is set to it, or to
/// the previous incarnation plus one if that is higher, so that it also increases across restarts of the node.
auto announceTarget(LocalTargetTable &table, const TargetAnnouncement &announcement, uint64_t wallMs, TimePoint now) -> AnnounceEffect;

/// Returns the record to send to the directory nodes; empty for an unknown target.
auto localRecord(const LocalTargetTable &table, const TargetName &target) -> std::optional<EndpointRecord>;

/// Returns the records of all targets, for the announcement every second. Targets whose lease expired become Left and
/// are appended to `expired`; rows of targets that left are removed after `kTombstoneRetention`.
auto tickLocalTargets(LocalTargetTable &table, TimePoint now, std::vector<TargetName> &expired) -> std::vector<EndpointRecord>;

} // namespace snipestream
