#pragma once

#include "quota/messages.h"

#include "core/refusal.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace snipestream
{

/// The tokens of one grant that an entry node received.
struct CachedGrant {
    NodeName holder;
    uint64_t number = 0;
    MicroTokens remaining = 0;
    MicroTokens spent = 0;
    /// Part of `spent` that the holder has been sent. It counts these tokens as used up and mints new ones for them.
    MicroTokens reportedSpent = 0;
    MicroTokens returned = 0;
    TimePoint receivedAt{};
    TimePoint expiresAt{};
    /// Since when `spent` or `returned` contain amounts that the holder has not been sent.
    std::optional<TimePoint> unreportedSince;
};

/// Spent tokens of one grant whose requests were refused, so that the holder gets them back.
struct RefundedGrant {
    MicroTokens amount = 0;
    /// When the holder has forgotten the grant.
    TimePoint expiresAt{};
    /// Since when `amount` contains tokens that the holder has not been sent.
    std::optional<TimePoint> unreportedSince;
};

/// The part of a token that comes from one grant.
struct TokenPart {
    NodeName holder;
    uint64_t grantNumber = 0;
    MicroTokens amount = 0;

    friend auto operator==(const TokenPart &a, const TokenPart &b) -> bool
    {
        return a.holder == b.holder && a.grantNumber == b.grantNumber && a.amount == b.amount;
    }
};

/// A request that is queued until a token is available.
struct QueuedTokenRequest {
    uint64_t tokenRequestId = 0;
    /// The deadline of the incoming request, or `responseTimeout` after its arrival if that is earlier.
    TimePoint deadline{};
};

/// The request of a team that a holder has not responded to yet.
struct PendingQuotaRequest {
    uint64_t number = 0;
    NodeName holder;
    TimePoint sentAt{};
};

/// The tokens and queued token requests of one team at an entry node.
struct EntryTeam {
    std::vector<CachedGrant> grants;
    /// By holder and grant number.
    std::map<std::pair<NodeName, uint64_t>, RefundedGrant> refunds;
    std::deque<QueuedTokenRequest> queue;
    std::optional<PendingQuotaRequest> pending;
    /// Requests without a response since the last response.
    int timeouts = 0;
    /// Holder that sent the last response, and when it arrived.
    NodeName lastHolder;
    TimePoint lastResponseAt{};
    /// Times of the token requests in the last demand window.
    std::deque<TimePoint> requestTimes;
    TimePoint nextRequestAt{};
    /// No token is expected to be minted before this time, according to the holder.
    TimePoint nextTokenAt{};
    /// Time in which the whole fleet mints one token of the team, as last reported by a holder.
    Duration tokenInterval{};
    TimePoint nextReportAt{};
};

/// The entry side of a node: the tokens it has and the requests it has queued for each team.
struct EntryTable {
    NodeName self;
    /// Next number for a request to a holder.
    uint64_t nextNumber = 1;
    std::map<TeamName, EntryTeam> teams;
    /// Nodes that did not respond or are not the holder, and the time until which they are sent no requests.
    std::map<NodeName, TimePoint> holderBackoffUntil;
    /// Grants accepted or returned recently, with the time until which they are kept to recognise duplicates.
    std::map<std::pair<NodeName, uint64_t>, TimePoint> seenGrants;
};

enum class TokenState {
    /// The request has spent a token and may run.
    Admitted,
    /// The decision follows from a later tick.
    Queued,
    Refused,
};

/// The decision about one token request.
struct TokenDecision {
    uint64_t tokenRequestId = 0;
    TokenState state = TokenState::Queued;
    RefusalReason reason = RefusalReason::RateExceeded;
    /// For refusals: the time until enough tokens are expected to have been minted.
    Duration retryAfter{};
    /// For admitted requests: the token that was spent.
    std::vector<TokenPart> token{};
};

struct EntryInputs {
    std::vector<QuotaResponse> responses;
    /// Returns the holders of a range: that of the own domain first, then those of the other domains.
    std::function<std::vector<NodeName>(uint32_t range)> holders;
};

struct EntryOutputs {
    /// Requests for tokens and reports, with the node to send them to.
    std::vector<std::pair<NodeName, QuotaRequest>> requests;
    std::vector<TokenDecision> decisions;
};

/// Creates the entry side of a node that starts now.
auto makeEntryTable(const NodeName &self, uint64_t incarnation) -> EntryTable;

/// Requests one token for an incoming request. `tokenRequestId` identifies it in later decisions. `deadline` is the
/// deadline of the incoming request, and the token request is not queued beyond it. After Queued the caller runs
/// tickEntry immediately, so that the request to the holder is sent without delay.
auto requestToken(EntryTable &table, const QuotaParams &params, const TeamName &team, uint64_t tokenRequestId, TimePoint now, TimePoint deadline)
    -> TokenDecision;

/// Takes back the token of a request that was refused after its token had been spent. The team's next request at this node can
/// use it as long as its grant, unless the holder has been told that it is spent. Then it goes back to the holder, which may
/// have minted another token in its place and discards what exceeds the burst.
void returnToken(EntryTable &table, const QuotaParams &params, const TeamName &team, const std::vector<TokenPart> &token, TimePoint now);

/// Removes a queued token request whose caller has left.
void cancelRequest(EntryTable &table, const TeamName &team, uint64_t tokenRequestId);

/// Processes responses, decides about queued token requests and returns the requests and reports to send. The caller
/// runs it when a response arrives, and every 5 ms while there are tokens or queued token requests.
auto tickEntry(EntryTable &table, const QuotaParams &params, TimePoint now, const EntryInputs &inputs) -> EntryOutputs;

} // namespace snipestream
