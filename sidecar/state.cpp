#include "sidecar/state.h"

namespace snipestream
{

namespace
{

/// A connection on which a peer or the store acknowledges nothing for this long is closed. It is longer than a few
/// retransmissions on a lossy link, and short enough that a caller with the shortest timeout has time for another attempt.
constexpr Duration kDeadPeerTimeout = milliseconds(1500);
/// A connection on the same VM opens in about a millisecond, so a target that takes a second accepts none.
constexpr Duration kTargetConnectTimeout = milliseconds(1000);

/// Fraction of the process's memory limit that responses may take together until they have been sent, and a single one while it
/// is received. While a body grows, its buffer takes up to three times its size.
constexpr double kResponseMemoryFraction = 0.15;
constexpr double kMaxResponseFraction = 0.1;

auto memoryFraction(const SidecarSettings &settings, double fraction) -> uint64_t
{
    return static_cast<uint64_t>(static_cast<double>(settings.memoryMb) * 1024 * 1024 * fraction);
}

auto poolOptions(const SidecarSettings &settings, const std::shared_ptr<MemoryBudget> &memory) -> CallPoolOptions
{
    CallPoolOptions options;
    options.memory = memory;
    options.maxResponseBytes = memoryFraction(settings, kMaxResponseFraction);
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
    , responseMemory(std::make_shared<MemoryBudget>())
    , peerPool(fiberRuntime, peerPoolOptions(settings, responseMemory))
    , targetPool(fiberRuntime, targetPoolOptions(settings, responseMemory))
    , storePool(fiberRuntime, peerPoolOptions(settings, responseMemory))
{
    incarnation = random();
    responseMemory->maxBytes = memoryFraction(settings, kResponseMemoryFraction);
    stopSettings.stopTime = settings.stopTime;
    peers.ownAddress = settings.address;
    peers.ownDomain = settings.domain;
    addMember(peers, ownMember(settings));
    splits.phase = static_cast<double>(drawBelow(random, 1000)) / 1000;
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
    return state.isMembershipRead && isServing(state.target);
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
    return {state.limiter.running, static_cast<int>(state.limiter.queue.size()), state.limiter.limit};
}

} // namespace snipestream
