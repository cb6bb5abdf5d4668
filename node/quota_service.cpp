#include "node/quota_service.h"

#include "node/node_state.h"

namespace snipestream {

auto acquireToken(NodeState &state, const TeamName &team, TimePoint deadline) -> std::optional<Refusal>
{
    return std::nullopt;
}

} // namespace snipestream
