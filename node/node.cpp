#include "node/node.h"

#include "core/events.h"
#include "http/http_server.h"
#include "node/admin.h"
#include "node/claim_service.h"
#include "node/config_service.h"
#include "node/directory_service.h"
#include "node/entry.h"
#include "node/failure_detector.h"
#include "node/lease_service.h"
#include "node/log_transport.h"
#include "node/node_state.h"
#include "node/quota_service.h"
#include "node/shutdown.h"
#include "node/target_call.h"
#include "platform/http_log_client.h"

#include <algorithm>
#include <utility>

#include <glog/logging.h>

namespace snipestream
{

namespace
{

constexpr Duration kAdmissionTickInterval = milliseconds(10);
/// Time within which callers and other nodes notice that this node leaves: the directory is renewed once a second, and
/// the rest is margin.
constexpr Duration kLeavePropagationTime = seconds(2);
constexpr Duration kDrainPollInterval = milliseconds(10);
/// Time for connections that were accepted just before the stop to send their first request.
constexpr Duration kFirstRequestGrace = milliseconds(500);

auto peerOptions(const Settings &settings, uint64_t incarnation) -> PeerOptions
{
    PeerOptions options;
    options.listen = settings.peerListen;
    options.self = {settings.node, incarnation, settings.domain};
    options.fleetSecret = settings.fleetSecret;
    options.callTimeout = settings.timeouts.peer;
    options.connectTimeout = settings.timeouts.connect;
    return options;
}

auto serverOptions(const Settings &settings, const char *name, const Endpoint &listen) -> HttpServerOptions
{
    HttpServerOptions options;
    options.name = name;
    options.listen = listen;
    options.maxHeaderBytes = static_cast<uint32_t>(settings.limits.maxHeaderBytes);
    options.maxBodyBytes = settings.limits.maxBodyBytes;
    options.maxConnections = settings.limits.maxConnections;
    options.headTimeout = settings.timeouts.readHead;
    options.idleTimeout = settings.timeouts.idle;
    return options;
}

} // namespace

NodeState::NodeState(FiberRuntime &fiberRuntime, Settings initialSettings)
    : runtime(fiberRuntime)
    , settings(std::move(initialSettings))
    , incarnation(static_cast<uint64_t>(wallClockMs()))
    , random(systemSeed())
{
    const TimePoint now = BootClock::now();
    freshness.confirmedAt = now;
    nodesChangedAt = now;
    directory.node = settings.node;
    directory.incarnation = incarnation;
    directory.startedAt = now;
    endpoints.node = settings.node;
    endpoints.domain = settings.domain;
    localTargets.node = settings.node;
    localTargets.domain = settings.domain;
    leaseNode = makeLeaseNode(settings.node, settings.domain, incarnation, now);
    log = makeHttpLogClient(makeFiberTransport(runtime, settings.log), settings.timeouts.log);
    peers = std::make_unique<PeerNetwork>(runtime, peerOptions(settings, incarnation), metrics);
}

struct Node::Impl {
    Impl(FiberRuntime &runtime, Settings settings)
        : state(runtime, std::move(settings))
        , callerServer(runtime, serverOptions(state.settings, "caller", state.settings.callerListen), state.metrics,
                       [this](Exchange &exchange) {
                           serveCaller(state, exchange);
                       })
        , targetServer(runtime, serverOptions(state.settings, "target", state.settings.targetListen), state.metrics, [this](Exchange &exchange) {
            if (!serveAdmin(state, exchange)) {
                serveTargetCall(state, exchange);
            }
        })
    {
        state.onStopRequest = [this] {
            requestStop();
        };
    }

    void runAdmission()
    {
        while (!state.ending) {
            applyDequeueResults(state, tick(state.admission, BootClock::now()));
            state.runtime.sleepFor(kAdmissionTickInterval);
        }
    }

    [[nodiscard]] auto runningRequests() const -> size_t
    {
        return callerServer.activeRequestCount() + targetServer.activeRequestCount() + state.contexts.rows.size() + state.admissionWaits.size();
    }

    void requestStop();
    void shutDown();
    void announceDraining();

