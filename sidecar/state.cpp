#include "sidecar/state.h"

namespace snipestream
{

namespace
{

/// A connection on which a peer or the store acknowledges nothing for this long is dead. Above a few retransmissions on a
/// link that loses packets, below what a caller's shortest deadline leaves for another try.
constexpr Duration kDeadPeerTimeout = milliseconds(1500);
/// Connections on the same VM open in about a millisecond; a target that needs a second takes none.
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

SidecarState::SidecarState(FiberRuntime &runtimeUsed, SidecarSettings chosen)
    : runtime(runtimeUsed)
    , settings(std::move(chosen))
    , random(systemSeed())
    , peerPool(runtimeUsed, peerPoolOptions())
    , targetPool(runtimeUsed, targetPoolOptions())
    , storePool(runtimeUsed, peerPoolOptions())
{
    incarnation = random();
    peers.ownAddress = settings.address;
    peers.ownDomain = settings.domain;
    addAddress(peers, settings.address);
    rates.tolerance = {settings.rateWindow, settings.rateOvershoot, settings.rateSlack};
    splits.phase = static_cast<double>(drawBelow(random, 1000)) / 1000;
}

auto knowsPeers(const SidecarState &state, TimePoint now) -> bool
{
    /// Reports of the others that may be missed before they are all known.
    constexpr int kReports = 4;
    return state.rosterRead || (state.firstHeardAt != TimePoint() && now - state.firstHeardAt > state.peers.reportInterval * kReports);
}

auto mayServeKeys(const SidecarState &state, TimePoint now) -> bool
{
    return state.policy && knowsPeers(state, now) && now - state.policyConfirmedAt < state.settings.keyWithdrawal;
}

auto isReady(const SidecarState &state, TimePoint now) -> bool
{
    return state.policy && !state.leaving && (state.policy->teams.empty() || mayServeKeys(state, now));
}

auto localLoad(const SidecarState &state) -> TargetLoad
{
    return {state.gate.running, static_cast<int>(state.gate.queue.size()), state.gate.limit};
}

} // namespace snipestream
