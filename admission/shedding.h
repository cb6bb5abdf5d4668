#pragma once

#include "core/ids.h"
#include "core/priority.h"
#include "core/time.h"

#include <array>
#include <unordered_map>
#include <vector>

namespace snipestream
{

/// Number of cohorts that request ids hash into.
inline constexpr int kCohortCount = 128;
/// Number of ranks, one per priority and cohort.
inline constexpr int kRankCount = kPriorityCount * kCohortCount;
/// Highest shedding level; one cohort of critical requests is always let through, so that recovery is noticed.
inline constexpr int kMaxSheddingLevel = kRankCount - 1;

/// Returns the cohort of the request id; the same at every hop.
auto cohortOf(const RequestId &id) -> int;

/// Returns the rank of a request: zero is shed last, kRankCount - 1 first.
auto rankOf(Priority priority, const RequestId &id) -> int;

/// Returns whether a request of this rank is shed at the level. Level zero sheds nothing.
auto isShed(int level, int rank) -> bool;

/// Returns whether the level sheds every request of this priority.
auto isPriorityShed(int level, Priority priority) -> bool;

/// Constants of the shedding level.
struct SheddingSettings {
    Duration window = milliseconds(100);
    /// A queue whose shortest wait in a window exceeds this is a standing queue: it delays without absorbing a burst.
    Duration standingWait = milliseconds(20);
    /// The same as a part of the service time, whichever is longer: a wait far below the service time costs little.
    double standingPart = 0.25;
    /// Part of the admitted arrivals that one overloaded window removes at least.
    double shedStep = 0.05;
    /// Part of the admitted arrivals that one calm window adds.
    double admitStep = 0.05;
    /// Ranks that one calm window admits at least, for ranks whose arrivals upstream nodes already shed.
    int leastAdmitRanks = 8;
    /// Ranks that a window with idle slots admits at most, since nothing is known about ranks without arrivals.
    int mostAdmitRanks = 48;
    /// Part of the slots that a growing level of admitted requests aims at.
    double wantedUse = 0.95;
};

/// Shedding level of one target.
struct SheddingState {
    int level = 0;
    /// Arrivals per rank, decayed over about a second; includes those that were shed.
    std::array<float, kRankCount> arrivals{};
    TimePoint windowStart;
    /// The queue was empty at some moment of the window.
    bool queueWasEmpty = true;
    Duration shortestWait = Duration::max();
    /// Used part of the limit, summed over the samples of the window.
    double useSum = 0;
    int useSamples = 0;
    /// A request was refused because the queue was full or the wait too long.
    bool overflowed = false;
};

/// Counts an arrival.
void observeArrival(SheddingState &state, int rank);

/// Moves the level if the window is over. Returns true if it was.
auto tickShedding(SheddingState &state, const SheddingSettings &settings, Duration serviceTime, TimePoint now) -> bool;

/// Level of a service as its answers report it to this node.
struct UpstreamLevel {
    double level = 0;
    TimePoint observedAt;
};

/// Levels of the services that this node calls.
struct UpstreamTable {
    std::unordered_map<ServiceName, UpstreamLevel> services;
};

/// Returns the name under which levels of one route of a service are kept. Routes of a service go on to different
/// services, so levels that include services further down are kept per route.
auto upstreamKey(const ServiceName &service, const RouteName &route) -> ServiceName;

/// Returns the level to report with an answer: the target's own one or the highest one of the calls that were made for
/// the request, named by their keys. The first node of a chain then sheds what the last one would.
auto reportedLevel(int own, const UpstreamTable &table, const std::vector<ServiceName> &called, TimePoint now) -> int;

/// Takes the level that came with an answer of the service into account. Levels out of range are clamped.
void observeUpstream(UpstreamTable &table, const ServiceName &service, int level, TimePoint now);

/// Returns whether a call to the service would most likely be shed there and so should not be sent.
auto shouldShedUpstream(const UpstreamTable &table, const ServiceName &service, Priority priority, const RequestId &id, TimePoint now) -> bool;

/// Returns the level known for the service, after ageing; zero if none is known.
auto upstreamLevel(const UpstreamTable &table, const ServiceName &service, TimePoint now) -> int;

} // namespace snipestream
