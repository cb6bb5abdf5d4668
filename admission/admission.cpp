#include "admission/admission.h"

#include <algorithm>
#include <cmath>

namespace snipestream
{

namespace
{

/// Bits of an admission id that hold the serial number; the higher bits hold the number of the target.
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

auto makeRefusal(RefusalReason reason, Duration retryAfter, std::string detail) -> Refusal
{
    return Refusal{reason, RunState::NotRun, retryAfter, std::move(detail)};
}

auto toDuration(double seconds) -> Duration
{
    return duration_cast<Duration>(std::chrono::duration<double>(std::min(seconds, 3600.0)));
}

auto decayedStarts(const TeamUsage &starts, TimePoint now) -> double
{
    return starts.amount * std::exp(-std::chrono::duration<double>(now - starts.updatedAt).count());
}

/// Returns the expected queue delay of a new request, in seconds: the number of requests ahead of it divided by the
/// rate of starts that higher priorities leave for it.
auto expectedQueueDelay(const AdmissionTarget &target, const AdmissionRequest &request, int limit, TimePoint now) -> double
{
    const double serviceTime = meanServiceTime(target.limit);
    if (serviceTime <= 0) {
        return 0;
    }
    const double capacity = limit / serviceTime;
    double higherRate = 0;
    for (size_t priority = 0; priority < static_cast<size_t>(request.priority); ++priority) {
        higherRate += decayedStarts(target.starts[priority], now);
    }
    // At least 5% of the capacity is assumed to remain, so that the estimate stays finite.
    const double remainingRate = std::max(capacity - higherRate, capacity * 0.05);
    return (countAhead(target.queue, request.priority, request.team) + 1) / remainingRate;
}

auto retryAfter(const AdmissionTable &table, double queueDelaySeconds) -> Duration
{
    return std::max(table.settings.minRetryAfter, toDuration(queueDelaySeconds));
}

void start(AdmissionTarget &target, AdmissionId admissionId, const AdmissionRequest &request, uint32_t route, TimePoint now)
{
    const double chargedSlotSeconds = std::max(target.limit.routes[route].mean, 1e-4);
    chargeTeam(target.usage, request.team, chargedSlotSeconds, now);
    auto &starts = target.starts[static_cast<size_t>(request.priority)];
    starts.amount = decayedStarts(starts, now) + 1;
    starts.updatedAt = now;
    target.running.emplace(admissionId, RunningRequest{request.team, request.priority, route, now, chargedSlotSeconds});
    target.limit.maxInFlight = std::max(target.limit.maxInFlight, static_cast<int>(target.running.size()));
}

/// Returns whether a request can still finish in time if it starts now.
auto canFinish(AdmissionTarget &target, const AdmissionSettings &settings, uint32_t route, TimePoint deadline, TimePoint now) -> bool
{
    const Duration timeLeft = deadline - now;
    if (timeLeft <= Duration::zero()) {
        return false;
    }
    auto &latency = target.limit.routes[route];
    if (timeLeft >= toDuration(latency.mean)) {
        return true;
    }
    // Probes: without an occasional run, a mean that exceeds all deadlines would never be corrected.
    if (now < latency.nextProbeAt) {
        return false;
    }
    latency.nextProbeAt = now + settings.probeInterval;
    return true;
}

/// Starts queued requests while slots are free, and refuses those that can no longer finish in time.
void startQueued(AdmissionTable &table, AdmissionTarget &target, TimePoint now, std::vector<DequeueResult> &dequeueResults)
{
    const auto limit = static_cast<size_t>(currentLimit(target.limit, table.settings.limit, now));
    while (target.running.size() < limit) {
        const auto admissionId = nextToStart(target.queue, target.usage, now);
        if (!admissionId) {
            break;
        }
        const auto row = removeQueued(target.queue, *admissionId);
        if (!canFinish(target, table.settings, row->route, row->request.deadline, now)) {
            target.shedding.overflowed = true;
            dequeueResults.push_back(
                {*admissionId, false,
                 makeRefusal(RefusalReason::QueueTimeout, table.settings.minRetryAfter, "the time left after the wait is below the service time")});
            continue;
        }
        target.shedding.minQueueDelay = std::min(target.shedding.minQueueDelay, Duration(now - row->queuedAt));
        start(target, *admissionId, row->request, row->route, now);
        dequeueResults.push_back({*admissionId, true, {}});
    }
    target.shedding.queueWasEmpty = target.shedding.queueWasEmpty || target.queue.rows.empty();
}

void refuseAllQueued(AdmissionTarget &target, const Refusal &refusal, std::vector<DequeueResult> &dequeueResults)
{
    std::vector<AdmissionId> admissionIds;
    admissionIds.reserve(target.queue.rows.size());
    for (const auto &[admissionId, row] : target.queue.rows) {
        admissionIds.push_back(admissionId);
    }
    std::sort(admissionIds.begin(), admissionIds.end());
    for (const AdmissionId admissionId : admissionIds) {
        removeQueued(target.queue, admissionId);
        dequeueResults.push_back({admissionId, false, refusal});
    }
}

/// Refuses queued requests whose time left is below the mean latency of their route, so that they neither take slots
/// nor fill the queue and then finish after their deadlines.
void refuseLateRequests(AdmissionTable &table, AdmissionTarget &target, TimePoint now, std::vector<DequeueResult> &dequeueResults)
{
    std::vector<AdmissionId> late;
    for (const auto &teams : target.queue.byPriority) {
        for (const auto &[team, requests] : teams) {
            for (const auto &[deadline, admissionId] : requests) {
                const auto route = target.queue.rows.at(admissionId).route;
                const Duration minTimeLeft = toDuration(target.limit.routes[route].mean);
                // A request for which a probe is due stays queued until its deadline.
                const bool isProbe = target.limit.routes[route].nextProbeAt <= now;
                if (deadline <= now || (!isProbe && deadline - now < minTimeLeft)) {
                    late.push_back(admissionId);
                }
            }
        }
    }
    for (const AdmissionId admissionId : late) {
        removeQueued(target.queue, admissionId);
        target.shedding.overflowed = true;
        dequeueResults.push_back(
            {admissionId, false, makeRefusal(RefusalReason::QueueTimeout, table.settings.minRetryAfter, "the request waited too long to finish in time")});
    }
}

auto refusedResult(Refusal refusal) -> AdmissionResult
{
    return AdmissionResult{AdmissionDecision::Refused, 0, std::move(refusal), {}};
}

} // namespace

void upsertTarget(AdmissionTable &table, const TargetName &target, const ServiceName &service, int slots, bool isWarmingUp, TimePoint now)
{
    AdmissionTarget *row = findTarget(table, target);
    if (row == nullptr) {
        AdmissionTarget added;
        added.number = table.nextNumber++;
        added.name = target;
        added.limit = makeLimit(slots, isWarmingUp, now);
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
    refuseAllQueued(*row, makeRefusal(RefusalReason::NoTarget, table.settings.minRetryAfter, "the target left"), dequeueResults);
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
        return refusedResult(makeRefusal(RefusalReason::NoTarget, table.settings.minRetryAfter, "target " + target.value + " is not on this VM"));
    }
    if (row->draining) {
        return refusedResult(makeRefusal(RefusalReason::NoTarget, table.settings.minRetryAfter, "target " + target.value + " is draining"));
    }
    if (request.deadline <= now) {
        return refusedResult(makeRefusal(RefusalReason::DeadlinePassed, {}, "the deadline passed before the request arrived"));
    }
    const int rank = rankOf(request.priority, request.id);
    observeArrival(row->shedding, rank);
    // A team within its share is not shed because of a surge of another team, unless its whole priority is shed.
    if (isShed(row->shedding.level, rank) && (isPriorityShed(row->shedding.level, request.priority) || !isWithinShare(row->usage, request.team, now))) {
        return refusedResult(makeRefusal(RefusalReason::Overloaded, table.settings.minRetryAfter, "shed at level " + std::to_string(row->shedding.level)));
    }
    const uint32_t route = findOrAddRoute(row->limit, request.route);
    const int limit = currentLimit(row->limit, table.settings.limit, now);
    if (row->queue.rows.empty()) {
        row->shedding.queueWasEmpty = true;
    }
    const bool startsNow = row->queue.rows.empty() && row->running.size() < static_cast<size_t>(limit);
    if (!canFinish(*row, table.settings, route, request.deadline, now)) {
        return refusedResult(makeRefusal(RefusalReason::DeadlinePassed, {}, "the time left is below the service time"));
    }
    if (startsNow) {
        const AdmissionId admissionId = makeAdmissionId(table, *row);
        start(*row, admissionId, request, route, now);
        return AdmissionResult{AdmissionDecision::Admitted, admissionId, {}, {}};
    }
    const double queueDelay = expectedQueueDelay(*row, request, limit, now);
    if (request.deadline - now < toDuration(queueDelay + row->limit.routes[route].mean)) {
        row->shedding.overflowed = true;
        return refusedResult(makeRefusal(RefusalReason::Overloaded, retryAfter(table, queueDelay), "the expected wait exceeds the time left"));
    }
    AdmissionResult result{AdmissionDecision::Queued, makeAdmissionId(table, *row), {}, {}};
    const auto maxQueueLength = static_cast<size_t>(std::max<double>(table.settings.minQueueLength, row->limit.slots * table.settings.maxQueuedPerSlot));
    if (row->queue.rows.size() >= maxQueueLength) {
        row->shedding.overflowed = true;
        const Refusal full = makeRefusal(RefusalReason::Overloaded, retryAfter(table, queueDelay), "the queue is full");
        const auto displaced = requestToDisplace(row->queue, row->usage, request, now);
        if (!displaced) {
            return refusedResult(full);
        }
        removeQueued(row->queue, *displaced);
        result.dequeueResults.push_back({*displaced, false, full});
    }
    enqueue(row->queue, result.admissionId, QueuedRequest{request, now, route});
    std::vector<DequeueResult> dequeueResults;
    startQueued(table, *row, now, dequeueResults);
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
    chargeTeam(row->usage, run->second.team, std::chrono::duration<double>(latency).count() - run->second.chargedSlotSeconds, now);
    if (outcome == RunOutcome::Answered || outcome == RunOutcome::TimedOut) {
        observeLatency(row->limit, table.settings.limit, run->second.route, latency, outcome == RunOutcome::TimedOut, now);
    }
    row->running.erase(run);
    startQueued(table, *row, now, dequeueResults);
    return dequeueResults;
}

auto cancel(AdmissionTable &table, AdmissionId admissionId, TimePoint now) -> std::vector<DequeueResult>
{
    AdmissionTarget *row = findTarget(table, admissionId);
    if (row == nullptr || removeQueued(row->queue, admissionId)) {
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
        refuseLateRequests(table, target, now, dequeueResults);
        startQueued(table, target, now, dequeueResults);
        if (target.draining && now - target.drainSince >= table.settings.drainGrace) {
            refuseAllQueued(target, makeRefusal(RefusalReason::NoTarget, table.settings.minRetryAfter, "the target is draining"), dequeueResults);
        }
        const int limit = currentLimit(target.limit, table.settings.limit, now);
        target.shedding.utilizationSum += std::min(1.0, static_cast<double>(target.running.size()) / limit);
        ++target.shedding.utilizationSamples;
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
