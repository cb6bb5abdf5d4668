#include "admission/limit.h"

#include <algorithm>
#include <cmath>

namespace snipestream
{

namespace
{

constexpr uint32_t kMaxRoutes = 256;
/// Weight of a new answer in the mean of a route.
constexpr double kMeanGain = 1.0 / 16;
/// Largest latency that counts in full, as a multiple of the mean.
constexpr double kLongestFactor = 4;
/// Weight of a new answer in the slow mean. The minimum of a mean over few answers would lie at half the true mean.
constexpr double kSlowMeanGain = 1.0 / 100;
/// Weight with which the baseline follows a lower slow mean.
constexpr double kBaselineFall = 0.05;
/// Part of the limit that all samples of a window reach if the number of running requests is steady.
constexpr double kSteadyPart = 0.85;
/// Mean latencies that a changed limit needs to show its effect, and the longest wait for it in seconds.
constexpr double kSettleLatencies = 1.5;
constexpr double kLongestSettle = 5;
/// A decrease helped if latency fell by at least this part of the decrease. In a target that queues, latency falls as
/// much as the limit; in a target that waits for something else it does not fall at all.
constexpr double kHelpfulPart = 0.5;

auto toSeconds(Duration duration) -> double
{
    return std::chrono::duration<double>(duration).count();
}

void startWindow(LimitState &state, TimePoint now)
{
    state.windowStart = std::max(now, state.settledAt);
    state.answers = 0;
    state.ratioSum = 0;
    state.latencySum = 0;
    state.peakInFlight = 0;
    state.lowInFlight = INT_MAX;
}

/// Leaves out the answers to requests that started under the limit before the change.
void settle(LimitState &state, TimePoint now)
{
    const double mean = state.answers > 0 ? state.latencySum / state.answers : 0;
    const std::chrono::duration<double> wait(std::min(kLongestSettle, mean * kSettleLatencies));
    state.settledAt = now + duration_cast<Duration>(wait);
}

} // namespace

auto makeLimit(int slots, bool cold, TimePoint now) -> LimitState
{
    LimitState state;
    state.slots = std::max(1, slots);
    state.limit = state.slots;
    state.cold = cold;
    state.coldSince = now;
    state.windowStart = now;
    return state;
}

auto currentLimit(const LimitState &state, const ConcurrencyLimitSettings &settings, TimePoint now) -> int
{
    double limit = std::min(state.limit, static_cast<double>(state.slots));
    if (state.cold) {
        const double age = toSeconds(now - state.coldSince);
        limit = std::min(limit, std::ceil(state.slots * settings.coldFraction) * std::exp2(age));
    }
    return std::max(1, static_cast<int>(limit));
}

auto routeRow(LimitState &state, const RouteName &route) -> uint32_t
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
    double answers = 0;
    for (const auto &route : state.routes) {
        sum += route.mean * static_cast<double>(route.answers);
        answers += static_cast<double>(route.answers);
    }
    return answers > 0 ? sum / answers : 0;
}

void observeLatency(LimitState &state, const ConcurrencyLimitSettings &settings, uint32_t route, Duration latency, bool timedOut, TimePoint now)
{
    auto &row = state.routes[route];
    double observed = std::max(toSeconds(latency), 1e-6);
    if (timedOut) {
        observed = std::max(observed, row.mean);
    }
    if (row.answers == 0) {
        row.mean = observed;
        row.baseline = observed;
        row.slowMean = observed;
    }
    // A single late answer, such as of a run from before a recovery, must not keep requests away; a lasting slowdown
    // still raises the mean by a fifth with each answer.
    const double bounded = row.answers < 16 ? observed : std::min(observed, row.mean * kLongestFactor);
    // The first answers weigh as in an ordinary mean, so that the first one does not dominate. Rare answers weigh more,
    // so that a mean that keeps requests away is corrected within about a second.
    const double rare = row.answers == 0 ? 1 : std::min(0.5, toSeconds(now - row.observedAt) / 0.5);
    const double gain = std::max({kMeanGain, rare, 1.0 / static_cast<double>(row.answers + 1)});
    row.mean += (bounded - row.mean) * gain;
    row.slowMean += (observed - row.slowMean) * std::max(kSlowMeanGain, 1.0 / static_cast<double>(row.answers + 1));
    if (row.answers < 64) {
        row.baseline = row.slowMean;
    } else if (row.slowMean < row.baseline) {
        row.baseline += (row.slowMean - row.baseline) * kBaselineFall;
    } else {
        const double passed = std::min(1.0, toSeconds(now - row.observedAt) / toSeconds(settings.baselineRise));
        row.baseline += (row.slowMean - row.baseline) * passed;
    }
    row.observedAt = now;
    // Halving keeps the weights of routes recent when the mix of routes changes.
    if (++row.answers > 4096) {
        for (auto &each : state.routes) {
            each.answers = each.answers > 32 ? each.answers / 2 : each.answers;
        }
    }
    if (now < state.settledAt) {
        return;
    }
    ++state.answers;
    state.latencySum += observed;
    state.ratioSum += observed / row.baseline;
}

