#pragma once

#include "node/node_state.h"

namespace snipestream
{

/// Registers the handlers of lease messages, for which this node acts as witness, with the peer links. Call before the
/// links listen.
void serveLeases(NodeState &state);

/// Acquires, renews and takes over leases until the node ends. Runs in a fiber of its own.
void runLeases(NodeState &state);

/// Releases all leases at a graceful shutdown, so that the next holders need not wait for their expiry. Blocks the
/// calling fiber.
void releaseLeases(NodeState &state);

/// Returns the name and address of the holder of a lease according to the log; empty if the lease has no holder or the
/// holder is not in the node table.
auto holderOf(const NodeState &state, const LeaseKey &key) -> std::optional<std::pair<NodeName, Endpoint>>;

} // namespace snipestream
