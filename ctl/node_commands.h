#pragma once

#include "ctl/context.h"

#include <string>

namespace snipestream
{

/// `status`: what each node reports about itself.
auto statusCommand(const CtlContext &context, const CtlOptions &options) -> CtlReport;

/// `share TEAM`: what the nodes counted for a team, summed up.
auto shareCommand(const CtlContext &context, const CtlOptions &options, const std::string &team) -> CtlReport;

/// `drain node`: asks each given node to drain.
auto drainNodesCommand(const CtlContext &context, const CtlOptions &options) -> CtlReport;

/// `drain target NAME`: asks each given node to drain its target of this name.
auto drainTargetCommand(const CtlContext &context, const CtlOptions &options, const std::string &target) -> CtlReport;

/// `audit`: the audit trail as folded from the log, or as the given nodes have it, with the times of each node.
auto auditCommand(const CtlContext &context, const CtlOptions &options) -> CtlReport;

/// `events`: the numbered log events.
auto eventsCommand() -> CtlReport;

} // namespace snipestream
