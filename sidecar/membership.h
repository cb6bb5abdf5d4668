#pragma once

#include "sidecar/state.h"

namespace snipestream
{

/// Writes this node's address to the store and reads those of the others. Runs in a fiber of its own.
void followRoster(SidecarState &state);

} // namespace snipestream
