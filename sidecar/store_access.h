#pragma once

#include "sidecar/state.h"

namespace snipestream
{

/// Returns a client of the store that sends its calls through `SidecarState::storePool`.
auto storeClient(SidecarState &state) -> StoreClient;

/// Waits after a failed call of the store; longer after several failures in a row, and at most about a second.
void pauseAfterFailure(SidecarState &state, int failures);

/// Waits for the given time, or until the node ends. Returns false if it ended. It sleeps in short steps, since a long sleep
/// would outlive the node's state.
auto waitUnlessEnded(SidecarState &state, Duration span) -> bool;

} // namespace snipestream
