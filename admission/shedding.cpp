#include "admission/shedding.h"

#include "core/hash.h"

#include <algorithm>
#include <string_view>

namespace snipestream
{

namespace
{

/// Weight of one answer in the level of a service; averages over the targets that answer.
constexpr double kUpstreamGain = 1.0 / 8;
/// Time after the last answer in which the known level stays as it is. Ageing between answers adds up with the
/// averaging: answers every 10 ms kept a level of 460 at 430 two hops above.
constexpr Duration kUpstreamHold = milliseconds(200);
/// Time after the last answer at which the known level has fallen to zero. Without it a service that was shed
/// completely would never be tried again.
constexpr Duration kUpstreamLifetime = seconds(1);
/// Ranks next to the threshold that upstream nodes still send. The target needs these arrivals to find its level.
constexpr int kUpstreamMargin = 16;
/// Decay of the arrival counts per window of 100 ms: a mean age of about one second.
constexpr float kArrivalDecay = 0.9F;

/// Returns the level after ageing, unrounded: rounding at each answer lowers an average by several ranks.
auto agedLevel(const UpstreamLevel &row, TimePoint now) -> double
{
    const Duration age = now - row.observedAt;
    if (age <= kUpstreamHold) {
        return row.level;
    }
    if (age >= kUpstreamLifetime) {
        return 0;
    }
    return row.level * std::chrono::duration<double>(kUpstreamLifetime - age).count()
        / std::chrono::duration<double>(kUpstreamLifetime - kUpstreamHold).count();
}

auto admittedArrivals(const SheddingState &state) -> double
{
    double sum = 0;
    for (int rank = 0; rank < kRankCount - state.level; ++rank) {
        sum += state.arrivals[static_cast<size_t>(rank)];
    }
    return sum;
}

/// Returns the lowest level that admits at most `wanted` arrivals.
auto levelForArrivals(const SheddingState &state, double wanted) -> int
{
    double sum = 0;
    int rank = 0;
    while (rank < kRankCount) {
        sum += state.arrivals[static_cast<size_t>(rank)];
        if (sum > wanted) {
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
    // Without any start in the window the shortest wait is unknown and counts as long.
    const auto longWait =
        std::max(settings.standingWait, Duration(static_cast<Duration::rep>(static_cast<double>(serviceTime.count()) * settings.standingPart)));
    const bool standing = !state.queueWasEmpty && state.shortestWait >= longWait;
    const double admitted = admittedArrivals(state);
    if (standing || state.overflowed) {
        const int level = levelForArrivals(state, admitted * (1 - settings.shedStep));
        state.level = std::max(state.level, std::max(level, 1));
    } else if (state.level > 0) {
        // With idle slots the admitted arrivals may grow in proportion, otherwise only by a step.
        const double use = state.useSamples > 0 ? state.useSum / state.useSamples : 1;
        const double growth = std::clamp(settings.wantedUse / std::max(use, 0.1), 1 + settings.admitStep, 2.0);
        const int level = levelForArrivals(state, admitted * growth);
        const double idle = std::max(0.0, 1 - use);
        const int least = settings.leastAdmitRanks + static_cast<int>(idle * (settings.mostAdmitRanks - settings.leastAdmitRanks));
        const int lowest = std::max(0, state.level - settings.mostAdmitRanks);
        state.level = std::clamp(level, lowest, std::max(lowest, state.level - least));
    }
    for (auto &count : state.arrivals) {
        count *= kArrivalDecay;
    }
    state.windowStart = now;
    state.queueWasEmpty = false;
    state.shortestWait = Duration::max();
    state.overflowed = false;
    state.useSum = 0;
    state.useSamples = 0;
    return true;
}

auto upstreamKey(const ServiceName &service, const RouteName &route) -> ServiceName
{
    return ServiceName(service.value + "/" + route.value);
}

auto reportedLevel(int own, const UpstreamTable &table, const std::vector<ServiceName> &called, TimePoint now) -> int
{
    int level = own;
    for (const auto &key : called) {
        level = std::max(level, upstreamLevel(table, key, now));
    }
    return level;
}

void observeUpstream(UpstreamTable &table, const ServiceName &service, int level, TimePoint now)
{
    auto &row = table.services[service];
    const double known = agedLevel(row, now);
    row.level = known + (std::clamp(level, 0, kMaxSheddingLevel) - known) * kUpstreamGain;
    row.observedAt = now;
}

auto shouldShedUpstream(const UpstreamTable &table, const ServiceName &service, Priority priority, const RequestId &id, TimePoint now) -> bool
{
    const int level = upstreamLevel(table, service, now) - kUpstreamMargin;
    return level > 0 && isShed(level, rankOf(priority, id));
}

auto upstreamLevel(const UpstreamTable &table, const ServiceName &service, TimePoint now) -> int
{
    const auto row = table.services.find(service);
    return row == table.services.end() ? 0 : static_cast<int>(agedLevel(row->second, now));
}

} // namespace snipestream
