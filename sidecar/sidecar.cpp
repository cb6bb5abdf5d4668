#include "sidecar/sidecar.h"

#include "core/events.h"
#include "platform/target_messages.h"
#include "sidecar/entry.h"
#include "sidecar/home.h"
#include "sidecar/peer_call.h"
#include "sidecar/policy_reader.h"
#include "sidecar/reports.h"
#include "sidecar/roster.h"
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

/// How often queues, levels and reports are looked at. Requests start without it; it only bounds how late news is.
constexpr Duration kTick = milliseconds(25);
constexpr Duration kSampleInterval = seconds(1);
/// How often the work of requests is derived from the reports anew; what targets do changes slowly.
constexpr Duration kWorkInterval = milliseconds(250);
/// How often the parts of the rates are divided anew.
constexpr Duration kShareInterval = milliseconds(250);
/// After the stop signal, callers learn within two questions, a second apart, that the node takes no new work.
constexpr Duration kLeastStopTime = milliseconds(2600);
/// A caller that still sends then is one that the platform does not move; the node goes on for it as long as it can.
constexpr Duration kQuietBeforeEnd = milliseconds(300);
/// Time before the process would be killed at which it ends by itself, so that answers still leave.
constexpr Duration kStopReserve = milliseconds(400);
/// Descriptors that are kept for files and for listening.
constexpr uint64_t kReservedDescriptors = 250;
constexpr int kExitSettings = 2;
constexpr int kExitUnavailable = 3;
constexpr int kExitCut = 4;

auto emptyAnswer(int status) -> AnswerMessage
{
    AnswerMessage answer;
    answer.status = status;
    return answer;
}

} // namespace

struct Sidecar::State : std::enable_shared_from_this<Sidecar::State> {
    State(FiberRuntime &runtime, SidecarSettings settings)
        : sidecar(runtime, std::move(settings))
        , reports(sidecar)
        , tickTimer(runtime.context())
    {
    }

    void makeServers();
    auto answerReady(const RequestMessage &request) -> AnswerMessage;
    auto answerTarget(const RequestMessage &request) -> AnswerMessage;
    auto answerPeer(RequestMessage &request, CancelSignal &cancel) -> std::optional<AnswerMessage>;
    void applyTargetMessage(const TargetMessage &message);
    void tick();
    void stepLoad(TimePoint now);
    void noteSilentPeers(TimePoint now);
    void sampleLoad(TimePoint now);
    void noteKeyedService(TimePoint now);
    void checkStop(TimePoint now);
    void end();

    SidecarState sidecar;
    ReportExchange reports;
    asio::steady_timer tickTimer;
    TimePoint reportedAt;
    TimePoint stopRequestedAt;
    TimePoint sampledAt;
    std::map<std::string, bool> wasAlive;
    std::function<void(size_t)> onEnded;
};

void Sidecar::State::makeServers()
{
    auto &runtime = sidecar.runtime;
    const auto &settings = sidecar.settings;
    const size_t descriptors = static_cast<size_t>(settings.maxDescriptors - std::min(settings.maxDescriptors / 2, kReservedDescriptors));
    // Callers and peers may fill half and a quarter; the rest is for connections that this node opens.
    const size_t forCallers = descriptors / 2;
    const size_t perServer = descriptors / 4;
    const auto make = [&](const char *name, const Endpoint &listen, MessageHandler handler, size_t connections = 64) {
        MessageServerOptions options;
        options.name = name;
        options.listen = listen;
        options.maxConnections = connections;
        return std::make_unique<MessageServer>(runtime, options, std::move(handler));
    };
    sidecar.callerServer = make(
        "caller", settings.callerListen,
        [this](RequestMessage &request, CancelSignal &cancel) {
            return serveCaller(sidecar, request, cancel);
        },
        forCallers);
    {
        MessageServerOptions options;
        options.name = "peer";
        options.listen = settings.peerListen;
        options.maxConnections = perServer;
        // Longer than other nodes keep idle connections, so that this end never closes one that is about to be used.
        options.idleTimeout = seconds(60);
        options.maxHeaderBytes = 64 * 1024;
        sidecar.peerServer = std::make_unique<MessageServer>(runtime, options, [this](RequestMessage &request, CancelSignal &cancel) {
            return answerPeer(request, cancel);
        });
    }
    sidecar.readyServer = make("ready", settings.readyListen, [this](RequestMessage &request, CancelSignal &) {
        return answerReady(request);
    });
    sidecar.targetServer = make("target", settings.targetListen, [this](RequestMessage &request, CancelSignal &) {
        return answerTarget(request);
    });
    if (settings.metricsPort != 0) {
        sidecar.metricsServer = make("metrics", {settings.address, settings.metricsPort}, [this](RequestMessage &, CancelSignal &) {
            AnswerMessage answer;
            answer.headers.emplace_back("Content-Type", "text/plain; version=0.0.4");
            answer.body = sidecar.metrics.renderPrometheus();
            return answer;
        });
    }
}

