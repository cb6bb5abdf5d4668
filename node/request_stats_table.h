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

/// What the requests of one team that entered at this node came to.
struct TeamRequestStats {
    /// Requests of callers that got a token, or came over an open route.
    uint64_t admitted = 0;
    /// Admitted requests whose whole answer, or the recorded one, was sent to the caller.
    uint64_t completed = 0;
    /// Admitted requests that a target worked on without the caller getting the whole answer.
    uint64_t wasted = 0;
    std::array<uint64_t, kRefusalReasonCount> refused{};
};

/// Shares by team; requests over open routes count under the empty name.
struct RequestStatsTable {
    std::map<TeamName, TeamRequestStats> teams;
};

/// Counts a refusal of a team's request.
void recordRefusal(RequestStatsTable &table, const TeamName &team, RefusalReason reason);

/// Returns {"teams": {name: {"admitted", "completed", "wasted", "refused": {reason: count}}}}.
auto requestStatsToJson(const RequestStatsTable &table) -> nlohmann::json;

} // namespace snipestream
