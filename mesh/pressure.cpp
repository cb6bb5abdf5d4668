#include "mesh/pressure.h"

#include "core/hash.h"

#include <algorithm>
#include <set>

namespace snipestream
{

namespace
{

/// Part of the most important priority that is always let through, so that the end of an overload is noticed.
constexpr double kAlwaysAdmitted = 0.1;

auto levelBelow(const PeerTable &table, const ServiceName &service, TimePoint now, std::set<ServiceName> &visited) -> double
{
    if (!visited.insert(service).second) {
        return 0;
    }
    double sum = 0;
    int targets = 0;
    std::set<ServiceName> called;
    for (const auto &[address, row] : table.rows) {
        if (!row.report || row.report->service != service || (address != table.ownAddress && !isAlive(table, row, now))) {
            continue;
        }
        if (row.report->serving) {
            sum += row.report->sheddingLevel;
            ++targets;
        }
        called.insert(row.report->calledServices.begin(), row.report->calledServices.end());
    }
    double level = targets > 0 ? sum / targets : 0;
    for (const auto &next : called) {
        level = std::max(level, levelBelow(table, next, now, visited));
    }
    return level;
}

} // namespace

void stepPressure(PressureState &state, const PressureSettings &settings, double use, int priorities, TimePoint now)
{
    if (now - state.steppedAt < settings.window) {
        return;
    }
    state.steppedAt = now;
    const double excess = use - settings.wantedUse;
    const double step = excess > 0 ? std::min(settings.riseGain * excess, settings.mostRise) : -settings.fall;
    state.level = std::clamp(state.level + step, 0.0, std::max(0.0, priorities - kAlwaysAdmitted));
}

auto clientPriorities(const Policy &policy) -> std::vector<int>
{
    std::set<int> priorities;
    for (const auto &route : policy.routes) {
        if (!route.isOpen || policy.teams.empty()) {
            priorities.insert(route.priority);
        }
    }
    for (const auto &team : policy.teams) {
        if (team.priority) {
            priorities.insert(*team.priority);
        }
    }
    return {priorities.rbegin(), priorities.rend()};
}

auto serviceLevel(const PeerTable &table, const ServiceName &service, TimePoint now) -> double
{
    std::set<ServiceName> visited;
    return levelBelow(table, service, now, visited);
}

auto isShedAt(double level, const std::vector<int> &priorities, int priority, std::string_view requestId) -> bool
{
    if (level <= 0) {
        return false;
    }
    const auto found = std::find(priorities.begin(), priorities.end(), priority);
    const auto place = static_cast<double>(found - priorities.begin());
    const double shedPart = std::clamp(level - place, 0.0, 1.0);
    constexpr uint64_t kCohorts = 1024;
    return static_cast<double>(stableHash(requestId) % kCohorts) < shedPart * kCohorts;
}

} // namespace snipestream
