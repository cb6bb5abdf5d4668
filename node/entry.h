#pragma once

#include "core/exchange.h"
#include "node/node_state.h"

namespace snipestream
{

/// Handles a request from a caller: routes it, checks its key, quota and idempotency key, sends it to a target and
/// counts the result in the request statistics. Runs in the request's fiber.
void serveCaller(NodeState &state, Exchange &exchange);

/// Handles a nested call: a target on this VM calls another service under the context of the request that it is working
/// on. A call without a context is handled like the request of any caller.
void serveTargetCall(NodeState &state, Exchange &exchange);

} // namespace snipestream
