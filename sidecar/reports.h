#pragma once

#include "core/time.h"
#include "mesh/peer_table.h"

namespace snipestream
{

struct SidecarState;

/// Starts to handle the reports of other nodes.
void startReports(SidecarState &state);

/// Sends a report to all other nodes and stores it in the own row. Datagrams can be lost; the next report follows soon.
void sendReports(SidecarState &state, TimePoint now);

/// Returns the node's report as of now.
auto makeReport(SidecarState &state, TimePoint now) -> NodeReport;

} // namespace snipestream
