#include "mesh/rate_share.h"

#include <algorithm>
#include <cmath>

namespace snipestream
{

namespace
{

/// Time over which demand is averaged. Shorter than the window in which the sum is judged, so that a surge moves the
/// shares before it can exceed the rate; longer than the pauses between a small team's requests.
constexpr double kDemandSeconds = 1.5;
/// Part of the tolerated overshoot that the nodes together may hold as tokens. The rest covers shares that move between
/// two reports.
constexpr double kToleranceUsed = 0.6;
/// Part of an equal share that a node without demand gets, so that its first requests pass.
constexpr double kLeastPart = 0.15;

/// Growth of a share from one division to the next. Reports of the others lag behind their demand, most of all after a
/// restart of all nodes, when they report none; a share that took that at its word would be the whole rate at each.
constexpr double kMostGrowth = 1.3;

auto secondsBetween(TimePoint from, TimePoint to) -> double
{
    return std::max(0.0, std::chrono::duration<double>(to - from).count());
}

/// Returns the most tokens that this node may hold.
auto tokenLimit(const RateTable &table, const RateRow &row, const TeamPolicy &team, const PeerTable &peers) -> double
{
    const double window = std::chrono::duration<double>(table.tolerance.window).count();
    const double over = team.burst * (1 + table.tolerance.overshoot) + team.ratePerSecond * window * table.tolerance.overshoot + table.tolerance.slack;
    const double part = team.ratePerSecond > 0 ? row.share / team.ratePerSecond : 0;
    const double equalPart = 1.0 / static_cast<double>(std::max<size_t>(peers.rows.size(), 1));
    return std::max(1.0, kToleranceUsed * over * (part + equalPart) / 2);
}

/// What the other nodes want and hold of each team's rate.
struct Elsewhere {
    std::unordered_map<TeamName, double> demand;
    /// Shares of nodes that are not heard of. They go on with them behind a partition, and take no more, since they in turn
    /// do not hear of this side.
    std::unordered_map<TeamName, double> silentShare;
    /// Nodes that have not reported yet, such as after a restart of all.
    int unreported = 0;
};

auto sumElsewhere(const PeerTable &peers, TimePoint now) -> Elsewhere
{
    Elsewhere sums;
    for (const auto &[address, row] : peers.rows) {
        if (address == peers.ownAddress) {
            continue;
        }
        if (!row.report) {
            ++sums.unreported;
            continue;
        }
        const bool alive = isAlive(peers, row, now);
        if (!alive && row.report->leaving) {
            continue;
        }
        for (const auto &demand : row.report->demand) {
            if (alive) {
                sums.demand[demand.team] += demand.perSecond;
            } else {
                sums.silentShare[demand.team] += demand.share;
            }
        }
    }
    return sums;
}

auto decayed(const RateRow &row, TimePoint now) -> double
{
    return row.demand * std::exp(-secondsBetween(row.countedAt, now) / kDemandSeconds);
}

} // namespace

auto takeToken(RateTable &table, const TeamPolicy &team, const PeerTable &peers, TimePoint now) -> bool
{
    if (team.ratePerSecond <= 0) {
        return true;
    }
    const bool isNew = table.rows.find(team.name) == table.rows.end();
    auto &row = table.rows[team.name];
    if (isNew) {
        row.countedAt = now;
        row.share = team.ratePerSecond / static_cast<double>(std::max<size_t>(peers.rows.size(), 1));
    }
    const double passed = secondsBetween(row.countedAt, now);
    row.demand = decayed(row, now) + 1 / kDemandSeconds;
    row.tokens = std::min(row.tokens + row.share * passed, tokenLimit(table, row, team, peers));
    row.countedAt = now;
    if (row.tokens < 1) {
        return false;
    }
    row.tokens -= 1;
    ++row.tokensTaken;
    return true;
}

void returnToken(RateTable &table, const TeamPolicy &team)
{
    const auto found = table.rows.find(team.name);
    if (found != table.rows.end() && team.ratePerSecond > 0) {
        found->second.tokens += 1;
        --found->second.tokensTaken;
    }
}

void updateRateShares(RateTable &table, const Policy &policy, const PeerTable &peers, TimePoint now)
{
    const Elsewhere elsewhere = sumElsewhere(peers, now);
    // Nodes without a report so far count: they serve as well.
    const auto nodes = static_cast<double>(std::max<size_t>(peers.rows.size(), 1));
    for (const auto &team : policy.teams) {
        if (team.ratePerSecond <= 0) {
            continue;
        }
        auto &row = table.rows[team.name];
        if (row.countedAt == TimePoint()) {
            row.countedAt = now;
        }
        const double passed = secondsBetween(row.countedAt, now);
        row.tokens = std::min(row.tokens + row.share * passed, tokenLimit(table, row, team, peers));
        row.demand = decayed(row, now);
        row.countedAt = now;
        const auto find = [&team](const std::unordered_map<TeamName, double> &sums) {
            const auto found = sums.find(team.name);
            return found == sums.end() ? 0.0 : found->second;
        };
        const double available = std::max(0.0, team.ratePerSecond - find(elsewhere.silentShare));
        const double least = available / nodes * kLeastPart;
        // What all nodes get as a least part is taken from the part that is divided by demand.
        const double divided = available * (1 - kLeastPart);
        // A node that has not reported is taken to want as much as this one.
        const double total = row.demand * (1 + elsewhere.unreported) + find(elsewhere.demand);
        const double wanted = least + (total > 0 ? divided * row.demand / total : divided / nodes);
        row.share = std::min(wanted, std::max(row.share * kMostGrowth, available / nodes));
    }
    table.sharesUpdatedAt = now;
}

auto rateRetryAfter(const RateTable &table, const TeamPolicy &team) -> Duration
{
    const auto found = table.rows.find(team.name);
    const double share = found == table.rows.end() ? 0 : found->second.share;
    constexpr double kLongestSeconds = 2.0;
    const double missing = found == table.rows.end() ? 1 : 1 - found->second.tokens;
    const double wait = share > 0 ? std::min(std::max(missing, 0.1) / share, kLongestSeconds) : kLongestSeconds;
    return duration_cast<Duration>(std::chrono::duration<double>(wait));
}

auto reportDemand(const RateTable &table, TimePoint now) -> std::vector<TeamDemand>
{
    /// Less than this is noise of a team that stopped.
    constexpr double kLeastReported = 0.02;
    std::vector<TeamDemand> demands;
    for (const auto &[team, row] : table.rows) {
        const double perSecond = decayed(row, now);
        if (perSecond >= kLeastReported || row.share > 0) {
            demands.push_back({team, perSecond, row.share});
        }
    }
    return demands;
}

} // namespace snipestream
