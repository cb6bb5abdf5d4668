#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "mesh/peer_table.h"
#include "mesh/policy.h"

#include <string_view>
#include <vector>

namespace snipestream
{

/// Constants of the shedding level of one target.
struct PressureSettings {
    /// Time between two steps of the level.
    Duration window = milliseconds(100);
    /// Use of the slots, waiting requests included, above which the level rises. Below one, so that a slot is free for
    /// most requests when they arrive.
    double wantedUse = 0.92;
    /// Part of the lowest priority that one window sheds for an excess of a whole target's slots. News of the level and
    /// the requests already admitted take about four windows, so a larger step overshoots.
    double riseGain = 0.15;
    double mostRise = 0.15;
    /// Part that one window admits again.
    double fall = 0.02;
};

/// Shedding level of one target. Level 1 sheds all client requests of the least important priority, level 2 those of the
/// next one too.
struct PressureState {
    double level = 0;
    TimePoint steppedAt;
};

/// Moves the level if a window has passed. `use` is the part of the slots that running and waiting requests take.
void stepPressure(PressureState &state, const PressureSettings &settings, double use, int priorities, TimePoint now);

/// Returns the priorities that client requests of the policy can have, the least important one first.
auto clientPriorities(const Policy &policy) -> std::vector<int>;

/// Returns the level that holds for requests to a service: the mean over its targets, or the highest one of the services
/// that its targets call, at any depth. A request is best shed where it enters, before any work was done for it.
auto serviceLevel(const PeerTable &table, const ServiceName &service, TimePoint now) -> double;

/// Returns whether a client request of this priority is shed at the level. The part of a priority that is shed is chosen
/// by the hash of the request id.
auto isShedAt(double level, const std::vector<int> &priorities, int priority, std::string_view requestId) -> bool;

} // namespace snipestream
