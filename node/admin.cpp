#include "node/admin.h"

#include "config/audit_json.h"
#include "core/events.h"
#include "http/http_server.h"
#include "node/directory_service.h"
#include "node/shutdown.h"
#include "node/target_call.h"

#include <utility>

namespace snipestream
{

namespace
{

constexpr std::string_view kAdminPrefix = "/snipestream/v1/";
constexpr std::string_view kTargetsPath = "targets";
constexpr size_t kMaxAdminBodyBytes = 64 * 1024;
/// A draining target still admits requests for this time, since other nodes receive the drain with a delay. New work has
/// to stop within 3 s.
constexpr Duration kDrainDelay = milliseconds(1500);

void respondWithJson(Exchange &exchange, int status, const nlohmann::json &body)
{
    static_cast<void>(respondWith(exchange, status, "application/json", body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n"));
}

void respondWithError(Exchange &exchange, int status, const std::string &detail)
{
    const nlohmann::json problem = {{"type", "about:blank"}, {"status", status}, {"detail", detail}};
    static_cast<void>(respondWith(exchange, status, "application/problem+json", problem.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n"));
}

/// Updates the connections and the admission of a local target after an announcement.
void applyAnnounceEffect(NodeState &state, const TargetAnnouncement &announcement, AnnounceEffect effect)
{
    const TargetName &name = announcement.target;
    switch (effect) {
    case AnnounceEffect::Started:
    case AnnounceEffect::Changed: {
        auto &row = state.targetConnections[name];
        if (!row.client || row.endpoint != announcement.endpoint || row.connections != announcement.connections) {
            HttpClientOptions options;
            options.server = announcement.endpoint;
            options.maxConnections = static_cast<size_t>(announcement.connections);
            options.connectTimeout = state.settings.timeouts.connect;
            Summary &serviceTime =
                state.metrics.summary("snipestream_target_seconds", "Time that requests occupied a slot of the target", {{"target", name.value}});
            row = {announcement.endpoint, announcement.connections, std::make_shared<HttpClient>(state.runtime, options), &serviceTime};
        }
        upsertTarget(state.admission, name, announcement.service, announcement.slots, announcement.isWarmingUp, BootClock::now());
        if (effect == AnnounceEffect::Started) {
            logEvent(EventId::TargetAnnounced, {{"target", name.value}, {"service", announcement.service.value}});
        }
        break;
    }
    case AnnounceEffect::Draining:
        logEvent(EventId::TargetDraining, {{"target", name.value}});
        // Requests that other nodes sent before they received the drain are still admitted.
        state.runtime.spawn([&state, name, instance = announcement.instance] {
            state.runtime.sleepFor(kDrainDelay);
            const auto row = state.localTargets.targets.find(name);
            if (row != state.localTargets.targets.end() && row->second.announcement.instance == instance
                && row->second.announcement.state == EndpointState::Draining) {
                drainTarget(state.admission, name, BootClock::now());
            }
        });
        break;
    case AnnounceEffect::Left:
        applyDequeueResults(state, removeTarget(state.admission, name));
        break;
    case AnnounceEffect::Renewed:
    case AnnounceEffect::Ignored:
        return;
    }
    announceLocalTargets(state);
}

void announce(NodeState &state, Exchange &exchange, TargetAnnouncement announcement)
{
    const auto wallMs = static_cast<uint64_t>(wallClockMs());
    const AnnounceEffect effect = announceTarget(state.localTargets, announcement, wallMs, BootClock::now());
    applyAnnounceEffect(state, announcement, effect);
    respondWithJson(exchange, 200, {{"renewMs", duration_cast<milliseconds>(kRenewInterval).count()}});
}

void receiveAnnouncement(NodeState &state, Exchange &exchange)
{
    const auto body = readWholeBody(exchange.requestBody, kMaxAdminBodyBytes);
    if (!body) {
        respondWithError(exchange, 400, body.error().message);
        return;
    }
    const auto json = nlohmann::json::parse(body.value(), nullptr, false);
    if (json.is_discarded()) {
        respondWithError(exchange, 400, "the announcement is not JSON");
        return;
    }
    auto announcement = targetAnnouncementFromJson(json);
    if (!announcement) {
        respondWithError(exchange, 400, announcement.error().message);
        return;
    }
    announce(state, exchange, std::move(announcement).value());
}

/// Drains or removes an announced target.
void changeTarget(NodeState &state, Exchange &exchange, const TargetName &name, EndpointState requestedState)
{
    const auto row = state.localTargets.targets.find(name);
    if (row == state.localTargets.targets.end()) {
        respondWithError(exchange, 404, "no target " + name.value + " on this VM");
        return;
    }
    TargetAnnouncement announcement = row->second.announcement;
    announcement.state = requestedState;
    announce(state, exchange, announcement);
}

void serveTargets(NodeState &state, Exchange &exchange, std::string_view subpath)
{
    const std::string &method = exchange.head.method;
    if (subpath.empty() && method == "POST") {
        receiveAnnouncement(state, exchange);
        return;
    }
    if (subpath.size() > 1 && subpath.front() == '/') {
        subpath.remove_prefix(1);
        const size_t slash = subpath.find('/');
        const TargetName name{std::string(subpath.substr(0, slash))};
        const std::string_view action = slash == std::string_view::npos ? "" : subpath.substr(slash + 1);
        if (method == "POST" && action == "drain") {
            changeTarget(state, exchange, name, EndpointState::Draining);
            return;
        }
        if (method == "DELETE" && action.empty()) {
            changeTarget(state, exchange, name, EndpointState::Left);
            return;
        }
    }
    respondWithError(exchange, 405, "use POST targets, POST targets/<name>/drain or DELETE targets/<name>");
}

auto statusJson(const NodeState &state) -> nlohmann::json
{
    const TimePoint now = BootClock::now();
    nlohmann::json targets = nlohmann::json::object();
    for (const auto &[name, target] : state.localTargets.targets) {
        nlohmann::json row = {{"service", target.announcement.service.value}, {"state", endpointStateName(target.announcement.state)}};
        if (const auto admission = admissionStatus(state.admission, name, now)) {
            row["limit"] = admission->limit;
            row["running"] = admission->running;
            row["waiting"] = admission->queued;
            row["sheddingLevel"] = admission->sheddingLevel;
        }
        targets[name.value] = row;
    }
    return {{"node", state.settings.node.value},
            {"domain", state.settings.domain.value},
            {"incarnation", state.incarnation},
            {"revision", state.fold.state.revision},
            {"offset", state.fold.state.nextOffset},
            {"configAgeMs", toMsRoundedUp(configAge(state, now))},
            {"logReachable", state.freshness.logReachable},
            {"knownNodes", state.nodes.nodes.size()},
            {"stopping", state.stopping},
            {"targets", targets}};
}

void setTeamGauges(MetricsRegistry &metrics, const TeamName &team, const TeamRequestStats &stats)
{
    const auto setGauge = [&](const std::string &result, uint64_t value) {
        metrics.gauge("snipestream_team_requests", "Requests of a team by result since the start", {{"team", team.value}, {"result", result}})
            .set(static_cast<double>(value));
    };
    setGauge("admitted", stats.admitted);
    setGauge("completed", stats.completed);
    setGauge("wasted", stats.wasted);
    for (size_t i = 0; i < stats.refused.size(); ++i) {
        if (stats.refused[i] > 0) {
            setGauge("refused-" + std::string(refusalReasonName(static_cast<RefusalReason>(i))), stats.refused[i]);
        }
    }
}

/// Copies the current values of the node's tables into the metrics registry before it is rendered.
void refreshMetrics(NodeState &state)
{
    const TimePoint now = BootClock::now();
    auto &metrics = state.metrics;
    metrics.gauge("snipestream_config_revision", "Revision in force").set(static_cast<double>(state.fold.state.revision));
    metrics.gauge("snipestream_config_age_seconds", "How old the configuration in force may be")
        .set(std::chrono::duration<double>(configAge(state, now)).count());
    metrics.gauge("snipestream_log_reachable", "1 if the platform's log answered the last call").set(state.freshness.logReachable ? 1 : 0);
    metrics.gauge("snipestream_running_contexts", "Requests that run at targets of this node").set(static_cast<double>(state.contexts.rows.size()));
    for (const auto &[name, target] : state.localTargets.targets) {
        const auto admission = admissionStatus(state.admission, name, now);
        if (!admission) {
            continue;
        }
        const MetricLabels labels = {{"target", name.value}};
        metrics.gauge("snipestream_target_limit", "Concurrency limit", labels).set(admission->limit);
        metrics.gauge("snipestream_target_running", "Requests in progress", labels).set(admission->running);
        metrics.gauge("snipestream_target_waiting", "Requests that wait", labels).set(admission->queued);
        metrics.gauge("snipestream_target_shedding_level", "Shedding level", labels).set(admission->sheddingLevel);
    }
    for (const auto &[team, stats] : state.requestStats.teams) {
        setTeamGauges(metrics, team, stats);
    }
}

} // namespace

auto serveAdmin(NodeState &state, Exchange &exchange) -> bool
{
    const std::string path = exchange.head.path.substr(0, exchange.head.path.find('?'));
    if (path == "/metrics") {
        refreshMetrics(state);
        static_cast<void>(respondWith(exchange, 200, "text/plain; version=0.0.4", state.metrics.renderPrometheus()));
        return true;
    }
    if (path.rfind(kAdminPrefix, 0) != 0) {
        return false;
    }
    const std::string_view subpath = std::string_view(path).substr(kAdminPrefix.size());
    const std::string &method = exchange.head.method;
    if (subpath.rfind(kTargetsPath, 0) == 0) {
        serveTargets(state, exchange, subpath.substr(kTargetsPath.size()));
    } else if (subpath == "status" && method == "GET") {
        respondWithJson(exchange, 200, statusJson(state));
    } else if (subpath == "share" && method == "GET") {
        respondWithJson(exchange, 200, requestStatsToJson(state.requestStats));
    } else if (subpath == "audit" && method == "GET") {
        respondWithJson(exchange, 200, auditTrailJson(state.fold.state));
    } else if (subpath == "drain" && method == "POST") {
        respondWithJson(exchange, 202, {{"stopping", true}});
        requestStop(state);
    } else {
        respondWithError(exchange, 404, method + " " + path + " is not an operation of this node");
    }
    return true;
}

} // namespace snipestream
