#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace snipestream
{

/// Parameters of the votes. Tests set incorrect values to show that their oracle detects them.
struct VoteParams {
    /// Number of members of a failure domain that vote for the holder of a range.
    size_t committeeSize = 7;
    /// Number of members of the committee that can become the holder. The first one is the holder while it runs.
    size_t candidates = 3;
    /// How often a candidate asks for votes.
    Duration claimInterval = milliseconds(150);
    /// How long a vote counts, from the moment when the candidate sent the claim. It spans three claims, so that single
    /// lost messages do not matter.
    Duration voteLifetime = milliseconds(450);
    /// How long a member votes for no other candidate, from the moment when it received the claim. It is longer than
    /// `voteLifetime`, since clocks run at different rates.
    Duration promiseLifetime = milliseconds(500);
    /// A candidate asks for votes if it has received no claim of a candidate before it for this long.
    Duration candidateDelay = milliseconds(450);
    /// Fault for tests: a member that has just started votes at once, although it may have voted before.
    bool votesAtOnceAfterStart = false;
    /// Fault for tests: counts the lifetime of a vote from its receipt, so that a delayed vote counts longer.
    bool lifetimeFromReceipt = false;
};

/// Asks for votes for some ranges.
struct VoteClaim {
    NodeName from;
    /// The candidate's clock when it sent the claim, in nanoseconds; votes repeat it.
    int64_t sentAtNs = 0;
    std::vector<uint32_t> ranges;
    /// Ranges for which the sender no longer asks for votes. Votes that it has are void.
    std::vector<uint32_t> released;

    friend auto operator==(const VoteClaim &a, const VoteClaim &b) -> bool
    {
        return a.from == b.from && a.sentAtNs == b.sentAtNs && a.ranges == b.ranges && a.released == b.released;
    }
};

/// Grants the votes of a member for some ranges.
struct Vote {
    NodeName from;
    /// From the claim that is answered.
    int64_t claimSentAtNs = 0;
    std::vector<uint32_t> ranges;

    friend auto operator==(const Vote &a, const Vote &b) -> bool
    {
        return a.from == b.from && a.claimSentAtNs == b.claimSentAtNs && a.ranges == b.ranges;
    }
};

/// State of one range at a member of its committee.
struct VoteRange {
    /// Members that vote, in the order in which they become the holder.
    std::vector<NodeName> committee;

    /// Candidate: it asks for votes, since `claimingSince`. Votes for earlier claims do not count, since their voters may
    /// have been released from them.
    bool isClaiming = false;
    TimePoint claimingSince;
    /// Candidate: when the last claim of a candidate before this one arrived.
    TimePoint lastClaimOfBetterAt;
    /// Candidate: until when each vote counts.
    std::map<NodeName, TimePoint> votes;
    /// Candidate: since when it has had votes without interruption; TimePoint() while it has none.
    TimePoint heldSince;

    /// Voter: the candidate that it has promised not to vote against before `promisedUntil`.
    NodeName promisedTo;
    TimePoint promisedUntil;
    /// Voter: time of the latest claim that it has answered, by the clock of its sender. A release that was sent earlier is
    /// out of date.
    int64_t promisedClaimNs = 0;
};

/// The votes of one node. Each member of a range's committee gives its vote to one candidate at a time, so the fractions of
/// the votes that the candidates hold add up to 1 at most, whatever messages are lost and whichever members cannot reach
/// each other. No vote is recorded outside of the processes.
struct VoteTable {
    NodeName self;
    TimePoint startedAt;
    TimePoint nextClaimAt;
    /// Ranges of whose committee this node is a member.
    std::map<uint32_t, VoteRange> ranges;
};

/// Messages to send.
struct VoteOutputs {
    std::vector<std::pair<NodeName, VoteClaim>> claims;
    std::vector<std::pair<NodeName, Vote>> votes;
};

/// Creates the state of a node that starts now.
auto makeVoteTable(const NodeName &self, TimePoint now) -> VoteTable;

/// Returns the committee of a range: the members with the highest rendezvous hash for the range, highest first.
auto committeeOf(uint32_t range, const std::vector<NodeName> &members, const VoteParams &params) -> std::vector<NodeName>;

/// Updates the committees for the members of the node's failure domain. `ranges` are those that need a holder.
void setMembers(VoteTable &table, const VoteParams &params, const std::vector<NodeName> &members, const std::vector<uint32_t> &ranges, TimePoint now);

/// Sends the claims that are due. Must be called several times in each claim interval.
auto tickVotes(VoteTable &table, const VoteParams &params, TimePoint now) -> VoteOutputs;

/// Handles a claim of another candidate. The outputs are the vote for it, and the releases of ranges to which the other
/// candidate is closer.
auto handleClaim(VoteTable &table, const VoteParams &params, const VoteClaim &claim, TimePoint now) -> VoteOutputs;

/// Counts the vote of another member.
void handleVote(VoteTable &table, const VoteParams &params, const Vote &vote, TimePoint now);

/// Number of votes that this node has for a range, of how many.
struct VoteCount {
    size_t votes = 0;
    size_t committee = 1;

    friend auto operator==(const VoteCount &a, const VoteCount &b) -> bool
    {
        return a.votes == b.votes && a.committee == b.committee;
    }
};

/// Returns the votes that count now.
auto countVotes(const VoteTable &table, uint32_t range, TimePoint now) -> VoteCount;

} // namespace snipestream
