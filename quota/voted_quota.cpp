#include "quota/voted_quota.h"

#include "core/hash.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace snipestream
{

namespace
{

/// Returns whether the node has not responded lately, as an entry node or a borrowing holder has noticed.
auto isUnresponsive(const VotedQuota &state, const NodeName &node) -> bool
{
    const auto &lenders = state.node.holder.unresponsiveUntil;
    const auto &holders = state.node.entry.holderBackoffUntil;
    return lenders.count(node) != 0 || holders.count(node) != 0 || (state.isSilent && state.isSilent(node));
}

/// Returns the first candidate that has not been unresponsive, or the first one if all have.
auto likelyHolder(const VotedQuota &state, const std::vector<NodeName> &candidates) -> const NodeName &
{
    const auto found = std::find_if(candidates.begin(), candidates.end(), [&](const NodeName &node) {
        return !isUnresponsive(state, node);
    });
    return found == candidates.end() ? candidates.front() : *found;
}

void refreshHeldRanges(VotedQuota &state, TimePoint now)
{
    auto &inputs = state.node.holderInputs;
    inputs.validRanges.clear();
    inputs.votedShares.clear();
    for (const auto &[number, range] : state.votes.ranges) {
        if (countVotes(state.votes, number, now).votes > 0) {
            inputs.validRanges[number] = range.heldSince;
            inputs.votedShares[number] = heldShare(state, number, now);
        }
    }
}

/// Updates the holders in other domains that lend tokens.
void refreshLenders(VotedQuota &state)
{
    auto &peers = state.node.holderInputs.peers;
    peers.clear();
    for (const auto &[range, held] : state.node.holderInputs.validRanges) {
        for (const auto &[domain, candidates] : state.candidates[range]) {
            if (domain != state.domain) {
                peers[range][domain] = likelyHolder(state, candidates);
            }
        }
    }
}

} // namespace

void startVotedQuota(VotedQuota &state, const NodeName &self, const DomainName &domain, uint64_t incarnation, TimePoint now)
{
    state.domain = domain;
    state.votes = makeVoteTable(self, now);
    startQuotaNode(state.node, self, domain, incarnation);
    state.node.entryInputs.holders = [&state](uint32_t range) {
        return holdersOfRange(state, range);
    };
}

void setFleet(VotedQuota &state, const FleetMembers &members, const std::map<TeamName, TeamQuota> &rules, TimePoint now)
{
    auto &inputs = state.node.holderInputs;
    inputs.rules = rules;
    DomainWeights weights;
    weights.version = inputs.weights.empty() ? 1 : inputs.weights.back().version + 1;
    state.fleetSize = 0;
    for (const auto &[domain, nodes] : members) {
        weights.weights[domain] = static_cast<int64_t>(nodes.size());
        state.fleetSize += nodes.size();
    }
    inputs.weights = {weights};
    std::set<uint32_t> ranges;
    for (const auto &[team, rule] : rules) {
        ranges.insert(rangeOf(team.value));
    }
    state.candidates.clear();
    for (const uint32_t range : ranges) {
        for (const auto &[domain, nodes] : members) {
            auto candidates = committeeOf(range, nodes, state.voteParams);
            candidates.resize(std::min(candidates.size(), state.voteParams.candidates));
            state.candidates[range][domain] = std::move(candidates);
        }
    }
    const auto own = members.find(state.domain);
    const std::vector<NodeName> ownMembers = own == members.end() ? std::vector<NodeName>() : own->second;
    state.domainSize = ownMembers.size();
    setMembers(state.votes, state.voteParams, ownMembers, {ranges.begin(), ranges.end()}, now);
}

auto heldShare(const VotedQuota &state, uint32_t range, TimePoint now) -> Share
{
    const VoteCount count = countVotes(state.votes, range, now);
    return {static_cast<int64_t>(count.votes * state.domainSize), static_cast<int64_t>(count.committee * std::max<size_t>(state.fleetSize, 1))};
}

auto holdersOfRange(const VotedQuota &state, uint32_t range) -> std::vector<NodeName>
{
    const auto found = state.candidates.find(range);
    if (found == state.candidates.end()) {
        return {};
    }
    std::vector<NodeName> holders;
    const auto own = found->second.find(state.domain);
    if (own != found->second.end()) {
        std::copy_if(own->second.begin(), own->second.end(), std::back_inserter(holders), [&](const NodeName &node) {
            return !state.isSilent || !state.isSilent(node);
        });
    }
    for (const auto &[domain, candidates] : found->second) {
        if (domain != state.domain) {
            holders.push_back(likelyHolder(state, candidates));
        }
    }
    return holders;
}

auto processVotedQuota(VotedQuota &state, TimePoint now) -> QuotaNodeOutputs
{
    refreshHeldRanges(state, now);
    return processQuotaNode(state.node, now);
}

auto tickVotedQuota(VotedQuota &state, TimePoint now) -> VotedQuotaOutputs
{
    VotedQuotaOutputs out;
    out.votes = tickVotes(state.votes, state.voteParams, now);
    out.quota = processVotedQuota(state, now);
    refreshLenders(state);
    dropUnansweredRequests(state.node, now);
    return out;
}

} // namespace snipestream
