#pragma once

#include "lease/votes.h"
#include "quota/quota_node.h"

#include <functional>
#include <map>
#include <vector>

namespace snipestream
{

/// Quota state of a node whose ranges are held by votes (lease/votes.h) instead of leases on a log. Nodes are named by their
/// address. Every member has an equal part of each team's rate and lends it to the candidate that it votes for.
struct VotedQuota {
    DomainName domain;
    VoteParams voteParams;
    VoteTable votes;
    QuotaNode node;
    /// Nodes that can hold a range, by range and domain, in the order in which they do.
    std::map<uint32_t, std::map<DomainName, std::vector<NodeName>>> candidates;
    /// Number of members in the node's failure domain and in the whole fleet.
    size_t domainSize = 1;
    size_t fleetSize = 1;
    /// Returns whether a node has been silent, so that another one is tried first.
    std::function<bool(const NodeName &)> isSilent;
};

/// Members of the fleet by failure domain.
using FleetMembers = std::map<DomainName, std::vector<NodeName>>;

/// Messages to other nodes and decisions about this node's token requests.
struct VotedQuotaOutputs {
    VoteOutputs votes;
    QuotaNodeOutputs quota;
};

/// Initializes the state of a node that starts now.
void startVotedQuota(VotedQuota &state, const NodeName &self, const DomainName &domain, uint64_t incarnation, TimePoint now);

/// Applies the members of the fleet and the rates of the teams.
void setFleet(VotedQuota &state, const FleetMembers &members, const std::map<TeamName, TeamQuota> &rules, TimePoint now);

/// Runs both sides of the quota node under the votes that count now. The caller runs it when a message arrives or a token
/// request is queued.
auto processVotedQuota(VotedQuota &state, TimePoint now) -> QuotaNodeOutputs;

/// Does what is due at a time. The caller runs it several times in each claim interval, and at least every 10 ms while
/// token requests are queued.
auto tickVotedQuota(VotedQuota &state, TimePoint now) -> VotedQuotaOutputs;

/// Returns the nodes that a request for tokens of the range is sent to, in order: the candidates in the node's own failure
/// domain, then the likely holders in the others.
auto holdersOfRange(const VotedQuota &state, uint32_t range) -> std::vector<NodeName>;

/// Returns the part of each team's rate and burst that the node may use as the holder of the range.
auto heldShare(const VotedQuota &state, uint32_t range, TimePoint now) -> Share;

} // namespace snipestream
