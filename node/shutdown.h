#pragma once

namespace snipestream
{

struct NodeState;

/// Starts a graceful shutdown of the node, as SIGTERM does. Returns at once.
void requestStop(NodeState &state);

} // namespace snipestream
