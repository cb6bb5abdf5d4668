#pragma once

#include "config/change.h"
#include "config/config_state.h"

#include <string>

namespace snipestream
{

/// What a change would meet.
struct ChangeCheck {
    /// Applied, Conflict or Invalid.
    ChangeVerdict verdict = ChangeVerdict::Applied;
    /// Why not: for a conflict the rule, the revision and the operator that won.
    std::string detail;
};

/// Judges a change against the state, as the fold does: it conflicts if a touched rule was changed or removed after its
/// base revision; it is invalid if it would leave a key without team or two routes with one path, reuses a withdrawn
/// key id, or changes the hash or team of a key.
auto checkChange(const ConfigState &state, const ChangeRecord &change) -> ChangeCheck;

} // namespace snipestream
