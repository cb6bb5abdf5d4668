#pragma once

#include "core/time.h"

namespace snipestream
{

/// Work that arrives at a target, as a ratio to the capacity of its slots. Above 1, more work arrives than the target
/// can do. Unlike the number of queued requests, it does not depend on how long an overload has lasted.
struct OfferedLoad {
    /// Exponentially decayed load as of `decayedAt`.
    double decayedWork = 0;
    TimePoint decayedAt;
};

/// Adds the slot time that a request is expected to take, in seconds, divided by the number of slots of the target.
void addWork(OfferedLoad &load, double slotSeconds, TimePoint now);

/// Returns the load averaged over the last fraction of a second.
auto offeredLoadAt(const OfferedLoad &load, TimePoint now) -> double;

} // namespace snipestream
