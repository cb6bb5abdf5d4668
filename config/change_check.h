#pragma once

#include "config/change.h"
#include "config/config_state.h"

#include <string>

namespace snipestream
{

/// Result of validating a change against the state.
struct ChangeCheck {
    /// Applied, Conflict or Invalid.
    ChangeVerdict verdict = ChangeVerdict::Applied;
    /// Why the change cannot be applied. For a conflict: the rule and the revision and operator of the winning change.
    std::string detail;
};

/// Validates a change against the state with the rules that the fold uses. A change conflicts if a rule that it touches
/// was changed or removed after its base revision. It is invalid if it would leave a key without a team or two routes
/// with the same method and path, if it reuses a withdrawn key id, or if it changes the hash or team of a key.
auto checkChange(const ConfigState &state, const ChangeRecord &change) -> ChangeCheck;

} // namespace snipestream
