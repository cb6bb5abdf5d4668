#pragma once

#include "sidecar/state.h"

namespace snipestream
{

/// Writes this node's address to the store and reads those of the other nodes periodically. Runs in its own fiber.
void followMembership(SidecarState &state);

} // namespace snipestream
