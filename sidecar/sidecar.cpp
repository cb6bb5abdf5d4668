#include "sidecar/sidecar.h"

#include "core/events.h"
#include "core/tick_monitor.h"
#include "platform/target_messages.h"
#include "sidecar/entry.h"
#include "sidecar/explain.h"
#include "sidecar/home.h"
#include "sidecar/membership.h"
#include "sidecar/memory_limit.h"
#include "sidecar/memory_shares.h"
#include "sidecar/peer_call.h"
#include "sidecar/policy_reader.h"
#include "sidecar/reports.h"
#include "sidecar/state.h"
#include "sidecar/work_record.h"

#include <algorithm>
#include <csignal>
#include <iostream>

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

namespace snipestream
{

namespace asio = boost::asio;

namespace
{

/// Interval at which queues, admission and reports are updated. Queued requests start without waiting for it when a slot
/// becomes free, so it only bounds the delay of other changes.
constexpr Duration kTickInterval = milliseconds(25);
constexpr Duration kLoadSampleInterval = seconds(1);
/// Interval at which the work of requests is derived from the reports again. It is long because the work changes slowly.
constexpr Duration kWorkGraphInterval = milliseconds(250);
/// Interval at which silent nodes are searched for.
constexpr Duration kLivenessInterval = milliseconds(250);
/// Interval of ticks while requests wait for a token.
constexpr Duration kTokenTickInterval = milliseconds(10);
/// Maximum time to record a departure before the target is answered; it waits a second for the answer.
constexpr Duration kDepartureTimeout = milliseconds(850);
/// Descriptors reserved for files and listening sockets.
constexpr uint64_t kReservedDescriptors = 250;
/// Maximum number of connections of each server that callers do not use, such as those for readiness checks.
constexpr size_t kMaxControlConnections = 64;
constexpr int kExitSettings = 2;
constexpr int kExitUnavailable = 3;
constexpr int kExitRequestsAborted = 4;

auto emptyResponse(int status) -> ResponseMessage
{
    ResponseMessage response;
    response.status = status;
    return response;
}

auto toMsText(Duration duration) -> std::string
{
    return std::to_string(duration_cast<milliseconds>(duration).count());
}

} // namespace

struct Sidecar::State : std::enable_shared_from_this<Sidecar::State> {
    State(FiberRuntime &runtime, SidecarSettings settings)
        : sidecar(runtime, std::move(settings))
        , tickTimer(runtime.context())
    {
    }

    void makeServers();
    auto handleReadyRequest(const RequestMessage &request) -> ResponseMessage;
    auto handleTargetRequest(const RequestMessage &request) -> ResponseMessage;
    auto handlePeerRequest(RequestMessage &request, CancelSignal &cancel) -> std::optional<ResponseMessage>;
    /// Returns false if the message is about another target than the local one.
    auto applyTargetMessage(const TargetMessage &message) -> bool;
    void tick();
    void updateServiceAdmission(TimePoint now);
    void updatePeerLiveness(TimePoint now);
    void logLoadSample(TimePoint now);
    void logTickDelay();
    void updateKeyedService(TimePoint now);
    [[nodiscard]] auto stopLoad() const -> StopLoad;
    void checkStop(TimePoint now);
    void end();

