#pragma once

#include "sidecar/state.h"

namespace snipestream
{

/// Puts the operator's orders in force unless newer ones are: the evacuated targets get no new requests, those that wait for one are
/// sent elsewhere, and the requests that run there end. Followers are told.
void applyEvacuation(SidecarState &state, const Evacuation &evacuation);

} // namespace snipestream
