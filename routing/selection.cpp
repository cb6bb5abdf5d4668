#include "routing/selection.h"

#include <algorithm>
#include <array>

namespace snipestream
{

namespace
{

constexpr int kTierCount = static_cast<int>(SelectionTier::Suspect) + 1;

/// Two rows drawn evenly from a stream of rows of one tier (reservoir sampling).
struct Draw {
    uint64_t seen = 0;
    std::array<const EndpointRow *, 2> rows{};
};

void consider(Draw &draw, const EndpointRow &row, Random &random)
{
    if (draw.seen < draw.rows.size()) {
        draw.rows[draw.seen] = &row;
    } else {
        const uint64_t place = drawBelow(random, draw.seen + 1);
        if (place < draw.rows.size()) {
            draw.rows[place] = &row;
        }
    }
    ++draw.seen;
}

auto loadOf(const EndpointRow &row) -> double
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
    std::array<Draw, kTierCount> draws;
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
        consider(draws[static_cast<size_t>(tier)], row, random);
    }
    if (best == kTierCount) {
        return std::nullopt;
    }
    const auto &rows = draws[static_cast<size_t>(best)].rows;
    // Equal load keeps the first of the two, which reservoir sampling would favour by its place in the table.
    const bool second = rows[1] != nullptr && (loadOf(*rows[1]) < loadOf(*rows[0]) || (loadOf(*rows[1]) == loadOf(*rows[0]) && drawBelow(random, 2) == 1));
    const auto &row = *rows[second ? 1 : 0];
    return Selection{row.record.id, row.record.domain, static_cast<SelectionTier>(best)};
}

} // namespace snipestream
