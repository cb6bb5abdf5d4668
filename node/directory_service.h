#pragma once

#include "node/node_state.h"

namespace snipestream
{

/// Registers the handlers of directory messages with the peer links. Call before the links listen.
void serveDirectory(NodeState &state);

/// Announces local targets, renews subscriptions and sends directory updates until the node ends. Runs in a fiber of
/// its own.
void runDirectory(NodeState &state);

/// Subscribes to the service if this node has not called it yet, and fetches its endpoints. If none are found while the
/// membership is changing, retries for about two seconds. Blocks the calling fiber meanwhile; each call to a directory
/// node takes at most one peer timeout.
void ensureSubscribed(NodeState &state, const ServiceName &service);

/// Sends the state of the local targets to their directories at once, for example after a drain, so that callers get it
/// before the next renewal. Does not block.
void announceLocalTargets(NodeState &state);

} // namespace snipestream
