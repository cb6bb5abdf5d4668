#include "mesh/admission_control.h"

#include "core/hash.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace snipestream
{

namespace
{

/// Time over which arrivals of the classes are compared.
constexpr double kArrivalSeconds = 1.0;
/// Fewest arrivals that tell anything about the classes' shares.
constexpr double kLeastArrivals = 0.5;

auto highestLoad(const PeerTable &table, const ServiceName &service, TimePoint now, std::set<ServiceName> &visited) -> double
{
    if (!visited.insert(service).second) {
        return 0;
    }
    double busy = 0;
    double slots = 0;
    std::set<ServiceName> called;
    for (const auto &[address, row] : table.rows) {
        if (!row.report || row.report->service != service || (address != table.ownAddress && !isAlive(table, row, now))) {
            continue;
        }
        if (row.report->serving && !row.report->leaving) {
            busy += row.report->offeredLoad * row.report->load.limit;
            slots += row.report->load.limit;
        }
        called.insert(row.report->calledServices.begin(), row.report->calledServices.end());
    }
    double load = slots > 0 ? busy / slots : 0;
    for (const auto &next : called) {
        load = std::max(load, highestLoad(table, next, now, visited));
    }
    return load;
}

void decay(AdmissionControl &control, TimePoint now)
{
    const double passed = std::chrono::duration<double>(now - control.decayedAt).count();
    const double factor = std::exp(-std::max(passed, 0.0) / kArrivalSeconds);
    for (double &count : control.arrivals) {
        count *= factor;
    }
    control.decayedAt = now;
}

} // namespace

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

auto shedClass(const std::vector<int> &priorities, int priority, bool isReturning) -> size_t
{
    const auto found = std::find(priorities.begin(), priorities.end(), priority);
    const auto place = static_cast<size_t>(found - priorities.begin());
    return place * 2 + (isReturning ? 1 : 0);
}

auto serviceLoad(const PeerTable &table, const ServiceName &service, TimePoint now) -> double
{
    std::set<ServiceName> visited;
    return highestLoad(table, service, now, visited);
}

void countArrival(AdmissionControl &control, size_t shedClass, TimePoint now)
{
    if (control.arrivals.size() <= shedClass) {
        control.arrivals.resize(shedClass + 1, 0);
    }
    decay(control, now);
    control.arrivals[shedClass] += 1;
}

void stepAdmission(AdmissionControl &control, const AdmissionControlSettings &settings, double load, TimePoint now)
{
    if (now - control.steppedAt < settings.window) {
        return;
    }
    control.steppedAt = now;
    const double before = control.history.empty() ? 1.0 : control.history.front();
    const double growth = std::min(settings.wantedLoad / std::max(load, 0.01), settings.mostGrowth);
    const double wanted = std::clamp(before * growth, settings.leastAdmitted, 1.0);
    control.admitted += (wanted - control.admitted) * settings.gain;
    control.history.push_back(control.admitted);
    while (control.history.size() > static_cast<size_t>(settings.reportDelay / settings.window)) {
        control.history.pop_front();
    }
}

auto shedPart(const AdmissionControl &control, size_t shedClass) -> double
{
    double total = 0;
    double before = 0;
    for (size_t i = 0; i < control.arrivals.size(); ++i) {
        total += control.arrivals[i];
        before += i < shedClass ? control.arrivals[i] : 0;
    }
    if (total < kLeastArrivals || shedClass >= control.arrivals.size() || control.arrivals[shedClass] <= 0) {
        return 0;
    }
    const double shed = (1 - control.admitted) * total - before;
    return std::clamp(shed / control.arrivals[shedClass], 0.0, 1.0);
}

auto isShed(const AdmissionControl &control, size_t shedClass, std::string_view requestId) -> bool
{
    /// Admission approaches one from below; the rest would only shed a request now and then.
    constexpr double kAll = 0.99;
    if (control.admitted >= kAll) {
        return false;
    }
    constexpr uint64_t kCohorts = 1024;
    return static_cast<double>(stableHash(requestId) % kCohorts) < shedPart(control, shedClass) * kCohorts;
}

} // namespace snipestream
