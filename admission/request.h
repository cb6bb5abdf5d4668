#pragma once

#include "core/ids.h"
#include "core/priority.h"
#include "core/refusal.h"
#include "core/time.h"

#include <cstdint>

namespace snipestream
{

/// Identifies one offered request at this node from its offer to its end; never reused.
using AdmissionId = uint64_t;

/// The properties of a request that admission control depends on.
struct AdmissionRequest {
    RequestId id;
    /// Empty on open routes; the requests of all open routes count as one team for fairness.
    TeamName team;
    Priority priority = Priority::Normal;
    RouteName route;
    TimePoint deadline;
};

enum class RunOutcome {
    /// The target answered; the latency is recorded.
    Answered,
    /// The target failed at once; the latency is ignored because it does not reflect the target's load.
    Failed,
    /// The deadline passed during the run; the elapsed time is recorded as a lower bound of the latency.
    TimedOut,
    /// The caller cancelled; the latency is ignored.
    Cancelled,
};

/// Reports that a queued request starts now, or that it was refused and did not run.
struct DequeueResult {
    AdmissionId admissionId = 0;
    bool isAdmitted = false;
    /// Set if `isAdmitted` is false.
    Refusal refusal;
};

} // namespace snipestream
