#include "mesh/cold_rate.h"

#include <algorithm>
#include <cmath>

namespace snipestream
{

namespace
{

/// Tokens that a bucket holds at most, as the time in which they are added. In any one second, the target gets at most the requests
/// of this time and of that second.
constexpr double kBurstSeconds = 0.25;

} // namespace

void observeWarmup(ColdRate &rate, Duration warmupLeft, TimePoint now)
{
    const bool wasCold = isCold(rate, now);
    rate.isSuspected = false;
    rate.coldUntil = now + warmupLeft;
    if (!wasCold && isCold(rate, now)) {
        rate.tokens = 0;
        rate.refilledAt = now;
    }
}

void suspectCold(ColdRate &rate, TimePoint now)
{
    if (!isCold(rate, now)) {
        rate.tokens = 0;
        rate.refilledAt = now;
    }
    rate.isSuspected = true;
}

auto isCold(const ColdRate &rate, TimePoint now) -> bool
{
    return rate.isSuspected || now < rate.coldUntil;
}

auto takeColdToken(ColdRate &rate, double perSecond, TimePoint now) -> bool
{
    if (perSecond <= 0 || !isCold(rate, now)) {
        return true;
    }
    const double elapsed = std::max(0.0, std::chrono::duration<double>(now - rate.refilledAt).count());
    rate.tokens = std::min(std::max(1.0, perSecond * kBurstSeconds), rate.tokens + elapsed * perSecond);
    rate.refilledAt = now;
    if (rate.tokens < 1) {
        return false;
    }
    rate.tokens -= 1;
    return true;
}

auto coldConcurrency(double perSecond, double serviceSeconds, int limit) -> int
{
    if (perSecond <= 0) {
        return limit;
    }
    return std::clamp(static_cast<int>(std::ceil(perSecond * serviceSeconds)), 1, std::max(limit, 1));
}

} // namespace snipestream
