#pragma once

#include "core/random.h"
#include "core/refusal.h"
#include "core/time.h"
#include "retry/budget.h"
#include "retry/ratio.h"

#include <optional>

namespace snipestream
{

/// How an attempt of a call failed.
struct FailedAttempt {
    /// Set if the receiver or this node refused the request; empty if the target itself responded with an error (5xx).
    std::optional<RefusalReason> reason;
    /// Whether the attempt may have had an effect.
    RunState run = RunState::Unknown;
    /// Number of the failed attempt of this call, starting at 1.
    int number = 1;
};

/// The call whose attempt failed.
struct RetriedCall {
    bool idempotent = false;
    TimePoint deadline;
    /// Part of the body was sent and is not buffered, or part of the response was already forwarded.
    bool cannotResend = false;
};

/// Why a failed attempt is not retried.
enum class NoRetryReason {
    /// A retry would fail in the same way, such as after a refusal because of the rate or a used idempotency key.
    Pointless,
    /// The service is overloaded, and a retry would add load.
    Overload,
    /// The call is not idempotent and may have run.
    MayHaveRun,
    /// The body or the response cannot be sent again.
    CannotResend,
    /// The deadline would pass before the retry.
    Deadline,
    /// The retries of the original request are used up.
    Budget,
    /// This node has reached its retry ratio.
    Ratio,
};

/// Returns the name used in metrics, such as "budget".
auto noRetryReasonName(NoRetryReason reason) -> const char *;

/// Whether and when to try again.
struct RetryDecision {
    /// Empty if the attempt is retried.
    std::optional<NoRetryReason> noRetryReason;
    /// Delay before the retry.
    Duration backoff{};
};

/// Returns whether a retry at another target may succeed after this failure.
auto isRetryable(const FailedAttempt &failed) -> bool;

/// Returns a random delay, distributed evenly from zero to 5 ms x 2^(number - 1), but at most to 250 ms. The full jitter
/// spreads retries that one failure caused at the same time.
auto drawBackoff(int number, Random &random) -> Duration;

/// Decides whether a failed attempt is retried. A retry is taken from the budget and counted in the ratio.
auto decideRetry(AttemptBudget &budget, RetryRatio &ratio, const RetriedCall &call, const FailedAttempt &failed, TimePoint now, Random &random)
    -> RetryDecision;

} // namespace snipestream
