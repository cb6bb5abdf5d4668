#include "mesh/admission_control.h"

#include "core/hash.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <set>
#include <utility>

namespace snipestream
{

namespace
{

/// Time constant of the mean of arrivals, in seconds. It covers some tens of requests at one node and is short compared
/// with an overload.
constexpr double kArrivalDecaySeconds = 0.5;
/// Demand in slots below which nothing is shed.
constexpr double kMinDemandSlots = 0.01;

auto decayFactor(const AdmissionControl &control, TimePoint now) -> double
{
    const double elapsed = std::chrono::duration<double>(now - control.decayedAt).count();
    return std::exp(-std::max(elapsed, 0.0) / kArrivalDecaySeconds);
}

void addTo(std::vector<double> &sums, const std::vector<double> &values)
{
    if (sums.size() < values.size()) {
        sums.resize(values.size(), 0);
    }
    for (size_t i = 0; i < values.size(); ++i) {
        sums[i] += values[i];
    }
}

auto sumOf(const std::vector<double> &values) -> double
{
    return std::accumulate(values.begin(), values.end(), 0.0);
}

/// Returns the fraction of each class that is shed. The admitted work is divided among the priorities, and the work of
/// each priority among its classes.
auto calculateShedFractions(const AdmissionControl &control, const AdmissionControlSettings &settings, const std::vector<Importance> &classes)
    -> std::vector<double>
{
    // Class i has the importance classes[i / 2]. Other nodes may already report classes of a newer policy.
    std::vector<std::vector<double>> byPriority;
    std::vector<double> priorityDemand;
    for (size_t i = 0; i < control.demand.size(); ++i) {
        const size_t level = i / 2;
        const bool startsPriority = i == 0 || (i % 2 == 0 && level < classes.size() && classes[level].priority != classes[level - 1].priority);
        if (startsPriority) {
            byPriority.emplace_back();
            priorityDemand.push_back(0);
        }
        byPriority.back().push_back(control.demand[i]);
        priorityDemand.back() += control.demand[i];
    }
    const auto priorityAdmitted = divideCapacity(control.admittedFraction * sumOf(priorityDemand), priorityDemand, settings.minPriorityFraction);
    std::vector<double> shedFractions;
    for (size_t group = 0; group < byPriority.size(); ++group) {
        const auto admitted = divideCapacity(priorityAdmitted[group], byPriority[group], settings.minClassFraction);
        for (size_t i = 0; i < admitted.size(); ++i) {
            const double work = byPriority[group][i];
            const double emptyClassFraction = control.admittedFraction > 0 ? 0 : 1;
            shedFractions.push_back(work > 0 ? std::clamp(1 - admitted[i] / work, 0.0, 1.0) : emptyClassFraction);
        }
    }
    return shedFractions;
}

/// Returns the number of levels per priority that keeps all of them within `kMaxImportanceLevels`, and at least one.
/// `counts` has the number of importances of each priority.
auto maxLevelsPerPriority(const std::vector<size_t> &counts) -> size_t
{
    const auto total = [&counts](size_t max) {
        return std::accumulate(counts.begin(), counts.end(), size_t{0}, [max](size_t sum, size_t count) {
            return sum + std::min(count, max);
        });
    };
    const size_t largest = counts.empty() ? 1 : *std::max_element(counts.begin(), counts.end());
    size_t max = 1;
    while (max < largest && total(max + 1) <= kMaxImportanceLevels) {
        ++max;
    }
    return max;
}

/// Returns the first element of each of `groups` parts of nearly equal size, or all elements if there are fewer.
auto firstOfGroups(const std::vector<Importance> &values, size_t groups) -> std::vector<Importance>
{
    groups = std::min(groups, values.size());
    std::vector<Importance> firsts;
    for (size_t group = 0; group < groups; ++group) {
        firsts.push_back(values[group * values.size() / groups]);
    }
    return firsts;
}

/// Merges levels, the least important first, so that at most `kMaxImportanceLevels` remain.
auto mergeLevels(const std::vector<Importance> &levels) -> std::vector<Importance>
{
    std::vector<std::vector<Importance>> byPriority;
    std::vector<size_t> counts;
    for (const auto &level : levels) {
        if (byPriority.empty() || byPriority.back().front().priority != level.priority) {
            byPriority.emplace_back();
            counts.push_back(0);
        }
        byPriority.back().push_back(level);
        ++counts.back();
    }
    const size_t maxLevels = maxLevelsPerPriority(counts);
    std::vector<Importance> merged;
    for (const auto &priority : byPriority) {
        const auto firsts = firstOfGroups(priority, maxLevels);
        merged.insert(merged.end(), firsts.begin(), firsts.end());
    }
    return firstOfGroups(merged, kMaxImportanceLevels);
}

} // namespace

auto importanceLevels(const Policy &policy) -> std::vector<Importance>
{
    std::set<Importance> levels;
    for (const auto &route : policy.routes) {
        if (policy.teams.empty()) {
            levels.insert(importanceOf(route, nullptr));
            continue;
        }
        for (const auto &team : policy.teams) {
            // Open routes carry the nested calls of running requests, which are not shed.
            if (!route.isOpen) {
                levels.insert(importanceOf(route, &team));
            }
        }
    }
    return mergeLevels({levels.rbegin(), levels.rend()});
}

auto importanceOf(const RoutePolicy &route, const TeamPolicy *team) -> Importance
{
    return {team != nullptr ? team->priority.value_or(route.priority) : route.priority, route.priority};
}

auto shedClass(const std::vector<Importance> &classes, const Importance &importance, bool isRetry) -> size_t
{
    const auto moreImportant = std::partition_point(classes.begin(), classes.end(), [&importance](const Importance &level) {
        return !(level < importance);
    });
    const auto notMoreImportant = static_cast<size_t>(moreImportant - classes.begin());
    const size_t level = notMoreImportant > 0 ? notMoreImportant - 1 : 0;
    return level * 2 + (isRetry ? 1 : 0);
}

auto serviceCapacity(const PeerTable &table, const ServiceName &service, TimePoint now) -> ServiceCapacity
{
    ServiceCapacity capacity;
    double busy = 0;
    std::vector<const PeerRow *> serving;
    std::vector<const PeerRow *> leaving;
    for (const PeerRow *const row : homesOf(table, service)) {
        if (!row->report) {
            continue;
        }
        capacity.hasTargets = true;
        if (isEvacuated(table, *row)) {
            continue;
        }
        if (row->address != table.ownAddress && !isAlive(*row, now)) {
            continue;
        }
        if (isServing(*row)) {
            serving.push_back(row);
        } else if (isServingLast(*row)) {
            leaving.push_back(row);
        }
    }
    for (const PeerRow *const row : serving.empty() ? leaving : serving) {
        busy += row->report->offeredLoad * row->report->load.limit;
        capacity.queuedSlotSeconds += std::chrono::duration<double>(row->report->queueDelay).count() * row->report->load.limit;
        capacity.slots += row->report->load.limit;
        addTo(capacity.demand, row->report->demand);
    }
    capacity.load = capacity.slots > 0 ? busy / capacity.slots : 0;
    return capacity;
}

void countArrival(AdmissionControl &control, size_t shedClass, double slotSeconds, TimePoint now)
{
    control.arrivals = arrivingWork(control, now);
    if (control.arrivals.size() <= shedClass) {
        control.arrivals.resize(shedClass + 1, 0);
    }
    control.arrivals[shedClass] += slotSeconds / kArrivalDecaySeconds;
    control.decayedAt = now;
}

auto arrivingWork(const AdmissionControl &control, TimePoint now) -> std::vector<double>
{
    std::vector<double> result = control.arrivals;
    const double factor = decayFactor(control, now);
    for (double &work : result) {
        work *= factor;
    }
    return result;
}

auto divideCapacity(double capacity, const std::vector<double> &demand, double minFraction) -> std::vector<double>
{
    const double mean = std::min(capacity / std::max(sumOf(demand), kMinDemandSlots), 1.0);
    std::vector<double> allocated(demand.size());
    std::transform(demand.begin(), demand.end(), allocated.begin(), [mean, minFraction](double work) {
        return work * mean * minFraction;
    });
    double remaining = capacity - sumOf(allocated);
    for (size_t i = demand.size(); i-- > 0;) {
        const double extra = std::min(remaining, demand[i] - allocated[i]);
        allocated[i] += extra;
        remaining -= extra;
    }
    return allocated;
}

namespace
{

/// Corrects the estimated work of requests by comparing the load with the work that was admitted. The load lags behind
/// admission, and the demand does so by itself, so that a surge does not look like a wrong estimate.
void updateCorrection(AdmissionControl &control, const AdmissionControlSettings &settings, const ServiceCapacity &capacity, Duration elapsed)
{
    const double weight = 1 - std::exp(-std::chrono::duration<double>(elapsed) / settings.loadDelay);
    control.delayedFraction += (control.admittedFraction - control.delayedFraction) * weight;
    const double expected = control.delayedFraction * sumOf(control.demand);
    const double measured = capacity.load * capacity.slots;
    if (expected < settings.minConclusiveSlots || measured < settings.minConclusiveSlots) {
        return;
    }
    const double error = expected / measured / control.correction - 1;
    control.correction += settings.gain * std::clamp(error, -1.0, 1.0) * control.correction;
    control.correction = std::clamp(control.correction, settings.minCorrection, settings.maxCorrection);
}

} // namespace

void updateAdmission(AdmissionControl &control, const AdmissionControlSettings &settings, const std::vector<Importance> &classes,
                     const ServiceCapacity &capacity, TimePoint now)
{
    const Duration elapsed = now - control.updatedAt;
    if (elapsed < settings.window) {
        return;
    }
    control.updatedAt = now;
    control.demand = capacity.demand;
    if (elapsed < settings.loadDelay) {
        updateCorrection(control, settings, capacity, elapsed);
    }
    const double estimated = sumOf(control.demand);
    if (capacity.hasTargets && capacity.slots <= 0) {
        control.admittedFraction = 0;
    } else if (!capacity.hasTargets || estimated < kMinDemandSlots) {
        control.admittedFraction = 1;
    } else {
        const double draining = capacity.queuedSlotSeconds / std::chrono::duration<double>(settings.queueDrainTime).count();
        const double available = capacity.slots * settings.desiredUtilization - draining;
        control.admittedFraction = std::clamp(available * control.correction / estimated, 0.0, 1.0);
    }
    control.shedFractions = calculateShedFractions(control, settings, classes);
}

auto shedFraction(const AdmissionControl &control, size_t shedClass) -> double
{
    // A class without recent arrivals takes no capacity from the others. If no work is admitted at all, it is shed too.
    return shedClass < control.shedFractions.size() ? control.shedFractions[shedClass] : (control.admittedFraction > 0 ? 0 : 1);
}

auto isShed(double fraction, std::string_view requestId) -> bool
{
    /// Number of groups that request ids are hashed into; fractions are rounded to multiples of its inverse, so that the
    /// rounding error of a fraction that should be zero sheds nothing.
    constexpr uint64_t kCohorts = 1024;
    return stableHash(requestId) % kCohorts < static_cast<uint64_t>(std::llround(fraction * kCohorts));
}

} // namespace snipestream
