#include "node/request_stats_table.h"

#include <nlohmann/json.hpp>

namespace snipestream
{

void recordRefusal(RequestStatsTable &table, const TeamName &team, RefusalReason reason)
{
    ++table.teams[team].refused[static_cast<size_t>(reason)];
}

auto requestStatsToJson(const RequestStatsTable &table) -> nlohmann::json
{
    nlohmann::json teams = nlohmann::json::object();
    for (const auto &[team, stats] : table.teams) {
        nlohmann::json refused = nlohmann::json::object();
        for (size_t i = 0; i < stats.refused.size(); ++i) {
            if (stats.refused[i] > 0) {
                refused[std::string(refusalReasonName(static_cast<RefusalReason>(i)))] = stats.refused[i];
            }
        }
        teams[team.value] = {{"admitted", stats.admitted}, {"completed", stats.completed}, {"wasted", stats.wasted}, {"refused", refused}};
    }
    return {{"teams", teams}};
}

} // namespace snipestream
