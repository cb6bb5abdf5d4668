#pragma once

#include "ctl/context.h"

#include <cstdint>
#include <string>
#include <vector>

namespace snipestream
{

/// Nodes at the end of a wait.
struct WaitOutcome {
    /// Nodes that have the revision in force.
    size_t ready = 0;
    /// The other nodes: endpoint and why, such as "at revision 41".
    std::vector<std::string> behind;
    Duration elapsed{};
};

/// Asks the nodes until each reports at least the revision as in force or the time is over, with progress.
auto waitForRevision(const CtlContext &context, const CtlOptions &options, uint64_t revision) -> WaitOutcome;

} // namespace snipestream
