#pragma once

namespace snipestream
{

/// Maximum number of retries of an original request in its whole call tree.
inline constexpr int kMaxRetriesPerRequest = 3;

/// Retries that this node may still make for one request or pass on to its nested calls. Shares that were passed on are
/// not returned, so all shares of a call tree add up to at most the budget of the original request.
struct AttemptBudget {
    int left = 0;
};

/// Returns the budget of a received request. The value is limited to the range from zero to kMaxRetriesPerRequest, so that
/// a faulty sender cannot raise the bound.
auto receivedBudget(int attemptsLeft) -> AttemptBudget;

/// Takes the share of a nested call out of the budget and returns it: half, rounded up, since a retry is most useful near
/// the failure. The rest stays for retries of that call and for later calls. A single remaining retry is not passed on:
/// passed on at each hop, it would reach the last service, which makes no calls.
auto takeCallShare(AttemptBudget &budget) -> int;

/// Takes one retry of a nested call out of the budget. Returns false if none is left.
auto takeRetry(AttemptBudget &budget) -> bool;

} // namespace snipestream
