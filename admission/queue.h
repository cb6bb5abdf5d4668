#pragma once

#include "admission/request.h"

#include <array>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace snipestream
{

/// Usage of a target by one team.
struct TeamUsage {
    /// Slot time used in the last second, in seconds; decays exponentially.
    double amount = 0;
    TimePoint updatedAt;
};

/// Usage of a target by all teams, for fairness.
struct UsageTable {
    std::map<TeamName, TeamUsage> teams;
    /// Weights of the teams; a team without an entry has weight 1.
    std::map<TeamName, double> weights;
    /// Usage of all teams divided by the sum of their weights, as of the last `refreshUsage`.
    double fairUsage = 0;
};

/// Adds slot time to the team's usage; negative amounts correct an earlier estimate.
void chargeTeam(UsageTable &table, const TeamName &team, double slotSeconds, TimePoint now);

/// Returns the team's usage in the last second divided by its weight.
auto weightedUsage(const UsageTable &table, const TeamName &team, TimePoint now) -> double;

/// Returns whether the team uses clearly less than its weighted share of the usage of all teams.
auto isWithinShare(const UsageTable &table, const TeamName &team, TimePoint now) -> bool;

/// Removes teams without noticeable usage and updates `fairUsage`.
void refreshUsage(UsageTable &table, TimePoint now);

/// A request that waits for a slot.
struct QueuedRequest {
    AdmissionRequest request;
    TimePoint queuedAt;
    uint32_t route = 0;
};

/// Queued requests of one target: by priority, then team, then deadline.
struct AdmissionQueue {
    using ByDeadline = std::set<std::pair<TimePoint, AdmissionId>>;
    std::array<std::map<TeamName, ByDeadline>, kPriorityCount> byPriority;
    std::array<int, kPriorityCount> counts{};
    std::unordered_map<AdmissionId, QueuedRequest> rows;
};

void enqueue(AdmissionQueue &queue, AdmissionId admissionId, QueuedRequest row);

/// Removes and returns the request; empty if it is not queued.
auto removeQueued(AdmissionQueue &queue, AdmissionId admissionId) -> std::optional<QueuedRequest>;

/// Returns the request to start next: highest priority, then the team with the lowest weighted usage, then the earliest
/// deadline.
auto nextToStart(const AdmissionQueue &queue, const UsageTable &usage, TimePoint now) -> std::optional<AdmissionId>;

/// Returns the queued request to displace in favour of `request` when the queue is full: one of lower priority, or one
/// of the same priority whose team has more queued requests by weight, with more usage as the tie-breaker. Empty if
/// `request` itself is to be refused.
auto requestToDisplace(const AdmissionQueue &queue, const UsageTable &usage, const AdmissionRequest &request, TimePoint now) -> std::optional<AdmissionId>;

/// Returns the estimated number of queued requests that start before a new one of this priority and team.
auto countAhead(const AdmissionQueue &queue, Priority priority, const TeamName &team) -> int;

} // namespace snipestream
