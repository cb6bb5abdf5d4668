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

/// Settings of the adaptive concurrency limit.
struct ConcurrencyLimitSettings {
    /// Minimum length of a window over which latency is evaluated.
    Duration minWindow = milliseconds(100);
    /// Minimum number of latency samples in a window.
    int minWindowSamples = 64;
    /// Minimum number of samples in the windows before and after a decrease, which are compared with each other. The
    /// mean of 256 exponentially distributed latencies is off by 6%, and the result of a wrong comparison persists for
    /// a long time.
    int minEvaluationSamples = 256;
    /// A window with fewer samples ends after this time.
    Duration maxWindow = seconds(1);
    /// Ratio of observed to baseline latency above which the target counts as congested.
    double congestedRatio = 2.0;
    /// Multiple of the accepted slowdown above which the target counts as congested.
    double congestedSlowdownFactor = 1.5;
    /// Factor by which the limit decreases. Large steps show within one window whether the decrease helped.
    double decreaseFactor = 0.65;
    /// Latency ratio, relative to the accepted slowdown, below which the target clearly has spare capacity and the
    /// limit grows by `increaseFraction`; above it the limit grows by one per window.
    double fastIncreaseRatio = 1.2;
    /// Fast increase per window as a fraction of the slots; at least one.
    double increaseFraction = 0.05;
    /// Time constant with which the baseline latency follows a lasting rise. With a shorter one, a congested target
    /// would be mistaken for a slow one.
    Duration baselineRiseTime = seconds(300);
    /// Time constant with which an accepted slowdown decays, so that the target is evaluated again.
    Duration slowdownDecayTime = seconds(20);
    /// Fraction of its slots that a target in warm-up starts with; the fraction doubles each second.
    double warmupInitialFraction = 0.1;
};

/// Latency of one route at one target, in seconds.
struct RouteLatency {
    double mean = 0;
    /// Slowly moving minimum of the mean. A minimum of single samples would be far below the mean of any variable
    /// service time, so that every latency would count as a slowdown.
    double baseline = 0;
    /// Mean over more samples, from which the baseline is taken.
    double longTermMean = 0;
    uint64_t sampleCount = 0;
    TimePoint observedAt;
    /// Earliest time of the next probe: a request that runs although the mean exceeds its time left.
    TimePoint nextProbeAt;
};

/// The adaptive concurrency limit of one target, derived only from latencies that this node observed.
struct LimitState {
    int slots = 1;
    double limit = 1;
    /// Start of the warm-up; ignored if `isWarmingUp` is false.
    TimePoint warmupSince;
    bool isWarmingUp = false;

    TimePoint windowStart;
    int sampleCount = 0;
    double ratioSum = 0;
    double latencySum = 0;
    /// Latencies observed before this time belong to the previous limit and are ignored.
    TimePoint settledAt;
    /// Maximum number of running requests in the window.
    int maxInFlight = 0;
    /// Minimum number of running requests in the window, sampled at each tick.
    int minInFlight = INT_MAX;

    /// Accepted ratio of latency to baseline: the target is slow for a reason that a lower limit does not change.
    double slowdown = 1;
    /// The last window was congested, and the number of running requests was steady in it, so the effect of the
    /// decrease that followed can be measured.
    bool isEvaluatingDecrease = false;
    bool wasDecreased = false;
    /// Limit to restore if the last decrease did not help, and latency ratio before that decrease.
    double limitBeforeDecrease = 1;
    double ratioBeforeDecrease = 1;
    /// Completed requests per second before the last decrease.
    double rateBeforeDecrease = 0;

    std::unordered_map<RouteName, uint32_t> routeIndex;
    std::vector<RouteLatency> routes;
};

/// Returns the initial limit of a target with this number of slots; a target in warm-up gets slow start.
auto makeLimit(int slots, bool isWarmingUp, TimePoint now) -> LimitState;

/// Returns the maximum number of requests that may run at once, from 1 to the number of slots.
auto currentLimit(const LimitState &state, const ConcurrencyLimitSettings &settings, TimePoint now) -> int;

/// Returns the index of the route's latency row and adds the row if needed. Routes beyond 256 share the last row.
auto findOrAddRoute(LimitState &state, const RouteName &route) -> uint32_t;

/// Returns the mean latency over all routes weighted by their samples, in seconds; zero without samples.
auto meanServiceTime(const LimitState &state) -> double;

/// Records the latency of a request that ended. The latency of a run that timed out is a lower bound.
void observeLatency(LimitState &state, const ConcurrencyLimitSettings &settings, uint32_t route, Duration latency, bool timedOut, TimePoint now);

/// Samples the number of running requests. Called at each tick.
void sampleInFlight(LimitState &state, int running);

/// Evaluates the window if it is over and adjusts the limit. Returns true if a window was evaluated.
auto tickLimit(LimitState &state, const ConcurrencyLimitSettings &settings, TimePoint now) -> bool;

} // namespace snipestream
