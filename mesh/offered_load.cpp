#include "mesh/offered_load.h"

#include <algorithm>
#include <cmath>

namespace snipestream
{

namespace
{

/// Time constant of the average, in seconds. It covers a few hundred requests at a busy target and is short compared
/// with an overload.
constexpr double kLoadDecaySeconds = 0.3;

auto decayFactor(const OfferedLoad &load, TimePoint now) -> double
{
    const double elapsed = std::max(0.0, std::chrono::duration<double>(now - load.decayedAt).count());
    return std::exp(-elapsed / kLoadDecaySeconds);
}

} // namespace

void addWork(OfferedLoad &load, double slotSeconds, TimePoint now)
{
    load.decayedWork = load.decayedWork * decayFactor(load, now) + slotSeconds / kLoadDecaySeconds;
    load.decayedAt = now;
}

auto offeredLoadAt(const OfferedLoad &load, TimePoint now) -> double
{
    return load.decayedWork * decayFactor(load, now);
}

} // namespace snipestream
