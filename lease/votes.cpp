#include "lease/votes.h"

#include "core/hash.h"

#include <algorithm>
#include <iterator>

namespace snipestream
{

namespace
{

/// Returns the position of the node in the order of candidates, or the number of candidates if it is none.
auto rankOf(const VoteRange &range, const VoteParams &params, const NodeName &node) -> size_t
{
    const size_t candidates = std::min(params.candidates, range.committee.size());
    const auto end = range.committee.begin() + static_cast<std::ptrdiff_t>(candidates);
    return static_cast<size_t>(std::find(range.committee.begin(), end, node) - range.committee.begin());
}

auto isCandidate(const VoteRange &range, const VoteParams &params, const NodeName &node) -> bool
{
    return rankOf(range, params, node) < std::min(params.candidates, range.committee.size());
}

/// Decides whether to vote for the candidate, and promises to vote for no other for a while.
auto giveVote(const VoteTable &table, VoteRange &range, const VoteParams &params, const NodeName &candidate, int64_t claimNs, TimePoint now) -> bool
{
    // An earlier process of this node may have given its vote to another candidate just before its end.
    const bool mayHavePromised = !params.votesAtOnceAfterStart && now < table.startedAt + params.promiseLifetime;
    if (mayHavePromised || (range.promisedTo != candidate && now < range.promisedUntil)) {
        return false;
    }
    range.promisedClaimNs = range.promisedTo == candidate ? std::max(range.promisedClaimNs, claimNs) : claimNs;
    range.promisedTo = candidate;
    range.promisedUntil = now + params.promiseLifetime;
    return true;
}

void stopClaiming(VoteRange &range)
{
    range.isClaiming = false;
    range.votes.clear();
    range.heldSince = {};
}

auto hasVotes(const VoteRange &range, TimePoint now) -> bool
{
    return std::any_of(range.votes.begin(), range.votes.end(), [now](const auto &vote) {
        return now < vote.second;
    });
}

void addVote(VoteRange &range, const NodeName &voter, TimePoint until, TimePoint now)
{
    if (!hasVotes(range, now)) {
        range.heldSince = now;
    }
    auto &vote = range.votes[voter];
    vote = std::max(vote, until);
}

/// Adds the range to the claims for all other members of its committee.
void addClaim(std::map<NodeName, VoteClaim> &claims, const VoteTable &table, uint32_t number, const VoteRange &range, bool isRelease)
{
    for (const auto &member : range.committee) {
        if (member != table.self) {
            auto &claim = claims[member];
            (isRelease ? claim.released : claim.ranges).push_back(number);
        }
    }
}

auto toOutputs(std::map<NodeName, VoteClaim> claims, const NodeName &self, TimePoint now) -> VoteOutputs
{
    VoteOutputs out;
    for (auto &[member, claim] : claims) {
        claim.from = self;
        claim.sentAtNs = now.time_since_epoch().count();
        out.claims.emplace_back(member, std::move(claim));
    }
    return out;
}

} // namespace

auto makeVoteTable(const NodeName &self, TimePoint now) -> VoteTable
{
    VoteTable table;
    table.self = self;
    table.startedAt = now;
    return table;
}

auto committeeOf(uint32_t range, const std::vector<NodeName> &members, const VoteParams &params) -> std::vector<NodeName>
{
    std::vector<std::string> names;
    names.reserve(members.size());
    std::transform(members.begin(), members.end(), std::back_inserter(names), [](const NodeName &member) {
        return member.value;
    });
    std::vector<NodeName> committee;
    for (const size_t index : rendezvousOrder("range-" + std::to_string(range), names, std::min(params.committeeSize, names.size()))) {
        committee.push_back(members[index]);
    }
    return committee;
}

void setMembers(VoteTable &table, const VoteParams &params, const std::vector<NodeName> &members, const std::vector<uint32_t> &ranges, TimePoint now)
{
    std::map<uint32_t, VoteRange> updated;
    for (const uint32_t number : ranges) {
        auto committee = committeeOf(number, members, params);
        if (std::find(committee.begin(), committee.end(), table.self) == committee.end()) {
            continue;
        }
        const auto known = table.ranges.find(number);
        VoteRange range = known != table.ranges.end() ? known->second : VoteRange();
        if (known == table.ranges.end()) {
            range.lastClaimOfBetterAt = now;
        }
        range.committee = std::move(committee);
        if (!isCandidate(range, params, table.self)) {
            stopClaiming(range);
        }
        for (auto vote = range.votes.begin(); vote != range.votes.end();) {
            const bool isMember = std::find(range.committee.begin(), range.committee.end(), vote->first) != range.committee.end();
            vote = isMember ? std::next(vote) : range.votes.erase(vote);
        }
        updated.emplace(number, std::move(range));
    }
    table.ranges = std::move(updated);
}

auto tickVotes(VoteTable &table, const VoteParams &params, TimePoint now) -> VoteOutputs
{
    if (now < table.nextClaimAt) {
        return {};
    }
    table.nextClaimAt = now + params.claimInterval;
    std::map<NodeName, VoteClaim> claims;
    for (auto &[number, range] : table.ranges) {
        const size_t rank = rankOf(range, params, table.self);
        if (!isCandidate(range, params, table.self)) {
            continue;
        }
        // Each further candidate waits longer, so that usually only one of them asks for votes.
        if (rank > 0 && now - range.lastClaimOfBetterAt < params.candidateDelay * static_cast<int64_t>(rank)) {
            continue;
        }
        if (!range.isClaiming) {
            range.isClaiming = true;
            range.claimingSince = now;
        }
        if (giveVote(table, range, params, table.self, now.time_since_epoch().count(), now)) {
            addVote(range, table.self, now + params.voteLifetime, now);
        }
        addClaim(claims, table, number, range, false);
    }
    return toOutputs(std::move(claims), table.self, now);
}

auto handleClaim(VoteTable &table, const VoteParams &params, const VoteClaim &claim, TimePoint now) -> VoteOutputs
{
    std::map<NodeName, VoteClaim> releases;
    Vote vote{table.self, claim.sentAtNs, {}};
    for (const uint32_t number : claim.released) {
        const auto found = table.ranges.find(number);
        if (found != table.ranges.end() && found->second.promisedTo == claim.from && found->second.promisedClaimNs <= claim.sentAtNs) {
            found->second.promisedUntil = now;
        }
    }
    for (const uint32_t number : claim.ranges) {
        const auto found = table.ranges.find(number);
        if (found == table.ranges.end() || !isCandidate(found->second, params, claim.from)) {
            continue;
        }
        VoteRange &range = found->second;
        if (isCandidate(range, params, table.self) && rankOf(range, params, claim.from) < rankOf(range, params, table.self)) {
            range.lastClaimOfBetterAt = now;
            if (range.isClaiming) {
                stopClaiming(range);
                if (range.promisedTo == table.self) {
                    range.promisedUntil = now;
                }
                addClaim(releases, table, number, range, true);
            }
        }
        if (giveVote(table, range, params, claim.from, claim.sentAtNs, now)) {
            vote.ranges.push_back(number);
        }
    }
    VoteOutputs out = toOutputs(std::move(releases), table.self, now);
    if (!vote.ranges.empty()) {
        out.votes.emplace_back(claim.from, std::move(vote));
    }
    return out;
}

void handleVote(VoteTable &table, const VoteParams &params, const Vote &vote, TimePoint now)
{
    const TimePoint countedFrom = params.lifetimeFromReceipt ? now : TimePoint(Duration(vote.claimSentAtNs));
    // A claim from the future belongs to an earlier boot of the VM.
    if (countedFrom > now || countedFrom + params.voteLifetime <= now) {
        return;
    }
    for (const uint32_t number : vote.ranges) {
        const auto found = table.ranges.find(number);
        const bool counts = found != table.ranges.end() && found->second.isClaiming && TimePoint(Duration(vote.claimSentAtNs)) >= found->second.claimingSince;
        if (!counts) {
            continue;
        }
        const auto &committee = found->second.committee;
        if (std::find(committee.begin(), committee.end(), vote.from) != committee.end()) {
            addVote(found->second, vote.from, countedFrom + params.voteLifetime, now);
        }
    }
}

auto countVotes(const VoteTable &table, uint32_t range, TimePoint now) -> VoteCount
{
    const auto found = table.ranges.find(range);
    if (found == table.ranges.end() || found->second.committee.empty()) {
        return {};
    }
    const auto &votes = found->second.votes;
    const auto valid = std::count_if(votes.begin(), votes.end(), [now](const auto &vote) {
        return now < vote.second;
    });
    return {static_cast<size_t>(valid), found->second.committee.size()};
}

} // namespace snipestream
