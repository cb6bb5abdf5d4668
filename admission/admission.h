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

/// Settings of admission control at one node.
struct AdmissionSettings {
    ConcurrencyLimitSettings limit;
    SheddingSettings shedding;
    /// Maximum queue length per slot of the target. Twice the slots absorb a burst; requests beyond that would only
    /// wait until their deadlines pass.
    double maxQueuedPerSlot = 2.0;
    /// Lower bound of the maximum queue length, for targets with few slots.
    int minQueueLength = 16;
    /// Time after the start of a drain during which queued requests may still start.
    Duration drainGrace = seconds(2);
    /// Minimum interval between probes: requests that run although the mean latency of their route exceeds their time
    /// left.
    Duration probeInterval = milliseconds(100);
    /// Minimum retry-after delay in a refusal.
    Duration minRetryAfter = milliseconds(100);
};

/// A request that occupies a slot.
struct RunningRequest {
    TeamName team;
    Priority priority = Priority::Normal;
    uint32_t route = 0;
    TimePoint startedAt;
    /// Slot time charged to the team at the start of the run, in seconds; corrected when the run ends.
    double chargedSlotSeconds = 0;
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
    /// Starts per second by priority, decayed exponentially over one second; `amount` counts starts here. The starts of
    /// higher priorities are subtracted from the capacity when the queue delay is estimated.
    std::array<TeamUsage, kPriorityCount> starts;
    bool draining = false;
    TimePoint drainSince;
};

/// Admission state of all targets of this node.
struct AdmissionTable {
    AdmissionSettings settings;
    std::vector<AdmissionTarget> targets;
    uint32_t nextNumber = 1;
    uint64_t nextSerial = 1;
    UpstreamTable upstream;
    std::map<TeamName, double> weights;
};

/// What is done with an offered request.
enum class AdmissionDecision {
    /// The request occupies a slot now. The caller runs it and then calls `complete`.
    Admitted,
    /// The request is queued. A later DequeueResult reports whether it starts.
    Queued,
    /// The request was refused and did not run.
    Refused,
};

/// Result of offering a request.
struct AdmissionResult {
    AdmissionDecision decision = AdmissionDecision::Refused;
    /// Set unless the request is refused.
    AdmissionId admissionId = 0;
    /// Set if the request is refused.
    Refusal refusal;
    /// Other queued requests that this offer displaced or that start together with it.
    std::vector<DequeueResult> dequeueResults;
};

/// Adds a target or applies a repeated announcement: a changed number of slots takes effect, and a draining target that
/// announces itself again accepts requests again. `isWarmingUp` starts slow start, for a new target only.
void upsertTarget(AdmissionTable &table, const TargetName &target, const ServiceName &service, int slots, bool isWarmingUp, TimePoint now);

/// Removes the target and refuses its queued requests. Runs in progress are no longer tracked, so `complete` has no
/// effect for them.
auto removeTarget(AdmissionTable &table, const TargetName &target) -> std::vector<DequeueResult>;

/// Starts to drain the target: new offers are refused at once, and queued requests may start for `drainGrace`.
void drainTarget(AdmissionTable &table, const TargetName &target, TimePoint now);

/// Returns whether the target has neither running nor queued requests; true for an unknown target.
auto isIdle(const AdmissionTable &table, const TargetName &target) -> bool;

/// Admits, queues or refuses a request for the target.
auto offer(AdmissionTable &table, const TargetName &target, const AdmissionRequest &request, TimePoint now) -> AdmissionResult;

/// Frees the slot of a run that ended and returns the queued requests that start or are refused as a result. Unknown
/// ids have no effect.
auto complete(AdmissionTable &table, AdmissionId admissionId, RunOutcome outcome, TimePoint now) -> std::vector<DequeueResult>;

/// Ends a queued or running request that its caller cancelled. The results do not include the request itself.
auto cancel(AdmissionTable &table, AdmissionId admissionId, TimePoint now) -> std::vector<DequeueResult>;

/// Adjusts limits and shedding levels, refuses queued requests that can no longer finish in time and starts others.
/// Called every 10 to 20 ms.
auto tick(AdmissionTable &table, TimePoint now) -> std::vector<DequeueResult>;

/// Sets the weights of the teams for fairness, for example their rates. A team without an entry has weight 1.
void setTeamWeights(AdmissionTable &table, std::map<TeamName, double> weights);

/// Status of a target as shown to operators.
struct AdmissionStatus {
    int limit = 0;
    int running = 0;
    int queued = 0;
    int sheddingLevel = 0;
    double slowdown = 1;
    bool draining = false;
};

/// Returns the status of a target; empty if the target is unknown.
auto admissionStatus(const AdmissionTable &table, const TargetName &target, TimePoint now) -> std::optional<AdmissionStatus>;

} // namespace snipestream