    SidecarState sidecar;
    asio::steady_timer tickTimer;
    TickMonitor tickMonitor;
    TimePoint loadSampledAt;
    TimePoint livenessUpdatedAt;
    std::map<std::string, bool> wasHomeAlive;
    std::function<void(size_t)> onEnded;
};

void Sidecar::State::makeServers()
{
    auto &runtime = sidecar.runtime;
    const auto &settings = sidecar.settings;
    const size_t descriptors = static_cast<size_t>(settings.maxDescriptors - std::min(settings.maxDescriptors / 2, kReservedDescriptors));
    // Callers may use half of the descriptors and peers a quarter. The rest is for connections that this node opens.
    const size_t maxCallerConnections = descriptors / 2;
    const size_t maxPeerConnections = descriptors / 4;
    const auto make = [&](const char *name, const Endpoint &listen, MessageHandler handler) {
        MessageServerOptions options;
        options.name = name;
        options.listen = listen;
        options.maxConnections = kMaxControlConnections;
        options.memory = sidecar.connectionMemory;
        return std::make_unique<MessageServer>(runtime, options, std::move(handler));
    };
    {
        MessageServerOptions options;
        options.name = "caller";
        options.listen = settings.callerListen;
        options.maxConnections = maxCallerConnections;
        options.memory = sidecar.connectionMemory;
        options.mayRunConcurrently = [this](const RequestMessage &request) {
            return mayRunConcurrently(sidecar, request);
        };
        sidecar.callerServer = std::make_unique<MessageServer>(runtime, options, [this](RequestMessage &request, CancelSignal &cancel) {
            return serveCaller(sidecar, request, cancel);
        });
    }
    {
        MessageServerOptions options;
        options.name = "peer";
        options.listen = settings.peerListen;
        options.maxConnections = maxPeerConnections;
        options.keepsServedConnections = true;
        options.memory = sidecar.connectionMemory;
        // Longer than the other nodes keep idle connections, so that this node never closes one that is about to be used.
        options.idleTimeout = seconds(60);
        options.maxHeaderBytes = 64 * 1024;
        sidecar.peerServer = std::make_unique<MessageServer>(runtime, options, [this](RequestMessage &request, CancelSignal &cancel) {
            return handlePeerRequest(request, cancel);
        });
    }
    sidecar.readyServer = make("ready", settings.readyListen, [this](RequestMessage &request, CancelSignal &) {
        return handleReadyRequest(request);
    });
    sidecar.targetServer = make("target", settings.targetListen, [this](RequestMessage &request, CancelSignal &) {
        return handleTargetRequest(request);
    });
    if (settings.metricsPort != 0) {
        sidecar.metricsServer = make("metrics", {settings.address, settings.metricsPort}, [this](RequestMessage &request, CancelSignal &) {
            if (auto explanation = explainTarget(sidecar, request.target)) {
                return std::move(*explanation);
            }
            ResponseMessage response;
            response.headers.emplace_back("Content-Type", "text/plain; version=0.0.4");
            response.body = sidecar.metrics.renderPrometheus();
            return response;
        });
    }
}

auto Sidecar::State::handleReadyRequest(const RequestMessage &request) -> ResponseMessage
{
    if (!isReadinessProbe(request.method, request.target)) {
        return emptyResponse(404);
    }
    return emptyResponse(isReady(sidecar, BootClock::now()) ? 200 : 503);
}

auto Sidecar::State::handleTargetRequest(const RequestMessage &request) -> ResponseMessage
{
    if (isReadinessProbe(request.method, request.target)) {
        return handleReadyRequest(request);
    }
    const auto decoded = decodeTargetMessage(request.method, request.target, request.body);
    if (!decoded) {
        return emptyResponse(404);
    }
    if (!*decoded) {
        logEvent(EventId::TargetMessageInvalid, {{"path", request.target}, {"error", decoded->error().message}});
        return emptyResponse(400);
    }
    const TargetMessage &message = decoded->value();
    const bool leaves = !message.announcement || message.announcement->draining;
    if (!applyTargetMessage(message) && leaves) {
        return emptyResponse(400);
    }
    if (leaves && !awaitOwnRecord(sidecar, kDepartureTimeout)) {
        // An acknowledgement would not bind a process that follows this one. The target repeats its message.
        logEvent(EventId::DepartureNotRecorded, {{"instance", message.instance}});
        return emptyResponse(503);
    }
    ResponseMessage response;
    response.headers.emplace_back("Content-Type", "application/json");
    response.body = "{}";
    return response;
}

auto Sidecar::State::applyTargetMessage(const TargetMessage &message) -> bool
{
    const TimePoint now = BootClock::now();
    if (!message.announcement) {
        if (applyDeparture(sidecar.target, message.instance, message.startedAtMs, wallClockMs())) {
            logEvent(EventId::TargetLeft, {{"instance", message.instance}});
            drainLimiterQueue(sidecar);
            sidecar.reportDue = true;
        }
        return true;
    }
    const auto &announcement = *message.announcement;
    if (announcement.service != sidecar.settings.service || announcement.endpoint != sidecar.settings.target) {
        logEvent(EventId::TargetMessageInvalid,
                 {{"instance", announcement.instance}, {"service", announcement.service.value}, {"endpoint", toString(announcement.endpoint)}});
        return false;
    }
    const bool sameInstance =
        sidecar.target.latest && sidecar.target.latest->instance == announcement.instance && sidecar.target.latest->startedAtMs == announcement.startedAtMs;
    const AnnouncementEffect effect = applyAnnouncement(sidecar.target, announcement, now, wallClockMs());
    if (effect != AnnouncementEffect::Stale) {
        const bool wasCold = isCold(sidecar.coldRate, now);
        observeWarmup(sidecar.coldRate, announcement.warmupLeft, now);
        sidecar.reportDue = sidecar.reportDue || wasCold != isCold(sidecar.coldRate, now);
    }
    switch (effect) {
    case AnnouncementEffect::Ready:
        logEvent(EventId::TargetAnnounced,
                 {{"instance", announcement.instance}, {"slots", std::to_string(announcement.slots)}, {"seq", std::to_string(announcement.sequence)}});
        if (!sameInstance) {
            sidecar.targetPool.closeIdle(announcement.endpoint);
            sidecar.learnedLimit = {};
            sidecar.pace = {};
        }
        setSlots(sidecar.limiter, announcement.slots);
        sidecar.reportDue = true;
        break;
    case AnnouncementEffect::Draining:
        logEvent(EventId::TargetDraining, {{"instance", announcement.instance}, {"seq", std::to_string(announcement.sequence)}});
        drainLimiterQueue(sidecar);
        sidecar.reportDue = true;
        break;
    case AnnouncementEffect::Renewed:
        setSlots(sidecar.limiter, announcement.slots);
        break;
    case AnnouncementEffect::Stale:
        break;
    }
    return true;
}

auto Sidecar::State::handlePeerRequest(RequestMessage &request, CancelSignal &cancel) -> std::optional<ResponseMessage>
{
    if (auto response = serveStoreView(sidecar, request)) {
        return response;
    }
    const TimePoint startedAt = BootClock::now();
    auto routed = decodeRoutedRequest(std::move(request), startedAt);
    if (!routed) {
        logEvent(EventId::HttpRequestInvalid, {{"server", "peer"}, {"error", routed.error().message}});
        return emptyResponse(400);
    }
    if (refusesRequests(sidecar.stop)) {
        return encodeOutcome(refuseBeforeTarget(sidecar, "node-stopping"));
    }
    if (refusesForMemory(sidecar, RequestSender::Peer)) {
        return encodeOutcome(refuseBeforeTarget(sidecar, "memory-short"));
    }
    const TimePoint senderDeadline = routed.value().deadline;
    routed.value().deadline = deadlineWithin(sidecar.stop, sidecar.stopSettings, senderDeadline);
    TargetResult result = runAtTarget(sidecar, routed.value(), cancel);
    if (result.outcome == TargetOutcome::Cancelled) {
        if (sidecar.stop.step < StopStep::Concluding) {
            return std::nullopt;
        }
        result = concludeAtStop(sidecar, {routed.value().requestId, startedAt, senderDeadline, routed.value().isNested}, std::move(result));
    }
    return encodeOutcome(std::move(result));
}

void Sidecar::State::updateServiceAdmission(TimePoint now)
{
    if (now - sidecar.workGraphBuiltAt >= kWorkGraphInterval) {
        sidecar.workGraphBuiltAt = now;
        const WorkGraph graph = buildWorkGraph(sidecar.peers);
        sidecar.workByKind.clear();
        for (const auto &[kind, row] : graph.kinds) {
            sidecar.workByKind[kind] = workOf(graph, kind);
        }
    }
    for (auto &[service, control] : sidecar.admission) {
        if (now - control.updatedAt >= sidecar.admissionSettings.window) {
            updateAdmission(control, sidecar.admissionSettings, sidecar.importance, serviceCapacity(sidecar.peers, service, now), now);
        }
    }
}

void Sidecar::State::logLoadSample(TimePoint now)
{
    if (now - loadSampledAt < kLoadSampleInterval) {
        return;
    }
    loadSampledAt = now;
    const TargetLoad load = localLoad(sidecar);
    std::string admitted;
    for (const auto &[service, control] : sidecar.admission) {
        admitted.append(admitted.empty() ? "" : ",").append(service.value).append(":").append(std::to_string(control.admittedFraction));
        admitted.append("/").append(std::to_string(control.correction));
    }
    // Only teams whose tokens are used up are logged, since a fleet can have hundreds of others.
    std::string limited;
    for (const auto &[team, row] : sidecar.tokens.quota.node.entry.teams) {
        if (row.nextTokenAt > now) {
            limited.append(limited.empty() ? "" : ",").append(team.value).append(":").append(row.lastHolder.value);
        }
    }
    logEvent(EventId::TargetLoadSampled,
             {{"running", std::to_string(load.running)},
              {"waiting", std::to_string(load.waiting)},
              {"limit", std::to_string(load.limit)},
              {"load", std::to_string(offeredLoadAt(sidecar.limiter.offered, now))},
              {"service-ms", std::to_string(sidecar.limiter.meanServiceSeconds * 1000)},
              {"callers", std::to_string(sidecar.callerServer->activeRequests())},
              {"admitted", admitted.empty() ? "-" : admitted},
              {"limited-teams", limited.empty() ? "-" : limited}});
}

void Sidecar::State::logTickDelay()
{
    const auto delay = noteTick(tickMonitor, readProcessTimes());
    if (!delay) {
        return;
    }
    logEvent(EventId::TickLate,
             {{"ms", toMsText(delay->late)},
              {"processor-ms", toMsText(delay->processor)},
              {"suspended-ms", toMsText(delay->suspended)},
              {"requests", std::to_string(stopLoad().requests)},
              {"fibers", std::to_string(sidecar.runtime.fiberCount())}});
}

void Sidecar::State::updatePeerLiveness(TimePoint now)
{
    std::map<std::string, bool> isHomeAlive;
    for (const auto &[service, homes] : sidecar.peers.homes) {
        for (const auto &address : homes) {
            const auto row = sidecar.peers.rows.find(address);
            if (row == sidecar.peers.rows.end() || !row->second.report || address == sidecar.settings.address) {
                continue;
            }
            const bool alive = isAlive(row->second, now);
            const auto before = wasHomeAlive.find(address);
            if (before != wasHomeAlive.end() && before->second && !alive) {
                logEvent(EventId::PeerSilent, {{"peer", address}, {"instance", row->second.report->target.instance}});
            }
            isHomeAlive[address] = alive;
        }
    }
    wasHomeAlive = std::move(isHomeAlive);
}

void Sidecar::State::updateKeyedService(TimePoint now)
{
    const bool suspended = !mayServeKeyedRequests(sidecar, now);
    if (suspended == sidecar.isKeyedServiceSuspended) {
        return;
    }
    sidecar.isKeyedServiceSuspended = suspended;
    const auto age = std::to_string(duration_cast<milliseconds>(now - sidecar.policyConfirmedAt).count());
    const auto version = std::to_string(sidecar.policy ? sidecar.policy->version : 0);
    logEvent(suspended ? EventId::KeyedServiceSuspended : EventId::KeyedServiceResumed, {{"policy", version}, {"policy-age-ms", age}});
}

auto Sidecar::State::stopLoad() const -> StopLoad
{
    const size_t requests = sidecar.callerServer->activeRequests() + sidecar.peerServer->activeRequests();
    return {requests, sidecar.callerServer->busyConnections() + sidecar.peerServer->busyConnections(), sidecar.lastRequestAt};
}

void Sidecar::State::checkStop(TimePoint now)
{
    if (!isStopping(sidecar.stop)) {
        return;
    }
    const StopStep before = sidecar.stop.step;
    const StopLoad load = stopLoad();
    advanceStop(sidecar.stop, sidecar.stopSettings, load, now);
    if (sidecar.stop.step == before) {
        return;
    }
    // Other nodes send requests here until they learn that this node refuses them.
    sidecar.reportDue = true;
    switch (sidecar.stop.step) {
    case StopStep::Concluding:
        logEvent(EventId::StopTimeShort,
                 {{"requests", std::to_string(load.requests)},
                  {"waiting-for-slot", std::to_string(sidecar.limiter.queue.size())},
                  {"waiting-for-token", std::to_string(sidecar.tokens.waits.size())}});
        sidecar.callerServer->cancelRequests();
        sidecar.peerServer->cancelRequests();
        break;
    case StopStep::Closing:
        sidecar.callerServer->stopAccepting();
        sidecar.peerServer->stopAccepting();
        break;
    case StopStep::Ended: {
        const size_t cut = sidecar.requestsCutByStop + load.requests;
        logEvent(EventId::NodeStopped,
                 {{"cut", std::to_string(cut)}, {"after-ms", std::to_string(duration_cast<milliseconds>(now - sidecar.stop.requestedAt).count())}});
        flushLines(sidecar.log);
        end();
        onEnded(cut);
        break;
    }
    case StopStep::None:
    case StopStep::Serving:
    case StopStep::Refusing:
        break;
    }
}

void Sidecar::State::tick()
{
    logTickDelay();
    const TimePoint now = BootClock::now();
    expireQueuedRequests(sidecar, now);
    updateLearnedLimit(sidecar, now);
    advanceLimiter(sidecar, now);
    updateServiceAdmission(now);
    updateKeyedService(now);
    logLoadSample(now);
    tickTokens(sidecar, now);
    if (now - livenessUpdatedAt >= kLivenessInterval) {
        livenessUpdatedAt = now;
        updatePeerLiveness(now);
    }
    tickDistribution(sidecar, now);
    tickReports(sidecar, now);
    flushLines(sidecar.log);
    checkStop(now);
    if (sidecar.ended) {
        return;
    }
    const Duration interval = sidecar.tokens.waits.empty() ? kTickInterval : kTokenTickInterval;
    expectTick(tickMonitor, BootClock::now() + interval);
    tickTimer.expires_after(interval);
    tickTimer.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        if (!error) {
            self->tick();
        }
    });
}

