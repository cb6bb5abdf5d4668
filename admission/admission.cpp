#include "admission/admission.h"

#include <algorithm>
#include <cmath>

namespace snipestream
{

namespace
{

/// Bits of a ticket that hold the serial number; the bits above hold the number of the target.
constexpr unsigned kSerialBits = 40;

auto findTarget(AdmissionTable &table, const TargetName &name) -> AdmissionTarget *
{
    for (auto &row : table.targets) {
        if (row.name == name) {
            return &row;
        }
    }
    return nullptr;
}

auto findTarget(AdmissionTable &table, AdmissionId admissionId) -> AdmissionTarget *
{
    const uint64_t number = admissionId >> kSerialBits;
    for (auto &row : table.targets) {
        if (row.number == number) {
            return &row;
        }
    }
    return nullptr;
}

auto makeAdmissionId(AdmissionTable &table, const AdmissionTarget &target) -> AdmissionId
{
    return (static_cast<AdmissionId>(target.number) << kSerialBits) | (table.nextSerial++ & ((1ULL << kSerialBits) - 1));
}

auto refusal(RefusalReason reason, Duration retryAfter, std::string detail) -> Refusal
{
    return Refusal{reason, RunState::NotRun, retryAfter, std::move(detail)};
}

auto toDuration(double seconds) -> Duration
{
    return duration_cast<Duration>(std::chrono::duration<double>(std::min(seconds, 3600.0)));
}

auto decayedStarts(const TeamUsage &starts, TimePoint now) -> double
{
    return starts.served * std::exp(-std::chrono::duration<double>(now - starts.servedAt).count());
}

/// Returns the expected wait of a new request, in seconds: requests ahead of it divided by the starts per second that
/// higher priorities leave over.
auto expectedWait(const AdmissionTarget &target, const AdmissionRequest &request, int limit, TimePoint now) -> double
{
    const double service = meanServiceTime(target.limit);
    if (service <= 0) {
        return 0;
    }
    const double capacity = limit / service;
    double higher = 0;
    for (size_t priority = 0; priority < static_cast<size_t>(request.priority); ++priority) {
        higher += decayedStarts(target.starts[priority], now);
    }
    // At least a twentieth is assumed to be left, so that the estimate stays finite.
    const double left = std::max(capacity - higher, capacity * 0.05);
    return (countAhead(target.queue, request.priority, request.team) + 1) / left;
}

auto retryAfter(const AdmissionTable &table, double waitSeconds) -> Duration
{
    return std::max(table.settings.leastRetryAfter, toDuration(waitSeconds));
}

void start(AdmissionTarget &target, AdmissionId admissionId, const AdmissionRequest &request, uint32_t route, TimePoint now)
{
    const double charged = std::max(target.limit.routes[route].mean, 1e-4);
    chargeTeam(target.usage, request.team, charged, now);
    auto &starts = target.starts[static_cast<size_t>(request.priority)];
    starts.served = decayedStarts(starts, now) + 1;
    starts.servedAt = now;
    target.running.emplace(admissionId, RunningRequest{request.team, request.priority, route, now, charged});
    target.limit.peakInFlight = std::max(target.limit.peakInFlight, static_cast<int>(target.running.size()));
}

/// Returns whether a request can still finish in time if it starts now.
auto canFinish(AdmissionTarget &target, const AdmissionSettings &settings, uint32_t route, TimePoint deadline, TimePoint now) -> bool
{
    const Duration left = deadline - now;
    if (left <= Duration::zero()) {
        return false;
    }
    auto &latency = target.limit.routes[route];
    if (left >= toDuration(latency.mean)) {
        return true;
    }
    // Without an occasional run the mean would never be corrected once it exceeds all deadlines.
    if (now < latency.nextProbeAt) {
        return false;
    }
    latency.nextProbeAt = now + settings.probeInterval;
    return true;
}

/// Starts and refuses waiting requests as far as slots are free.
void startWaiting(AdmissionTable &table, AdmissionTarget &target, TimePoint now, std::vector<DequeueResult> &dequeueResults)
{
    const auto limit = static_cast<size_t>(currentLimit(target.limit, table.settings.limit, now));
    while (target.running.size() < limit) {
        const auto admissionId = nextToStart(target.queue, target.usage, now);
        if (!admissionId) {
            break;
        }
        const auto row = removeWaiting(target.queue, *admissionId);
        if (!canFinish(target, table.settings, row->route, row->request.deadline, now)) {
            target.shedding.overflowed = true;
            dequeueResults.push_back(
                {*admissionId, false,
                 refusal(RefusalReason::QueueTimeout, table.settings.leastRetryAfter, "the time left after the wait is below the service time")});
            continue;
        }
        target.shedding.shortestWait = std::min(target.shedding.shortestWait, Duration(now - row->queuedAt));
        start(target, *admissionId, row->request, row->route, now);
        dequeueResults.push_back({*admissionId, true, {}});
    }
    target.shedding.queueWasEmpty = target.shedding.queueWasEmpty || target.queue.rows.empty();
}

void refuseAllWaiting(AdmissionTarget &target, const Refusal &why, std::vector<DequeueResult> &dequeueResults)
{
    std::vector<AdmissionId> admissionIds;
    admissionIds.reserve(target.queue.rows.size());
    for (const auto &[admissionId, row] : target.queue.rows) {
        admissionIds.push_back(admissionId);
    }
    std::sort(admissionIds.begin(), admissionIds.end());
    for (const AdmissionId admissionId : admissionIds) {
        removeWaiting(target.queue, admissionId);
        dequeueResults.push_back({admissionId, false, why});
    }
}

/// Refuses waiting requests whose time left is below their service time. Slots are then not spent on them, and the
/// queue does not fill with requests that end late.
void refuseLate(AdmissionTable &table, AdmissionTarget &target, TimePoint now, std::vector<DequeueResult> &dequeueResults)
{
    std::vector<AdmissionId> late;
    for (const auto &teams : target.queue.waiting) {
        for (const auto &[team, requests] : teams) {
            for (const auto &[deadline, admissionId] : requests) {
                const auto route = target.queue.rows.at(admissionId).route;
                const Duration least = toDuration(target.limit.routes[route].mean);
                // A request that waits as a probe stays until its deadline.
                const bool isProbe = target.limit.routes[route].nextProbeAt <= now;
                if (deadline <= now || (!isProbe && deadline - now < least)) {
                    late.push_back(admissionId);
                }
            }
        }
    }
    for (const AdmissionId admissionId : late) {
        removeWaiting(target.queue, admissionId);
        target.shedding.overflowed = true;
        dequeueResults.push_back(
            {admissionId, false, refusal(RefusalReason::QueueTimeout, table.settings.leastRetryAfter, "the request waited too long to finish in time")});
    }
}

auto refused(Refusal why) -> AdmissionResult
{
    return AdmissionResult{AdmissionDecision::Refused, 0, std::move(why), {}};
}

} // namespace

void upsertTarget(AdmissionTable &table, const TargetName &target, const ServiceName &service, int slots, bool cold, TimePoint now)
{
    AdmissionTarget *row = findTarget(table, target);
    if (row == nullptr) {
        AdmissionTarget added;
        added.number = table.nextNumber++;
        added.name = target;
        added.limit = makeLimit(slots, cold, now);
        added.usage.weights = table.weights;
        added.shedding.windowStart = now;
        row = &table.targets.emplace_back(std::move(added));
    }
    row->service = service;
    row->draining = false;
    if (slots != row->limit.slots) {
        row->limit.limit = std::max(1.0, row->limit.limit * std::max(1, slots) / row->limit.slots);
        row->limit.slots = std::max(1, slots);
    }
}

auto removeTarget(AdmissionTable &table, const TargetName &target) -> std::vector<DequeueResult>
{
    std::vector<DequeueResult> dequeueResults;
    const auto row = std::find_if(table.targets.begin(), table.targets.end(), [&](const AdmissionTarget &candidate) {
        return candidate.name == target;
    });
    if (row == table.targets.end()) {
        return dequeueResults;
    }
    refuseAllWaiting(*row, refusal(RefusalReason::NoTarget, table.settings.leastRetryAfter, "the target left"), dequeueResults);
    table.targets.erase(row);
    return dequeueResults;
}

void drainTarget(AdmissionTable &table, const TargetName &target, TimePoint now)
{
    AdmissionTarget *row = findTarget(table, target);
    if (row != nullptr && !row->draining) {
        row->draining = true;
        row->drainSince = now;
    }
}

auto isIdle(const AdmissionTable &table, const TargetName &target) -> bool
{
    return std::none_of(table.targets.begin(), table.targets.end(), [&](const AdmissionTarget &row) {
        return row.name == target && !(row.running.empty() && row.queue.rows.empty());
    });
}

auto offer(AdmissionTable &table, const TargetName &target, const AdmissionRequest &request, TimePoint now) -> AdmissionResult
{
    AdmissionTarget *row = findTarget(table, target);
    if (row == nullptr) {
        return refused(refusal(RefusalReason::NoTarget, table.settings.leastRetryAfter, "target " + target.value + " is not on this VM"));
    }
    if (row->draining) {
        return refused(refusal(RefusalReason::NoTarget, table.settings.leastRetryAfter, "target " + target.value + " is draining"));
    }
    if (request.deadline <= now) {
        return refused(refusal(RefusalReason::DeadlinePassed, {}, "the deadline passed before the request arrived"));
    }
    const int rank = rankOf(request.priority, request.id);
    observeArrival(row->shedding, rank);
    // A team within its share is not shed for the surge of another team, as long as its priority is not shed as a
    // whole.
    if (isShed(row->shedding.level, rank) && (isPriorityShed(row->shedding.level, request.priority) || !isWithinShare(row->usage, request.team, now))) {
        return refused(refusal(RefusalReason::Overloaded, table.settings.leastRetryAfter, "shed at level " + std::to_string(row->shedding.level)));
    }
    const uint32_t route = routeRow(row->limit, request.route);
    const int limit = currentLimit(row->limit, table.settings.limit, now);
    if (row->queue.rows.empty()) {
        row->shedding.queueWasEmpty = true;
    }
    const bool startsNow = row->queue.rows.empty() && row->running.size() < static_cast<size_t>(limit);
    if (!canFinish(*row, table.settings, route, request.deadline, now)) {
        return refused(refusal(RefusalReason::DeadlinePassed, {}, "the time left is below the service time"));
    }
    if (startsNow) {
        const AdmissionId admissionId = makeAdmissionId(table, *row);
        start(*row, admissionId, request, route, now);
        return AdmissionResult{AdmissionDecision::Admitted, admissionId, {}, {}};
    }
    const double wait = expectedWait(*row, request, limit, now);
    if (request.deadline - now < toDuration(wait + row->limit.routes[route].mean)) {
        row->shedding.overflowed = true;
        return refused(refusal(RefusalReason::Overloaded, retryAfter(table, wait), "the expected wait exceeds the time left"));
    }
    AdmissionResult result{AdmissionDecision::Queued, makeAdmissionId(table, *row), {}, {}};
    const auto bound = static_cast<size_t>(std::max<double>(table.settings.leastQueue, row->limit.slots * table.settings.queuePerSlot));
    if (row->queue.rows.size() >= bound) {
        row->shedding.overflowed = true;
        const Refusal full = refusal(RefusalReason::Overloaded, retryAfter(table, wait), "the queue is full");
        const auto displaced = requestToDisplace(row->queue, row->usage, request, now);
        if (!displaced) {
            return refused(full);
        }
        removeWaiting(row->queue, *displaced);
        result.dequeueResults.push_back({*displaced, false, full});
    }
    enqueue(row->queue, result.admissionId, WaitingRequest{request, now, route});
    std::vector<DequeueResult> dequeueResults;
    startWaiting(table, *row, now, dequeueResults);
    for (auto &dequeueResult : dequeueResults) {
        if (dequeueResult.admissionId != result.admissionId) {
            result.dequeueResults.push_back(std::move(dequeueResult));
        } else if (dequeueResult.isAdmitted) {
            result.decision = AdmissionDecision::Admitted;
        } else {
            result.decision = AdmissionDecision::Refused;
            result.refusal = std::move(dequeueResult.refusal);
        }
    }
    return result;
}

auto complete(AdmissionTable &table, AdmissionId admissionId, RunOutcome outcome, TimePoint now) -> std::vector<DequeueResult>
{
    std::vector<DequeueResult> dequeueResults;
    AdmissionTarget *row = findTarget(table, admissionId);
    if (row == nullptr) {
        return dequeueResults;
    }
    const auto run = row->running.find(admissionId);
    if (run == row->running.end()) {
        return dequeueResults;
    }
    const Duration latency = now - run->second.startedAt;
    chargeTeam(row->usage, run->second.team, std::chrono::duration<double>(latency).count() - run->second.charged, now);
    if (outcome == RunOutcome::Answered || outcome == RunOutcome::TimedOut) {
        observeLatency(row->limit, table.settings.limit, run->second.route, latency, outcome == RunOutcome::TimedOut, now);
    }
    row->running.erase(run);
    startWaiting(table, *row, now, dequeueResults);
    return dequeueResults;
}

auto cancel(AdmissionTable &table, AdmissionId admissionId, TimePoint now) -> std::vector<DequeueResult>
{
    AdmissionTarget *row = findTarget(table, admissionId);
    if (row == nullptr || removeWaiting(row->queue, admissionId)) {
        return {};
    }
    return complete(table, admissionId, RunOutcome::Cancelled, now);
}

auto tick(AdmissionTable &table, TimePoint now) -> std::vector<DequeueResult>
{
    std::vector<DequeueResult> dequeueResults;
    for (auto &target : table.targets) {
        sampleInFlight(target.limit, static_cast<int>(target.running.size()));
        tickLimit(target.limit, table.settings.limit, now);
        refuseLate(table, target, now, dequeueResults);
        startWaiting(table, target, now, dequeueResults);
        if (target.draining && now - target.drainSince >= table.settings.drainGrace) {
            refuseAllWaiting(target, refusal(RefusalReason::NoTarget, table.settings.leastRetryAfter, "the target is draining"), dequeueResults);
        }
        const int limit = currentLimit(target.limit, table.settings.limit, now);
        target.shedding.useSum += std::min(1.0, static_cast<double>(target.running.size()) / limit);
        ++target.shedding.useSamples;
        if (tickShedding(target.shedding, table.settings.shedding, toDuration(meanServiceTime(target.limit)), now)) {
            target.shedding.queueWasEmpty = target.queue.rows.empty();
            refreshUsage(target.usage, now);
        }
    }
    return dequeueResults;
}

void setTeamWeights(AdmissionTable &table, std::map<TeamName, double> weights)
{
    table.weights = std::move(weights);
    for (auto &target : table.targets) {
        target.usage.weights = table.weights;
    }
}

auto admissionStatus(const AdmissionTable &table, const TargetName &target, TimePoint now) -> std::optional<AdmissionStatus>
{
    for (const auto &row : table.targets) {
        if (row.name == target) {
            return AdmissionStatus{currentLimit(row.limit, table.settings.limit, now),
                                   static_cast<int>(row.running.size()),
                                   static_cast<int>(row.queue.rows.size()),
                                   row.shedding.level,
                                   row.limit.slowdown,
                                   row.draining};
        }
    }
    return std::nullopt;
}

} // namespace snipestream
