#pragma once

#include "idempotency/claim.h"

#include <deque>
#include <optional>
#include <unordered_set>
#include <utility>

namespace snipestream
{

/// How far one attempt of a non-idempotent request has come, as its entry node knows.
enum class AttemptStep : uint8_t {
    Received,
    ClaimRequested,
    Claimed,
    /// Handed to a home node; whether the target saw it is not known until the home node reports.
    Dispatched,
    Admitted,
    SentToTarget,
    /// The target's answer is complete.
    Answered,
};

/// What the claim owner has told this entry node about the key's attempts other than this one.
enum class PeekResult : uint8_t {
    /// The owner was not asked or did not answer.
    NotRequested,
    /// The owner granted this attempt's claim, or peekClaim() returned NotRun.
    NoOtherAttempt,
    OtherMayHaveRun,
};

/// One attempt at its entry node.
struct AttemptState {
    ClaimKey key;
    RequestId attempt;
    AttemptStep step = AttemptStep::Received;
    /// True once the home node reported that no byte reached its target; another home node may then be chosen.
    bool provenNotSent = false;
    /// True once the caller was answered or refused. Nothing may be dispatched after that.
    bool closed = false;
};

/// What the entry node does next.
enum class EntryActionKind : uint8_t {
    Wait,
    Dispatch,
    /// Answer with the recorded response.
    RespondRecorded,
    /// Pass the home node's response on.
    RespondAnswer,
    Refuse,
    /// The attempt is closed already; the message is dropped.
    Ignore,
};

/// An action and, if set, the outcome to report to the owner with `claim.end`. The caller is answered first: after a
/// release another attempt may run, and a not-run refusal written later would be false.
struct EntryAction {
    EntryActionKind kind = EntryActionKind::Wait;
    std::optional<Refusal> refusal;
    std::optional<RecordedResponse> recorded;
    std::optional<Outcome> outcome;
};

/// What a home node, or the loss of the link to it, says about a dispatched attempt.
enum class HomeReport : uint8_t {
    /// Refused before a byte went to the target.
    RefusedNotRun,
    /// Refused or failed after a byte may have gone to the target.
    RefusedUnknown,
    Admitted,
    SentToTarget,
    /// The complete response is at the entry node.
    Answered,
    /// The response broke off.
    ResponseCut,
    LinkClosed,
    Timeout,
    /// The request never left this node: OutboundCall::mayHaveBeenSent() is false.
    NeverSent,
};

/// Returns the run state that a refusal of this attempt may carry now.
auto truthfulRunState(const AttemptState &trace, PeekResult knowledge) -> RunState;

/// Marks the claim as asked for.
void onClaimRequested(AttemptState &trace);

/// Handles the owner's verdict. A grant that arrives after the attempt was closed is returned to the owner as not-run.
auto onClaimDecision(AttemptState &trace, const ClaimDecision &verdict) -> EntryAction;

/// Handles a claim call without an answer (timeout or closed link): the claim may have been granted, so the attempt is
/// closed with `unknown` and reported to the owner as not-run.
auto onClaimCallFailed(AttemptState &trace) -> EntryAction;

/// Handles a refusal by the entry node itself: quota, no target, deadline or cancellation. `knowledge` is what a peek
/// returned if the claim was not asked for; it is ignored after a grant.
auto onLocalRefusal(AttemptState &trace, RefusalReason reason, Duration retryAfter, PeekResult knowledge = PeekResult::NotRequested) -> EntryAction;

/// True if the attempt may be dispatched now: claimed, not closed, and no byte of it may have reached a target.
auto mayDispatch(const AttemptState &trace) -> bool;

/// Marks the attempt as dispatched. Only after mayDispatch().
void onDispatched(AttemptState &trace);

/// Handles a report of the home node. `refusal` is the home node's refusal, if any; `response` the complete response,
/// if it is small enough to be recorded. After RefusedNotRun and NeverSent the action is Wait and mayDispatch() holds
/// again: the entry node chooses another home node or calls onLocalRefusal().
auto onHomeReport(AttemptState &trace, HomeReport report, const std::optional<Refusal> &refusal = std::nullopt,
                  const std::optional<RecordedResponse> &response = std::nullopt) -> EntryAction;

/// Returns the response if it is small enough to be recorded, without headers that belong to one connection.
auto recordableResponse(const RecordedResponse &response, const ClaimSettings &settings) -> std::optional<RecordedResponse>;

/// One attempt at its home node.
struct HomeTrace {
    bool admitted = false;
    /// True from the moment before the first byte is written to the target's connection.
    bool byteMayHaveReachedTarget = false;
};

/// Returns the run state of a refusal by the home node about its own attempt.
auto homeRunState(const HomeTrace &trace) -> RunState;

/// True if the home node may send the request on another connection of the same target, such as when a pooled
/// connection turned out to be closed.
auto mayResendAtHome(const HomeTrace &trace) -> bool;

/// Attempts that a home node has accepted lately, so that a duplicated dispatch does not run twice.
struct HomeAttempts {
    std::unordered_set<RequestId> seen;
    std::deque<std::pair<TimePoint, RequestId>> order;
    /// Longer than any message can be delayed on a link: a link is closed after its ping timeout.
    Duration kept = std::chrono::minutes(2);
};

/// Returns true the first time an attempt id is seen; false means that the dispatch is a duplicate.
auto acceptAttempt(HomeAttempts &attempts, const RequestId &attempt, TimePoint now) -> bool;

} // namespace snipestream
