#pragma once

#include "http/message.h"
#include "sidecar/state.h"

#include <cstdint>
#include <optional>
#include <string>

namespace snipestream
{

/// A request on its way to a target, with what the node where it entered has decided.
struct RoutedRequest {
    /// Fields of the caller; those that the system sets are still missing.
    RequestMessage message;
    std::string requestId;
    /// Instance that the request is meant for.
    std::string instance;
    TeamName team;
    ServiceName callerService;
    Duration targetLatency{};
    bool isInner = false;
    WorkKind workKind = 0;
    TimePoint deadline;
    /// Targets that saw the request before this one.
    int earlierArrivals = 0;
};

/// How a request at a target ended.
enum class TargetOutcome {
    /// The whole answer of the target is there.
    Answered,
    /// The request has not run and will not.
    NotRun,
    /// The request may have run; its answer is lost.
    Unknown,
    /// The deadline passed; the request may have run.
    TimedOut,
    /// The caller left.
    Cancelled,
};

/// Returns what the end of a call means for the request; an answered call needs its answer judged.
auto outcomeOf(CallStatus status) -> TargetOutcome;

/// Returns the name for logs and for the wire, such as "not-run".
auto targetOutcomeName(TargetOutcome outcome) -> const char *;

/// Outcome of a request at a target.
struct TargetResult {
    TargetOutcome outcome = TargetOutcome::NotRun;
    ResponseMessage answer;
    /// The target itself saw the request, also if it did not run it.
    bool arrived = false;
    /// Why it did not run or has no answer, for the log.
    std::string reason;
    /// Load of the target at the end.
    std::optional<TargetLoad> load;
};

/// Runs the request at the target on this VM: waits for a slot, sends it and checks that the answer belongs to it.
auto runAtTarget(SidecarState &state, const RoutedRequest &request, CancelSignal &cancel) -> TargetResult;

/// Starts or ends requests that wait at the gate; called after each change of the gate and with each tick.
void advanceGate(SidecarState &state, TimePoint now);

/// Ends the wait of requests whose deadline has passed; called with each tick.
void expireQueue(SidecarState &state, TimePoint now);

/// Ends the wait of all requests at the gate, since the target takes none any more. They have not run.
void emptyGate(SidecarState &state);

} // namespace snipestream
