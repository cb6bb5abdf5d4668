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

/// Constants of the gate in front of one target.
struct LimiterSettings {
    /// Part of the announced slots that is used. Some targets slow down by a third when more than 95% of their slots are
    /// busy, which costs more than the slots left free.
    double usedSlots = 0.95;
    /// Part of the target latency that a client's request may spend waiting here. A request that waits longer is
    /// answered late and delays those behind it.
    double waitPerLatency = 0.8;
    /// Weight of the latest service time in the mean: about 50 requests are remembered.
    double serviceWeight = 0.02;
};

/// Identifies a request at the gate.
using LimiterRequestId = uint64_t;

/// What the gate needs to know about a request.
struct LimiterRequest {
    /// Lower values start first.
    int rank = 0;
    /// Time within which an answer has its full worth, from now.
    Duration targetLatency{};
    /// After this moment nobody waits for the answer.
    TimePoint deadline;
    /// The request is part of one that already runs; refusing it wastes that one's work.
    bool isNested = false;
    /// Kind of work, such as the route, whose service time is measured apart from others.
    WorkKind workKind = 0;
};

/// A request that waits.
struct LimiterQueuedRequest {
    LimiterRequestId id = 0;
    LimiterRequest request;
    TimePoint queuedAt;
};

/// Slots and queue of one target.
struct ConcurrencyLimiter {
    LimiterSettings settings;
    int limit = 1;
    int running = 0;
    LimiterRequestId nextLimiterRequestId = 1;
    OfferedLoad offered;
    /// Waiting requests by rank, then by the moment at which their answer loses worth.
    std::map<std::pair<int, std::pair<TimePoint, LimiterRequestId>>, LimiterQueuedRequest> queue;
    /// Mean time that the target takes for a request, in seconds: of all, and by kind of work.
    double meanServiceSeconds = 0;
    std::unordered_map<WorkKind, double> serviceSecondsByKind;
};

/// Answer to an offer.
enum class LimiterDecision {
    /// The request occupies a slot now; call `releaseSlot` at its end.
    Admitted,
    /// The request waits until `dequeueRequests` returns its ticket, or `cancelQueued` removes it.
    Queued,
    /// The request could not be answered in time.
    Refused,
};

/// Result of an offer.
struct LimiterResult {
    LimiterDecision decision = LimiterDecision::Refused;
    LimiterRequestId id = 0;
};

/// Sets the number of slots that the target announced.
void setSlots(ConcurrencyLimiter &gate, int slots);

/// Offers a request.
auto offerRequest(ConcurrencyLimiter &gate, const LimiterRequest &request, TimePoint now) -> LimiterResult;

/// Frees the slot of a run that took `service`; zero if its duration says nothing about the target.
void releaseSlot(ConcurrencyLimiter &gate, WorkKind workKind, Duration service);

/// A waiting request that was taken from the queue.
struct LimiterDequeueResult {
    LimiterRequestId id = 0;
    /// It starts; otherwise it can no longer be answered in time and has not run.
    bool start = false;
};

/// Takes the requests from the queue that start now or whose time is over.
auto dequeueRequests(ConcurrencyLimiter &gate, TimePoint now) -> std::vector<LimiterDequeueResult>;

/// Takes the waiting requests whose deadline has passed from the queue. They have not run, and are answered at once also
/// while no slot becomes free.
auto expireQueued(ConcurrencyLimiter &gate, TimePoint now) -> std::vector<LimiterRequestId>;

/// Removes a waiting request whose caller left. Returns false if it does not wait.
auto cancelQueued(ConcurrencyLimiter &gate, LimiterRequestId id) -> bool;

/// Returns how long a request that is offered now with this rank would wait.
auto expectedWait(const ConcurrencyLimiter &gate, int rank) -> Duration;

/// Returns the mean service time of this kind of work, or of all if none was measured.
auto expectedServiceTime(const ConcurrencyLimiter &gate, WorkKind workKind) -> Duration;

} // namespace snipestream
