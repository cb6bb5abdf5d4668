#include "mesh/work_graph.h"

#include <algorithm>
#include <vector>

namespace snipestream
{

namespace
{

/// Calls that a run makes less often than this on average are left out. They load no service much, and calls that were
/// attributed to the wrong kind of work are as rare.
constexpr double kMinCallsPerRun = 0.3;
/// Maximum depth of nested calls that is counted; the deepest known call graphs have 21 levels.
constexpr size_t kMaxCallDepth = 24;
/// Minimum weight of a kind of work in the means, in runs per second, so that a kind with a reported rate of 0 keeps
/// its calls and slot time.
constexpr double kMinRunsPerSecond = 0.001;

/// Adds the work of `times` requests of the kind and of their nested calls to `work`. `path` holds the kinds of the
/// chain of callers; a kind that is already in it is not counted again, which ends loops.
void addNestedWork(const WorkGraph &graph, WorkKind kind, double times, std::vector<WorkKind> &path, WorkByService &work)
{
    const auto found = graph.kinds.find(kind);
    const bool isLoop = std::find(path.begin(), path.end(), kind) != path.end();
    if (found == graph.kinds.end() || isLoop || path.size() >= kMaxCallDepth) {
        return;
    }
    const KindWork &row = found->second;
    double total = 0;
    for (const auto &[service, rate] : row.runsPerSecond) {
        total += rate;
    }
    for (const auto &[service, rate] : row.runsPerSecond) {
        work[service] += times * rate / total * row.slotSeconds.at(service);
    }
    path.push_back(kind);
    for (const auto &[called, calls] : row.callsPerRun) {
        if (calls >= kMinCallsPerRun) {
            addNestedWork(graph, called, times * calls, path, work);
        }
    }
    path.pop_back();
}

} // namespace

auto buildWorkGraph(const PeerTable &table) -> WorkGraph
{
    WorkGraph graph;
    std::map<WorkKind, double> weights;
    for (const auto &[address, peer] : table.rows) {
        for (const KindReport &reported : peer.kinds) {
            const double rate = std::max(reported.runsPerSecond, kMinRunsPerSecond);
            KindWork &row = graph.kinds[reported.kind];
            row.runsPerSecond[peer.member.service] += rate;
            row.slotSeconds[peer.member.service] += rate * reported.secondsPerRun;
            weights[reported.kind] += rate;
            for (const auto &[called, calls] : reported.callsPerRun) {
                row.callsPerRun[called] += rate * calls;
            }
        }
    }
    for (auto &[kind, row] : graph.kinds) {
        for (auto &[service, inSeconds] : row.slotSeconds) {
            inSeconds /= row.runsPerSecond.at(service);
        }
        for (auto &[called, calls] : row.callsPerRun) {
            calls /= weights.at(kind);
        }
    }
    return graph;
}

auto workOf(const WorkGraph &graph, WorkKind kind) -> WorkByService
{
    WorkByService work;
    std::vector<WorkKind> path;
    addNestedWork(graph, kind, 1, path, work);
    return work;
}

} // namespace snipestream
