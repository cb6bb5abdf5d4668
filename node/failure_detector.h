#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "routing/node_table.h"

#include <map>
#include <vector>

namespace snipestream
{

struct NodeState;

/// Nodes that each node checks. With three checkers per node a dead one is noticed even if two of them died with it.
inline constexpr size_t kMonitoredNodes = 3;

/// Checks without an answer after which a node counts as dead. The checks are one second apart.
inline constexpr int kMissedChecks = 3;

/// What one node knows of those that it checks.
struct FailureDetector {
    struct Row {
        uint64_t incarnation = 0;
        int missed = 0;
        /// When the leave record was last appended.
        TimePoint reportedAt;
        bool reported = false;
    };
    std::map<NodeName, Row> rows;
};

/// Returns the nodes that `self` checks: its successors in the order of the hashes of all joined nodes of its domain.
/// Every node is checked by as many others, and a join or leave moves only neighbours.
auto monitoredNodes(const NodeTable &table, const NodeName &self) -> std::vector<NodeName>;

/// Takes the result of a check into account. Returns true if the node counts as dead and its leave record has to be
/// appended, at most once in five seconds.
auto recordCheck(FailureDetector &detector, const NodeName &node, uint64_t incarnation, bool answered, TimePoint now) -> bool;

/// Registers the method by which nodes check each other. Call before the links listen.
void serveChecks(NodeState &state);

/// Checks the monitored nodes until this node ends, and appends leave records for dead ones. Runs in a fiber of its
/// own.
void runFailureDetector(NodeState &state);

} // namespace snipestream
