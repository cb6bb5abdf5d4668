#pragma once

#include "core/exchange.h"
#include "node/node_state.h"

namespace snipestream
{

/// Serves the paths under /snipestream/v1/ and /metrics: announcements of targets and requests of operators. Returns
/// false if the path is none of them.
auto serveAdmin(NodeState &state, Exchange &exchange) -> bool;

} // namespace snipestream
