#pragma once

#include "core/ids.h"
#include "core/priority.h"
#include "core/time.h"

#include <array>
#include <unordered_map>
#include <vector>

namespace snipestream
{

/// Number of cohorts into which request ids are hashed.
inline constexpr int kCohortCount = 128;
/// Number of ranks, one per priority and cohort.
inline constexpr int kRankCount = kPriorityCount * kCohortCount;
/// Maximum shedding level. One cohort of critical requests is always admitted, so that a recovery is noticed.
inline constexpr int kMaxSheddingLevel = kRankCount - 1;

/// Returns the cohort of the request id; it is the same on every node.
auto cohortOf(const RequestId &id) -> int;

/// Returns the rank of a request: rank zero is shed last and kRankCount - 1 first.
auto rankOf(Priority priority, const RequestId &id) -> int;

/// Returns whether a request of this rank is shed at the level. Level zero sheds nothing.
auto isShed(int level, int rank) -> bool;

/// Returns whether the level sheds every request of this priority.
auto isPriorityShed(int level, Priority priority) -> bool;

/// Settings of the shedding level.
struct SheddingSettings {
    Duration window = milliseconds(100);
    /// Minimum queue delay over a window above which the queue is a standing queue: it adds delay and does not merely
    /// absorb a burst.
    Duration standingQueueDelay = milliseconds(20);
    /// The same bound as a fraction of the mean service time; the larger of the two applies, since a delay far below
    /// the service time costs little.
    double standingQueueDelayFraction = 0.25;
    /// Minimum fraction of the admitted arrivals that one overloaded window sheds.
    double shedStepFraction = 0.05;
    /// Fraction by which the admitted arrivals grow in one window without overload.
    double admitStepFraction = 0.05;
    /// Minimum number of ranks that one window without overload admits, for ranks whose arrivals calling nodes already
    /// shed.
    int minAdmitRanks = 8;
    /// Maximum number of ranks that one window with idle slots admits, since the load of ranks without
    /// arrivals is unknown.
    int maxAdmitRanks = 48;
    /// Utilization of the limit aimed at while the admitted arrivals grow.
    double desiredUtilization = 0.95;
};

/// Shedding level of one target.
struct SheddingState {
    int level = 0;
    /// Arrivals per rank, including shed ones; decayed exponentially over about a second.
    std::array<float, kRankCount> arrivals{};
    TimePoint windowStart;
    /// Whether the queue was empty at any time in the window.
    bool queueWasEmpty = true;
    Duration minQueueDelay = Duration::max();
    /// Utilization of the limit, summed over the samples of the window.
    double utilizationSum = 0;
    int utilizationSamples = 0;
    /// Whether a request was refused because the queue was full or the queue delay too long.
    bool overflowed = false;
};

void observeArrival(SheddingState &state, int rank);

/// Adjusts the level if the window is over. Returns true if it was over.
auto tickShedding(SheddingState &state, const SheddingSettings &settings, Duration serviceTime, TimePoint now) -> bool;

/// Shedding level of a service, averaged over the levels that its responses report to this node.
struct UpstreamLevel {
    double level = 0;
    TimePoint observedAt;
};

/// Shedding levels of the services that this node calls.
struct UpstreamTable {
    std::unordered_map<ServiceName, UpstreamLevel> services;
};

/// Returns the key under which the levels of one route of a service are stored. Different routes of a service lead to
/// different nested calls, so levels that include services further upstream are stored per route.
auto upstreamKey(const ServiceName &service, const RouteName &route) -> ServiceName;

/// Returns the level to report with a response: the maximum of the target's own level and the levels of the nested
/// calls made for the request, given by their keys. The first node of a call chain then sheds what the last one would
/// shed.
auto reportedLevel(int ownLevel, const UpstreamTable &table, const std::vector<ServiceName> &calledKeys, TimePoint now) -> int;

/// Updates the level of the service from one of its responses. Levels out of range are clamped.
void observeUpstream(UpstreamTable &table, const ServiceName &service, int level, TimePoint now);

/// Returns whether a call to the service would most likely be shed there and therefore should not be sent.
auto shouldShedUpstream(const UpstreamTable &table, const ServiceName &service, Priority priority, const RequestId &id, TimePoint now) -> bool;

/// Returns the aged level of the service; zero if no level was reported.
auto upstreamLevel(const UpstreamTable &table, const ServiceName &service, TimePoint now) -> int;

} // namespace snipestream
