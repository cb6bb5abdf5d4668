#pragma once

namespace snipestream
{

/// Attempts beyond the first that an original request may make in its whole call tree.
inline constexpr int kMaxRetriesPerRequest = 3;

/// Further attempts that this node may spend for one request, itself or by passing them on. Shares that were passed on
/// never come back, so the shares of a call tree always sum up to at most the budget of the original request.
struct AttemptBudget {
    int left = 0;
};

/// Returns the budget of a request as received: negative values count as zero and values above kMaxRetriesPerRequest as
/// that, so that a faulty sender cannot raise the bound.
auto receivedBudget(int attemptsLeft) -> AttemptBudget;

/// Takes the share of an onward call out of the budget and returns it: half, rounded up, since an attempt is spent best
/// near the failure. The rest stays for retries of that call and for later calls. A single attempt stays too: passed on
/// at each hop it would reach the last service, which calls nobody.
auto takeCallShare(AttemptBudget &budget) -> int;

/// Takes one attempt for a retry of an onward call. Returns false if none is left.
auto takeRetry(AttemptBudget &budget) -> bool;

} // namespace snipestream
