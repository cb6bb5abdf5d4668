#pragma once

#include "core/exchange.h"
#include "node/node_state.h"

#include <optional>

namespace snipestream
{

/// Header between nodes, set on a server error of a target that was caused by the overload of a service that it called.
inline constexpr const char *kOverloadedUpstreamHeader = "Snipestream-Overloaded-Below";

/// An admitted call to a local target, or the refusal if it was not admitted or could not be opened.
struct TargetCall {
    /// Set if the request did not start.
    std::optional<Refusal> refusal;
    /// Set if the request may start. Destroying the call before its end cancels it and frees the slot.
    std::optional<OutboundCall> call;
};

/// Requests admission to the local target of the service, waits while the request is queued, and opens a connection.
/// `exchange` is where the request came from; if its sender leaves, the request is removed from the queue. Blocks the
/// calling fiber.
auto openTargetCall(NodeState &state, const RequestHead &head, Exchange &exchange) -> TargetCall;

/// Wakes the fibers of the queued requests with the decisions of admission on them.
void applyDequeueResults(NodeState &state, const std::vector<DequeueResult> &results);

/// Handles a request that another node sent to a target of this node.
void serveStream(NodeState &state, Exchange &exchange);

/// Converts the error of a call into the refusal that the sender of the request gets. `mayHaveBeenSent` decides whether
/// the refusal states that the request has not run.
auto refusalFor(const Error &error, bool mayHaveBeenSent) -> Refusal;

} // namespace snipestream
