#include "retry/retry.h"

#include <algorithm>

namespace snipestream
{

namespace
{

constexpr Duration kBaseBackoff = milliseconds(5);
constexpr Duration kMaxBackoff = milliseconds(250);

auto noRetry(NoRetryReason reason) -> RetryDecision
{
    return RetryDecision{reason, {}};
}

auto isOverload(const FailedAttempt &failed) -> bool
{
    return failed.reason == RefusalReason::Overloaded || failed.reason == RefusalReason::QueueTimeout;
}

} // namespace

auto noRetryReasonName(NoRetryReason reason) -> const char *
{
    switch (reason) {
    case NoRetryReason::Pointless:
        return "pointless";
    case NoRetryReason::Overload:
        return "overload";
    case NoRetryReason::MayHaveRun:
        return "may-have-run";
    case NoRetryReason::CannotResend:
        return "cannot-repeat";
    case NoRetryReason::Deadline:
        return "deadline";
    case NoRetryReason::Budget:
        return "budget";
    case NoRetryReason::Ratio:
        return "ratio";
    }
    return "pointless";
}

auto isRetryable(const FailedAttempt &failed) -> bool
{
    if (!failed.reason) {
        return true;
    }
    switch (*failed.reason) {
    case RefusalReason::NoTarget:
    case RefusalReason::ConnectionLost:
    case RefusalReason::BadResponse:
    case RefusalReason::ShuttingDown:
        return true;
    default:
        return false;
    }
}

auto drawBackoff(int number, Random &random) -> Duration
{
    const int doublings = std::clamp(number - 1, 0, 10);
    const Duration maxBackoff = std::min(kMaxBackoff, kBaseBackoff * (1 << doublings));
    return Duration(static_cast<Duration::rep>(drawBelow(random, static_cast<uint64_t>(maxBackoff.count()) + 1)));
}

auto decideRetry(AttemptBudget &budget, RetryRatio &ratio, const RetriedCall &call, const FailedAttempt &failed, TimePoint now, Random &random) -> RetryDecision
{
    if (isOverload(failed)) {
        return noRetry(NoRetryReason::Overload);
    }
    if (!isRetryable(failed)) {
        return noRetry(NoRetryReason::Pointless);
    }
    if (!call.idempotent && failed.run != RunState::NotRun) {
        return noRetry(NoRetryReason::MayHaveRun);
    }
    if (call.cannotResend) {
        return noRetry(NoRetryReason::CannotResend);
    }
    // A target that is shutting down does not indicate a problem at the others, so the first retry at another target
    // needs no delay. A delay that a refusal requests applies to the target that refused, not to the one that is retried.
    const bool isTargetGone = failed.reason == RefusalReason::NoTarget || failed.reason == RefusalReason::ShuttingDown;
    const Duration backoff = isTargetGone && failed.number == 1 ? Duration::zero() : drawBackoff(failed.number, random);
    if (now + backoff >= call.deadline) {
        return noRetry(NoRetryReason::Deadline);
    }
    if (budget.left <= 0) {
        return noRetry(NoRetryReason::Budget);
    }
    if (!allowsRetry(ratio, now)) {
        return noRetry(NoRetryReason::Ratio);
    }
    takeRetry(budget);
    countRetry(ratio, now);
    return RetryDecision{std::nullopt, backoff};
}

} // namespace snipestream
