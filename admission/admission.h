#pragma once

#include "admission/limit.h"
#include "admission/queue.h"
#include "admission/request.h"
#include "admission/shedding.h"

#include <array>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace snipestream
{

/// Constants of admission at one node.
struct AdmissionSettings {
    ConcurrencyLimitSettings limit;
    SheddingSettings shedding;
    /// Waiting requests per slot of the target. Twice the slots cover a burst; more would only wait past deadlines.
    double queuePerSlot = 2.0;
    int leastQueue = 16;
    /// Time after the start of a drain in which waiting requests may still start.
    Duration drainGrace = seconds(2);
    /// Time between requests that are let through although their route takes longer than their time left.
    Duration probeInterval = milliseconds(100);
    /// Shortest wait that refused callers are told.
    Duration leastRetryAfter = milliseconds(100);
};

/// A request that occupies a slot.
struct RunningRequest {
    TeamName team;
    Priority priority = Priority::Normal;
    uint32_t route = 0;
    TimePoint startedAt;
    /// Slot time charged at the start, in seconds; corrected at the end.
    double charged = 0;
};

/// Admission state of one local target.
struct AdmissionTarget {
    uint32_t number = 0;
    TargetName name;
    ServiceName service;
    LimitState limit;
    AdmissionQueue queue;
    UsageTable usage;
    SheddingState shedding;
    std::unordered_map<AdmissionId, RunningRequest> running;
    /// Starts per second by priority, decayed over a second; tells how much capacity higher priorities take.
    std::array<TeamUsage, kPriorityCount> starts;
    bool draining = false;
    TimePoint drainSince;
};

/// All targets of this node.
struct AdmissionTable {
    AdmissionSettings settings;
    std::vector<AdmissionTarget> targets;
    uint32_t nextNumber = 1;
    uint64_t nextSerial = 1;
    UpstreamTable upstream;
    std::map<TeamName, double> weights;
};

/// Answer to an offer.
enum class AdmissionDecision {
    /// The request occupies a slot now. The caller runs it and calls `complete`.
    Admitted,
    /// The request waits. A later list of decisions says whether it starts.
    Queued,
    /// The request ended without having run.
    Refused,
};

/// Result of an offer.
struct AdmissionResult {
    AdmissionDecision decision = AdmissionDecision::Refused;
    /// Set unless refused.
    AdmissionId admissionId = 0;
    /// Set if refused.
    Refusal refusal;
    /// Other requests that this offer displaced from the queue or that start with it.
    std::vector<DequeueResult> dequeueResults;
};

/// Adds a target or applies a repeated announcement: a changed number of slots takes effect, and a draining target that
/// announces itself again takes work again. A new cold target gets slow start.
void upsertTarget(AdmissionTable &table, const TargetName &target, const ServiceName &service, int slots, bool cold, TimePoint now);

/// Removes the target and refuses what waits for it. Runs in progress are forgotten; their `complete` has no effect.
auto removeTarget(AdmissionTable &table, const TargetName &target) -> std::vector<DequeueResult>;

/// Starts to drain the target: new offers are refused at once, waiting requests may start for the drain grace.
void drainTarget(AdmissionTable &table, const TargetName &target, TimePoint now);

/// Returns whether nothing runs or waits at the target; true for an unknown target.
auto isIdle(const AdmissionTable &table, const TargetName &target) -> bool;

/// Offers a request to the target.
auto offer(AdmissionTable &table, const TargetName &target, const AdmissionRequest &request, TimePoint now) -> AdmissionResult;

/// Frees the slot of a run that ended and returns the requests that start in its place. Unknown tickets have no effect.
auto complete(AdmissionTable &table, AdmissionId admissionId, RunOutcome outcome, TimePoint now) -> std::vector<DequeueResult>;

/// Ends a request whose caller left, whether it waits or runs. The ticket itself does not appear in the decisions.
auto cancel(AdmissionTable &table, AdmissionId admissionId, TimePoint now) -> std::vector<DequeueResult>;

/// Moves limits and levels, refuses waiting requests that can no longer finish in time and starts others. Called every
/// 10 to 20 ms.
auto tick(AdmissionTable &table, TimePoint now) -> std::vector<DequeueResult>;

/// Sets the weights of the teams for fairness, such as their rates. Teams without a weight count as 1.
void setTeamWeights(AdmissionTable &table, std::map<TeamName, double> weights);

/// What operators see of a target.
struct AdmissionStatus {
    int limit = 0;
    int running = 0;
    int queued = 0;
    int sheddingLevel = 0;
    double slowdown = 1;
    bool draining = false;
};

/// Returns the state of a target; empty if it is not known.
auto admissionStatus(const AdmissionTable &table, const TargetName &target, TimePoint now) -> std::optional<AdmissionStatus>;

} // namespace snipestream
