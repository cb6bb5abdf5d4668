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

constexpr std::string_view kPrefix = "/snipestream/v1/";
constexpr std::string_view kTargets = "targets";
constexpr size_t kMaxAdminBody = 64 * 1024;
/// Time after the start of a drain in which a target still takes requests; the bound for new work is 3 s.
constexpr Duration kDrainNotice = milliseconds(1500);

void answerJson(Exchange &exchange, int status, const nlohmann::json &body)
{
    static_cast<void>(respondWith(exchange, status, "application/json", body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n"));
}

void answerError(Exchange &exchange, int status, const std::string &detail)
{
    const nlohmann::json problem = {{"type", "about:blank"}, {"status", status}, {"detail", detail}};
    static_cast<void>(respondWith(exchange, status, "application/problem+json", problem.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n"));
}

/// Keeps connections and admission of a local target in step with its announcement.
void applyEffect(NodeState &state, const TargetAnnouncement &announcement, AnnounceEffect effect)
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
        // Requests that other nodes sent before they learnt of the drain are still taken.
        state.runtime.spawn([&state, name, instance = announcement.instance] {
            state.runtime.sleepFor(kDrainNotice);
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
    applyEffect(state, announcement, effect);
    answerJson(exchange, 200, {{"renewMs", duration_cast<milliseconds>(kRenewInterval).count()}});
}

void receiveAnnouncement(NodeState &state, Exchange &exchange)
{
    const auto body = readWholeBody(exchange.requestBody, kMaxAdminBody);
    if (!body) {
        answerError(exchange, 400, body.error().message);
        return;
    }
    const auto json = nlohmann::json::parse(body.value(), nullptr, false);
    if (json.is_discarded()) {
        answerError(exchange, 400, "the announcement is not JSON");
        return;
    }
    auto announcement = targetAnnouncementFromJson(json);
    if (!announcement) {
        answerError(exchange, 400, announcement.error().message);
        return;
    }
    announce(state, exchange, std::move(announcement).value());
}

/// Drains or removes a target that is already known.
void changeTarget(NodeState &state, Exchange &exchange, const TargetName &name, EndpointState wanted)
{
    const auto row = state.localTargets.targets.find(name);
    if (row == state.localTargets.targets.end()) {
        answerError(exchange, 404, "no target " + name.value + " on this VM");
        return;
    }
    TargetAnnouncement announcement = row->second.announcement;
    announcement.state = wanted;
    announce(state, exchange, announcement);
}

void serveTargets(NodeState &state, Exchange &exchange, std::string_view rest)
{
    const std::string &method = exchange.head.method;
    if (rest.empty() && method == "POST") {
        receiveAnnouncement(state, exchange);
        return;
    }
    if (rest.size() > 1 && rest.front() == '/') {
        rest.remove_prefix(1);
        const size_t slash = rest.find('/');
        const TargetName name{std::string(rest.substr(0, slash))};
        const std::string_view action = slash == std::string_view::npos ? "" : rest.substr(slash + 1);
        if (method == "POST" && action == "drain") {
            changeTarget(state, exchange, name, EndpointState::Draining);
            return;
        }
        if (method == "DELETE" && action.empty()) {
            changeTarget(state, exchange, name, EndpointState::Left);
            return;
        }
    }
    answerError(exchange, 405, "use POST targets, POST targets/<name>/drain or DELETE targets/<name>");
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

void showTeamShare(MetricsRegistry &metrics, const TeamName &team, const TeamRequestStats &share)
{
    const auto show = [&](const std::string &result, uint64_t value) {
        metrics.gauge("snipestream_team_requests", "Requests of a team by result since the start", {{"team", team.value}, {"result", result}})
            .set(static_cast<double>(value));
    };
    show("admitted", share.admitted);
    show("completed", share.completed);
    show("wasted", share.wasted);
    for (size_t i = 0; i < share.refused.size(); ++i) {
        if (share.refused[i] > 0) {
            show("refused-" + std::string(refusalReasonName(static_cast<RefusalReason>(i))), share.refused[i]);
        }
    }
}

/// Writes values that are read from the tables into the registry before it is rendered.
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
    for (const auto &[team, share] : state.requestStats.teams) {
        showTeamShare(metrics, team, share);
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
    if (path.rfind(kPrefix, 0) != 0) {
        return false;
    }
    const std::string_view rest = std::string_view(path).substr(kPrefix.size());
    const std::string &method = exchange.head.method;
    if (rest.rfind(kTargets, 0) == 0) {
        serveTargets(state, exchange, rest.substr(kTargets.size()));
    } else if (rest == "status" && method == "GET") {
        answerJson(exchange, 200, statusJson(state));
    } else if (rest == "share" && method == "GET") {
        answerJson(exchange, 200, requestStatsToJson(state.requestStats));
    } else if (rest == "audit" && method == "GET") {
        answerJson(exchange, 200, auditTrailJson(state.fold.state));
    } else if (rest == "drain" && method == "POST") {
        answerJson(exchange, 202, {{"stopping", true}});
        requestStop(state);
    } else {
        answerError(exchange, 404, method + " " + path + " is not an operation of this node");
    }
    return true;
}

} // namespace snipestream