Sidecar::Sidecar(FiberRuntime &runtime, SidecarSettings settings)
    : state_(std::make_shared<State>(runtime, std::move(settings)))
{
}

Sidecar::~Sidecar() = default;

auto Sidecar::start() -> Result<void>
{
    auto &state = *state_;
    auto &sidecar = state.sidecar;
    openLineLog(sidecar.log);
    setEventSink([&sidecar](Severity severity, const std::string &line) {
        addLine(sidecar.log, line, LineImportance::High, BootClock::now());
    });
    state.makeServers();
    for (MessageServer *const server : {sidecar.callerServer.get(), sidecar.peerServer.get(), sidecar.readyServer.get(), sidecar.targetServer.get()}) {
        BOOST_OUTCOME_TRY(server->listen());
    }
    if (sidecar.metricsServer) {
        BOOST_OUTCOME_TRY(sidecar.metricsServer->listen());
    }
    startReports(sidecar);
    startTokens(sidecar);
    startDistribution(sidecar);
    BOOST_OUTCOME_TRY(sidecar.datagrams.open(sidecar.settings.address, sidecar.settings.reportPort));
    sidecar.runtime.spawn([&sidecar] {
        followPolicy(sidecar);
    });
    sidecar.runtime.spawn([&sidecar] {
        followMembership(sidecar);
    });
    sidecar.runtime.spawn([&sidecar] {
        syncWorkRecord(sidecar);
    });
    logEvent(EventId::NodeStarted,
             {{"node", sidecar.settings.node.value},
              {"domain", sidecar.settings.domain.value},
              {"service", sidecar.settings.service.value},
              {"incarnation", std::to_string(sidecar.incarnation)}});
    state.tick();
    return success();
}

