#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "routing/node_table.h"

#include <map>
#include <vector>

namespace snipestream
{

struct NodeState;

/// Number of nodes that each node checks. Each node is then checked by three others, so that its death is noticed even
/// if two of them died with it.
inline constexpr size_t kMonitoredNodes = 3;

/// Consecutive checks without a response after which a node counts as dead. The checks are one second apart.
inline constexpr int kMissedChecksUntilDead = 3;

/// Results of the checks, per monitored node.
struct FailureDetector {
    struct Row {
        uint64_t incarnation = 0;
        /// Consecutive checks without a response.
        int missed = 0;
        /// When this node last appended a leave record for the node.
        TimePoint reportedAt;
        bool reported = false;
    };
    std::map<NodeName, Row> rows;
};

/// Returns the nodes that `self` checks: its successors on the hash ring of the members of its domain. Every node is
/// thus checked by equally many others, and a join or leave affects only its neighbours on the ring.
auto monitoredNodes(const NodeTable &table, const NodeName &self) -> std::vector<NodeName>;

/// Records the result of a check. Returns true if the node counts as dead and a leave record has to be appended for it,
/// which is at most once in five seconds.
auto recordCheck(FailureDetector &detector, const NodeName &node, uint64_t incarnation, bool answered, TimePoint now) -> bool;

/// Registers the method with which nodes check each other. Call before the links listen.
void serveChecks(NodeState &state);

/// Checks the monitored nodes until this node ends, and appends leave records for dead ones. Runs in a fiber of its
/// own.
void runFailureDetector(NodeState &state);

} // namespace snipestream
