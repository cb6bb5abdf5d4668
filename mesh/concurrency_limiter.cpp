#include "mesh/concurrency_limiter.h"

#include <algorithm>
#include <cmath>

namespace snipestream
{

namespace
{

auto toDuration(double inSeconds) -> Duration
{
    return duration_cast<Duration>(std::chrono::duration<double>(inSeconds));
}

void blend(double &mean, double value, double weight)
{
    mean = mean == 0 ? value : mean + (value - mean) * weight;
}

} // namespace

void setSlots(ConcurrencyLimiter &gate, int slots)
{
    gate.limit = std::max(1, static_cast<int>(std::floor(slots * gate.settings.usedSlots)));
}

auto expectedServiceTime(const ConcurrencyLimiter &gate, WorkKind workKind) -> Duration
{
    const auto found = gate.serviceSecondsByKind.find(workKind);
    return toDuration(found == gate.serviceSecondsByKind.end() ? gate.meanServiceSeconds : found->second);
}

auto expectedWait(const ConcurrencyLimiter &gate, int rank) -> Duration
{
    if (gate.running < gate.limit) {
        return Duration::zero();
    }
    size_t ahead = 0;
    for (const auto &[key, waiter] : gate.queue) {
        if (key.first > rank) {
            break;
        }
        ++ahead;
    }
    return toDuration(static_cast<double>(ahead + 1) * gate.meanServiceSeconds / gate.limit);
}

auto offerRequest(ConcurrencyLimiter &gate, const LimiterRequest &request, TimePoint now) -> LimiterResult
{
    const LimiterRequestId id = gate.nextLimiterRequestId++;
    addWork(gate.offered, std::chrono::duration<double>(expectedServiceTime(gate, request.workKind)).count() / gate.limit, now);
    if (gate.running < gate.limit && gate.queue.empty()) {
        ++gate.running;
        return {LimiterDecision::Admitted, id};
    }
    const Duration wait = expectedWait(gate, request.rank);
    const Duration service = expectedServiceTime(gate, request.workKind);
    const bool missesDeadline = now + wait + service > request.deadline;
    const Duration mostWait = toDuration(std::chrono::duration<double>(request.targetLatency).count() * gate.settings.waitPerLatency) - service;
    const bool losesWorth = !request.isNested && wait > std::max(mostWait, Duration::zero());
    if (missesDeadline || losesWorth) {
        return {LimiterDecision::Refused, id};
    }
    gate.queue.emplace(std::make_pair(request.rank, std::make_pair(now + request.targetLatency, id)), LimiterQueuedRequest{id, request, now});
    return {LimiterDecision::Queued, id};
}

void releaseSlot(ConcurrencyLimiter &gate, WorkKind workKind, Duration service)
{
    gate.running = std::max(0, gate.running - 1);
    if (service <= Duration::zero()) {
        return;
    }
    const double measured = std::chrono::duration<double>(service).count();
    blend(gate.meanServiceSeconds, measured, gate.settings.serviceWeight);
    blend(gate.serviceSecondsByKind[workKind], measured, gate.settings.serviceWeight);
}

auto dequeueRequests(ConcurrencyLimiter &gate, TimePoint now) -> std::vector<LimiterDequeueResult>
{
    std::vector<LimiterDequeueResult> decisions;
    while (!gate.queue.empty() && gate.running < gate.limit) {
        const auto first = gate.queue.begin();
        const LimiterQueuedRequest waiter = first->second;
        gate.queue.erase(first);
        const bool inTime = now + expectedServiceTime(gate, waiter.request.workKind) / 2 < waiter.request.deadline;
        gate.running += inTime ? 1 : 0;
        decisions.push_back({waiter.id, inTime});
    }
    return decisions;
}

auto expireQueued(ConcurrencyLimiter &gate, TimePoint now) -> std::vector<LimiterRequestId>
{
    std::vector<LimiterRequestId> expired;
    for (auto waiter = gate.queue.begin(); waiter != gate.queue.end();) {
        if (waiter->second.request.deadline > now) {
            ++waiter;
            continue;
        }
        expired.push_back(waiter->second.id);
        waiter = gate.queue.erase(waiter);
    }
    return expired;
}

auto cancelQueued(ConcurrencyLimiter &gate, LimiterRequestId id) -> bool
{
    const auto found = std::find_if(gate.queue.begin(), gate.queue.end(), [id](const auto &entry) {
        return entry.second.id == id;
    });
    if (found == gate.queue.end()) {
        return false;
    }
    gate.queue.erase(found);
    return true;
}

} // namespace snipestream
