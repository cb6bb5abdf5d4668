#pragma once

#include "core/exchange.h"
#include "node/node_state.h"

namespace snipestream
{

/// Serves a request of a caller: routes it, checks its key, quota and idempotency key, sends it to a target and
/// accounts for the result. Runs in the request's fiber.
void serveCaller(NodeState &state, Exchange &exchange);

/// Serves a call that a target on this VM makes to another service under the context of the request it is working on. A
/// call without a context is served like that of any caller.
void serveTargetCall(NodeState &state, Exchange &exchange);

} // namespace snipestream
