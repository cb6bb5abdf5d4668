#include "admission/shedding.h"

#include "core/hash.h"

#include <algorithm>
#include <string_view>

namespace snipestream
{

namespace
{

/// Weight of one response in the averaged level of a service; the average covers the targets that respond.
constexpr double kUpstreamGain = 1.0 / 8;
/// Time after the last response before the level starts to age. When the level also aged between responses that
/// arrived every 10 ms, a level of 460 settled at 430 two hops further towards the caller.
constexpr Duration kUpstreamHoldTime = milliseconds(200);
/// Time after the last response at which the level reaches zero. If the level never aged, a service that was shed
/// completely would never be tried again.
constexpr Duration kUpstreamLifetime = seconds(1);
/// Number of shed ranks next to the threshold that callers still send. The target needs these arrivals to find its
/// level.
constexpr int kUpstreamMarginRanks = 16;
/// Factor by which the arrival counts decay in each window; with windows of 100 ms their mean age is about one second.
constexpr float kArrivalDecay = 0.9F;

/// Returns the level after ageing, unrounded: rounding at each response would lower the average by several ranks.
auto agedLevel(const UpstreamLevel &row, TimePoint now) -> double
{
    const Duration age = now - row.observedAt;
    if (age <= kUpstreamHoldTime) {
        return row.level;
    }
    if (age >= kUpstreamLifetime) {
        return 0;
    }
    return row.level * std::chrono::duration<double>(kUpstreamLifetime - age).count()
        / std::chrono::duration<double>(kUpstreamLifetime - kUpstreamHoldTime).count();
}

auto admittedArrivals(const SheddingState &state) -> double
{
    double sum = 0;
    for (int rank = 0; rank < kRankCount - state.level; ++rank) {
        sum += state.arrivals[static_cast<size_t>(rank)];
    }
    return sum;
}

/// Returns the minimum level that admits at most `maxArrivals` arrivals.
auto levelForArrivals(const SheddingState &state, double maxArrivals) -> int
{
    double sum = 0;
    int rank = 0;
    while (rank < kRankCount) {
        sum += state.arrivals[static_cast<size_t>(rank)];
        if (sum > maxArrivals) {
            break;
        }
        ++rank;
    }
    return std::min(kMaxSheddingLevel, kRankCount - rank);
}

} // namespace

auto cohortOf(const RequestId &id) -> int
{
    const std::array<uint64_t, 2> words = {id.high, id.low};
    const std::string_view bytes(reinterpret_cast<const char *>(words.data()), sizeof(words));
    return static_cast<int>(stableHash(bytes, 0x636f686f7274ULL) % kCohortCount);
}

auto rankOf(Priority priority, const RequestId &id) -> int
{
    return static_cast<int>(priority) * kCohortCount + cohortOf(id);
}

auto isShed(int level, int rank) -> bool
{
    return rank >= kRankCount - level;
}

auto isPriorityShed(int level, Priority priority) -> bool
{
    return isShed(level, static_cast<int>(priority) * kCohortCount);
}

void observeArrival(SheddingState &state, int rank)
{
    state.arrivals[static_cast<size_t>(rank)] += 1;
}

auto tickShedding(SheddingState &state, const SheddingSettings &settings, Duration serviceTime, TimePoint now) -> bool
{
    if (now - state.windowStart < settings.window) {
        return false;
    }
    // If no request started in the window, `minQueueDelay` keeps its maximum value, so a queue that was never empty
    // counts as a standing queue.
    const auto longQueueDelay = std::max(settings.standingQueueDelay,
                                         Duration(static_cast<Duration::rep>(static_cast<double>(serviceTime.count()) * settings.standingQueueDelayFraction)));
    const bool isStanding = !state.queueWasEmpty && state.minQueueDelay >= longQueueDelay;
    const double admitted = admittedArrivals(state);
    if (isStanding || state.overflowed) {
        const int level = levelForArrivals(state, admitted * (1 - settings.shedStepFraction));
        state.level = std::max(state.level, std::max(level, 1));
    } else if (state.level > 0) {
        // With idle slots, the admitted arrivals may grow in proportion to the spare capacity, otherwise only by one
        // step.
        const double utilization = state.utilizationSamples > 0 ? state.utilizationSum / state.utilizationSamples : 1;
        const double growth = std::clamp(settings.desiredUtilization / std::max(utilization, 0.1), 1 + settings.admitStepFraction, 2.0);
        const int level = levelForArrivals(state, admitted * growth);
        const double idleFraction = std::max(0.0, 1 - utilization);
        const int minRanks = settings.minAdmitRanks + static_cast<int>(idleFraction * (settings.maxAdmitRanks - settings.minAdmitRanks));
        const int minLevel = std::max(0, state.level - settings.maxAdmitRanks);
        state.level = std::clamp(level, minLevel, std::max(minLevel, state.level - minRanks));
    }
    for (auto &count : state.arrivals) {
        count *= kArrivalDecay;
    }
    state.windowStart = now;
    state.queueWasEmpty = false;
    state.minQueueDelay = Duration::max();
    state.overflowed = false;
    state.utilizationSum = 0;
    state.utilizationSamples = 0;
    return true;
}

auto upstreamKey(const ServiceName &service, const RouteName &route) -> ServiceName
{
    return ServiceName(service.value + "/" + route.value);
}

auto reportedLevel(int ownLevel, const UpstreamTable &table, const std::vector<ServiceName> &calledKeys, TimePoint now) -> int
{
    int level = ownLevel;
    for (const auto &key : calledKeys) {
        level = std::max(level, upstreamLevel(table, key, now));
    }
    return level;
}

void observeUpstream(UpstreamTable &table, const ServiceName &service, int level, TimePoint now)
{
    auto &row = table.services[service];
    const double previous = agedLevel(row, now);
    row.level = previous + (std::clamp(level, 0, kMaxSheddingLevel) - previous) * kUpstreamGain;
    row.observedAt = now;
}

auto shouldShedUpstream(const UpstreamTable &table, const ServiceName &service, Priority priority, const RequestId &id, TimePoint now) -> bool
{
    const int level = upstreamLevel(table, service, now) - kUpstreamMarginRanks;
    return level > 0 && isShed(level, rankOf(priority, id));
}

auto upstreamLevel(const UpstreamTable &table, const ServiceName &service, TimePoint now) -> int
{
    const auto row = table.services.find(service);
    return row == table.services.end() ? 0 : static_cast<int>(agedLevel(row->second, now));
}

} // namespace snipestream
