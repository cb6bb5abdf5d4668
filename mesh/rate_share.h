#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "mesh/peer_table.h"
#include "mesh/policy.h"

#include <unordered_map>
#include <vector>

namespace snipestream
{

/// How far the sum over all nodes may exceed a team's rate in any window; set by the operator for the whole fleet.
struct RateTolerance {
    Duration window = seconds(5);
    /// Part of what rate and burst allow that may come on top.
    double overshoot = 0.1;
    /// Requests that may come on top.
    double slack = 20;
};

/// Use of one team's rate at this node.
struct RateRow {
    /// Requests per second that arrive here, as a decayed mean.
    double demand = 0;
    /// Requests that may pass now. A new row starts empty: after a restart, the tokens that the process held before may
    /// have been spent.
    double tokens = 0;
    TimePoint countedAt;
    /// This node's part of the team's rate.
    double share = 0;
    /// Tokens taken and not given back since the start.
    uint64_t tokensTaken = 0;
};

/// This node's part of all rates.
struct RateTable {
    RateTolerance tolerance;
    std::unordered_map<TeamName, RateRow> rows;
    TimePoint sharesUpdatedAt;
};

/// Counts a request and takes a token. Returns false if the team is over its rate; the request must not run then.
/// Teams without a rate always pass.
auto takeToken(RateTable &table, const TeamPolicy &team, const PeerTable &peers, TimePoint now) -> bool;

/// Gives back the token of a request that did not run.
void returnToken(RateTable &table, const TeamPolicy &team);

/// Recomputes this node's part of every team's rate from what the nodes report: each node gets the part of the rate that
/// its demand has in the demand of all. Nodes that are silent keep the share of their last report, since they may still
/// serve their callers behind a partition; the nodes that hear of each other divide the rest.
void updateRateShares(RateTable &table, const Policy &policy, const PeerTable &peers, TimePoint now);

/// Returns how long a caller of the team should wait before it asks again.
auto rateRetryAfter(const RateTable &table, const TeamPolicy &team) -> Duration;

/// Returns the demand of all teams at this node, for the report.
auto reportDemand(const RateTable &table, TimePoint now) -> std::vector<TeamDemand>;

} // namespace snipestream
