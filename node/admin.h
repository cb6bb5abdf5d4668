#pragma once

#include "core/exchange.h"
#include "node/node_state.h"

namespace snipestream
{

/// Handles requests to /metrics and to the paths under /snipestream/v1/, which are used by targets to announce
/// themselves and by operators. Returns false, without a response, for any other path.
auto serveAdmin(NodeState &state, Exchange &exchange) -> bool;

} // namespace snipestream
