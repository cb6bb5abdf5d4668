#include "sidecar/request_log.h"

#include "core/events.h"

#include <cstdio>

namespace snipestream
{

namespace
{

auto toMs(Duration duration) -> std::string
{
    char text[32];
    std::snprintf(text, sizeof text, "%.1f", std::chrono::duration<double, std::milli>(duration).count());
    return text;
}

auto routeName(const RequestOrigin &origin) -> std::string
{
    return origin.route != nullptr ? origin.route->name.value : "-";
}

auto teamName(const RequestOrigin &origin) -> std::string
{
    return origin.team != nullptr ? origin.team->name.value : "-";
}

void count(SidecarState &state, const RequestOrigin &origin, const char *outcome, const std::string &reason)
{
    state.metrics
        .counter("snipestream_caller_requests_total", "Requests of callers by how they ended",
                 {{"route", routeName(origin)}, {"outcome", outcome}, {"reason", reason}})
        .add();
}

auto admittedText(const SidecarState &state, const ServiceName &service) -> std::string
{
    const auto found = state.admission.find(service);
    return found == state.admission.end() ? "-" : std::to_string(found->second.admittedFraction);
}

/// Counts a response. The metrics of responses with status 200, the most frequent ones, are looked up once per route.
void observeResponse(SidecarState &state, const RequestOrigin &origin, int status, Duration elapsed)
{
    if (status != 200 || origin.route == nullptr) {
        count(state, origin, "answered", std::to_string(status));
        return;
    }
    auto &rows = state.routeMetrics[origin.route->name];
    if (rows.answered == nullptr) {
        rows.answered = &state.metrics.counter("snipestream_caller_requests_total", "Requests of callers by how they ended",
                                               {{"route", routeName(origin)}, {"outcome", "answered"}, {"reason", "200"}});
        rows.seconds = &state.metrics.histogram("snipestream_caller_request_seconds", "From the whole request to its answer", {{"route", routeName(origin)}});
    }
    rows.answered->add();
    rows.seconds->observe(std::chrono::duration<double>(elapsed).count());
}

void addEvent(SidecarState &state, EventId id, std::initializer_list<EventField> fields, LineImportance importance)
{
    addLine(state.log, formatEvent(id, fields), importance, BootClock::now());
}

} // namespace

void logRefusal(SidecarState &state, const RequestOrigin &origin, int status, const std::string &reason, Duration retryAfter, Duration elapsed)
{
    count(state, origin, "refused", reason);
    addEvent(state, EventId::RequestRefused,
             {{"request", origin.requestId},
              {"status", std::to_string(status)},
              {"reason", reason},
              {"route", routeName(origin)},
              {"team", teamName(origin)},
              {"service", origin.service.value},
              {"policy", std::to_string(origin.policyVersion)},
              {"policy-age-ms", toMs(BootClock::now() - state.policyConfirmedAt)},
              {"admitted", admittedText(state, origin.service)},
              {"detail", origin.detail.empty() ? "-" : origin.detail},
              {"retry-after-ms", toMs(retryAfter)},
              {"ms", toMs(elapsed)}},
             LineImportance::High);
}

void logAnswered(SidecarState &state, const RequestOrigin &origin, const std::string &address, int status, int attempts, Duration elapsed)
{
    observeResponse(state, origin, status, elapsed);
    const bool isLate = origin.route != nullptr && elapsed > origin.route->targetLatency;
    if (!isLate && status < 400 && shouldDropLowImportance(state.log, BootClock::now())) {
        return;
    }
    addEvent(state, EventId::RequestAnswered,
             {{"request", origin.requestId},
              {"status", std::to_string(status)},
              {"route", routeName(origin)},
              {"peer", address},
              {"arrivals", std::to_string(attempts)},
              {"policy", std::to_string(origin.policyVersion)},
              {"ms", toMs(elapsed)}},
             isLate || status >= 400 ? LineImportance::High : LineImportance::Low);
}

void logRetry(SidecarState &state, const RequestOrigin &origin, const std::string &address, int status, const std::string &reason, Duration elapsed)
{
    addEvent(state, EventId::RequestRetried,
             {{"request", origin.requestId}, {"status", std::to_string(status)}, {"reason", reason}, {"peer", address}, {"ms", toMs(elapsed)}},
             LineImportance::High);
}

void logTargetRefusal(SidecarState &state, const RequestOrigin &origin, const std::string &address, const std::string &outcome, const std::string &reason,
                      Duration elapsed)
{
    const auto row = state.peers.rows.find(address);
    const TargetLoad load = row != state.peers.rows.end() ? row->second.load : TargetLoad{};
    const std::string age = row != state.peers.rows.end() ? toMs(BootClock::now() - row->second.lastReportAt) : "-";
    addEvent(state, EventId::TargetRefusedRequest,
             {{"request", origin.requestId},
              {"outcome", outcome},
              {"reason", reason},
              {"peer", address},
              {"running", std::to_string(load.running)},
              {"waiting", std::to_string(load.waiting)},
              {"limit", std::to_string(load.limit)},
              {"report-age-ms", age},
              {"ms", toMs(elapsed)}},
             LineImportance::High);
}

void logFailure(SidecarState &state, const RequestOrigin &origin, int status, const std::string &reason, int attempts, Duration elapsed)
{
    count(state, origin, "failed", std::to_string(status));
    addEvent(state, EventId::RequestFailed,
             {{"request", origin.requestId},
              {"status", std::to_string(status)},
              {"reason", reason},
              {"route", routeName(origin)},
              {"arrivals", std::to_string(attempts)},
              {"ms", toMs(elapsed)}},
             LineImportance::High);
}

void logAbandoned(SidecarState &state, const RequestOrigin &origin, const std::string &address, Duration elapsed)
{
    count(state, origin, "abandoned", "-");
    addEvent(state, EventId::RequestAbandoned, {{"request", origin.requestId}, {"route", routeName(origin)}, {"peer", address}, {"ms", toMs(elapsed)}},
             LineImportance::Low);
}

} // namespace snipestream
