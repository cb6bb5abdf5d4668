#pragma once

#include "node/node_state.h"

namespace snipestream
{

/// Registers the directory's methods with the peer links. Call before the links listen.
void serveDirectory(NodeState &state);

/// Announces local targets, renews subscriptions and sends directory updates until the node ends. Runs in a fiber of
/// its own.
void runDirectory(NodeState &state);

/// Makes sure that the endpoints of the service are known as far as possible: the first call to a service fetches them
/// and blocks the calling fiber for at most one peer timeout.
void ensureSubscribed(NodeState &state, const ServiceName &service);

/// Sends the state of the local targets to their directories at once, such as after a drain, so that callers learn of
/// it before the next renewal. Does not block.
void announceLocalTargets(NodeState &state);

} // namespace snipestream
