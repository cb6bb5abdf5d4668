#pragma once

#include "core/ids.h"
#include "core/refusal.h"
#include "core/time.h"

#include <optional>

namespace snipestream {

struct NodeState;

/// Takes one token of the team's rate, waiting for the holder's answer at most until the deadline. Returns the refusal
/// if the team has none left or no holder can be reached.
auto acquireToken(NodeState &state, const TeamName &team, TimePoint deadline) -> std::optional<Refusal>;

} // namespace snipestream
