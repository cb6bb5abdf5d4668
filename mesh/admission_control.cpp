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

/// Time over which arrivals are averaged: some tens of requests at one node, and short against an overload.
constexpr double kArrivalSeconds = 0.5;
/// Slots of work below which nothing is shed.
constexpr double kLeastWork = 0.01;

auto decayFactor(const AdmissionControl &control, TimePoint now) -> double
{
    const double passed = std::chrono::duration<double>(now - control.decayedAt).count();
    return std::exp(-std::max(passed, 0.0) / kArrivalSeconds);
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

/// Returns the part of each class that is shed: the admitted work is divided among the priorities, and the part of each
/// among its classes.
auto shedParts(const AdmissionControl &control, const AdmissionControlSettings &settings, const std::vector<Importance> &known) -> std::vector<double>
{
    // Class i has the importance known[i / 2]; other nodes may already tell of classes of a newer policy.
    std::vector<std::vector<double>> byPriority;
    std::vector<double> wanted;
    for (size_t i = 0; i < control.wanted.size(); ++i) {
        const size_t place = i / 2;
        const bool isNext = i == 0 || (i % 2 == 0 && place < known.size() && known[place].priority != known[place - 1].priority);
        if (isNext) {
            byPriority.emplace_back();
            wanted.push_back(0);
        }
        byPriority.back().push_back(control.wanted[i]);
        wanted.back() += control.wanted[i];
    }
    const auto given = divideWork(control.admittedFraction * sumOf(wanted), wanted, settings.leastPriorityPart);
    std::vector<double> shed;
    for (size_t group = 0; group < byPriority.size(); ++group) {
        const auto parts = divideWork(given[group], byPriority[group], settings.leastClassPart);
        for (size_t i = 0; i < parts.size(); ++i) {
            const double work = byPriority[group][i];
            const double idle = control.admittedFraction > 0 ? 0 : 1;
            shed.push_back(work > 0 ? std::clamp(1 - parts[i] / work, 0.0, 1.0) : idle);
        }
    }
    return shed;
}

} // namespace

auto importanceLevels(const Policy &policy) -> std::vector<Importance>
{
    std::set<Importance> known;
    for (const auto &route : policy.routes) {
        if (policy.teams.empty()) {
            known.insert(importanceOf(route, nullptr));
            continue;
        }
        for (const auto &team : policy.teams) {
            // Routes that need no key are those of running requests, which are not shed.
            if (!route.isOpen) {
                known.insert(importanceOf(route, &team));
            }
        }
    }
    return {known.rbegin(), known.rend()};
}

auto importanceOf(const RoutePolicy &route, const TeamPolicy *team) -> Importance
{
    return {team != nullptr ? team->priority.value_or(route.priority) : route.priority, route.priority};
}

auto shedClass(const std::vector<Importance> &known, const Importance &importance, bool isReturning) -> size_t
{
    const auto found = std::find(known.begin(), known.end(), importance);
    const auto place = static_cast<size_t>(found - known.begin());
    return place * 2 + (isReturning ? 1 : 0);
}

auto serviceCapacity(const PeerTable &table, const ServiceName &service, TimePoint now) -> ServiceCapacity
{
    ServiceCapacity room;
    double busy = 0;
    for (const auto &[address, row] : table.rows) {
        if (!row.report || row.report->service != service) {
            continue;
        }
        room.isKnown = true;
        const bool alive = address == table.ownAddress || isAlive(table, row, now);
        if (alive && row.report->serving && !row.report->leaving) {
            busy += row.report->offeredLoad * row.report->load.limit;
            room.slots += row.report->load.limit;
        }
    }
    room.load = room.slots > 0 ? busy / room.slots : 0;
    return room;
}

void countArrival(AdmissionControl &control, size_t shedClass, double slotSeconds, TimePoint now)
{
    control.arrivals = arrivingWork(control, now);
    if (control.arrivals.size() <= shedClass) {
        control.arrivals.resize(shedClass + 1, 0);
    }
    control.arrivals[shedClass] += slotSeconds / kArrivalSeconds;
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

auto totalDemand(const PeerTable &table, const ServiceName &service, const AdmissionControl &own, TimePoint now) -> std::vector<double>
{
    std::vector<double> wanted = arrivingWork(own, now);
    for (const auto &[address, row] : table.rows) {
        if (address == table.ownAddress || !row.report || !isAlive(table, row, now)) {
            continue;
        }
        for (const auto &told : row.report->serviceDemand) {
            if (told.service == service) {
                addTo(wanted, told.slotsByClass);
            }
        }
    }
    return wanted;
}

auto divideWork(double fits, const std::vector<double> &wanted, double leastPart) -> std::vector<double>
{
    const double mean = std::min(fits / std::max(sumOf(wanted), kLeastWork), 1.0);
    std::vector<double> given(wanted.size());
    std::transform(wanted.begin(), wanted.end(), given.begin(), [mean, leastPart](double work) {
        return work * mean * leastPart;
    });
    double left = fits - sumOf(given);
    for (size_t i = wanted.size(); i-- > 0;) {
        const double more = std::min(left, wanted[i] - given[i]);
        given[i] += more;
        left -= more;
    }
    return given;
}

void updateAdmission(AdmissionControl &control, const AdmissionControlSettings &settings, const std::vector<Importance> &known, const ServiceCapacity &room,
                     std::vector<double> wanted, TimePoint now)
{
    if (now - control.updatedAt < settings.window) {
        return;
    }
    control.updatedAt = now;
    control.wanted = std::move(wanted);
    const double estimated = sumOf(control.wanted);
    if (room.isKnown && room.slots <= 0) {
        control.admittedFraction = 0;
    } else if (!room.isKnown || estimated < kLeastWork) {
        control.admittedFraction = 1;
    } else {
        // Little load while nothing is shed says nothing about the estimate; the correction then returns to none.
        const bool tells = control.admittedFraction < 1 || room.load > settings.wantedLoad;
        const double error = tells ? settings.wantedLoad / std::max(room.load, 0.1) - 1 : 1 - control.correction;
        control.correction += settings.gain * std::clamp(error, -1.0, 1.0) * control.correction;
        control.correction = std::clamp(control.correction, settings.leastCorrection, settings.mostCorrection);
        control.admittedFraction = std::clamp(room.slots * settings.wantedLoad * control.correction / estimated, 0.0, 1.0);
    }
    control.shed = shedParts(control, settings, known);
}

auto shedFraction(const AdmissionControl &control, size_t shedClass) -> double
{
    // A class that did not come lately takes no room from the others; without any room, it fails all the same.
    return shedClass < control.shed.size() ? control.shed[shedClass] : (control.admittedFraction > 0 ? 0 : 1);
}

auto isShed(double part, std::string_view requestId) -> bool
{
    constexpr uint64_t kCohorts = 1024;
    return static_cast<double>(stableHash(requestId) % kCohorts) < part * kCohorts;
}

} // namespace snipestream
