#include "mesh/call_pattern.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace snipestream
{

namespace
{

/// Time over which runs and calls fade: a few hundred runs of a busy route, and short enough to follow a release.
constexpr double kFadeSeconds = 20;
/// Clients count time left in whole milliseconds, and the call has passed two sockets of the VM since.
constexpr Duration kDeadlineTolerance = milliseconds(3);
/// Runs and calls that are assumed of every kind before any was seen; small, so that the first runs count.
constexpr double kAssumed = 0.5;

/// Returns how likely a run of the kind is to make the call, against other kinds.
auto likelihood(const CallPattern &pattern, WorkKind kind, WorkKind called) -> double
{
    const auto found = pattern.kinds.find(kind);
    if (found == pattern.kinds.end()) {
        return 1;
    }
    const auto calls = found->second.calls.find(called);
    const double seen = calls == found->second.calls.end() ? 0 : calls->second;
    return (seen + kAssumed) / (found->second.runs + kAssumed);
}

/// Returns whether the run made clearly more calls of some kind than the mean run.
auto madeMore(const PatternKind &row, const PatternRun &run) -> bool
{
    /// Calls beyond the mean that are no effect of an uncertain attribution.
    constexpr double kClearlyMore = 0.5;
    const auto mean = callsPerRun(row);
    return std::any_of(run.calls.begin(), run.calls.end(), [&mean](const auto &call) {
        const auto known = mean.find(call.first);
        return call.second > (known == mean.end() ? 0 : known->second) + kClearlyMore;
    });
}

void fade(CallPattern &pattern, TimePoint now)
{
    const double passed = std::chrono::duration<double>(now - pattern.fadedAt).count();
    const double factor = std::exp(-std::max(passed, 0.0) / kFadeSeconds);
    for (auto &[kind, row] : pattern.kinds) {
        row.runs *= factor;
        for (auto &[called, calls] : row.calls) {
            calls *= factor;
        }
    }
    pattern.fadedAt = now;
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
    fade(pattern, now);
    auto &row = pattern.kinds[found->second.kind];
    if (succeeded || madeMore(row, found->second)) {
        row.runs += 1;
        for (const auto &[called, calls] : found->second.calls) {
            row.calls[called] += calls;
        }
    }
    pattern.running.erase(found);
}

void countCall(CallPattern &pattern, WorkKind called, TimePoint deadline)
{
    std::vector<PatternRun *> makers;
    for (auto &[id, run] : pattern.running) {
        const Duration difference = run.deadline - deadline;
        if (difference <= kDeadlineTolerance && difference >= -kDeadlineTolerance) {
            makers.push_back(&run);
        }
    }
    if (makers.empty()) {
        for (auto &[id, run] : pattern.running) {
            makers.push_back(&run);
        }
    }
    std::vector<double> weights;
    double total = 0;
    for (const PatternRun *run : makers) {
        weights.push_back(likelihood(pattern, run->kind, called));
        total += weights.back();
    }
    for (size_t i = 0; i < makers.size(); ++i) {
        makers[i]->calls[called] += weights[i] / total;
    }
}

void seedKind(CallPattern &pattern, WorkKind kind, const std::map<WorkKind, double> &perRun)
{
    /// Weight of what was known: enough to act on, and little against the runs of a second.
    constexpr double kSeedRuns = 5;
    auto &row = pattern.kinds[kind];
    if (row.runs >= kSeedRuns) {
        return;
    }
    row.runs = kSeedRuns;
    row.calls.clear();
    for (const auto &[called, calls] : perRun) {
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
        result[called] = calls / std::max(kind.runs, kAssumed);
    }
    return result;
}

auto runsPerSecond(const PatternKind &kind) -> double
{
    return kind.runs / kFadeSeconds;
}

} // namespace snipestream
