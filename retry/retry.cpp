#include "retry/retry.h"

#include <algorithm>

namespace snipestream
{

namespace
{

constexpr Duration kBackoffBase = milliseconds(5);
constexpr Duration kBackoffMost = milliseconds(250);

auto refuse(NoRetry why) -> RetryDecision
{
    return RetryDecision{why, {}};
}

auto isOverload(const FailedAttempt &failed) -> bool
{
    return failed.reason == RefusalReason::Overloaded || failed.reason == RefusalReason::QueueTimeout;
}

} // namespace

auto noRetryName(NoRetry why) -> const char *
{
    switch (why) {
    case NoRetry::Pointless:
        return "pointless";
    case NoRetry::Overload:
        return "overload";
    case NoRetry::MayHaveRun:
        return "may-have-run";
    case NoRetry::CannotRepeat:
        return "cannot-repeat";
    case NoRetry::Deadline:
        return "deadline";
    case NoRetry::Budget:
        return "budget";
    case NoRetry::Ratio:
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
    const Duration most = std::min(kBackoffMost, kBackoffBase * (1 << doublings));
    return Duration(static_cast<Duration::rep>(drawBelow(random, static_cast<uint64_t>(most.count()) + 1)));
}

auto decideRetry(AttemptBudget &budget, RetryRatio &ratio, const RetriedCall &call, const FailedAttempt &failed, TimePoint now, Random &random) -> RetryDecision
{
    if (isOverload(failed)) {
        return refuse(NoRetry::Overload);
    }
    if (!isRetryable(failed)) {
        return refuse(NoRetry::Pointless);
    }
    if (!call.idempotent && failed.run != RunState::NotRun) {
        return refuse(NoRetry::MayHaveRun);
    }
    if (call.cannotRepeat) {
        return refuse(NoRetry::CannotRepeat);
    }
    // A target that leaves says nothing about the others, so the first retry elsewhere needs no wait. The wait that a
    // refusal asks for concerns the target that refused, and a retry goes to another one.
    const bool isLeaving = failed.reason == RefusalReason::NoTarget || failed.reason == RefusalReason::ShuttingDown;
    const Duration backoff = isLeaving && failed.number == 1 ? Duration::zero() : drawBackoff(failed.number, random);
    if (now + backoff >= call.deadline) {
        return refuse(NoRetry::Deadline);
    }
    if (budget.left <= 0) {
        return refuse(NoRetry::Budget);
    }
    if (!allowsRetry(ratio, now)) {
        return refuse(NoRetry::Ratio);
    }
    takeRetry(budget);
    countRetry(ratio, now);
    return RetryDecision{std::nullopt, backoff};
}

} // namespace snipestream
