#pragma once

#include "sidecar/state.h"

namespace snipestream
{

/// Keeps the operator's configuration up to date until the node ends. A reader reads the store with long polls, which also
/// confirm repeatedly that the configuration is the newest. Other nodes read it only at their start, and if no reader has
/// confirmed it for too long. Runs in its own fiber.
void followPolicy(SidecarState &state);

/// Records that the policy in force was the newest one at this time.
void confirmPolicy(SidecarState &state, TimePoint confirmedAt);

/// Applies a configuration if it is newer than the current one. If it cannot be read, the current one stays in force.
void applyPolicyDocument(SidecarState &state, const std::string &document);

} // namespace snipestream
