#pragma once

#include "ctl/context.h"

#include <string>

namespace snipestream
{

/// `status`: shows the status that each node reports.
auto statusCommand(const CtlContext &context, const CtlOptions &options) -> CtlReport;

/// `share TEAM`: the request counts of a team, summed over the nodes.
auto shareCommand(const CtlContext &context, const CtlOptions &options, const std::string &team) -> CtlReport;

/// `explain HOST PATH`: what would happen now to such a request at each node, with the targets in the order of preference. The nodes
/// are given by their metrics addresses.
auto explainCommand(const CtlContext &context, const CtlOptions &options, const std::string &host, const std::string &path) -> CtlReport;

/// `drain node`: asks each given node to drain.
auto drainNodesCommand(const CtlContext &context, const CtlOptions &options) -> CtlReport;

/// `drain target NAME`: asks each given node to drain its target of this name.
auto drainTargetCommand(const CtlContext &context, const CtlOptions &options, const std::string &target) -> CtlReport;

/// `audit`: the audit trail as read from the log, or, if nodes are given, that of each node with the times at which the
/// changes came into force there.
auto auditCommand(const CtlContext &context, const CtlOptions &options) -> CtlReport;

/// `events`: lists the numbered log events.
auto eventsCommand() -> CtlReport;

} // namespace snipestream
