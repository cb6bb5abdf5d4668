#include "mesh/work_graph.h"

#include <algorithm>
#include <vector>

namespace snipestream
{

namespace
{

/// Calls that fewer runs make than this part of them are left out: they load no service much, and calls that were
/// attributed to the wrong kind look the same.
constexpr double kLeastCalls = 0.3;
/// Longest chain of calls that is followed; the deepest known call graphs have 21 levels.
constexpr size_t kMostDepth = 24;
/// Weight of a run that was reported with a rate of zero, so that a kind that has become rare keeps its figures.
constexpr double kLeastRate = 0.001;

void addWork(const WorkGraph &graph, WorkKind kind, double times, std::vector<WorkKind> &path, WorkByService &work)
{
    const auto found = graph.kinds.find(kind);
    const bool isLoop = std::find(path.begin(), path.end(), kind) != path.end();
    if (found == graph.kinds.end() || isLoop || path.size() >= kMostDepth) {
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
        if (calls >= kLeastCalls) {
            addWork(graph, called, times * calls, path, work);
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
        if (!peer.report) {
            continue;
        }
        for (const KindReport &told : peer.report->kinds) {
            const double rate = std::max(told.runsPerSecond, kLeastRate);
            KindWork &row = graph.kinds[told.kind];
            row.runsPerSecond[peer.report->service] += rate;
            row.slotSeconds[peer.report->service] += rate * told.secondsPerRun;
            weights[told.kind] += rate;
            for (const auto &[called, calls] : told.callsPerRun) {
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
    addWork(graph, kind, 1, path, work);
    return work;
}

} // namespace snipestream
