#include "idempotency/attempt_trace.h"

#include <algorithm>
#include <array>
#include <string_view>

#include <glog/logging.h>

namespace snipestream
{

namespace
{

constexpr Duration kLinkRetry = seconds(1);

auto ignore() -> EntryAction
{
    return {EntryActionKind::Ignore, std::nullopt, std::nullopt, std::nullopt};
}

/// Closes the attempt with a refusal and the outcome that the owner is told.
auto close(AttemptTrace &trace, Refusal refusal, std::optional<OutcomeKind> end) -> EntryAction
{
    trace.closed = true;
    EntryAction action{EntryActionKind::Refuse, std::move(refusal), std::nullopt, std::nullopt};
    if (end) {
        action.end = Outcome{*end, std::nullopt};
    }
    return action;
}

/// True if no byte of this attempt can have reached a target and none will, once the attempt is closed.
auto isProvenNotRun(const AttemptTrace &trace) -> bool
{
    return trace.step < AttemptStep::Dispatched || trace.provenNotSent;
}

} // namespace

auto truthfulRunState(const AttemptTrace &trace, OwnerKnowledge knowledge) -> RunState
{
    if (!isProvenNotRun(trace)) {
        return RunState::Unknown;
    }
    // A grant says that no earlier attempt has run, and the claim keeps others from running while it is held.
    const bool holdsClaim = trace.step >= AttemptStep::Claimed;
    return holdsClaim || knowledge == OwnerKnowledge::NoOtherAttempt ? RunState::NotRun : RunState::Unknown;
}

void onClaimAsked(AttemptTrace &trace)
{
    CHECK(trace.step == AttemptStep::Received) << "claim asked for twice, attempt " << toHex(trace.attempt);
    trace.step = AttemptStep::ClaimAsked;
}

auto onVerdict(AttemptTrace &trace, const ClaimVerdict &verdict) -> EntryAction
{
    const bool isGrant = std::holds_alternative<Granted>(verdict);
    if (trace.closed && isGrant && trace.step < AttemptStep::Claimed) {
        EntryAction action = ignore();
        action.end = Outcome{OutcomeKind::NotRun, std::nullopt};
        return action;
    }
    if (trace.closed || trace.step != AttemptStep::ClaimAsked) {
        return ignore();
    }
    if (isGrant) {
        trace.step = AttemptStep::Claimed;
        return {EntryActionKind::Dispatch, std::nullopt, std::nullopt, std::nullopt};
    }
    if (std::holds_alternative<Wait>(verdict)) {
        return {EntryActionKind::Wait, std::nullopt, std::nullopt, std::nullopt};
    }
    if (const auto *replay = std::get_if<Replay>(&verdict)) {
        trace.closed = true;
        return {EntryActionKind::RespondRecorded, std::nullopt, replay->response, std::nullopt};
    }
    const auto &refusal = std::get<Refused>(verdict).refusal;
    // A claim that an owner without a valid lease gave up may stand on the log; its successor can release it.
    const bool mayBeOnLog = refusal.reason == RefusalReason::ClaimUnavailable;
    return close(trace, refusal, mayBeOnLog ? std::optional(OutcomeKind::NotRun) : std::nullopt);
}

auto onClaimLost(AttemptTrace &trace) -> EntryAction
{
    if (trace.closed || trace.step != AttemptStep::ClaimAsked) {
        return ignore();
    }
    return close(trace, Refusal{RefusalReason::ClaimUnavailable, RunState::Unknown, kLinkRetry, "the owner of the idempotency key did not answer"},
                 OutcomeKind::NotRun);
}

auto onLocalRefusal(AttemptTrace &trace, RefusalReason reason, Duration retryAfter, OwnerKnowledge knowledge) -> EntryAction
{
    if (trace.closed) {
        return ignore();
    }
    if (trace.step == AttemptStep::ClaimAsked) {
        knowledge = OwnerKnowledge::NotAsked;
    }
    const RunState run = truthfulRunState(trace, knowledge);
    std::optional<OutcomeKind> end;
    if (trace.step != AttemptStep::Received) {
        end = isProvenNotRun(trace) ? OutcomeKind::NotRun : OutcomeKind::Unknown;
    }
    return close(trace, Refusal{reason, run, retryAfter, {}}, end);
}

auto mayDispatch(const AttemptTrace &trace) -> bool
{
    return !trace.closed && (trace.step == AttemptStep::Claimed || trace.provenNotSent);
}

void onDispatched(AttemptTrace &trace)
{
    CHECK(mayDispatch(trace)) << "second dispatch of attempt " << toHex(trace.attempt);
    trace.step = AttemptStep::Dispatched;
    trace.provenNotSent = false;
}

auto onHomeReport(AttemptTrace &trace, HomeReport report, const std::optional<Refusal> &refusal, const std::optional<RecordedResponse> &response) -> EntryAction
{
    const bool isRunning = trace.step >= AttemptStep::Dispatched && trace.step < AttemptStep::Answered;
    if (!isRunning || trace.provenNotSent) {
        return ignore();
    }
    if (trace.closed) {
        // The caller was refused with unknown; a late response is still the outcome of the run.
        if (report != HomeReport::Answered) {
            return ignore();
        }
        trace.step = AttemptStep::Answered;
        EntryAction action = ignore();
        action.end = Outcome{OutcomeKind::Done, response};
        return action;
    }
    const auto lost = [&](RefusalReason reason, const char *detail) {
        Refusal told = refusal.value_or(Refusal{reason, RunState::Unknown, {}, detail});
        told.run = RunState::Unknown;
        return close(trace, std::move(told), OutcomeKind::Unknown);
    };
    switch (report) {
    case HomeReport::RefusedNotRun:
    case HomeReport::NeverSent:
        if (trace.step >= AttemptStep::SentToTarget) {
            return lost(RefusalReason::BadResponse, "the home node took back that it had sent the request");
        }
        trace.provenNotSent = true;
        return {EntryActionKind::Wait, std::nullopt, std::nullopt, std::nullopt};
    case HomeReport::Admitted:
        trace.step = std::max(trace.step, AttemptStep::Admitted);
        return {EntryActionKind::Wait, std::nullopt, std::nullopt, std::nullopt};
    case HomeReport::SentToTarget:
        trace.step = AttemptStep::SentToTarget;
        return {EntryActionKind::Wait, std::nullopt, std::nullopt, std::nullopt};
    case HomeReport::Answered: {
        trace.step = AttemptStep::Answered;
        trace.closed = true;
        EntryAction action{EntryActionKind::RespondAnswer, std::nullopt, std::nullopt, std::nullopt};
        action.end = Outcome{OutcomeKind::Done, response};
        return action;
    }
    case HomeReport::RefusedUnknown:
        return lost(RefusalReason::ConnectionLost, "the request may have reached its target");
    case HomeReport::AnswerCut:
        return lost(RefusalReason::BadResponse, "the response broke off");
    case HomeReport::LinkClosed:
        return lost(RefusalReason::ConnectionLost, "the link to the home node closed");
    case HomeReport::Timeout:
        return lost(RefusalReason::DeadlinePassed, "the deadline passed while the request ran");
    }
    return ignore();
}

auto recordable(const RecordedResponse &response, const ClaimSettings &settings) -> std::optional<RecordedResponse>
{
    static constexpr std::array<std::string_view, 6> kConnectionHeaders = {"connection", "keep-alive", "transfer-encoding", "te", "trailer", "upgrade"};
    if (response.body.size() > settings.maxRecordedBody) {
        return std::nullopt;
    }
    RecordedResponse kept = response;
    for (const auto name : kConnectionHeaders) {
        removeHeader(kept.headers, name);
    }
    size_t bytes = 0;
    for (const auto &[name, value] : kept.headers) {
        bytes += name.size() + value.size();
    }
    if (bytes > settings.maxRecordedHeaders) {
        return std::nullopt;
    }
    return kept;
}

auto homeRunState(const HomeTrace &trace) -> RunState
{
    return trace.byteMayHaveReachedTarget ? RunState::Unknown : RunState::NotRun;
}

auto mayResendAtHome(const HomeTrace &trace) -> bool
{
    return !trace.byteMayHaveReachedTarget;
}

auto acceptAttempt(HomeAttempts &attempts, const RequestId &attempt, TimePoint now) -> bool
{
    while (!attempts.order.empty() && attempts.order.front().first + attempts.kept <= now) {
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
