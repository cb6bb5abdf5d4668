#pragma once

#include "quota/messages.h"
#include "quota/shares.h"

#include <deque>
#include <map>
#include <optional>
#include <utility>

namespace snipestream
{

/// Rate and burst of a team over the whole fleet.
struct TeamQuota {
    /// Micro-tokens per second.
    MicroTokens rate = 0;
    MicroTokens burst = 0;
};

/// A part of a grant: from the holder's own level, or from a loan.
struct GrantPart {
    /// Key in TeamLevel::loans, zero for the own level.
    uint64_t loan = 0;
    /// Neither spent nor returned so far.
    MicroTokens open = 0;
};

/// Tokens given to an entry node or lent to another holder.
struct Grant {
    TeamName team;
    MicroTokens spent = 0;
    MicroTokens returned = 0;
    std::vector<GrantPart> parts;
    TimePoint expiresAt{};
};

/// Tokens borrowed from the holder of another domain.
struct Loan {
    NodeName lender;
    /// The lender's number of the loan; only lender and number together are unique.
    uint64_t number = 0;
    /// Not given on.
    MicroTokens left = 0;
    MicroTokens spent = 0;
    MicroTokens returned = 0;
    TimePoint takenAt{};
    TimePoint expiresAt{};
    bool mustReport = false;
};

/// An ask that waits while the holder borrows.
struct QueuedQuotaRequest {
    QuotaRequest request;
    TimePoint giveUpAt{};
};

/// What a holder knows about the holder of another domain, for one team.
struct PeerLevel {
    MicroTokens level = 0;
    std::optional<TimePoint> knownAt;
    TimePoint retryAt{};
    /// Number of the unanswered borrow, zero if none.
    uint64_t pending = 0;
    TimePoint sentAt{};
    MicroTokens requestedAmount = 0;
};

/// The tokens of one team at a holder.
struct TeamLevel {
    uint32_t range = 0;
    MicroTokens level = 0;
    /// Own tokens in grants and loans that were neither reported nor expired.
    MicroTokens outstanding = 0;
    TimePoint mintedAt{};
    /// By a number that this holder gave them.
    std::map<uint64_t, Loan> loans;
    std::deque<QueuedQuotaRequest> queue;
    std::map<DomainName, PeerLevel> peers;
    /// Entry nodes got tokens here since the last levelling round.
    bool levelingDue = false;
    TimePoint nextLevelingAt{};
};

/// A range that this node holds.
struct HolderRange {
    TimePoint validFrom{};
    ShareState share;
};

/// The holder side of a node.
struct HolderTable {
    NodeName self;
    DomainName domain;
    uint64_t nextNumber = 1;
    std::map<uint32_t, HolderRange> ranges;
    std::map<TeamName, TeamLevel> teams;
    std::map<uint64_t, Grant> grants;
    /// Loans taken or turned down recently, with the time until which they are remembered.
    std::map<std::pair<NodeName, uint64_t>, TimePoint> seenLoans;
};

/// What a tick of the holder side needs. The validity of the leases must have been read at the moment of the tick. The
/// caller keeps one of these, changes rules, weights and peers when they change, and refills the messages.
struct HolderInputs {
    /// The ranges whose lease is valid now, with the time since which this process has held it (HeldLease::validFrom).
    std::map<uint32_t, TimePoint> validRanges;
    /// Rules and weights folded at least up to the lease record of this holder. The weights are not empty.
    std::map<TeamName, TeamQuota> rules;
    std::vector<DomainWeights> weights;
    /// Holders of the same range in other domains.
    std::map<uint32_t, std::map<DomainName, NodeName>> peers;
    std::vector<QuotaRequest> requests;
    std::vector<QuotaResponse> responses;
    std::vector<WeightsRequest> weightsRequests;
    std::vector<WeightsAck> weightsAcks;
};

/// Messages to send after a tick.
struct HolderOutputs {
    std::vector<std::pair<NodeName, QuotaResponse>> responses;
    std::vector<std::pair<NodeName, QuotaRequest>> peerRequests;
    std::vector<std::pair<NodeName, WeightsRequest>> weightsRequests;
    std::vector<std::pair<NodeName, WeightsAck>> weightsAcks;
};

/// Makes the holder side of a node that starts now.
auto makeHolderTable(const NodeName &self, const DomainName &domain, uint64_t incarnation) -> HolderTable;

/// Takes the messages, mints, answers and borrows. Due when a message arrives and every 10 ms while asks wait.
auto tickHolder(HolderTable &table, const QuotaParams &params, TimePoint now, const HolderInputs &inputs) -> HolderOutputs;

/// Returns what the team has minted and not given away here, and what it has out; for /metrics and tests.
auto holderLevel(const HolderTable &table, const TeamName &team) -> std::pair<MicroTokens, MicroTokens>;

} // namespace snipestream
