#pragma once

#include "sidecar/state.h"

namespace snipestream
{

/// Returns the client of the store.
auto storeClient(SidecarState &state) -> StoreClient;

/// Waits after a failed call of the store.
void pauseAfterFailure(SidecarState &state);

/// Waits for the span, or until the node ends. Returns false if it ended. Longer sleeps would outlive the node's state.
auto waitUnlessEnded(SidecarState &state, Duration span) -> bool;

} // namespace snipestream
