#pragma once

#include "ctl/context.h"

#include <cstdint>
#include <string>
#include <vector>

namespace snipestream
{

/// Result of a wait for nodes.
struct WaitOutcome {
    /// Nodes that have the revision in force.
    size_t ready = 0;
    /// The other nodes, each as endpoint and reason, such as "127.0.0.1:7002 at revision 41".
    std::vector<std::string> behind;
    Duration elapsed{};
};

/// Polls the nodes until each has at least the given revision in force or `options.waitTimeout` has passed. Prints
/// progress meanwhile.
auto waitForRevision(const CtlContext &context, const CtlOptions &options, uint64_t revision) -> WaitOutcome;

} // namespace snipestream
