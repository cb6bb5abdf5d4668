#pragma once

#include "core/ids.h"
#include "core/refusal.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include <nlohmann/json_fwd.hpp>

namespace snipestream
{

/// Results of the requests of one team that entered the fleet at this node, counted since the node's start.
struct TeamRequestStats {
    /// Requests of callers that got a token or matched an open route.
    uint64_t admitted = 0;
    /// Admitted requests whose complete response, fresh or recorded, was sent to the caller.
    uint64_t completed = 0;
    /// Admitted requests that may have run at a target although the caller got no complete response.
    uint64_t wasted = 0;
    /// Refused requests, indexed by RefusalReason.
    std::array<uint64_t, kRefusalReasonCount> refused{};
};

/// Request statistics by team. Requests that match open routes count under the empty name.
struct RequestStatsTable {
    std::map<TeamName, TeamRequestStats> teams;
};

/// Counts a refusal of a team's request.
void recordRefusal(RequestStatsTable &table, const TeamName &team, RefusalReason reason);

/// Returns {"teams": {name: {"admitted", "completed", "wasted", "refused": {reason: count}}}}.
auto requestStatsToJson(const RequestStatsTable &table) -> nlohmann::json;

} // namespace snipestream
