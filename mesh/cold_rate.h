#pragma once

#include "core/time.h"

namespace snipestream
{

/// Limit on the requests that a cold target gets. A target that has just started, or has lost its caches, bears only a few requests
/// a second. The home is the only sender to its target, so a bucket of tokens at the home holds the limit in every second.
struct ColdRate {
    /// The target is cold until then.
    TimePoint coldUntil;
    /// A connection of the target has broken, so it may have started again and be cold; its next announcement tells.
    bool isSuspected = false;
    double tokens = 0;
    TimePoint refilledAt;
};

/// Notes an announcement of the target. The bucket of a target that turns cold is empty, since requests from before may have just
/// reached it.
void observeWarmup(ColdRate &rate, Duration warmupLeft, TimePoint now);

/// Notes that the target may have started again.
void suspectCold(ColdRate &rate, TimePoint now);

auto isCold(const ColdRate &rate, TimePoint now) -> bool;

/// Takes a token for one request to the target, which bears `perSecond` requests while it is cold; 0 means no limit. Returns false if
/// the request must not be sent now.
auto takeColdToken(ColdRate &rate, double perSecond, TimePoint now) -> bool;

/// Returns how many requests a cold target can run at once when it gets `perSecond` requests that take `serviceSeconds` each; at least
/// 1 and at most `limit`.
auto coldConcurrency(double perSecond, double serviceSeconds, int limit) -> int;

} // namespace snipestream
