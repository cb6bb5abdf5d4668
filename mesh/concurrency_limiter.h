#pragma once

#include "core/time.h"
#include "mesh/call_pattern.h"
#include "mesh/offered_load.h"

#include <cstdint>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

namespace snipestream
{

/// Settings of the concurrency limiter in front of one target.
struct LimiterSettings {
    /// Maximum fraction of the announced slots that is used. Some targets slow down by a third when more than 95% of
    /// their slots are busy, which costs more than the slots left idle.
    double maxUtilization = 0.95;
    /// Maximum fraction of the target latency that queue delay and service time of a caller's request may take
    /// together. A request that waits longer is answered late and delays those behind it.
    double maxQueueDelayFraction = 0.8;
    /// Weight of the latest service time in the mean, which thus covers about 50 requests.
    double serviceTimeWeight = 0.02;
};

/// Identifies a request that was offered to one limiter.
using LimiterRequestId = uint64_t;

/// Properties of a request that the limiter decides by.
struct LimiterRequest {
    /// Requests with lower ranks leave the queue first.
    int rank = 0;
    /// Time from now up to which a response has its full value to the caller.
    Duration targetLatency{};
    /// After this time, nobody waits for the response.
    TimePoint deadline;
    /// The request is a nested call of a running request. Refusing it wastes the work already done for that request.
    bool isNested = false;
    /// Kind of work; each kind has a mean service time of its own.
    WorkKind workKind = 0;
};

/// A request in the queue.
struct LimiterQueuedRequest {
    LimiterRequestId id = 0;
    LimiterRequest request;
    TimePoint queuedAt;
};

/// Limits the number of requests that run at one target at once and queues the others.
struct ConcurrencyLimiter {
    LimiterSettings settings;
    /// Slots that the target announced.
    int slots = 1;
    /// Maximum number of requests that run at once.
    int limit = 1;
    int running = 0;
    LimiterRequestId nextLimiterRequestId = 1;
    OfferedLoad offered;
    /// Queued requests, ordered by rank and then by the time when their target latency ends.
    std::map<std::pair<int, std::pair<TimePoint, LimiterRequestId>>, LimiterQueuedRequest> queue;
    /// Mean service time in seconds, over all requests and by kind of work. Recent requests weigh more.
    double meanServiceSeconds = 0;
    std::unordered_map<WorkKind, double> serviceSecondsByKind;
};

/// What is done with an offered request.
enum class LimiterDecision {
    /// The request occupies a slot, which `releaseSlot` frees after its run.
    Admitted,
    /// The request waits until `dequeueRequests` or `expireQueued` returns its id, or `cancelQueued` removes it.
    Queued,
    /// The request would be answered too late.
    Refused,
};

/// Result of `offerRequest`.
struct LimiterResult {
    LimiterDecision decision = LimiterDecision::Refused;
    LimiterRequestId id = 0;
};

/// Sets the limit from the number of slots that the target announced.
void setSlots(ConcurrencyLimiter &limiter, int slots);

/// Sets the fraction of the announced slots that is used.
void setUtilization(ConcurrencyLimiter &limiter, double fraction);

/// Admits, queues or refuses a request that arrives now.
auto offerRequest(ConcurrencyLimiter &limiter, const LimiterRequest &request, TimePoint now) -> LimiterResult;

/// Frees the slot of a run and adds its service time to the means. `serviceTime` is zero if the duration of the run
/// says nothing about the speed of the target.
void releaseSlot(ConcurrencyLimiter &limiter, WorkKind workKind, Duration serviceTime);

/// A request that `dequeueRequests` removed from the queue.
struct LimiterDequeueResult {
    LimiterRequestId id = 0;
    /// The request occupies a slot and starts. Otherwise, it can no longer be answered in time and does not run.
    bool start = false;
};

/// Removes requests from the queue in order while there are free slots. Those that can still be answered in time start.
auto dequeueRequests(ConcurrencyLimiter &limiter, TimePoint now) -> std::vector<LimiterDequeueResult>;

/// Removes all queued requests whose deadline has passed, so that they can be answered although no slot becomes free.
/// They do not run.
auto expireQueued(ConcurrencyLimiter &limiter, TimePoint now) -> std::vector<LimiterRequestId>;

/// Removes a request that is no longer needed from the queue. Returns false if it is not queued.
auto cancelQueued(ConcurrencyLimiter &limiter, LimiterRequestId id) -> bool;

/// Returns the time in which the queue would be worked off if no request were added.
auto queueDelay(const ConcurrencyLimiter &limiter) -> Duration;

/// Returns the expected queue delay of a request of this rank that is offered now.
auto expectedQueueDelay(const ConcurrencyLimiter &limiter, int rank) -> Duration;

/// Returns the mean service time of the kind of work, or of all requests if there is none for the kind.
auto expectedServiceTime(const ConcurrencyLimiter &limiter, WorkKind workKind) -> Duration;

} // namespace snipestream
