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
    /// In micro-tokens per second.
    MicroTokens rate = 0;
    MicroTokens burst = 0;
};

/// A part of a grant, from the holder's own level or from a loan.
struct GrantPart {
    /// Key in TeamBucket::loans, zero for the own level.
    uint64_t loan = 0;
    /// Tokens not yet reported as spent or returned.
    MicroTokens outstanding = 0;
};

/// Tokens granted to an entry node or lent to another holder.
struct Grant {
    TeamName team;
    MicroTokens spent = 0;
    MicroTokens returned = 0;
    MicroTokens refunded = 0;
    std::vector<GrantPart> parts;
    TimePoint expiresAt{};
};

/// Tokens borrowed from the holder of another domain.
struct Loan {
    NodeName lender;
    /// The lender's grant number, unique only together with the lender.
    uint64_t number = 0;
    /// Tokens that are not in a grant.
    MicroTokens remaining = 0;
    MicroTokens spent = 0;
    MicroTokens returned = 0;
    TimePoint receivedAt{};
    TimePoint expiresAt{};
    bool mustReport = false;
};

/// A request of an entry node that is queued while the holder borrows.
struct QueuedQuotaRequest {
    QuotaRequest request;
    TimePoint deadline{};
};

/// The last known state of the holder of another domain, for one team.
struct PeerLevel {
    MicroTokens level = 0;
    /// When `level` was reported; empty if it never was.
    std::optional<TimePoint> observedAt;
    /// No borrow request is sent to the holder before this time.
    TimePoint retryAt{};
    /// Number of the borrow request without a response so far, zero if there is none. The fields after it belong to it.
    uint64_t pendingRequest = 0;
    NodeName requestedFrom;
    TimePoint sentAt{};
    MicroTokens requestedAmount = 0;
};

/// Lowest number of tokens by which a bucket was below its capacity, outstanding ones included, over a span that ends now and
/// begins before the oldest grant that has not expired.
struct RecentDeficit {
    MicroTokens previous = 0;
    MicroTokens current = 0;
    /// Start of `current`; `previous` is the span before.
    TimePoint since{};
};

/// Token bucket of one team at a holder.
struct TeamBucket {
    uint32_t range = 0;
    MicroTokens level = 0;
    /// Own tokens in grants and loans that are neither reported nor expired.
    MicroTokens outstanding = 0;
    /// Time up to which tokens have been minted.
    TimePoint mintedAt{};
    RecentDeficit deficit;
    /// Keyed by a number that this holder assigned.
    std::map<uint64_t, Loan> loans;
    std::deque<QueuedQuotaRequest> queue;
    std::map<DomainName, PeerLevel> peers;
    /// Entry nodes were granted tokens here since the last levelling round.
    bool levelingDue = false;
    TimePoint nextLevelingAt{};
};

/// A range whose lease this node holds.
struct HolderRange {
    /// Since when this process has held the lease.
    TimePoint validFrom{};
    ShareState share;
};

/// The holder side of a node.
struct HolderTable {
    NodeName self;
    DomainName domain;
    /// Next number for a request, grant or loan.
    uint64_t nextNumber = 1;
    std::map<uint32_t, HolderRange> ranges;
    std::map<TeamName, TeamBucket> teams;
    /// By grant number.
    std::map<uint64_t, Grant> grants;
    /// Holders that did not respond or are none, and until when others are tried first.
    std::map<NodeName, TimePoint> unresponsiveUntil;
    /// Loans accepted or returned recently, with the time until which they are kept to recognise duplicates.
    std::map<std::pair<NodeName, uint64_t>, TimePoint> seenLoans;
};

/// Inputs of a tick of the holder side. The caller reads the validity of the leases at the moment of the tick. It keeps
/// one of these objects, updates rules, weights and peers when they change, and replaces the messages before each tick.
struct HolderInputs {
    /// Ranges whose lease is valid now, with the time since which this process has held it (HeldLease::validFrom).
    std::map<uint32_t, TimePoint> validRanges;
    /// Rules and weights from the log, read at least up to the lease record of this holder. The weights are not empty.
    std::map<TeamName, TeamQuota> rules;
    std::vector<DomainWeights> weights;
    /// Shares of the ranges whose lease follows from votes instead of the log; such a share may change at any time. For
    /// these ranges the weights only serve to estimate the levels of other holders.
    std::map<uint32_t, Share> votedShares;
    /// The holders of each range in the other domains.
    std::map<uint32_t, std::map<DomainName, NodeName>> peers;
    std::vector<QuotaRequest> requests;
    std::vector<QuotaResponse> responses;
    std::vector<WeightsRequest> weightsRequests;
    std::vector<WeightsAck> weightsAcks;
};

/// Messages to send after a tick.
struct HolderOutputs {
    std::vector<std::pair<NodeName, QuotaResponse>> responses;
    /// Borrow requests and loan reports to holders of other domains.
    std::vector<std::pair<NodeName, QuotaRequest>> peerRequests;
    std::vector<std::pair<NodeName, WeightsRequest>> weightsRequests;
    std::vector<std::pair<NodeName, WeightsAck>> weightsAcks;
};

/// Creates the holder side of a node that starts now.
auto makeHolderTable(const NodeName &self, const DomainName &domain, uint64_t incarnation) -> HolderTable;

/// Processes the messages, mints, grants and borrows. The caller runs it when a message arrives, and at least every
/// 10 ms while requests are queued.
auto tickHolder(HolderTable &table, const QuotaParams &params, TimePoint now, const HolderInputs &inputs) -> HolderOutputs;

/// Returns the level and the outstanding tokens of a team at this holder; both are zero if it has no bucket here.
auto holderLevel(const HolderTable &table, const TeamName &team) -> std::pair<MicroTokens, MicroTokens>;

} // namespace snipestream
