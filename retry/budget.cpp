#include "retry/budget.h"

#include <algorithm>

namespace snipestream
{

auto receivedBudget(int attemptsLeft) -> AttemptBudget
{
    return AttemptBudget{std::clamp(attemptsLeft, 0, kMaxRetriesPerRequest)};
}

auto takeCallShare(AttemptBudget &budget) -> int
{
    const int share = budget.left <= 1 ? 0 : (budget.left + 1) / 2;
    budget.left -= share;
    return share;
}

auto takeRetry(AttemptBudget &budget) -> bool
{
    if (budget.left <= 0) {
        return false;
    }
    --budget.left;
    return true;
}

} // namespace snipestream
