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

auto peerPoolOptions() -> CallPoolOptions
{
    CallPoolOptions options;
    options.deadPeerTimeout = kDeadPeerTimeout;
    options.idleTimeout = seconds(25);
    return options;
}

auto targetPoolOptions() -> CallPoolOptions
{
    CallPoolOptions options;
    options.connectTimeout = kTargetConnectTimeout;
    return options;
}

} // namespace

SidecarState::SidecarState(FiberRuntime &fiberRuntime, SidecarSettings initialSettings)
    : runtime(fiberRuntime)
    , settings(std::move(initialSettings))
    , random(systemSeed())
    , peerPool(fiberRuntime, peerPoolOptions())
    , targetPool(fiberRuntime, targetPoolOptions())
    , storePool(fiberRuntime, peerPoolOptions())
{
    incarnation = random();
    peers.ownAddress = settings.address;
    peers.ownDomain = settings.domain;
    addAddress(peers, settings.address);
    rates.tolerance = {settings.rateWindow, settings.rateOvershoot, settings.rateSlack};
    splits.phase = static_cast<double>(drawBelow(random, 1000)) / 1000;
}

auto isMembershipComplete(const SidecarState &state, TimePoint now) -> bool
{
    /// Report intervals after which a report of every other node has arrived, even if some of its reports were lost.
    constexpr int kDiscoveryIntervals = 4;
    return state.isMembershipRead || (state.firstReportAt != TimePoint() && now - state.firstReportAt > state.peers.reportInterval * kDiscoveryIntervals);
}

auto mayServeKeyedRequests(const SidecarState &state, TimePoint now) -> bool
{
    return state.policy && isMembershipComplete(state, now) && now - state.policyConfirmedAt < state.settings.keyWithdrawal;
}

auto isReady(const SidecarState &state, TimePoint now) -> bool
{
    return state.policy && !state.isStopping && (state.policy->teams.empty() || mayServeKeyedRequests(state, now));
}

auto localLoad(const SidecarState &state) -> TargetLoad
{
    return {state.limiter.running, static_cast<int>(state.limiter.queue.size()), state.limiter.limit};
}

} // namespace snipestream
