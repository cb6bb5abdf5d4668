#pragma once

#include "http/message.h"
#include "sidecar/state.h"

#include <cstdint>
#include <optional>
#include <string>

namespace snipestream
{

/// A request that is routed to a target, with what the entry node has decided.
struct RoutedRequest {
    /// Request of the caller; `runAtTarget` sets the fields of the system.
    RequestMessage message;
    std::string requestId;
    /// Target that the entry node chose, with the service that the route names.
    TargetId target;
    TeamName team;
    ServiceName callerService;
    Duration targetLatency{};
    bool isNested = false;
    WorkKind workKind = 0;
    TimePoint deadline;
    /// Address of the entry node.
    std::string sender;
    /// Attempts that reached other targets before this one.
    int previousAttempts = 0;
};

/// Reason of a refusal: the request names another target than the one beside the node.
inline constexpr const char *kOtherTargetReason = "other-target";

/// How a request at a target ended.
enum class TargetOutcome {
    /// The whole response of the target was received.
    Answered,
    /// The request has not run and will not.
    NotRun,
    /// The request may have run; its response is lost.
    Unknown,
    /// The deadline passed; the request may have run.
    TimedOut,
    /// The caller disconnected.
    Cancelled,
};

/// Returns the outcome that the status of a call stands for. The response to an answered call still has to be checked.
auto outcomeOf(CallStatus status) -> TargetOutcome;

/// Returns whether a request with this outcome may have run, so that its caller must not be told otherwise.
auto mayHaveRun(TargetOutcome outcome) -> bool;

/// Returns the name for logs and messages between nodes, such as "not-run".
auto targetOutcomeName(TargetOutcome outcome) -> const char *;

/// Outcome of a request at a target.
struct TargetResult {
    TargetOutcome outcome = TargetOutcome::NotRun;
    ResponseMessage response;
    /// The request reached the target itself, even if the target did not run it.
    bool reachedTarget = false;
    /// Why the request did not run or has no response, for the log.
    std::string reason;
    /// Load of the target when the attempt ended; empty if it is not known.
    std::optional<TargetLoad> load;
};

/// Runs the request at the target on this VM: waits for a slot, sends the request and checks that the response belongs to
/// it.
auto runAtTarget(SidecarState &state, RoutedRequest &request, CancelSignal &cancel) -> TargetResult;

/// Returns the result of a request of another node that this node refuses for the reason, such as "node-stopping". The request
/// has not run.
auto refuseBeforeTarget(const SidecarState &state, const char *reason) -> TargetResult;

/// What the log says about a request that the stop ends.
struct ConcludedRequest {
    std::string requestId;
    /// When this node had read the request.
    TimePoint startedAt;
    /// Deadline that the sender gave the request, which may lie behind the end of the stop.
    TimePoint senderDeadline;
    bool isNested = false;
};

/// Returns the final result of a request that was cancelled because the node must end. Counts and logs it if it may have
/// run.
auto concludeAtStop(SidecarState &state, const ConcludedRequest &request, TargetResult cancelled) -> TargetResult;

/// Sets the concurrency that the local target takes well, if the target reports its pace. Must be called with each tick.
void updateLearnedLimit(SidecarState &state, TimePoint now);

/// Starts or refuses queued requests as slots become free or their time runs out. Must be called after each change of the
/// concurrency limiter and with each tick.
void advanceLimiter(SidecarState &state, TimePoint now);

/// Refuses queued requests whose deadline has passed. Must be called with each tick.
void expireQueuedRequests(SidecarState &state, TimePoint now);

/// Refuses all queued requests, because the target accepts no more. They have not run.
void drainLimiterQueue(SidecarState &state);

} // namespace snipestream
