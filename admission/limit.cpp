#include "admission/limit.h"

#include <algorithm>
#include <cmath>

namespace snipestream
{

namespace
{

constexpr uint32_t kMaxRoutes = 256;
/// Weight of a new sample in the mean of a route.
constexpr double kMeanGain = 1.0 / 16;
/// Maximum latency that counts in full, as a multiple of the mean.
constexpr double kMaxLatencyFactor = 4;
/// Weight of a new sample in the long-term mean. The minimum of a mean over few samples would be about half the true
/// mean.
constexpr double kLongTermMeanGain = 1.0 / 100;
/// Weight with which the baseline follows a lower long-term mean.
constexpr double kBaselineFallGain = 0.05;
/// Fraction of the limit that every sample of a window reaches if the number of running requests is steady.
constexpr double kSteadyFraction = 0.85;
/// Time in multiples of the mean latency after which a changed limit shows its effect, and its maximum in seconds.
constexpr double kSettleLatencyFactor = 1.5;
constexpr double kMaxSettleSeconds = 5;
/// A decrease helped if latency fell by at least this fraction of the decrease. In a target that queues requests,
/// latency falls in proportion to the limit; in a target that waits for something else it does not fall at all.
constexpr double kMinEffectFraction = 0.5;

auto toSeconds(Duration duration) -> double
{
    return std::chrono::duration<double>(duration).count();
}

void startWindow(LimitState &state, TimePoint now)
{
    state.windowStart = std::max(now, state.settledAt);
    state.sampleCount = 0;
    state.ratioSum = 0;
    state.latencySum = 0;
    state.maxInFlight = 0;
    state.minInFlight = INT_MAX;
}

/// Ignores latencies for a settling time, because they belong to requests that started under the previous limit.
void startSettling(LimitState &state, TimePoint now)
{
    const double mean = state.sampleCount > 0 ? state.latencySum / state.sampleCount : 0;
    const std::chrono::duration<double> settleTime(std::min(kMaxSettleSeconds, mean * kSettleLatencyFactor));
    state.settledAt = now + duration_cast<Duration>(settleTime);
}

} // namespace

auto makeLimit(int slots, bool isWarmingUp, TimePoint now) -> LimitState
{
    LimitState state;
    state.slots = std::max(1, slots);
    state.limit = state.slots;
    state.isWarmingUp = isWarmingUp;
    state.warmupSince = now;
    state.windowStart = now;
    return state;
}

auto currentLimit(const LimitState &state, const ConcurrencyLimitSettings &settings, TimePoint now) -> int
{
    double limit = std::min(state.limit, static_cast<double>(state.slots));
    if (state.isWarmingUp) {
        const double age = toSeconds(now - state.warmupSince);
        limit = std::min(limit, std::ceil(state.slots * settings.warmupInitialFraction) * std::exp2(age));
    }
    return std::max(1, static_cast<int>(limit));
}

auto findOrAddRoute(LimitState &state, const RouteName &route) -> uint32_t
{
    const auto found = state.routeIndex.find(route);
    if (found != state.routeIndex.end()) {
        return found->second;
    }
    if (state.routes.size() < kMaxRoutes) {
        state.routes.emplace_back();
        state.routeIndex.emplace(route, static_cast<uint32_t>(state.routes.size() - 1));
    }
    return static_cast<uint32_t>(state.routes.size() - 1);
}

auto meanServiceTime(const LimitState &state) -> double
{
    double sum = 0;
    double sampleCount = 0;
    for (const auto &route : state.routes) {
        sum += route.mean * static_cast<double>(route.sampleCount);
        sampleCount += static_cast<double>(route.sampleCount);
    }
    return sampleCount > 0 ? sum / sampleCount : 0;
}

void observeLatency(LimitState &state, const ConcurrencyLimitSettings &settings, uint32_t route, Duration latency, bool timedOut, TimePoint now)
{
    auto &row = state.routes[route];
    double observed = std::max(toSeconds(latency), 1e-6);
    if (timedOut) {
        observed = std::max(observed, row.mean);
    }
    if (row.sampleCount == 0) {
        row.mean = observed;
        row.baseline = observed;
        row.longTermMean = observed;
    }
    // The clamp keeps a single slow request, for example one that started before a recovery, from raising the mean so
    // far that other requests are refused; a lasting slowdown still raises the mean by a fifth with each sample.
    const double clamped = row.sampleCount < 16 ? observed : std::min(observed, row.mean * kMaxLatencyFactor);
    // The first samples weigh as in an arithmetic mean, so that the very first one does not dominate. Infrequent
    // samples weigh more, so that a mean that causes requests to be refused is corrected within about a second.
    const double ageGain = row.sampleCount == 0 ? 1 : std::min(0.5, toSeconds(now - row.observedAt) / 0.5);
    const double gain = std::max({kMeanGain, ageGain, 1.0 / static_cast<double>(row.sampleCount + 1)});
    row.mean += (clamped - row.mean) * gain;
    row.longTermMean += (observed - row.longTermMean) * std::max(kLongTermMeanGain, 1.0 / static_cast<double>(row.sampleCount + 1));
    if (row.sampleCount < 64) {
        row.baseline = row.longTermMean;
    } else if (row.longTermMean < row.baseline) {
        row.baseline += (row.longTermMean - row.baseline) * kBaselineFallGain;
    } else {
        const double passed = std::min(1.0, toSeconds(now - row.observedAt) / toSeconds(settings.baselineRiseTime));
        row.baseline += (row.longTermMean - row.baseline) * passed;
    }
    row.observedAt = now;
    // Halving the counts keeps the weights of the routes current when the mix of routes changes.
    if (++row.sampleCount > 4096) {
        for (auto &each : state.routes) {
            each.sampleCount = each.sampleCount > 32 ? each.sampleCount / 2 : each.sampleCount;
        }
    }
    if (now < state.settledAt) {
        return;
    }
    ++state.sampleCount;
    state.latencySum += observed;
    state.ratioSum += observed / row.baseline;
}

void sampleInFlight(LimitState &state, int running)
{
    state.minInFlight = std::min(state.minInFlight, running);
}

auto tickLimit(LimitState &state, const ConcurrencyLimitSettings &settings, TimePoint now) -> bool
{
    const Duration age = now - state.windowStart;
    if (state.isWarmingUp && std::ceil(state.slots * settings.warmupInitialFraction) * std::exp2(toSeconds(now - state.warmupSince)) >= state.slots) {
        state.isWarmingUp = false;
    }
    const double ratio = state.sampleCount > 0 ? state.ratioSum / state.sampleCount : 0;
    const bool wasSaturated = state.maxInFlight >= static_cast<int>(state.limit * 0.9);
    const double slowdown = 1 + (state.slowdown - 1) * std::exp(-toSeconds(age) / toSeconds(settings.slowdownDecayTime));
    const bool isCongested = state.sampleCount > 0 && ratio > std::max(settings.congestedRatio, settings.congestedSlowdownFactor * slowdown);
    // A window needs at least as many samples as the limit, a full turnover of the running requests, so that it
    // reflects the current limit.
    const int minSamples = isCongested || state.isEvaluatingDecrease ? settings.minEvaluationSamples : settings.minWindowSamples;
    const int requiredSamples = std::max(minSamples, static_cast<int>(state.limit));
    if (age < settings.minWindow || (state.sampleCount < requiredSamples && age < settings.maxWindow)) {
        return false;
    }
    state.slowdown = slowdown;
    // Under a lower limit, a target that queues requests keeps its throughput and gets faster; a target that waits for
    // something else loses throughput and stays slow. Both signs are required, because either alone is often wrong by
    // chance.
    const double rate = state.sampleCount / std::max(1e-3, toSeconds(age));
    const double effectiveRatio = 1 - kMinEffectFraction * (1 - settings.decreaseFactor);
    const bool isIneffective =
        isCongested && state.isEvaluatingDecrease && ratio > state.ratioBeforeDecrease * effectiveRatio && rate < state.rateBeforeDecrease * effectiveRatio;
    if (!isCongested) {
        state.isEvaluatingDecrease = false;
        state.wasDecreased = false;
        if (wasSaturated) {
            const bool isFastIncrease = ratio < settings.fastIncreaseRatio * slowdown;
            state.limit += isFastIncrease ? std::max(1.0, state.slots * settings.increaseFraction) : 1.0;
        }
    } else if (isIneffective) {
        state.slowdown = std::max(1.0, ratio);
        state.limit = state.limitBeforeDecrease;
        state.isEvaluatingDecrease = false;
        state.wasDecreased = false;
        startSettling(state, now);
    } else {
        // If fewer requests ran than the limit allows, the ratio is below that of the full limit, and a decrease would
        // appear not to help. The effect of such a decrease is not evaluated; it only makes the number of running
        // requests reach the limit.
        const bool isSteady = state.minInFlight >= static_cast<int>(state.limit * kSteadyFraction);
        if (!state.wasDecreased || state.isEvaluatingDecrease) {
            state.limitBeforeDecrease = state.limit;
        }
        state.isEvaluatingDecrease = isSteady;
        state.wasDecreased = true;
        state.ratioBeforeDecrease = ratio;
        state.rateBeforeDecrease = rate;
        // The decrease starts from the number of requests that ran, so that it takes effect at once.
        const double peak = std::min(state.limit, std::max(1.0, static_cast<double>(state.maxInFlight)));
        state.limit = std::max(1.0, peak * settings.decreaseFactor);
        startSettling(state, now);
    }
    state.limit = std::min(state.limit, static_cast<double>(state.slots));
    startWindow(state, now);
    return true;
}

} // namespace snipestream
