#include "sidecar/state.h"

#include "sidecar/memory_shares.h"

namespace snipestream
{

namespace
{

/// A connection on which a peer or the store acknowledges nothing for this long is closed. It is longer than a few
/// retransmissions on a lossy link, and short enough that a caller with the shortest timeout has time for another attempt.
constexpr Duration kDeadPeerTimeout = milliseconds(1500);
/// A connection on the same VM opens in about a millisecond, so a target that takes a second accepts none.
constexpr Duration kTargetConnectTimeout = milliseconds(1000);

auto poolOptions(const SidecarSettings &settings, const std::shared_ptr<MemoryBudget> &memory) -> CallPoolOptions
{
    CallPoolOptions options;
    options.memory = memory;
    options.maxResponseBytes = memoryShare(settings, memory_shares::kLargestResponse);
    return options;
}

auto peerPoolOptions(const SidecarSettings &settings, const std::shared_ptr<MemoryBudget> &memory) -> CallPoolOptions
{
    CallPoolOptions options = poolOptions(settings, memory);
    options.deadPeerTimeout = kDeadPeerTimeout;
    options.idleTimeout = seconds(25);
    return options;
}

auto targetPoolOptions(const SidecarSettings &settings, const std::shared_ptr<MemoryBudget> &memory) -> CallPoolOptions
{
    CallPoolOptions options = poolOptions(settings, memory);
    options.connectTimeout = kTargetConnectTimeout;
    return options;
}

} // namespace

SidecarState::SidecarState(FiberRuntime &fiberRuntime, SidecarSettings initialSettings)
    : runtime(fiberRuntime)
    , settings(std::move(initialSettings))
    , random(systemSeed())
    , datagrams(fiberRuntime.context())
    , connectionMemory(std::make_shared<MemoryBudget>())
    , responseMemory(std::make_shared<MemoryBudget>())
    , peerPool(fiberRuntime, peerPoolOptions(settings, responseMemory))
    , targetPool(fiberRuntime, targetPoolOptions(settings, responseMemory))
    , storePool(fiberRuntime, peerPoolOptions(settings, responseMemory))
{
    incarnation = random();
    applyMemoryLimit(*this);
    stopSettings.stopTime = settings.stopTime;
    peers.ownAddress = settings.address;
    peers.ownDomain = settings.domain;
    addMember(peers, ownMember(settings));
    splits.phase = static_cast<double>(drawBelow(random, 1000)) / 1000;
}

void applyMemoryLimit(SidecarState &state)
{
    state.connectionMemory->maxBytes = memoryShare(state.settings, memory_shares::kConnections);
    state.connectionMemory->maxSingleBytes = memoryShare(state.settings, memory_shares::kSingleConnection);
    state.responseMemory->maxBytes = memoryShare(state.settings, memory_shares::kResponses);
}

auto mayServeKeyedRequests(const SidecarState &state, TimePoint now) -> bool
{
    return state.policy && state.isMembershipRead && now - state.policyConfirmedAt < state.settings.keyWithdrawal;
}

auto policyTrustOf(const SidecarState &state, TimePoint now) -> PolicyTrust
{
    return policyTrust(state.policyConfirmedAt, state.storeView.contact, state.storeView.newerPolicyHeardAt, state.settings.policyApply, now);
}

auto isReady(const SidecarState &state, TimePoint now) -> bool
{
    return state.policy && !isStopping(state.stop) && (state.policy->teams.empty() || mayServeKeyedRequests(state, now));
}

auto isTargetServing(const SidecarState &state) -> bool
{
    return state.isMembershipRead && isServing(state.target) && !isEvacuated(state);
}

auto isEvacuated(const SidecarState &state) -> bool
{
    return state.evacuation.domains.count(state.settings.domain) != 0;
}

auto coldRatePerSecond(const SidecarState &state) -> double
{
    return state.policy ? coldRateOf(*state.policy, state.settings.service) : 0;
}

auto localTarget(const SidecarState &state) -> TargetId
{
    TargetId target;
    target.service = state.settings.service;
    if (state.target.latest) {
        target.instance = state.target.latest->instance;
        target.startedAtMs = state.target.latest->startedAtMs;
    }
    return target;
}

auto localLoad(const SidecarState &state) -> TargetLoad
{
    int limit = state.limiter.limit;
    const double perSecond = coldRatePerSecond(state);
    if (perSecond > 0 && isCold(state.coldRate, BootClock::now())) {
        limit = coldConcurrency(perSecond, state.limiter.meanServiceSeconds, limit);
    }
    return {state.limiter.running, static_cast<int>(state.limiter.queue.size()), limit, paceAt(state.pace, BootClock::now())};
}

} // namespace snipestream
