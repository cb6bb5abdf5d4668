#pragma once

#include "core/time.h"

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

namespace snipestream
{

/// Kind of work: the requests of one route, identified by a hash of the route's name.
using WorkKind = uint32_t;

/// Request that is running at the target.
struct PatternRun {
    WorkKind kind = 0;
    /// Deadline that was sent to the target. Its nested calls normally carry the same one.
    TimePoint deadline;
    /// Number of calls attributed to the run so far, by the kind of work called.
    std::map<WorkKind, double> calls;
};

/// Statistics of the runs of one kind.
struct PatternKind {
    /// Completed runs and their calls. Both decay exponentially, so that the figures follow a new version of the
    /// target.
    double runs = 0;
    /// By the kind of work called.
    std::map<WorkKind, double> calls;
};

/// Identifies a run at this node.
using RunId = uint64_t;

/// Estimates which nested calls the requests of each kind make, from the calls that the target sends. A call does not
/// say which running request makes it, so it is attributed by deadline and likelihood.
struct CallPattern {
    RunId nextRunId = 1;
    std::unordered_map<RunId, PatternRun> running;
    std::map<WorkKind, PatternKind> kinds;
    TimePoint decayedAt;
};

/// Records that a request starts to run.
auto beginRun(CallPattern &pattern, WorkKind kind, TimePoint deadline) -> RunId;

/// Records the end of a run. A failed run may have ended before it made all of its calls, so it counts only if it made
/// more of them than the mean run of its kind. If failed runs never counted, a fleet that starts under overload would
/// have no estimates at all.
void endRun(CallPattern &pattern, RunId id, bool succeeded, TimePoint now);

/// Attributes a call of the target to the runs with the same deadline, or to all runs if there is no such run. It is
/// divided among them in proportion to the likelihood that a run of their kind makes such a call.
void countCall(CallPattern &pattern, WorkKind called, TimePoint deadline);

/// Initializes a kind with calls per run that were stored before the process started, with the weight of a few runs. A
/// kind that already has more runs is left as it is.
void seedKind(CallPattern &pattern, WorkKind kind, const std::map<WorkKind, double> &storedCallsPerRun);

/// Returns whether any run of the target has made a call.
auto makesCalls(const CallPattern &pattern) -> bool;

/// Returns the mean number of calls that a run of the kind makes, by the kind of work called.
auto callsPerRun(const PatternKind &kind) -> std::map<WorkKind, double>;

/// Returns the completed runs of the kind per second.
auto runsPerSecond(const PatternKind &kind) -> double;

} // namespace snipestream