auto Sidecar::State::answerReady(const RequestMessage &request) -> AnswerMessage
{
    if (!isReadinessProbe(request.method, request.target)) {
        return emptyAnswer(404);
    }
    return emptyAnswer(isReady(sidecar, BootClock::now()) ? 200 : 503);
}

auto Sidecar::State::answerTarget(const RequestMessage &request) -> AnswerMessage
{
    if (isReadinessProbe(request.method, request.target)) {
        return answerReady(request);
    }
    const auto decoded = decodeTargetMessage(request.method, request.target, request.body);
    if (!decoded) {
        return emptyAnswer(404);
    }
    if (!*decoded) {
        logEvent(EventId::TargetMessageInvalid, {{"path", request.target}, {"error", decoded->error().message}});
        return emptyAnswer(400);
    }
    applyTargetMessage(decoded->value());
    AnswerMessage answer;
    answer.headers.emplace_back("Content-Type", "application/json");
    answer.body = "{}";
    return answer;
}

void Sidecar::State::applyTargetMessage(const TargetMessage &message)
{
    const TimePoint now = BootClock::now();
    if (!message.announcement) {
        if (applyDeparture(sidecar.target, message.instance, message.startedAtMs)) {
            logEvent(EventId::TargetLeft, {{"instance", message.instance}});
            emptyGate(sidecar);
            sidecar.reportSoon = true;
        }
        return;
    }
    const auto &announcement = *message.announcement;
    if (announcement.service != sidecar.settings.service || announcement.endpoint != sidecar.settings.target) {
        logEvent(EventId::TargetMessageInvalid,
                 {{"instance", announcement.instance}, {"service", announcement.service.value}, {"endpoint", toString(announcement.endpoint)}});
        return;
    }
    const bool sameInstance =
        sidecar.target.latest && sidecar.target.latest->instance == announcement.instance && sidecar.target.latest->startedAtMs == announcement.startedAtMs;
    switch (applyAnnouncement(sidecar.target, announcement, now)) {
    case AnnouncementEffect::Ready:
        logEvent(EventId::TargetAnnounced,
                 {{"instance", announcement.instance}, {"slots", std::to_string(announcement.slots)}, {"seq", std::to_string(announcement.sequence)}});
        if (!sameInstance) {
            sidecar.targetPool.closeIdle(announcement.endpoint);
        }
        setSlots(sidecar.gate, announcement.slots);
        sidecar.reportSoon = true;
        break;
    case AnnouncementEffect::Draining:
        logEvent(EventId::TargetDraining, {{"instance", announcement.instance}, {"seq", std::to_string(announcement.sequence)}});
        emptyGate(sidecar);
        sidecar.reportSoon = true;
        break;
    case AnnouncementEffect::Renewed:
        setSlots(sidecar.gate, announcement.slots);
        break;
    case AnnouncementEffect::Stale:
        break;
    }
}

auto Sidecar::State::answerPeer(RequestMessage &request, CancelSignal &cancel) -> std::optional<AnswerMessage>
{
    auto routed = decodeRouted(std::move(request), BootClock::now());
    if (!routed) {
        logEvent(EventId::HttpRequestInvalid, {{"server", "peer"}, {"error", routed.error().message}});
        return emptyAnswer(400);
    }
    TargetResult result = runAtTarget(sidecar, routed.value(), cancel);
    if (result.outcome == TargetOutcome::Cancelled) {
        return std::nullopt;
    }
    return encodeOutcome(std::move(result));
}

void Sidecar::State::stepLoad(TimePoint now)
{
    if (now - sidecar.workBuiltAt >= kWorkInterval) {
        sidecar.workBuiltAt = now;
        const WorkGraph graph = buildWorkGraph(sidecar.peers);
        sidecar.workByKind.clear();
        for (const auto &[kind, row] : graph.kinds) {
            sidecar.workByKind[kind] = workOf(graph, kind);
        }
    }
    for (auto &[service, control] : sidecar.admission) {
        if (now - control.steppedAt >= sidecar.admissionSettings.window) {
            stepAdmission(control, sidecar.admissionSettings, sidecar.importance, serviceRoom(sidecar.peers, service, now),
                          wantedWork(sidecar.peers, service, control, now), now);
        }
    }
}

void Sidecar::State::sampleLoad(TimePoint now)
{
    if (now - sampledAt < kSampleInterval) {
        return;
    }
    sampledAt = now;
    const TargetLoad load = localLoad(sidecar);
    std::string admitted;
    for (const auto &[service, control] : sidecar.admission) {
        admitted.append(admitted.empty() ? "" : ",").append(service.value).append(":").append(std::to_string(control.admitted));
        admitted.append("/").append(std::to_string(control.correction));
    }
    // Only teams at their limit; a fleet can have hundreds of others.
    std::string limited;
    for (const auto &[team, row] : sidecar.rates.rows) {
        if (row.tokens < 1 && row.demand > 0) {
            limited.append(limited.empty() ? "" : ",").append(team.value).append(":").append(std::to_string(row.demand));
            limited.append("/").append(std::to_string(row.share));
            limited.append("/").append(std::to_string(row.taken));
        }
    }
    logEvent(EventId::TargetLoadSampled,
             {{"running", std::to_string(load.running)},
              {"waiting", std::to_string(load.waiting)},
              {"limit", std::to_string(load.limit)},
              {"load", std::to_string(offeredAt(sidecar.gate.offered, now))},
              {"service-ms", std::to_string(sidecar.gate.meanService * 1000)},
              {"callers", std::to_string(sidecar.callerServer->activeRequests())},
              {"admitted", admitted.empty() ? "-" : admitted},
              {"limited-teams", limited.empty() ? "-" : limited}});
}

