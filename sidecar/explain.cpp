#include "sidecar/explain.h"

#include "sidecar/entry.h"

#include <algorithm>
#include <string>

#include <nlohmann/json.hpp>

namespace snipestream
{

namespace
{

using nlohmann::json;

constexpr std::string_view kExplainPath = "/explain?";

auto ageMs(TimePoint since, TimePoint now) -> int64_t
{
    return duration_cast<milliseconds>(now - since).count();
}

auto trustName(PolicyTrust trust) -> const char *
{
    switch (trust) {
    case PolicyTrust::Confirmed:
        return "confirmed";
    case PolicyTrust::Unreachable:
        return "store-unreachable";
    case PolicyTrust::Unconfirmed:
        return "unconfirmed";
    }
    return "unknown";
}

/// Returns why a home would not be chosen whatever its terms are, or an empty string.
auto exclusionOf(const SidecarState &state, const PeerRow &row) -> std::string
{
    if (isEvacuated(state.peers, row)) {
        return "domain-evacuated";
    }
    if (!row.report) {
        return "no-report";
    }
    if (isServingLast(row)) {
        return "leaving";
    }
    return isServing(row) ? "" : "not-serving";
}

auto describeTarget(const SidecarState &state, const PeerRow &row, const RoutePolicy &route, double fastestMs, TimePoint now) -> json
{
    json target = {{"address", row.address}, {"node", row.member.node.value}, {"domain", row.member.domain.value}};
    if (const std::string excluded = exclusionOf(state, row); !excluded.empty()) {
        target["excluded"] = excluded;
    }
    if (!row.report) {
        return target;
    }
    const TargetScore score = scoreTarget(state.peers, state.loadBalancing, row, fastestMs, now, route.targetLatency);
    target["instance"] = row.report->target.instance;
    target["reportAgeMs"] = ageMs(row.lastReportAt, now);
    target["running"] = row.load.running;
    target["waiting"] = row.load.waiting;
    target["limit"] = row.load.limit;
    target["pace"] = row.load.pace;
    target["serviceMs"] = row.report->serviceMs;
    target["failureRate"] = row.failureRate;
    target["terms"] = {{"utilization", score.utilization}, {"otherDomain", score.otherDomain}, {"slowness", score.slowness}, {"failures", score.failures},
                       {"warmup", score.warmup},           {"leaving", score.leaving},         {"silence", score.silence}};
    target["total"] = totalOf(score);
    return target;
}

/// Describes the targets of a service. The first one without "excluded" has the lowest total; with many targets, a request compares a
/// random sample of them only.
auto describeTargets(const SidecarState &state, const ServiceName &service, const RoutePolicy &route, TimePoint now) -> json
{
    const auto homes = homesOf(state.peers, service);
    double fastestMs = 0;
    for (const PeerRow *const row : homes) {
        if (exclusionOf(state, *row).empty() && row->report->serviceMs > 0) {
            fastestMs = fastestMs == 0 ? row->report->serviceMs : std::min(fastestMs, row->report->serviceMs);
        }
    }
    std::vector<json> targets;
    targets.reserve(homes.size());
    for (const PeerRow *const row : homes) {
        targets.push_back(describeTarget(state, *row, route, fastestMs, now));
    }
    std::stable_sort(targets.begin(), targets.end(), [](const json &a, const json &b) {
        const auto order = [](const json &target) {
            return std::make_pair(target.contains("excluded"), target.value("total", 0.0));
        };
        return order(a) < order(b);
    });
    return targets;
}

/// Returns the fraction of such requests that is shed now, and the service that is short.
auto describeShedding(const SidecarState &state, const RoutePolicy &route, const TeamPolicy *team) -> json
{
    const size_t sheddingClass = shedClass(state.importance, importanceOf(route, team), false);
    double fraction = 0;
    std::string shortService;
    const auto work = state.workByKind.find(workKindOf(route));
    if (work != state.workByKind.end()) {
        for (const auto &[service, slotSeconds] : work->second) {
            const auto control = state.admission.find(service);
            const double shed = control == state.admission.end() ? 0 : shedFraction(control->second, sheddingClass);
            if (shed > fraction) {
                fraction = shed;
                shortService = service.value;
            }
        }
    }
    return {{"fraction", fraction}, {"shortService", shortService}, {"class", sheddingClass}};
}

auto respond(int status, const json &document) -> ResponseMessage
{
    ResponseMessage response;
    response.status = status;
    response.headers.emplace_back("Content-Type", "application/json");
    response.body = document.dump(1, ' ', false, json::error_handler_t::replace) + "\n";
    return response;
}

/// Decodes a parameter; a malformed escape stays as it is.
auto decodeParameter(std::string_view text) -> std::string
{
    const auto digit = [](char c) {
        return c >= '0' && c <= '9' ? c - '0' : c >= 'a' && c <= 'f' ? c - 'a' + 10 : c >= 'A' && c <= 'F' ? c - 'A' + 10 : -1;
    };
    std::string decoded;
    for (size_t i = 0; i < text.size(); ++i) {
        const bool isEscape = text[i] == '%' && i + 2 < text.size() && digit(text[i + 1]) >= 0 && digit(text[i + 2]) >= 0;
        decoded.push_back(isEscape ? static_cast<char>(digit(text[i + 1]) * 16 + digit(text[i + 2])) : text[i]);
        i += isEscape ? 2 : 0;
    }
    return decoded;
}

auto parameter(std::string_view query, std::string_view name) -> std::string
{
    while (!query.empty()) {
        const std::string_view pair = query.substr(0, query.find('&'));
        query.remove_prefix(std::min(query.size(), pair.size() + 1));
        const size_t equals = pair.find('=');
        if (equals != std::string_view::npos && pair.substr(0, equals) == name) {
            return decodeParameter(pair.substr(equals + 1));
        }
    }
    return {};
}

} // namespace

auto explainRequest(const SidecarState &state, std::string_view authority, std::string_view path, std::string_view team) -> ResponseMessage
{
    const TimePoint now = BootClock::now();
    if (!state.policy) {
        return respond(503, {{"refused", "no-policy"}});
    }
    const PolicyTrust trust = policyTrustOf(state, now);
    json document = {{"policy", {{"version", state.policy->version}, {"ageMs", ageMs(state.policyConfirmedAt, now)}, {"trust", trustName(trust)}}},
                     {"node", state.settings.node.value},
                     {"domain", state.settings.domain.value}};
    const RoutePolicy *const route = findRoute(*state.policy, authority, path);
    if (route == nullptr) {
        document["refused"] = "no-route";
        return respond(404, document);
    }
    document["route"] = {{"name", route->name.value},
                         {"pathPrefix", route->pathPrefix},
                         {"idempotent", route->idempotent},
                         {"open", route->isOpen},
                         {"priority", route->priority},
                         {"timeoutMs", duration_cast<milliseconds>(route->timeout).count()},
                         {"targetLatencyMs", duration_cast<milliseconds>(route->targetLatency).count()},
                         {"maxAttempts", route->maxAttempts}};
    const auto found = std::find_if(state.policy->teams.begin(), state.policy->teams.end(), [team](const TeamPolicy &each) {
        return each.name.value == team;
    });
    const TeamPolicy *const teamPolicy = found == state.policy->teams.end() ? nullptr : &*found;
    if (!team.empty()) {
        document["team"] = {{"name", std::string(team)}, {"known", teamPolicy != nullptr}};
    }
    if (teamPolicy != nullptr) {
        document["team"]["tokens"] = describeHolder(state, teamPolicy->name, now);
    }
    document["shedding"] = describeShedding(state, *route, teamPolicy);
    document["services"] = json::array();
    for (const WeightedService &weighted : route->weightedServices) {
        document["services"].push_back(
            {{"service", weighted.service.value}, {"weight", weighted.weight}, {"targets", describeTargets(state, weighted.service, *route, now)}});
    }
    const bool isKeyed = !state.policy->teams.empty() && !route->isOpen;
    if (trust == PolicyTrust::Unconfirmed || (isKeyed && !mayServeKeyedRequests(state, now)) || refusesRequests(state.stop)) {
        document["refused"] = trust == PolicyTrust::Unconfirmed ? "policy-outdated" : refusesRequests(state.stop) ? "node-stopping" : "policy-not-confirmed";
        return respond(503, document);
    }
    return respond(200, document);
}

auto explainTarget(const SidecarState &state, std::string_view target) -> std::optional<ResponseMessage>
{
    if (target.substr(0, kExplainPath.size()) != kExplainPath) {
        return std::nullopt;
    }
    const std::string_view query = target.substr(kExplainPath.size());
    const std::string path = parameter(query, "path");
    if (path.empty() || path.front() != '/') {
        return respond(400, {{"refused", "the parameter path must begin with a slash"}});
    }
    return explainRequest(state, parameter(query, "host"), path, parameter(query, "team"));
}

} // namespace snipestream
