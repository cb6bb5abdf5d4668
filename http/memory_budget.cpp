#include "http/memory_budget.h"

#include <algorithm>
#include <utility>

namespace snipestream
{

MemoryHold::MemoryHold(std::shared_ptr<MemoryBudget> budget)
    : budget_(std::move(budget))
    , row_(budget_->holds.insert(budget_->holds.end(), HeldBytes()))
{
}

MemoryHold::~MemoryHold()
{
    budget_->totalBytes -= row_->bytes;
    budget_->holds.erase(row_);
}

void MemoryHold::setAbort(std::function<void()> abort)
{
    row_->abort = std::move(abort);
}

void MemoryHold::setBytes(uint64_t bytes)
{
    budget_->totalBytes += bytes - row_->bytes;
    row_->bytes = bytes;
    if (budget_->totalBytes <= budget_->maxBytes) {
        return;
    }
    auto &holds = budget_->holds;
    const auto largest = std::max_element(holds.begin(), holds.end(), [](const HeldBytes &a, const HeldBytes &b) {
        return (a.abort ? a.bytes : 0) < (b.abort ? b.bytes : 0);
    });
    const bool isAlone = budget_->totalBytes - largest->bytes <= budget_->maxBytes / 2;
    if (isAlone && largest->bytes <= budget_->maxSingleBytes) {
        return;
    }
    // The function may destroy the holder.
    if (const auto abort = std::exchange(largest->abort, nullptr)) {
        abort();
    }
}

} // namespace snipestream