void Sidecar::State::noteSilentPeers(TimePoint now)
{
    for (const auto &[address, row] : sidecar.peers.rows) {
        if (!row.report || address == sidecar.settings.address) {
            continue;
        }
        const bool alive = isAlive(sidecar.peers, row, now);
        bool &before = wasAlive[address];
        if (before && !alive) {
            logEvent(EventId::PeerSilent, {{"peer", address}, {"instance", row.report->instance}});
        }
        before = alive;
    }
    for (const auto &address : removeSilentPeers(sidecar.peers, now)) {
        wasAlive.erase(address);
    }
}

void Sidecar::State::noteKeyedService(TimePoint now)
{
    const bool suspended = !mayServeKeys(sidecar, now);
    if (suspended == sidecar.keyedSuspended) {
        return;
    }
    sidecar.keyedSuspended = suspended;
    const auto age = std::to_string(duration_cast<milliseconds>(now - sidecar.policyConfirmedAt).count());
    const auto version = std::to_string(sidecar.policy ? sidecar.policy->version : 0);
    logEvent(suspended ? EventId::KeyedServiceSuspended : EventId::KeyedServiceResumed, {{"policy", version}, {"policy-age-ms", age}});
}

void Sidecar::State::checkStop(TimePoint now)
{
    if (!sidecar.leaving) {
        return;
    }
    const Duration since = now - stopRequestedAt;
    const size_t active = sidecar.callerServer->activeRequests() + sidecar.peerServer->activeRequests();
    const bool quiet = active == 0 && now - sidecar.lastRequestAt > kQuietBeforeEnd;
    const bool overdue = since > sidecar.settings.stopTime - kStopReserve;
    if (!overdue && (since < kLeastStopTime || !quiet)) {
        return;
    }
    logEvent(EventId::NodeStopped, {{"cut", std::to_string(active)}});
    flushLines(sidecar.log);
    end();
    onEnded(active);
}

void Sidecar::State::tick()
{
    const TimePoint now = BootClock::now();
    expireQueue(sidecar, now);
    advanceGate(sidecar, now);
    stepLoad(now);
    noteKeyedService(now);
    sampleLoad(now);
    if (sidecar.policy && knowsPeers(sidecar, now) && now - sidecar.rates.sharedAt >= kShareInterval) {
        shareRates(sidecar.rates, *sidecar.policy, sidecar.peers, now);
        noteSilentPeers(now);
    }
    if (sidecar.reportSoon || now - reportedAt >= sidecar.peers.reportInterval) {
        reportedAt = now;
        reports.send(now);
    }
    flushLines(sidecar.log);
    checkStop(now);
    if (sidecar.ended) {
        return;
    }
    tickTimer.expires_after(kTick);
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
    BOOST_OUTCOME_TRY(state.reports.open());
    sidecar.runtime.spawn([&sidecar] {
        followPolicy(sidecar);
    });
    sidecar.runtime.spawn([&sidecar] {
        followRoster(sidecar);
    });
    sidecar.runtime.spawn([&sidecar] {
        followWork(sidecar);
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
    reports.close();
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

void Sidecar::requestStop(std::function<void(size_t cut)> ended)
{
    auto &sidecar = state_->sidecar;
    if (sidecar.leaving) {
        return;
    }
    logEvent(EventId::NodeStopping, {{"node", sidecar.settings.node.value}});
    sidecar.leaving = true;
    sidecar.reportSoon = true;
    state_->onEnded = std::move(ended);
    state_->stopRequestedAt = BootClock::now();
    sidecar.callerServer->announceClose();
    sidecar.peerServer->announceClose();
}

void Sidecar::reload(const SidecarSettings &settings)
{
    auto &sidecar = state_->sidecar;
    // Addresses and names belong to the incarnation; the bounds can change.
    sidecar.settings.keyWithdrawal = settings.keyWithdrawal;
    sidecar.settings.stopTime = settings.stopTime;
    sidecar.settings.memoryMb = settings.memoryMb;
    sidecar.settings.retryRatio = settings.retryRatio;
    sidecar.settings.retrySlack = settings.retrySlack;
    sidecar.rates.tolerance = {settings.rateWindow, settings.rateOvershoot, settings.rateSlack};
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
            sidecar.requestStop([](size_t cut) {
                // Fibers that wait for the store or a target would keep the runtime; what they hold ends with the process.
                std::_Exit(cut == 0 ? EXIT_SUCCESS : kExitCut);
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