void Sidecar::State::end()
{
    sidecar.ended = true;
    tickTimer.cancel();
    sidecar.datagrams.close();
    refuseTokenRequests(sidecar);
    sidecar.storePool.close();
    for (MessageServer *const server :
         {sidecar.callerServer.get(), sidecar.peerServer.get(), sidecar.readyServer.get(), sidecar.targetServer.get(), sidecar.metricsServer.get()}) {
        if (server != nullptr) {
            server->closeIdle();
        }
    }
}

void Sidecar::end()
{
    state_->end();
    setEventSink(nullptr);
}

void Sidecar::requestStop(std::function<void(size_t aborted)> ended)
{
    auto &sidecar = state_->sidecar;
    if (isStopping(sidecar.stop)) {
        return;
    }
    const TimePoint now = BootClock::now();
    const StopLoad load = state_->stopLoad();
    logEvent(EventId::NodeStopping,
             {{"node", sidecar.settings.node.value},
              {"requests", std::to_string(load.requests)},
              {"connections", std::to_string(load.busyConnections)},
              {"stop-ms", toMsText(sidecar.stopSettings.stopTime)},
              {"tick-late-ms", toMsText(overdueTime(state_->tickMonitor, now))}});
    beginStop(sidecar.stop, now);
    sidecar.reportDue = true;
    if (sidecar.target.hasDeregistered) {
        leaveMembership(sidecar);
    }
    state_->onEnded = std::move(ended);
    sidecar.callerServer->announceClose();
    sidecar.peerServer->announceClose();
}