    NodeState state;
    HttpServer callerServer;
    HttpServer targetServer;
    bool isForced = false;
    size_t cutRequests = 0;
};

void Node::Impl::requestStop()
{
    if (state.stopping) {
        isForced = true;
        return;
    }
    state.stopping = true;
    state.runtime.spawn([this] {
        shutDown();
    });
}

/// Announces the local targets as draining, so that the directories no longer offer them to callers.
void Node::Impl::announceDraining()
{
    for (auto &[name, target] : state.localTargets.targets) {
        TargetAnnouncement announcement = target.announcement;
        announcement.state = EndpointState::Draining;
        announceTarget(state.localTargets, announcement, static_cast<uint64_t>(wallClockMs()), BootClock::now());
    }
    announceLocalTargets(state);
}

void Node::Impl::shutDown()
{
    logEvent(EventId::NodeStopping, {{"running", std::to_string(runningRequests())}});
    const TimePoint start = BootClock::now();
    const TimePoint deadline = start + state.settings.shutdownDeadline;
    announceDraining();
    callerServer.announceClose();
    // New requests arrive until callers and other nodes have noticed the shutdown; they are still served.
    while (!isForced && BootClock::now() < std::min(deadline, start + kLeavePropagationTime)) {
        state.runtime.sleepFor(kDrainPollInterval);
    }
    callerServer.stopAccepting();
    const TimePoint firstRequestDeadline = std::min(deadline, BootClock::now() + kFirstRequestGrace);
    while (!isForced && BootClock::now() < firstRequestDeadline) {
        state.runtime.sleepFor(kDrainPollInterval);
    }
    callerServer.closeIdle();
    while (!isForced && runningRequests() > 0 && BootClock::now() < deadline) {
        state.runtime.sleepFor(kDrainPollInterval);
    }
    for (const auto &[handle, context] : state.contexts.rows) {
        logEvent(EventId::RequestCutAtStop, {{"request", toHex(context.id)}, {"team", context.team.value}});
    }
    cutRequests = runningRequests();
    beginClaimHandover(state);
    while (!isForced && !areClaimsHandedOver(state) && BootClock::now() < deadline) {
        state.runtime.sleepFor(kDrainPollInterval);
    }
    releaseLeases(state);
    appendLeave(state);
    state.ending = true;
    endLongPolls(state);
    callerServer.closeAll();
    targetServer.stopAccepting();
    targetServer.closeAll();
    state.targetConnections.clear();
    state.peers->shutdown();
    logEvent(EventId::NodeStopped, {{"cut", std::to_string(cutRequests)}});
    state.runtime.stop();
}

Node::Node(FiberRuntime &runtime, Settings settings)
    : impl_(std::make_unique<Impl>(runtime, std::move(settings)))
{
    NodeState &state = impl_->state;
    addFoldSections(state);
    serveConfig(state);
    serveDirectory(state);
    serveChecks(state);
    serveLeases(state);
    serveClaims(state);
    serveQuota(state);
    startQuota(state);
    state.peers->onStream([&state](Exchange &exchange) {
        serveStream(state, exchange);
    });
}

Node::~Node() = default;

auto Node::start() -> Result<void>
{
    NodeState &state = impl_->state;
    BOOST_OUTCOME_TRY(state.peers->listen());
    BOOST_OUTCOME_TRY(impl_->targetServer.listen());
    state.runtime.spawn([this, &state] {
        // Without a configuration there are no routes, so requests that arrive before the first read would be refused.
        while (!loadConfigAtStart(state) && !state.ending) {
            state.runtime.sleepFor(milliseconds(200));
        }
        if (state.ending) {
            return;
        }
        if (const auto listening = impl_->callerServer.listen(); !listening) {
            LOG(ERROR) << listening.error().message;
            requestStop();
            return;
        }
        logEvent(EventId::NodeStarted, {{"node", state.settings.node.value}, {"domain", state.settings.domain.value}});
        runConfigSync(state);
    });
    state.runtime.spawn([&state] {
        runDirectory(state);
    });
    state.runtime.spawn([&state] {
        runFailureDetector(state);
    });
    state.runtime.spawn([&state] {
        runLeases(state);
    });
    state.runtime.spawn([&state] {
        runClaims(state);
    });
    state.runtime.spawn([&state] {
        runQuota(state);
    });
    state.runtime.spawn([this] {
        impl_->runAdmission();
    });
    return success();
}

void Node::requestStop()
{
    impl_->requestStop();
}

auto Node::cutRequests() const -> size_t
{
    return impl_->cutRequests;
}

void requestStop(NodeState &state)
{
    state.onStopRequest();
}

} // namespace snipestream
