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

void setSlots(TargetGate &gate, int slots)
{
    gate.limit = std::max(1, static_cast<int>(std::floor(slots * gate.settings.usedSlots)));
}

auto expectedService(const TargetGate &gate, WorkKind workKind) -> Duration
{
    const auto found = gate.serviceByKind.find(workKind);
    return toDuration(found == gate.serviceByKind.end() ? gate.meanService : found->second);
}

auto expectedWait(const TargetGate &gate, int rank) -> Duration
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
    return toDuration(static_cast<double>(ahead + 1) * gate.meanService / gate.limit);
}

auto offerRequest(TargetGate &gate, const GateRequest &request, TimePoint now) -> GateOffer
{
    const GateTicket ticket = gate.nextTicket++;
    addWork(gate.offered, std::chrono::duration<double>(expectedService(gate, request.workKind)).count() / gate.limit, now);
    if (gate.running < gate.limit && gate.queue.empty()) {
        ++gate.running;
        return {GateVerdict::Run, ticket};
    }
    const Duration wait = expectedWait(gate, request.rank);
    const Duration service = expectedService(gate, request.workKind);
    const bool missesDeadline = now + wait + service > request.deadline;
    const Duration mostWait = toDuration(std::chrono::duration<double>(request.targetLatency).count() * gate.settings.waitPerLatency) - service;
    const bool losesWorth = !request.isInner && wait > std::max(mostWait, Duration::zero());
    if (missesDeadline || losesWorth) {
        return {GateVerdict::Refuse, ticket};
    }
    gate.queue.emplace(std::make_pair(request.rank, std::make_pair(now + request.targetLatency, ticket)), GateWaiter{ticket, request, now});
    return {GateVerdict::Wait, ticket};
}

void finishRun(TargetGate &gate, WorkKind workKind, Duration service)
{
    gate.running = std::max(0, gate.running - 1);
    if (service <= Duration::zero()) {
        return;
    }
    const double measured = std::chrono::duration<double>(service).count();
    blend(gate.meanService, measured, gate.settings.serviceWeight);
    blend(gate.serviceByKind[workKind], measured, gate.settings.serviceWeight);
}

auto startNext(TargetGate &gate, TimePoint now) -> std::vector<GateDecision>
{
    std::vector<GateDecision> decisions;
    while (!gate.queue.empty() && gate.running < gate.limit) {
        const auto first = gate.queue.begin();
        const GateWaiter waiter = first->second;
        gate.queue.erase(first);
        const bool inTime = now + expectedService(gate, waiter.request.workKind) / 2 < waiter.request.deadline;
        gate.running += inTime ? 1 : 0;
        decisions.push_back({waiter.ticket, inTime});
    }
    return decisions;
}

auto expireWaiting(TargetGate &gate, TimePoint now) -> std::vector<GateTicket>
{
    std::vector<GateTicket> expired;
    for (auto waiter = gate.queue.begin(); waiter != gate.queue.end();) {
        if (waiter->second.request.deadline > now) {
            ++waiter;
            continue;
        }
        expired.push_back(waiter->second.ticket);
        waiter = gate.queue.erase(waiter);
    }
    return expired;
}

auto leaveQueue(TargetGate &gate, GateTicket ticket) -> bool
{
    const auto found = std::find_if(gate.queue.begin(), gate.queue.end(), [ticket](const auto &entry) {
        return entry.second.ticket == ticket;
    });
    if (found == gate.queue.end()) {
        return false;
    }
    gate.queue.erase(found);
    return true;
}

} // namespace snipestream
