#pragma once

#include "core/random.h"
#include "core/refusal.h"
#include "core/time.h"
#include "retry/budget.h"
#include "retry/ratio.h"

#include <optional>

namespace snipestream
{

/// How an attempt of an onward call failed.
struct FailedAttempt {
    /// Set if the receiver or this node refused; empty if the target itself answered with an error (5xx).
    std::optional<RefusalReason> reason;
    /// Whether the attempt may have had an effect.
    RunState run = RunState::Unknown;
    /// Number of the failed attempt of this call: 1 for the first.
    int number = 1;
};

/// The call that failed.
struct RetriedCall {
    bool idempotent = false;
    TimePoint deadline;
    /// Part of the body has been sent and was not kept, or part of the response has been passed on.
    bool cannotRepeat = false;
};

/// Why a failed attempt is not retried.
enum class NoRetry {
    /// The failure stays the same on a repeat, such as a refusal for the rate or a used idempotency key.
    Pointless,
    /// The service is overloaded; a retry would add to that.
    Overload,
    /// The call is not idempotent and may have run.
    MayHaveRun,
    /// The body or the response cannot be repeated.
    CannotRepeat,
    /// The deadline passes before the retry.
    Deadline,
    /// The attempts of the original request are used up.
    Budget,
    /// This node retries too much already.
    Ratio,
};

/// Returns the name used in metrics, such as "budget".
auto noRetryName(NoRetry why) -> const char *;

/// Whether and when to try again.
struct RetryDecision {
    /// Empty if the attempt is retried.
    std::optional<NoRetry> noRetryReason;
    /// Wait before the retry.
    Duration backoff{};
};

/// Returns whether a repeat of this failure may succeed at another target.
auto isRetryable(const FailedAttempt &failed) -> bool;

/// Returns a wait drawn evenly from zero to 5 ms x 2^(number - 1), at most 250 ms. Full jitter spreads retries that
/// one failure caused at the same moment.
auto drawBackoff(int number, Random &random) -> Duration;

/// Decides about a failed attempt. If it is retried, one attempt is taken from the budget and counted in the ratio.
auto decideRetry(AttemptBudget &budget, RetryRatio &ratio, const RetriedCall &call, const FailedAttempt &failed, TimePoint now, Random &random)
    -> RetryDecision;

} // namespace snipestream
