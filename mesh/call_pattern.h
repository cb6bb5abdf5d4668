#pragma once

#include "core/time.h"

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

namespace snipestream
{

/// Kind of work: the requests of one route, named by a hash of the route's name.
using WorkKind = uint32_t;

/// A request that runs at the target.
struct PatternRun {
    WorkKind kind = 0;
    /// Deadline that the target was given; its calls carry the same one.
    TimePoint deadline;
    /// Calls attributed to it so far, by the kind of work called.
    std::map<WorkKind, double> calls;
};

/// What is known of the runs of one kind.
struct PatternKind {
    /// Completed runs and their calls. Both fade, so that a new version of the target is learned.
    double runs = 0;
    std::map<WorkKind, double> calls;
};

/// Identifies a run.
using RunId = uint64_t;

/// Which calls the requests of each kind make while they run, learned from what the target does. Calls do not say which
/// request makes them.
struct CallPattern {
    RunId nextRunId = 1;
    std::unordered_map<RunId, PatternRun> running;
    std::map<WorkKind, PatternKind> kinds;
    TimePoint fadedAt;
};

/// Notes that a request starts to run.
auto beginRun(CallPattern &pattern, WorkKind kind, TimePoint deadline) -> RunId;

/// Notes the end of a run. One that failed may have ended before it made all of its calls, so it counts only if it made
/// more of them than is known of its kind. Were it left out, a fleet that starts into an overload would learn nothing.
void endRun(CallPattern &pattern, RunId id, bool succeeded, TimePoint now);

/// Attributes a call of the target to the runs that may have made it: those with its deadline if there are any, in
/// proportion to the calls that their kinds are known to make.
void countCall(CallPattern &pattern, WorkKind called, TimePoint deadline);

/// Takes over what is known of a kind from before the process started, with the weight of a few runs.
void seedKind(CallPattern &pattern, WorkKind kind, const std::map<WorkKind, double> &perRun);

/// Returns whether the target is known to make calls.
auto makesCalls(const CallPattern &pattern) -> bool;

/// Returns the mean number of calls that a run of the kind makes, by the kind called.
auto callsPerRun(const PatternKind &kind) -> std::map<WorkKind, double>;

/// Returns completed runs of the kind a second.
auto runsPerSecond(const PatternKind &kind) -> double;

} // namespace snipestream