void sampleInFlight(LimitState &state, int running)
{
    state.lowInFlight = std::min(state.lowInFlight, running);
}

auto tickLimit(LimitState &state, const ConcurrencyLimitSettings &settings, TimePoint now) -> bool
{
    const Duration age = now - state.windowStart;
    if (state.cold && std::ceil(state.slots * settings.coldFraction) * std::exp2(toSeconds(now - state.coldSince)) >= state.slots) {
        state.cold = false;
    }
    const double ratio = state.answers > 0 ? state.ratioSum / state.answers : 0;
    const bool wasUsed = state.peakInFlight >= static_cast<int>(state.limit * 0.9);
    const double slowdown = 1 + (state.slowdown - 1) * std::exp(-toSeconds(age) / toSeconds(settings.slowdownDecay));
    const bool congested = state.answers > 0 && ratio > std::max(settings.congestedRatio, settings.congestedAgain * slowdown);
    // A window holds at least one full turnover of the running requests, so that it reflects the current limit.
    const int least = congested || state.examining ? settings.examinedAnswers : settings.windowAnswers;
    const int needed = std::max(least, static_cast<int>(state.limit));
    if (age < settings.window || (state.answers < needed && age < settings.longestWindow)) {
        return false;
    }
    state.slowdown = slowdown;
    // A target that queues keeps its throughput under a lower limit and gets faster; one that waits for something else
    // loses throughput and stays slow. Both signs are needed, because either alone is often wrong by chance.
    const double rate = state.answers / std::max(1e-3, toSeconds(age));
    const double helpful = 1 - kHelpfulPart * (1 - settings.decreaseFactor);
    const bool unhelpful = congested && state.examining && ratio > state.ratioBefore * helpful && rate < state.rateBefore * helpful;
    if (!congested) {
        state.examining = false;
        state.wasDecreased = false;
        if (wasUsed) {
            const bool isFree = ratio < settings.freeRatio * slowdown;
            state.limit += isFree ? std::max(1.0, state.slots * settings.increaseFraction) : 1.0;
        }
    } else if (unhelpful) {
        state.slowdown = std::max(1.0, ratio);
        state.limit = state.limitBefore;
        state.examining = false;
        state.wasDecreased = false;
        settle(state, now);
    } else {
        // If fewer requests ran than the limit allows, the ratio is below that of the full limit, and a decrease would
        // seem not to help. Such a decrease is not examined; it brings the number of running requests to the limit.
        const bool isSteady = state.lowInFlight >= static_cast<int>(state.limit * kSteadyPart);
        if (!state.wasDecreased || state.examining) {
            state.limitBefore = state.limit;
        }
        state.examining = isSteady;
        state.wasDecreased = true;
        state.ratioBefore = ratio;
        state.rateBefore = rate;
        // Starting from what really ran makes the decrease take effect at once.
        const double used = std::min(state.limit, std::max(1.0, static_cast<double>(state.peakInFlight)));
        state.limit = std::max(1.0, used * settings.decreaseFactor);
        settle(state, now);
    }
    state.limit = std::min(state.limit, static_cast<double>(state.slots));
    startWindow(state, now);
    return true;
}

} // namespace snipestream
