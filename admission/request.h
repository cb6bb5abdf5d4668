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

/// What admission needs to know about a request.
struct AdmissionRequest {
    RequestId id;
    /// Empty on open routes; all such requests share one place in the fairness order.
    TeamName team;
    Priority priority = Priority::Normal;
    RouteName route;
    TimePoint deadline;
};

/// How the run of a request ended.
enum class RunOutcome {
    /// The target answered; the latency counts as an observation.
    Answered,
    /// The target failed at once; the latency says nothing about its load.
    Failed,
    /// The deadline passed while the target worked; counts as a latency of at least the time that passed.
    TimedOut,
    /// The caller left; the latency is not used.
    Cancelled,
};

/// Says that a queued request starts now, or that it ended without having run.
struct DequeueResult {
    AdmissionId admissionId = 0;
    bool isAdmitted = false;
    /// Set if `start` is false.
    Refusal refusal;
};

} // namespace snipestream
