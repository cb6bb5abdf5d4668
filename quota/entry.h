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

/// Tokens of one grant at an entry node.
struct CachedGrant {
    NodeName holder;
    uint64_t number = 0;
    MicroTokens left = 0;
    MicroTokens spent = 0;
    MicroTokens returned = 0;
    TimePoint takenAt{};
    TimePoint expiresAt{};
    std::optional<TimePoint> unreportedSince;
};

/// A request that waits for a token.
struct QueuedTokenRequest {
    uint64_t tokenRequestId = 0;
    TimePoint giveUpAt{};
};

/// The ask that is under way for a team.
struct PendingQuotaRequest {
    uint64_t number = 0;
    NodeName holder;
    TimePoint sentAt{};
};

/// The tokens and waiting requests of one team at an entry node.
struct EntryTeam {
    std::vector<CachedGrant> grants;
    std::deque<QueuedTokenRequest> queue;
    std::optional<PendingQuotaRequest> pending;
    /// Times of the requests in the last demand window.
    std::deque<TimePoint> demand;
    TimePoint nextRequestAt{};
    /// The holder said that no token is minted before this moment.
    TimePoint shortUntil{};
    Duration tokenInterval{};
    TimePoint nextReportAt{};
};

/// The entry side of a node: which teams' tokens it has and which requests wait for one.
struct EntryTable {
    NodeName self;
    uint64_t nextNumber = 1;
    std::map<TeamName, EntryTeam> teams;
    /// Holders that did not answer or are none, with the time until which they are not asked.
    std::map<NodeName, TimePoint> avoided;
    /// Grants taken or turned down recently, with the time until which they are remembered.
    std::map<std::pair<NodeName, uint64_t>, TimePoint> seenGrants;
};

enum class TokenState {
    /// The request has spent a token and may run.
    Admitted,
    /// The outcome follows from a later tick.
    Queued,
    Refused,
};

/// The decision about one request.
struct TokenDecision {
    uint64_t tokenRequestId = 0;
    TokenState state = TokenState::Queued;
    RefusalReason reason = RefusalReason::RateExceeded;
    /// For refusals: when enough tokens will have been minted.
    Duration retryAfter{};
};

struct EntryInputs {
    std::vector<QuotaResponse> responses;
    /// Returns the holders of a range, that of the own domain first, then those of the other domains.
    std::function<std::vector<NodeName>(uint32_t range)> holders;
};

struct EntryOutputs {
    std::vector<std::pair<NodeName, QuotaRequest>> requests;
    std::vector<TokenDecision> decisions;
};

/// Makes the entry side of a node that starts now.
auto makeEntryTable(const NodeName &self, uint64_t incarnation) -> EntryTable;

/// Asks for one token for a request. The ticket names the request in later verdicts. `deadline` is that of the request:
/// it waits no longer. After Waiting the caller runs tickEntry at once, so that the ask goes out without delay.
auto requestToken(EntryTable &table, const QuotaParams &params, const TeamName &team, uint64_t tokenRequestId, TimePoint now, TimePoint deadline)
    -> TokenDecision;

/// Withdraws a waiting request whose caller left.
void cancelRequest(EntryTable &table, const TeamName &team, uint64_t tokenRequestId);

/// Takes answers, decides about waiting requests and returns the asks and reports that are due. Due when an answer
/// arrives and every 5 ms while there are tokens or waiting requests.
auto tickEntry(EntryTable &table, const QuotaParams &params, TimePoint now, const EntryInputs &inputs) -> EntryOutputs;

} // namespace snipestream
