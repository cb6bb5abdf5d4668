#pragma once

#include "core/time.h"

namespace snipestream
{

/// Work that arrives at a target, as a part of what its slots can do; above one, more arrives than can be done. Unlike
/// the number of waiting requests, it does not depend on how long the overload has lasted.
struct OfferedLoad {
    double decayedWork = 0;
    TimePoint countedAt;
};

/// Counts the slot time that a request will take, as a part of all slots of the target.
void addWork(OfferedLoad &load, double slotSeconds, TimePoint now);

/// Returns the load of the last fraction of a second.
auto offeredLoadAt(const OfferedLoad &load, TimePoint now) -> double;

} // namespace snipestream
