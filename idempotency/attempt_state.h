#pragma once

#include "idempotency/claim.h"

#include <deque>
#include <optional>
#include <unordered_set>
#include <utility>

namespace snipestream
{

/// Progress of one attempt of a non-idempotent request, as recorded by its entry node.
enum class AttemptStep : uint8_t {
    Received,
    ClaimRequested,
    Claimed,
    /// Sent to a home node. Whether it has reached the target is unknown until the home node reports.
    Dispatched,
    Admitted,
    SentToTarget,
    /// The target's response is complete.
    Answered,
};

/// What the claim owner has reported about other attempts of the key.
enum class PeekResult : uint8_t {
    /// No request was sent to the owner, or it was not answered.
    NotRequested,
    /// peekClaim() returned NotRun.
    NoOtherAttempt,
    OtherMayHaveRun,
};

/// State of one attempt at its entry node.
struct AttemptState {
    ClaimKey key;
    RequestId attempt;
    AttemptStep step = AttemptStep::Received;
    /// True if the home node has reported that no byte reached its target; another home node may then be chosen.
    bool provenNotSent = false;
    /// True once the caller has received a response or a refusal. The attempt must not be dispatched after that.
    bool closed = false;
};

/// What the entry node does next.
enum class EntryActionKind : uint8_t {
    Wait,
    Dispatch,
    /// Send the recorded response to the caller.
    RespondRecorded,
    /// Forward the home node's response to the caller.
    ForwardResponse,
    Refuse,
    /// Drop the message: the attempt is already closed, or the message does not apply to its step.
    Ignore,
};

/// An action and, if set, the outcome to report to the owner with `claim.end`. The response to the caller must be sent
/// before the outcome: once the claim is released another attempt may run, and a not-run refusal sent later would be
/// false.
struct EntryAction {
    EntryActionKind kind = EntryActionKind::Wait;
    std::optional<Refusal> refusal;
    std::optional<RecordedResponse> recorded;
    std::optional<Outcome> outcome;
};

/// Progress or result of a dispatched attempt, reported by its home node or derived from the state of the link to it.
enum class HomeReport : uint8_t {
    /// Refused before any byte was sent to the target.
    RefusedNotRun,
    /// Refused or failed after a byte may have been sent to the target.
    RefusedUnknown,
    Admitted,
    SentToTarget,
    /// The complete response is at the entry node.
    Answered,
    /// The response ended before it was complete.
    ResponseCut,
    LinkClosed,
    Timeout,
    /// The request was not sent to the home node: OutboundCall::mayHaveBeenSent() is false.
    NeverSent,
};

/// Returns the run state to put into a refusal of this attempt: NotRun only if it is proven that neither this attempt nor
/// another one of the key has run.
auto refusalRunState(const AttemptState &state, PeekResult peekResult) -> RunState;

/// Marks the claim as requested from the owner. The attempt must not have requested one before.
void onClaimRequested(AttemptState &state);

/// Handles the owner's decision. If a grant arrives after the attempt was closed, the action reports the claim to the
/// owner as not-run.
auto onClaimDecision(AttemptState &state, const ClaimDecision &decision) -> EntryAction;

/// Handles a claim call that failed without a response (timeout or closed link). The claim may have been granted, so the
/// attempt is refused with `unknown` and reported to the owner as not-run.
auto onClaimCallFailed(AttemptState &state) -> EntryAction;

/// Handles a refusal by the entry node itself: quota, no target, deadline or cancellation. `peekResult` is used only if
/// no claim was requested.
auto onLocalRefusal(AttemptState &state, RefusalReason reason, Duration retryAfter, PeekResult peekResult = PeekResult::NotRequested) -> EntryAction;

/// True if the attempt may be dispatched now: it is claimed and not closed, and no byte of it can have reached a target.
auto mayDispatch(const AttemptState &state) -> bool;

/// Marks the attempt as dispatched. Call only if mayDispatch() is true.
void onDispatched(AttemptState &state);

/// Handles a report about a dispatched attempt. `refusal` is the home node's refusal, if any. `response` is the complete
/// response if it is small enough to be recorded. After RefusedNotRun and NeverSent the action is Wait and mayDispatch()
/// is true again: the entry node chooses another home node or calls onLocalRefusal().
auto onHomeReport(AttemptState &state, HomeReport report, const std::optional<Refusal> &refusal = std::nullopt,
                  const std::optional<RecordedResponse> &response = std::nullopt) -> EntryAction;

/// Returns the response without its hop-by-hop headers, or nothing if it is too large to be recorded.
auto recordableResponse(const RecordedResponse &response, const ClaimSettings &settings) -> std::optional<RecordedResponse>;

/// State of one attempt at its home node.
struct HomeAttemptState {
    bool admitted = false;
    /// Set just before the first byte is written to the target's connection.
    bool byteMayHaveReachedTarget = false;
};

/// Returns the run state to put into a refusal of the attempt by its home node.
auto homeRunState(const HomeAttemptState &state) -> RunState;

/// True if the home node may send the request again on another connection to the same target, for example because a
/// pooled connection was already closed.
auto mayResendAtHome(const HomeAttemptState &state) -> bool;

/// Attempts that a home node has recently accepted, so that a duplicate dispatch does not run twice.
struct HomeAttempts {
    std::unordered_set<RequestId> seen;
    std::deque<std::pair<TimePoint, RequestId>> order;
    /// Must exceed the maximum delay of a message on a link, which is bounded by the ping timeout that closes the link.
    Duration attemptRetention = std::chrono::minutes(2);
};

/// Returns true if the attempt id has not been seen within the retention; false means that the dispatch is a duplicate.
auto acceptAttempt(HomeAttempts &attempts, const RequestId &attempt, TimePoint now) -> bool;

} // namespace snipestream
