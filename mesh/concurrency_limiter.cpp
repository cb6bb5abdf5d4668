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

void updateMean(double &mean, double value, double weight)
{
    mean = mean == 0 ? value : mean + (value - mean) * weight;
}

} // namespace

void setSlots(ConcurrencyLimiter &limiter, int slots)
{
    limiter.slots = slots;
    limiter.limit = std::max(1, static_cast<int>(std::floor(slots * limiter.settings.maxUtilization)));
}

void setUtilization(ConcurrencyLimiter &limiter, double fraction)
{
    limiter.settings.maxUtilization = fraction;
    setSlots(limiter, limiter.slots);
}

auto expectedServiceTime(const ConcurrencyLimiter &limiter, WorkKind workKind) -> Duration
{
    const auto found = limiter.serviceSecondsByKind.find(workKind);
    return toDuration(found == limiter.serviceSecondsByKind.end() ? limiter.meanServiceSeconds : found->second);
}

auto queueDelay(const ConcurrencyLimiter &limiter) -> Duration
{
    return toDuration(static_cast<double>(limiter.queue.size()) * limiter.meanServiceSeconds / limiter.limit);
}

auto expectedQueueDelay(const ConcurrencyLimiter &limiter, int rank) -> Duration
{
    if (limiter.running < limiter.limit) {
        return Duration::zero();
    }
    size_t ahead = 0;
    for (const auto &[key, queued] : limiter.queue) {
        if (key.first > rank) {
            break;
        }
        ++ahead;
    }
    return toDuration(static_cast<double>(ahead + 1) * limiter.meanServiceSeconds / limiter.limit);
}

auto offerRequest(ConcurrencyLimiter &limiter, const LimiterRequest &request, TimePoint now) -> LimiterResult
{
    const LimiterRequestId id = limiter.nextLimiterRequestId++;
    addWork(limiter.offered, std::chrono::duration<double>(expectedServiceTime(limiter, request.workKind)).count() / limiter.limit, now);
    if (limiter.running < limiter.limit && limiter.queue.empty()) {
        ++limiter.running;
        return {LimiterDecision::Admitted, id};
    }
    const Duration queueDelay = expectedQueueDelay(limiter, request.rank);
    const Duration serviceTime = expectedServiceTime(limiter, request.workKind);
    const bool missesDeadline = now + queueDelay + serviceTime > request.deadline;
    const Duration maxQueueDelay =
        toDuration(std::chrono::duration<double>(request.targetLatency).count() * limiter.settings.maxQueueDelayFraction) - serviceTime;
    const bool missesTargetLatency = !request.isNested && queueDelay > std::max(maxQueueDelay, Duration::zero());
    if (missesDeadline || missesTargetLatency) {
        return {LimiterDecision::Refused, id};
    }
    limiter.queue.emplace(std::make_pair(request.rank, std::make_pair(now + request.targetLatency, id)), LimiterQueuedRequest{id, request, now});
    return {LimiterDecision::Queued, id};
}

void releaseSlot(ConcurrencyLimiter &limiter, WorkKind workKind, Duration serviceTime)
{
    limiter.running = std::max(0, limiter.running - 1);
    if (serviceTime <= Duration::zero()) {
        return;
    }
    const double measured = std::chrono::duration<double>(serviceTime).count();
    updateMean(limiter.meanServiceSeconds, measured, limiter.settings.serviceTimeWeight);
    updateMean(limiter.serviceSecondsByKind[workKind], measured, limiter.settings.serviceTimeWeight);
}

auto dequeueRequests(ConcurrencyLimiter &limiter, TimePoint now) -> std::vector<LimiterDequeueResult>
{
    std::vector<LimiterDequeueResult> results;
    while (!limiter.queue.empty() && limiter.running < limiter.limit) {
        const auto first = limiter.queue.begin();
        const LimiterQueuedRequest queued = first->second;
        limiter.queue.erase(first);
        const bool inTime = now + expectedServiceTime(limiter, queued.request.workKind) / 2 < queued.request.deadline;
        limiter.running += inTime ? 1 : 0;
        results.push_back({queued.id, inTime});
    }
    return results;
}

auto expireQueued(ConcurrencyLimiter &limiter, TimePoint now) -> std::vector<LimiterRequestId>
{
    std::vector<LimiterRequestId> expired;
    for (auto queued = limiter.queue.begin(); queued != limiter.queue.end();) {
        if (queued->second.request.deadline > now) {
            ++queued;
            continue;
        }
        expired.push_back(queued->second.id);
        queued = limiter.queue.erase(queued);
    }
    return expired;
}

auto cancelQueued(ConcurrencyLimiter &limiter, LimiterRequestId id) -> bool
{
    const auto found = std::find_if(limiter.queue.begin(), limiter.queue.end(), [id](const auto &entry) {
        return entry.second.id == id;
    });
    if (found == limiter.queue.end()) {
        return false;
    }
    limiter.queue.erase(found);
    return true;
}

} // namespace snipestream
