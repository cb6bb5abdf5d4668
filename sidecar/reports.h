#pragma once

#include "core/time.h"
#include "mesh/peer_table.h"

namespace snipestream
{

struct SidecarState;

/// Starts to handle the reports and subscriptions of other nodes.
void startReports(SidecarState &state);

/// Sends the reports and subscriptions that are due. Must be called with each tick.
void tickReports(SidecarState &state, TimePoint now);

/// Makes sure that this node gets reports of the service's targets. If it has none yet, blocks the calling fiber until the
/// first one arrives, or for a short time.
void requireService(SidecarState &state, const ServiceName &service);

/// Returns the node's report as of now, without the fields that depend on its receiver.
auto makeReport(SidecarState &state, TimePoint now) -> NodeReport;

} // namespace snipestream
