#pragma once

#include "sidecar/state.h"

namespace snipestream
{

/// Reads the operator's configuration from the store until the node ends, and confirms repeatedly that it is the newest.
/// Runs in its own fiber.
void followPolicy(SidecarState &state);

/// Applies a configuration if it is newer than the current one. If it cannot be read, the current one stays in force.
void applyPolicyDocument(SidecarState &state, const std::string &document);

} // namespace snipestream
