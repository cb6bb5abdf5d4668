#pragma once

#include "sidecar/state.h"

namespace snipestream
{

/// Reads the operator's configuration from the store for as long as the process runs, and confirms again and again that
/// it is the newest. Runs in a fiber of its own.
void followPolicy(SidecarState &state);

/// Takes a configuration into force if it is newer. One that cannot be read leaves the present one in force.
void applyPolicyDocument(SidecarState &state, const std::string &document);

} // namespace snipestream
