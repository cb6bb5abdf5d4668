#pragma once

#include "routing/endpoint.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace snipestream
{

/// Time after its last renewal at which a target counts as gone.
inline constexpr Duration kTargetLease = seconds(3);
/// Time between renewals that targets are told.
inline constexpr Duration kRenewInterval = seconds(1);
/// Time for which records of targets that left are kept. It has to exceed the delay of any message.
inline constexpr Duration kTombstoneLifetime = seconds(60);
/// Time for which suspect targets are kept. It exceeds the usual partition, so that their domain is found again at
/// once.
inline constexpr Duration kSuspectLifetime = seconds(600);

/// Body of `POST /snipestream/v1/targets`. The same body renews, drains and leaves.
struct TargetAnnouncement {
    TargetName target;
    ServiceName service;
    Endpoint endpoint;
    int slots = 1;
    int connections = 1;
    bool isWarmingUp = false;
    EndpointState state = EndpointState::Active;
    /// Grows with each start of the target process, such as its start time; zero if the target does not give one. It
    /// tells a restart from a renewal that arrives after the drain.
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
    /// When the target left, for the removal of the row.
    TimePoint leftAt;
    /// The target itself drained or left, as opposed to a lease that ended while it was active.
    bool leftByItself = false;
};

/// Targets on this VM.
struct LocalTargetTable {
    NodeName node;
    DomainName domain;
    std::map<TargetName, LocalTarget> targets;
};

/// What an announcement changed.
enum class AnnounceEffect {
    /// A new target, one that came back, or one that moved to another endpoint or service.
    Started,
    Renewed,
    /// Slots or connections differ.
    Changed,
    Draining,
    Left,
    /// The announcement is late or asks for the end of an unknown target.
    Ignored,
};

/// Takes an announcement from a target. `wallMs` is the wall-clock time; a new incarnation takes it, or the last one
/// plus one if that is higher, so that it grows over restarts of the node too.
auto announceTarget(LocalTargetTable &table, const TargetAnnouncement &announcement, uint64_t wallMs, TimePoint now) -> AnnounceEffect;

/// Returns the record that the directory nodes are told; empty for an unknown target.
auto localRecord(const LocalTargetTable &table, const TargetName &target) -> std::optional<EndpointRecord>;

/// Returns the records of all targets, for the announcement every second. Targets whose lease ended become Left and
/// are named in `expired`; rows that left long ago are removed.
auto tickLocalTargets(LocalTargetTable &table, TimePoint now, std::vector<TargetName> &expired) -> std::vector<EndpointRecord>;

} // namespace snipestream
