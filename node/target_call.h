#pragma once

#include "core/exchange.h"
#include "node/node_state.h"

#include <optional>

namespace snipestream
{

/// Header between nodes: the server error of a target follows from an overload of a service that it called.
inline constexpr const char *kOverloadedBelowHeader = "Snipestream-Overloaded-Below";

/// A request that runs at a local target, or the reason why it does not.
struct TargetCall {
    /// Set if the request did not start.
    std::optional<Refusal> refusal;
    /// Set if the request may start. Dropping the call before its end cancels it and frees the slot.
    std::optional<OutboundCall> call;
};

/// Offers a request to the local target of its service, waits for admission and opens a connection. `exchange` is the
/// origin of the request; if its sender leaves, the request leaves the queue. Blocks the calling fiber.
auto openTargetCall(NodeState &state, const RequestHead &head, Exchange &exchange) -> TargetCall;

/// Hands admission decisions to the fibers that wait for them.
void applyDequeueResults(NodeState &state, const std::vector<DequeueResult> &decisions);

/// Serves a request that another node sent to a target of this node.
void serveStream(NodeState &state, Exchange &exchange);

/// Turns the failure of a call into the refusal that its sender gets.
auto refusalFor(const Error &error, bool mayHaveBeenSent) -> Refusal;

} // namespace snipestream