void Sidecar::reload(const SidecarSettings &settings)
{
    auto &sidecar = state_->sidecar;
    // Addresses and names cannot change while the process runs. The bounds can.
    sidecar.settings.keyWithdrawal = settings.keyWithdrawal;
    sidecar.settings.policyApply = settings.policyApply;
    applyFreshnessSettings(sidecar);
    sidecar.settings.stopTime = settings.stopTime;
    // The platform may kill a stopping node at the end of the stop time that was set when the stop began.
    sidecar.stopSettings.stopTime = isStopping(sidecar.stop) ? std::min(sidecar.stopSettings.stopTime, settings.stopTime) : settings.stopTime;
    sidecar.settings.memoryMb = settings.memoryMb;
    applyMemoryLimit(sidecar);
    sidecar.settings.retryRatio = settings.retryRatio;
    sidecar.settings.retrySlack = settings.retrySlack;
    sidecar.settings.rateWindow = settings.rateWindow;
    sidecar.settings.rateOvershoot = settings.rateOvershoot;
    sidecar.settings.rateSlack = settings.rateSlack;
    updateTokenMembers(sidecar);
    logEvent(EventId::SettingsReloaded, {{"node", sidecar.settings.node.value}});
}

namespace
{

void watchSignals(asio::signal_set &signals, Sidecar &sidecar, const std::string &settingsPath)
{
    signals.async_wait([&signals, &sidecar, settingsPath](const boost::system::error_code &error, int signal) {
        if (error) {
            return;
        }
        if (signal == SIGHUP) {
            const auto settings = loadSidecarSettings(settingsPath);
            if (settings) {
                sidecar.reload(settings.value());
            } else {
                logEvent(EventId::SettingsInvalid, {{"file", settingsPath}, {"error", settings.error().message}});
            }
        } else {
            sidecar.requestStop([](size_t aborted) {
                // Fibers that wait for the store or a target would keep the runtime running. What they hold is freed with the
                // process.
                std::_Exit(aborted == 0 ? EXIT_SUCCESS : kExitRequestsAborted);
            });
        }
        watchSignals(signals, sidecar, settingsPath);
    });
}

} // namespace

auto runSidecar(const std::string &settingsPath) -> int
{
    const auto settings = loadSidecarSettings(settingsPath);
    if (!settings) {
        std::cerr << settingsPath << ": " << settings.error().message << "\n";
        return kExitSettings;
    }
    FiberRuntime runtime;
    Sidecar sidecar(runtime, settings.value());
    if (const auto started = sidecar.start(); !started) {
        std::cerr << started.error().message << "\n";
        return kExitUnavailable;
    }
    asio::signal_set signals(runtime.context(), SIGTERM, SIGINT, SIGHUP);
    watchSignals(signals, sidecar, settingsPath);
    runtime.run();
    return EXIT_SUCCESS;
}

} // namespace snipestream
