#pragma once

#include "node/node_state.h"

namespace snipestream
{

/// Registers the witness side with the peer links. Call before the links listen.
void serveLeases(NodeState &state);

/// Holds, renews and takes over leases until the node ends. Runs in a fiber of its own.
void runLeases(NodeState &state);

/// Gives up all leases at a graceful shutdown, so that successors need not wait. Blocks the calling fiber.
void releaseLeases(NodeState &state);

/// Returns the name and address of the holder of a lease according to the log; empty if it has none or the node is not
/// known.
auto holderOf(const NodeState &state, const LeaseKey &key) -> std::optional<std::pair<NodeName, Endpoint>>;

} // namespace snipestream
