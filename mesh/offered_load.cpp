#include "mesh/offered_load.h"

#include <algorithm>
#include <cmath>

namespace snipestream
{

namespace
{

/// Time over which the load is averaged: a few hundred requests at a busy target, and short against an overload.
constexpr double kLoadSeconds = 0.3;

auto decayFactor(const OfferedLoad &load, TimePoint now) -> double
{
    const double passed = std::max(0.0, std::chrono::duration<double>(now - load.countedAt).count());
    return std::exp(-passed / kLoadSeconds);
}

} // namespace

void addWork(OfferedLoad &load, double slotSeconds, TimePoint now)
{
    load.decayedWork = load.decayedWork * decayFactor(load, now) + slotSeconds / kLoadSeconds;
    load.countedAt = now;
}

auto offeredLoadAt(const OfferedLoad &load, TimePoint now) -> double
{
    return load.decayedWork * decayFactor(load, now);
}

} // namespace snipestream
