#pragma once

#include "core/ids.h"
#include "mesh/call_pattern.h"
#include "mesh/peer_table.h"

#include <map>

namespace snipestream
{

/// Work that one request of a kind causes directly, without that of its nested calls.
struct KindWork {
    /// Runs per second by service. A route with a traffic split has more than one service.
    std::map<ServiceName, double> runsPerSecond;
    /// Mean slot time of a run by service, in seconds.
    std::map<ServiceName, double> slotSeconds;
    /// Mean number of calls that a run makes, by the kind of work called.
    std::map<WorkKind, double> callsPerRun;
};

/// Slot time that one request takes at each service, in seconds, including all of its nested calls.
using WorkByService = std::map<ServiceName, double>;

/// Work that requests of each kind cause, according to the reports of all nodes.
struct WorkGraph {
    std::map<WorkKind, KindWork> kinds;
};

/// Merges the reports of all nodes. Those of silent nodes count as well, since the calls of a target do not depend on
/// whether it is healthy.
auto buildWorkGraph(const PeerTable &table) -> WorkGraph;

/// Returns the work of one request of the kind, or an empty map if no node has reported the kind.
auto workOf(const WorkGraph &graph, WorkKind kind) -> WorkByService;

} // namespace snipestream
