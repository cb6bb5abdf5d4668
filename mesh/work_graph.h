#pragma once

#include "core/ids.h"
#include "mesh/call_pattern.h"
#include "mesh/peer_table.h"

#include <map>

namespace snipestream
{

/// What one request of a kind causes directly.
struct KindWork {
    /// Runs a second by service; more than one service if a route is split.
    std::map<ServiceName, double> runsPerSecond;
    /// Slot time of a run, in seconds, by service.
    std::map<ServiceName, double> slotSeconds;
    std::map<WorkKind, double> callsPerRun;
};

/// Slot time, in seconds, that one request takes at each service, with all calls that it leads to.
using WorkByService = std::map<ServiceName, double>;

/// What requests of each kind cause, as all nodes report it.
struct WorkGraph {
    std::map<WorkKind, KindWork> kinds;
};

/// Joins the reports of all nodes. What a silent node told stays in use: a target's calls do not change with its health.
auto buildWorkGraph(const PeerTable &table) -> WorkGraph;

/// Returns the work of one request of the kind; empty if no node has reported the kind.
auto workOf(const WorkGraph &graph, WorkKind kind) -> WorkByService;

} // namespace snipestream
