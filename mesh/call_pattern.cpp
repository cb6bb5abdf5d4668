#include "mesh/call_pattern.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace snipestream
{

namespace
{

/// Time constant of the decay of runs and calls, in seconds. It covers a few hundred runs of a busy route and is short
/// enough to follow a release of the target.
constexpr double kDecaySeconds = 20;
/// Difference between deadlines that still count as the same: the time left is sent in whole milliseconds, and the call
/// has passed two sockets of the VM since.
constexpr Duration kDeadlineTolerance = milliseconds(3);
/// Runs and calls added to those of every kind when likelihoods are estimated, so that a kind without runs has a
/// likelihood too. It is small, so that the first runs already count. It is also the minimum number of runs that calls
/// are divided by.
constexpr double kPseudoCount = 0.5;

/// Returns the relative likelihood that a run of the kind makes a call of kind `called`.
auto likelihood(const CallPattern &pattern, WorkKind kind, WorkKind called) -> double
{
    const auto found = pattern.kinds.find(kind);
    if (found == pattern.kinds.end()) {
        return 1;
    }
    const auto calls = found->second.calls.find(called);
    const double seen = calls == found->second.calls.end() ? 0 : calls->second;
    return (seen + kPseudoCount) / (found->second.runs + kPseudoCount);
}

/// Returns whether the run made clearly more calls of some kind than the mean run.
auto exceedsMeanCalls(const PatternKind &row, const PatternRun &run) -> bool
{
    /// Calls beyond the mean that cannot result from uncertain attribution alone.
    constexpr double kMinExcessCalls = 0.5;
    const auto mean = callsPerRun(row);
    return std::any_of(run.calls.begin(), run.calls.end(), [&mean](const auto &call) {
        const auto expected = mean.find(call.first);
        return call.second > (expected == mean.end() ? 0 : expected->second) + kMinExcessCalls;
    });
}

void decay(CallPattern &pattern, TimePoint now)
{
    const double elapsed = std::chrono::duration<double>(now - pattern.decayedAt).count();
    const double factor = std::exp(-std::max(elapsed, 0.0) / kDecaySeconds);
    for (auto &[kind, row] : pattern.kinds) {
        row.runs *= factor;
        for (auto &[called, calls] : row.calls) {
            calls *= factor;
        }
    }
    pattern.decayedAt = now;
}

} // namespace

auto beginRun(CallPattern &pattern, WorkKind kind, TimePoint deadline) -> RunId
{
    const RunId id = pattern.nextRunId++;
    pattern.running.emplace(id, PatternRun{kind, deadline, {}});
    return id;
}

void endRun(CallPattern &pattern, RunId id, bool succeeded, TimePoint now)
{
    const auto found = pattern.running.find(id);
    if (found == pattern.running.end()) {
        return;
    }
    decay(pattern, now);
    auto &row = pattern.kinds[found->second.kind];
    if (succeeded || exceedsMeanCalls(row, found->second)) {
        row.runs += 1;
        for (const auto &[called, calls] : found->second.calls) {
            row.calls[called] += calls;
        }
    }
    pattern.running.erase(found);
}

void countCall(CallPattern &pattern, WorkKind called, TimePoint deadline)
{
    std::vector<PatternRun *> candidates;
    for (auto &[id, run] : pattern.running) {
        const Duration difference = run.deadline - deadline;
        if (difference <= kDeadlineTolerance && difference >= -kDeadlineTolerance) {
            candidates.push_back(&run);
        }
    }
    if (candidates.empty()) {
        for (auto &[id, run] : pattern.running) {
            candidates.push_back(&run);
        }
    }
    std::vector<double> weights;
    double total = 0;
    for (const PatternRun *run : candidates) {
        weights.push_back(likelihood(pattern, run->kind, called));
        total += weights.back();
    }
    for (size_t i = 0; i < candidates.size(); ++i) {
        candidates[i]->calls[called] += weights[i] / total;
    }
}

void seedKind(CallPattern &pattern, WorkKind kind, const std::map<WorkKind, double> &storedCallsPerRun)
{
    /// Weight of the stored figures: enough to make estimates, and little compared with the runs of one second.
    constexpr double kSeedRuns = 5;
    auto &row = pattern.kinds[kind];
    if (row.runs >= kSeedRuns) {
        return;
    }
    row.runs = kSeedRuns;
    row.calls.clear();
    for (const auto &[called, calls] : storedCallsPerRun) {
        row.calls[called] = calls * kSeedRuns;
    }
}

auto makesCalls(const CallPattern &pattern) -> bool
{
    return std::any_of(pattern.kinds.begin(), pattern.kinds.end(), [](const auto &kind) {
        return !kind.second.calls.empty();
    });
}

auto callsPerRun(const PatternKind &kind) -> std::map<WorkKind, double>
{
    std::map<WorkKind, double> result;
    for (const auto &[called, calls] : kind.calls) {
        result[called] = calls / std::max(kind.runs, kPseudoCount);
    }
    return result;
}

auto runsPerSecond(const PatternKind &kind) -> double
{
    return kind.runs / kDecaySeconds;
}

} // namespace snipestream
