#pragma once

#include "sidecar/state.h"

namespace snipestream
{

/// Returns a client of the store that sends its calls through `SidecarState::storePool`.
auto storeClient(SidecarState &state) -> StoreClient;

/// Waits 150 to 350 ms after a failed call of the store.
void pauseAfterFailure(SidecarState &state);

/// Waits for the given time, or until the node ends. Returns false if it ended. It sleeps in short steps, since a long sleep
/// would outlive the node's state.
auto waitUnlessEnded(SidecarState &state, Duration span) -> bool;

} // namespace snipestream
