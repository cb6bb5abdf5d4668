#include "idempotency/attempt_state.h"

#include <algorithm>
#include <array>
#include <string_view>

#include <glog/logging.h>

namespace snipestream
{

namespace
{

constexpr Duration kOwnerLostRetryAfter = seconds(1);

auto ignore() -> EntryAction
{
    return {EntryActionKind::Ignore, std::nullopt, std::nullopt, std::nullopt};
}

/// Closes the attempt with a refusal and, if set, an outcome to report to the owner.
auto close(AttemptState &state, Refusal refusal, std::optional<OutcomeKind> outcomeKind) -> EntryAction
{
    state.closed = true;
    EntryAction action{EntryActionKind::Refuse, std::move(refusal), std::nullopt, std::nullopt};
    if (outcomeKind) {
        action.outcome = Outcome{*outcomeKind, std::nullopt};
    }
    return action;
}

/// True if no byte of this attempt can have reached a target, and none can once the attempt is closed.
auto isProvenNotRun(const AttemptState &state) -> bool
{
    return state.step < AttemptStep::Dispatched || state.provenNotSent;
}

} // namespace

auto refusalRunState(const AttemptState &state, PeekResult peekResult) -> RunState
{
    if (!isProvenNotRun(state)) {
        return RunState::Unknown;
    }
    // A grant proves that no earlier attempt has run, and the claim prevents others from running while it is held.
    const bool holdsClaim = state.step >= AttemptStep::Claimed;
    return holdsClaim || peekResult == PeekResult::NoOtherAttempt ? RunState::NotRun : RunState::Unknown;
}

void onClaimRequested(AttemptState &state)
{
    CHECK(state.step == AttemptStep::Received) << "claim requested twice, attempt " << toHex(state.attempt);
    state.step = AttemptStep::ClaimRequested;
}

auto onClaimDecision(AttemptState &state, const ClaimDecision &decision) -> EntryAction
{
    const bool isGrant = std::holds_alternative<Granted>(decision);
    if (state.closed && isGrant && state.step < AttemptStep::Claimed) {
        EntryAction action = ignore();
        action.outcome = Outcome{OutcomeKind::NotRun, std::nullopt};
        return action;
    }
    if (state.closed || state.step != AttemptStep::ClaimRequested) {
        return ignore();
    }
    if (isGrant) {
        state.step = AttemptStep::Claimed;
        return {EntryActionKind::Dispatch, std::nullopt, std::nullopt, std::nullopt};
    }
    if (std::holds_alternative<Wait>(decision)) {
        return {EntryActionKind::Wait, std::nullopt, std::nullopt, std::nullopt};
    }
    if (const auto *replay = std::get_if<Replay>(&decision)) {
        state.closed = true;
        return {EntryActionKind::RespondRecorded, std::nullopt, replay->response, std::nullopt};
    }
    const auto &refusal = std::get<Refused>(decision).refusal;
    // A claim released by an owner without a valid lease may be on the log; the outcome lets its successor release it.
    const bool mayBeOnLog = refusal.reason == RefusalReason::ClaimUnavailable;
    return close(state, refusal, mayBeOnLog ? std::optional(OutcomeKind::NotRun) : std::nullopt);
}

auto onClaimCallFailed(AttemptState &state) -> EntryAction
{
    if (state.closed || state.step != AttemptStep::ClaimRequested) {
        return ignore();
    }
    return close(state, Refusal{RefusalReason::ClaimUnavailable, RunState::Unknown, kOwnerLostRetryAfter, "the owner of the idempotency key did not answer"},
                 OutcomeKind::NotRun);
}

auto onLocalRefusal(AttemptState &state, RefusalReason reason, Duration retryAfter, PeekResult peekResult) -> EntryAction
{
    if (state.closed) {
        return ignore();
    }
    if (state.step == AttemptStep::ClaimRequested) {
        peekResult = PeekResult::NotRequested;
    }
    const RunState run = refusalRunState(state, peekResult);
    std::optional<OutcomeKind> outcomeKind;
    if (state.step != AttemptStep::Received) {
        outcomeKind = isProvenNotRun(state) ? OutcomeKind::NotRun : OutcomeKind::Unknown;
    }
    return close(state, Refusal{reason, run, retryAfter, {}}, outcomeKind);
}

auto mayDispatch(const AttemptState &state) -> bool
{
    return !state.closed && (state.step == AttemptStep::Claimed || state.provenNotSent);
}

void onDispatched(AttemptState &state)
{
    CHECK(mayDispatch(state)) << "second dispatch of attempt " << toHex(state.attempt);
    state.step = AttemptStep::Dispatched;
    state.provenNotSent = false;
}

auto onHomeReport(AttemptState &state, HomeReport report, const std::optional<Refusal> &refusal, const std::optional<RecordedResponse> &response) -> EntryAction
{
    const bool isRunning = state.step >= AttemptStep::Dispatched && state.step < AttemptStep::Answered;
    if (!isRunning || state.provenNotSent) {
        return ignore();
    }
    if (state.closed) {
        // The caller has been refused with unknown, but a late response is still reported as the outcome.
        if (report != HomeReport::Answered) {
            return ignore();
        }
        state.step = AttemptStep::Answered;
        EntryAction action = ignore();
        action.outcome = Outcome{OutcomeKind::Done, response};
        return action;
    }
    const auto closeUnknown = [&](RefusalReason reason, const char *detail) {
        Refusal reported = refusal.value_or(Refusal{reason, RunState::Unknown, {}, detail});
        reported.run = RunState::Unknown;
        return close(state, std::move(reported), OutcomeKind::Unknown);
    };
    switch (report) {
    case HomeReport::RefusedNotRun:
    case HomeReport::NeverSent:
        if (state.step >= AttemptStep::SentToTarget) {
            return closeUnknown(RefusalReason::BadResponse, "the home node took back that it had sent the request");
        }
        state.provenNotSent = true;
        return {EntryActionKind::Wait, std::nullopt, std::nullopt, std::nullopt};
    case HomeReport::Admitted:
        state.step = std::max(state.step, AttemptStep::Admitted);
        return {EntryActionKind::Wait, std::nullopt, std::nullopt, std::nullopt};
    case HomeReport::SentToTarget:
        state.step = AttemptStep::SentToTarget;
        return {EntryActionKind::Wait, std::nullopt, std::nullopt, std::nullopt};
    case HomeReport::Answered: {
        state.step = AttemptStep::Answered;
        state.closed = true;
        EntryAction action{EntryActionKind::ForwardResponse, std::nullopt, std::nullopt, std::nullopt};
        action.outcome = Outcome{OutcomeKind::Done, response};
        return action;
    }
    case HomeReport::RefusedUnknown:
        return closeUnknown(RefusalReason::ConnectionLost, "the request may have reached its target");
    case HomeReport::ResponseCut:
        return closeUnknown(RefusalReason::BadResponse, "the response broke off");
    case HomeReport::LinkClosed:
        return closeUnknown(RefusalReason::ConnectionLost, "the link to the home node closed");
    case HomeReport::Timeout:
        return closeUnknown(RefusalReason::DeadlinePassed, "the deadline passed while the request ran");
    }
    return ignore();
}

auto recordableResponse(const RecordedResponse &response, const ClaimSettings &settings) -> std::optional<RecordedResponse>
{
    static constexpr std::array<std::string_view, 6> kConnectionHeaders = {"connection", "keep-alive", "transfer-encoding", "te", "trailer", "upgrade"};
    if (response.body.size() > settings.maxRecordedBodyBytes) {
        return std::nullopt;
    }
    RecordedResponse recorded = response;
    for (const auto name : kConnectionHeaders) {
        removeHeader(recorded.headers, name);
    }
    size_t bytes = 0;
    for (const auto &[name, value] : recorded.headers) {
        bytes += name.size() + value.size();
    }
    if (bytes > settings.maxRecordedHeaderBytes) {
        return std::nullopt;
    }
    return recorded;
}

auto homeRunState(const HomeAttemptState &state) -> RunState
{
    return state.byteMayHaveReachedTarget ? RunState::Unknown : RunState::NotRun;
}

auto mayResendAtHome(const HomeAttemptState &state) -> bool
{
    return !state.byteMayHaveReachedTarget;
}

auto acceptAttempt(HomeAttempts &attempts, const RequestId &attempt, TimePoint now) -> bool
{
    while (!attempts.order.empty() && attempts.order.front().first + attempts.attemptRetention <= now) {
        attempts.seen.erase(attempts.order.front().second);
        attempts.order.pop_front();
    }
    if (!attempts.seen.insert(attempt).second) {
        return false;
    }
    attempts.order.emplace_back(now, attempt);
    return true;
}

} // namespace snipestream
