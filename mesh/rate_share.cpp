#include "mesh/rate_share.h"

#include <algorithm>
#include <cmath>

namespace snipestream
{

namespace
{

/// Time constant of the mean demand, in seconds. It is shorter than the window of `RateTolerance`, so that a surge
/// changes the shares before it can exceed the rate, and longer than the pauses between the requests of a small team.
constexpr double kDemandDecaySeconds = 1.5;
/// Fraction of the tolerated excess that all nodes together may hold as tokens. The rest covers shares that move
/// between two reports.
constexpr double kTokenToleranceFraction = 0.6;
/// Fraction of an equal share that a node without demand gets, so that its first requests pass.
constexpr double kMinShareFraction = 0.15;

/// Maximum factor by which a share grows in one update. The reports of other nodes lag behind their demand. After a
/// restart of all nodes they report no demand at first, and without this limit each node would take the whole rate as
/// its share.
constexpr double kMaxShareGrowth = 1.3;

auto secondsBetween(TimePoint from, TimePoint to) -> double
{
    return std::max(0.0, std::chrono::duration<double>(to - from).count());
}

/// Returns the maximum number of tokens that this node may hold.
auto maxTokens(const RateTable &table, const RateRow &row, const TeamPolicy &team, const PeerTable &peers) -> double
{
    const double window = std::chrono::duration<double>(table.tolerance.window).count();
    const double tolerated = team.burst * (1 + table.tolerance.overshoot) + team.ratePerSecond * window * table.tolerance.overshoot + table.tolerance.slack;
    const double shareFraction = team.ratePerSecond > 0 ? row.share / team.ratePerSecond : 0;
    const double equalFraction = 1.0 / static_cast<double>(std::max<size_t>(peers.rows.size(), 1));
    return std::max(1.0, kTokenToleranceFraction * tolerated * (shareFraction + equalFraction) / 2);
}

/// Demand and shares of the other nodes.
struct PeerRates {
    /// Demand of the nodes that are alive, by team.
    std::unordered_map<TeamName, double> demand;
    /// Shares of silent nodes, by team. Behind a partition they keep using their shares and do not increase them, since
    /// they in turn receive no reports of this side.
    std::unordered_map<TeamName, double> silentShare;
    /// Number of nodes that have not reported yet, such as after a restart of all nodes.
    int unreported = 0;
};

auto sumPeerRates(const PeerTable &peers, TimePoint now) -> PeerRates
{
    PeerRates sums;
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

auto decayedDemand(const RateRow &row, TimePoint now) -> double
{
    return row.demand * std::exp(-secondsBetween(row.updatedAt, now) / kDemandDecaySeconds);
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
        row.updatedAt = now;
        row.share = team.ratePerSecond / static_cast<double>(std::max<size_t>(peers.rows.size(), 1));
    }
    const double elapsed = secondsBetween(row.updatedAt, now);
    row.demand = decayedDemand(row, now) + 1 / kDemandDecaySeconds;
    row.tokens = std::min(row.tokens + row.share * elapsed, maxTokens(table, row, team, peers));
    row.updatedAt = now;
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
    const PeerRates peerRates = sumPeerRates(peers, now);
    // Nodes that have not reported yet count, since they serve callers as well.
    const auto nodes = static_cast<double>(std::max<size_t>(peers.rows.size(), 1));
    for (const auto &team : policy.teams) {
        if (team.ratePerSecond <= 0) {
            continue;
        }
        auto &row = table.rows[team.name];
        if (row.updatedAt == TimePoint()) {
            row.updatedAt = now;
        }
        const double elapsed = secondsBetween(row.updatedAt, now);
        row.tokens = std::min(row.tokens + row.share * elapsed, maxTokens(table, row, team, peers));
        row.demand = decayedDemand(row, now);
        row.updatedAt = now;
        const auto find = [&team](const std::unordered_map<TeamName, double> &sums) {
            const auto found = sums.find(team.name);
            return found == sums.end() ? 0.0 : found->second;
        };
        const double available = std::max(0.0, team.ratePerSecond - find(peerRates.silentShare));
        const double minShare = available / nodes * kMinShareFraction;
        // The minimum shares of all nodes are subtracted from the rate that is divided by demand.
        const double divisible = available * (1 - kMinShareFraction);
        // A node that has not reported yet is assumed to have the same demand as this one.
        const double fleetDemand = row.demand * (1 + peerRates.unreported) + find(peerRates.demand);
        const double desiredShare = minShare + (fleetDemand > 0 ? divisible * row.demand / fleetDemand : divisible / nodes);
        row.share = std::min(desiredShare, std::max(row.share * kMaxShareGrowth, available / nodes));
    }
    table.sharesUpdatedAt = now;
}

auto rateRetryAfter(const RateTable &table, const TeamPolicy &team) -> Duration
{
    const auto found = table.rows.find(team.name);
    const double share = found == table.rows.end() ? 0 : found->second.share;
    constexpr double kMaxRetryAfterSeconds = 2.0;
    const double missingTokens = found == table.rows.end() ? 1 : 1 - found->second.tokens;
    const double retryAfterSeconds = share > 0 ? std::min(std::max(missingTokens, 0.1) / share, kMaxRetryAfterSeconds) : kMaxRetryAfterSeconds;
    return duration_cast<Duration>(std::chrono::duration<double>(retryAfterSeconds));
}

auto reportDemand(const RateTable &table, TimePoint now) -> std::vector<TeamDemand>
{
    /// Minimum demand that is reported, in requests per second. Less is the decaying rest of a team that has stopped.
    constexpr double kMinReportedPerSecond = 0.02;
    std::vector<TeamDemand> demands;
    for (const auto &[team, row] : table.rows) {
        const double perSecond = decayedDemand(row, now);
        if (perSecond >= kMinReportedPerSecond || row.share > 0) {
            demands.push_back({team, perSecond, row.share});
        }
    }
    return demands;
}

} // namespace snipestream
