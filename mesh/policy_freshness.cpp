#include "mesh/policy_freshness.h"

#include <algorithm>

namespace snipestream
{

namespace
{

/// Time between two notes of the time from which the process counts as paused; the ticks are a fraction of it apart.
constexpr Duration kPauseGap = milliseconds(100);
/// How long a store that did not answer is taken for unreachable. It is longer than the longest pause between two reads and the
/// time of the second one.
constexpr Duration kUnansweredValidity = milliseconds(2500);

auto wasPaused(const StoreContact &contact, TimePoint now) -> bool
{
    return now - contact.observedAt > kPauseGap;
}

} // namespace

void beginStoreRead(StoreContact &contact, Duration answerTime, TimePoint now)
{
    contact.answerDueAt = now + answerTime;
}

void endStoreRead(StoreContact &contact, bool wasAnswered, TimePoint now)
{
    contact.answerDueAt.reset();
    if (wasAnswered) {
        contact.unansweredAt.reset();
    } else if (!wasPaused(contact, now)) {
        // After a pause, the timeout may have been noticed before the answer.
        contact.unansweredAt = now;
    }
}

void observeStoreRead(StoreContact &contact, Duration answerTime, TimePoint now)
{
    const bool paused = wasPaused(contact, now);
    contact.observedAt = now;
    if (!contact.answerDueAt) {
        return;
    }
    if (paused) {
        contact.answerDueAt = std::max(*contact.answerDueAt, now + answerTime);
    } else if (now >= *contact.answerDueAt) {
        contact.unansweredAt = now;
    }
}

auto policyTrust(TimePoint confirmedAt, const StoreContact &contact, std::optional<TimePoint> newerHeardAt, Duration policyApply, TimePoint now) -> PolicyTrust
{
    if (now - confirmedAt < policyApply) {
        return PolicyTrust::Confirmed;
    }
    if (newerHeardAt && now - *newerHeardAt < policyApply) {
        return PolicyTrust::Unconfirmed;
    }
    const bool isUnreachable = contact.unansweredAt && *contact.unansweredAt >= confirmedAt && now - *contact.unansweredAt < kUnansweredValidity;
    return isUnreachable ? PolicyTrust::Unreachable : PolicyTrust::Unconfirmed;
}

} // namespace snipestream
