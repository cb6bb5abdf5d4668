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

/// Use of a target by one team.
struct TeamUsage {
    /// Slot time of the last second, in seconds, decayed exponentially.
    double served = 0;
    TimePoint servedAt;
};

/// Use of a target by all teams, for fairness.
struct UsageTable {
    std::map<TeamName, TeamUsage> teams;
    /// Shares of the teams; a team without an entry weighs 1.
    std::map<TeamName, double> weights;
    /// Use of all teams divided by the sum of their weights, as of the last `refreshUsage`.
    double fairUse = 0;
};

/// Adds slot time to the team's use; negative amounts correct an earlier estimate.
void chargeTeam(UsageTable &table, const TeamName &team, double slotSeconds, TimePoint now);

/// Returns the use of the last second divided by the team's weight.
auto weightedUse(const UsageTable &table, const TeamName &team, TimePoint now) -> double;

/// Returns whether the team clearly uses less than its weighted share of what all teams use.
auto isWithinShare(const UsageTable &table, const TeamName &team, TimePoint now) -> bool;

/// Forgets teams without noticeable use and updates the fair use.
void refreshUsage(UsageTable &table, TimePoint now);

/// A request that waits for a slot.
struct WaitingRequest {
    AdmissionRequest request;
    TimePoint queuedAt;
    uint32_t route = 0;
};

/// Requests of one target that wait: by priority, then team, then deadline.
struct AdmissionQueue {
    using ByDeadline = std::set<std::pair<TimePoint, AdmissionId>>;
    std::array<std::map<TeamName, ByDeadline>, kPriorityCount> waiting;
    std::array<int, kPriorityCount> counts{};
    std::unordered_map<AdmissionId, WaitingRequest> rows;
};

/// Adds a request to the queue.
void enqueue(AdmissionQueue &queue, AdmissionId admissionId, WaitingRequest row);

/// Removes and returns the request; empty if it does not wait.
auto removeWaiting(AdmissionQueue &queue, AdmissionId admissionId) -> std::optional<WaitingRequest>;

/// Returns the request to start next: highest priority, then the team with the least weighted use, then the earliest
/// deadline.
auto nextToStart(const AdmissionQueue &queue, const UsageTable &usage, TimePoint now) -> std::optional<AdmissionId>;

/// Returns the waiting request that gives way to `request` in a full queue: one of lower priority, or one of the same
/// priority whose team waits with more requests and had more use. Empty if `request` itself has to go.
auto requestToDisplace(const AdmissionQueue &queue, const UsageTable &usage, const AdmissionRequest &request, TimePoint now) -> std::optional<AdmissionId>;

/// Returns how many waiting requests start before a new one of this priority and team, by estimate.
auto countAhead(const AdmissionQueue &queue, Priority priority, const TeamName &team) -> int;

} // namespace snipestream
