#pragma once

namespace snipestream
{

struct NodeState;

/// Asks the node to stop gracefully, as SIGTERM does. Returns at once.
void requestStop(NodeState &state);

} // namespace snipestream
