#include "routing/selection.h"

#include <algorithm>
#include <array>

namespace snipestream
{

namespace
{

constexpr int kTierCount = static_cast<int>(SelectionTier::Suspect) + 1;

/// Two rows drawn uniformly from the rows of one tier (reservoir sampling).
struct Reservoir {
    uint64_t seen = 0;
    std::array<const EndpointRow *, 2> rows{};
};

void addToReservoir(Reservoir &reservoir, const EndpointRow &row, Random &random)
{
    if (reservoir.seen < reservoir.rows.size()) {
        reservoir.rows[reservoir.seen] = &row;
    } else {
        const uint64_t index = drawBelow(random, reservoir.seen + 1);
        if (index < reservoir.rows.size()) {
            reservoir.rows[index] = &row;
        }
    }
    ++reservoir.seen;
}

auto utilizationOf(const EndpointRow &row) -> double
{
    return row.inFlight / std::max(1.0, row.limit);
}

auto tierOf(const EndpointTable &table, const EndpointRow &row, TimePoint now) -> SelectionTier
{
    if (row.record.suspect || row.unlisted) {
        return SelectionTier::Suspect;
    }
    if (isEjected(row, now)) {
        return SelectionTier::Ejected;
    }
    if (row.inFlight >= static_cast<int>(row.limit)) {
        return SelectionTier::AtLimit;
    }
    return row.record.domain == table.domain ? SelectionTier::OwnDomain : SelectionTier::OtherDomain;
}

} // namespace

auto chooseEndpoint(const EndpointTable &table, const ServiceName &service, const std::vector<EndpointId> &tried, Random &random, TimePoint now)
    -> std::optional<Selection>
{
    const auto found = table.services.find(service);
    if (found == table.services.end()) {
        return std::nullopt;
    }
    std::array<Reservoir, kTierCount> reservoirs;
    int best = kTierCount;
    for (const auto &row : found->second.rows) {
        if (!isUsable(row)) {
            continue;
        }
        const int tier = static_cast<int>(tierOf(table, row, now));
        if (tier > best || std::find(tried.begin(), tried.end(), row.record.id) != tried.end()) {
            continue;
        }
        best = tier;
        addToReservoir(reservoirs[static_cast<size_t>(tier)], row, random);
    }
    if (best == kTierCount) {
        return std::nullopt;
    }
    const auto &rows = reservoirs[static_cast<size_t>(best)].rows;
    // At equal utilization the choice is random, because always taking the first of the two would favour endpoints by
    // their position in the table.
    const bool useSecond = rows[1] != nullptr
        && (utilizationOf(*rows[1]) < utilizationOf(*rows[0]) || (utilizationOf(*rows[1]) == utilizationOf(*rows[0]) && drawBelow(random, 2) == 1));
    const auto &row = *rows[useSecond ? 1 : 0];
    return Selection{row.record.id, row.record.domain, static_cast<SelectionTier>(best)};
}

} // namespace snipestream
