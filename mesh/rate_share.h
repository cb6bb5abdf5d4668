#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "mesh/peer_table.h"
#include "mesh/policy.h"

#include <unordered_map>
#include <vector>

namespace snipestream
{

/// By how much the requests passed by all nodes may exceed a team's rate limit in any window. Set by the operator for
/// the whole fleet.
struct RateTolerance {
    Duration window = seconds(5);
    /// Fraction of what rate and burst allow that may pass in addition.
    double overshoot = 0.1;
    /// Number of requests that may pass in addition.
    double slack = 20;
};

/// Token bucket of one team at this node, with the node's demand and share.
struct RateRow {
    /// Requests of the team that arrive at this node, per second, as a decayed mean.
    double demand = 0;
    /// Number of requests that may pass now. A new row starts without tokens, because the previous process on this node
    /// may have spent its tokens just before a restart.
    double tokens = 0;
    /// Time as of which `demand` and `tokens` are valid.
    TimePoint updatedAt;
    /// This node's share of the team's rate, in requests per second.
    double share = 0;
    /// Number of tokens taken and not returned since the process started.
    uint64_t tokensTaken = 0;
};

/// This node's token buckets of all teams.
struct RateTable {
    RateTolerance tolerance;
    std::unordered_map<TeamName, RateRow> rows;
    TimePoint sharesUpdatedAt;
};

/// Counts a request of the team and takes a token. Returns false if there is none; the request must not run then.
/// Requests of teams without a rate limit always pass.
auto takeToken(RateTable &table, const TeamPolicy &team, const PeerTable &peers, TimePoint now) -> bool;

/// Returns the token of a request that did not run.
void returnToken(RateTable &table, const TeamPolicy &team);

/// Recalculates this node's share of every team's rate from the reports of all nodes. Nodes get shares in proportion to
/// their demand. A silent node keeps the share of its last report, since it may still serve callers on its side of a
/// network partition; the nodes that receive each other's reports divide the rest.
void updateRateShares(RateTable &table, const Policy &policy, const PeerTable &peers, TimePoint now);

/// Returns how long a caller of the team should wait before it retries.
auto rateRetryAfter(const RateTable &table, const TeamPolicy &team) -> Duration;

/// Returns the demand and share of each team at this node, for the node's report.
auto reportDemand(const RateTable &table, TimePoint now) -> std::vector<TeamDemand>;

} // namespace snipestream
