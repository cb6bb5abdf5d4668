#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <climits>
#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace snipestream
{

/// Constants of the concurrency limit.
struct ConcurrencyLimitSettings {
    /// Shortest time over which latency is judged.
    Duration window = milliseconds(100);
    /// Fewest answers that a judgement needs.
    int windowAnswers = 64;
    /// The same for windows before and after a decrease, which are compared. The mean of 256 exponentially distributed
    /// times is off by 6%, and a wrong verdict lasts long.
    int examinedAnswers = 256;
    /// A window with fewer answers is judged anyway after this time.
    Duration longestWindow = seconds(1);
    /// Ratio of observed to least latency above which the target counts as congested.
    double congestedRatio = 2.0;
    /// The same relative to an accepted slowdown.
    double congestedAgain = 1.5;
    /// Factor of a decrease. Large steps make it visible within one window whether the decrease helped.
    double decreaseFactor = 0.65;
    /// Ratio below which the target is clearly free, so that the limit grows fast; above it, it grows by one a window.
    double freeRatio = 1.2;
    /// Fast increase per window as a fraction of the slots; at least one.
    double increaseFraction = 0.05;
    /// Time in which the least latency follows a lasting rise. A shorter one lets a congested target pass as a slow
    /// one.
    Duration baselineRise = seconds(300);
    /// Time in which an accepted slowdown is forgotten, so that it is examined again.
    Duration slowdownDecay = seconds(20);
    /// Fraction of its slots that a cold target starts with; the fraction doubles each second.
    double coldFraction = 0.1;
};

/// Latency of one route at one target, in seconds.
struct RouteLatency {
    double mean = 0;
    /// Slowly moving minimum of the mean. A minimum of single answers would be far below the mean of any variable
    /// service time, so that every answer would look late.
    double baseline = 0;
    /// Mean over more answers, from which the baseline is taken.
    double slowMean = 0;
    uint64_t answers = 0;
    TimePoint observedAt;
    /// Earliest time for a request that is let through although the mean exceeds its time left.
    TimePoint nextProbeAt;
};

/// The adaptive concurrency limit of one target. It relies on own observations only.
struct LimitState {
    int slots = 1;
    double limit = 1;
    /// When slow start began; the limit is not capped if `cold` is false.
    TimePoint coldSince;
    bool cold = false;

    TimePoint windowStart;
    int answers = 0;
    double ratioSum = 0;
    double latencySum = 0;
    /// Answers before this moment ran under the previous limit and are not judged.
    TimePoint settledAt;
    int peakInFlight = 0;
    /// Fewest running requests of the window, by samples.
    int lowInFlight = INT_MAX;

    /// Accepted ratio of latency to baseline: the target is slow for reasons that a lower limit does not change.
    double slowdown = 1;
    /// The last window was congested, and its ratio was taken while the number of running requests was steady, so that
    /// the effect of the decrease that followed can be seen.
    bool examining = false;
    bool wasDecreased = false;
    /// Limit to return to if the last decrease did not help, and ratio before it.
    double limitBefore = 1;
    double ratioBefore = 1;
    /// Answers per second before the last decrease.
    double rateBefore = 0;

    std::unordered_map<RouteName, uint32_t> routeIndex;
    std::vector<RouteLatency> routes;
};

/// Returns the limit of a target with this number of slots; a cold target gets slow start.
auto makeLimit(int slots, bool cold, TimePoint now) -> LimitState;

/// Returns the number of requests that may run at once, from 1 to the slots.
auto currentLimit(const LimitState &state, const ConcurrencyLimitSettings &settings, TimePoint now) -> int;

/// Returns the index of the route's latency row. Routes beyond 256 share the last row.
auto routeRow(LimitState &state, const RouteName &route) -> uint32_t;

/// Returns the mean latency over all routes weighted by their answers, in seconds; zero if nothing was observed.
auto meanServiceTime(const LimitState &state) -> double;

/// Takes the latency of an answer into account. A latency of a run that timed out is a lower bound.
void observeLatency(LimitState &state, const ConcurrencyLimitSettings &settings, uint32_t route, Duration latency, bool timedOut, TimePoint now);

/// Notes how many requests run. Called at each tick.
void sampleInFlight(LimitState &state, int running);

/// Judges the window if it is over and moves the limit. Returns true if a window was judged.
auto tickLimit(LimitState &state, const ConcurrencyLimitSettings &settings, TimePoint now) -> bool;

} // namespace snipestream
