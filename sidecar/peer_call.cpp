#include "sidecar/peer_call.h"

#include "core/events.h"
#include "platform/request_fields.h"

#include <cinttypes>
#include <cstdio>
#include <sstream>

namespace snipestream
{

namespace
{

/// Carries what the entry node decided: instance, target latency in ms, inner flag, kind of work, time left in ms,
/// service of the caller, the team or "-", and the targets that saw the request before.
constexpr const char *kRoutedField = "Sns-Routed";
/// Carries how the request ended, whether the target saw it, and the load of the target.
constexpr const char *kOutcomeField = "Sns-Outcome";
constexpr const char *kReasonField = "Sns-Reason";
constexpr int64_t kMostMs = 24LL * 3600 * 1000;
/// Time beyond the deadline that an answer of the other node may take on the way.
constexpr Duration kAnswerSlack = milliseconds(40);

auto toMs(Duration duration) -> int64_t
{
    return duration_cast<milliseconds>(duration).count();
}

auto parseOutcome(const std::string &name) -> std::optional<TargetOutcome>
{
    for (const auto outcome : {TargetOutcome::Answered, TargetOutcome::NotRun, TargetOutcome::Unknown, TargetOutcome::TimedOut, TargetOutcome::Cancelled}) {
        if (name == targetOutcomeName(outcome)) {
            return outcome;
        }
    }
    return std::nullopt;
}

} // namespace

auto encodeRouted(const RoutedRequest &request, TimePoint now) -> RequestMessage
{
    RequestMessage message = request.message;
    std::ostringstream field;
    field << request.instance << ' ' << toMs(request.targetLatency) << ' ' << (request.isInner ? 1 : 0) << ' ' << request.workKind << ' '
          << toMs(request.deadline - now) << ' ' << request.callerService << ' ' << (request.team.empty() ? "-" : request.team.value) << ' '
          << request.earlierArrivals;
    removeHeader(message.headers, kRoutedField);
    message.headers.emplace_back(kRoutedField, field.str());
    return message;
}

auto decodeRouted(RequestMessage message, TimePoint now) -> Result<RoutedRequest>
{
    const auto field = findHeader(message.headers, kRoutedField);
    if (!field) {
        return failure(ErrorCode::InvalidInput, "the request of a peer has no routing field");
    }
    std::istringstream text{std::string(*field)};
    RoutedRequest request;
    int64_t latencyMs = 0;
    int64_t leftMs = 0;
    int inner = 0;
    std::string caller;
    std::string team;
    if (!(text >> request.instance >> latencyMs >> inner >> request.workKind >> leftMs >> caller >> team >> request.earlierArrivals) || latencyMs < 0
        || latencyMs > kMostMs || leftMs > kMostMs) {
        return failure(ErrorCode::InvalidInput, "the routing field '" + std::string(*field) + "' of a peer is not valid");
    }
    request.targetLatency = milliseconds(latencyMs);
    request.isInner = inner != 0;
    request.deadline = now + milliseconds(leftMs);
    request.callerService = ServiceName(caller);
    request.team = TeamName(team == "-" ? "" : team);
    removeHeader(message.headers, kRoutedField);
    request.requestId = readCallerFields(message.headers).requestId;
    request.message = std::move(message);
    return request;
}

auto encodeOutcome(TargetResult result) -> ResponseMessage
{
    ResponseMessage answer;
    if (result.outcome == TargetOutcome::Answered) {
        answer = std::move(result.answer);
        removeHeader(answer.headers, kOutcomeField);
    } else {
        answer.status = 200;
        answer.headers.emplace_back(kReasonField, result.reason.empty() ? "-" : result.reason);
    }
    const TargetLoad load = result.load.value_or(TargetLoad{});
    std::ostringstream field;
    field << targetOutcomeName(result.outcome) << ' ' << (result.arrived ? 1 : 0);
    if (result.load) {
        field << ' ' << load.running << ' ' << load.waiting << ' ' << load.limit;
    }
    answer.headers.emplace_back(kOutcomeField, field.str());
    return answer;
}

auto decodeOutcome(ResponseMessage answer) -> TargetResult
{
    TargetResult result;
    result.outcome = TargetOutcome::Unknown;
    result.arrived = true;
    const auto field = findHeader(answer.headers, kOutcomeField);
    if (!field) {
        result.reason = "peer-answered-" + std::to_string(answer.status);
        return result;
    }
    std::istringstream text{std::string(*field)};
    std::string name;
    int arrived = 1;
    text >> name >> arrived;
    const auto outcome = parseOutcome(name);
    if (!outcome) {
        result.reason = "peer-outcome-" + name;
        return result;
    }
    TargetLoad load;
    if (text >> load.running >> load.waiting >> load.limit && load.limit > 0) {
        result.load = load;
    }
    result.outcome = *outcome;
    result.arrived = arrived != 0;
    if (const auto reason = findHeader(answer.headers, kReasonField)) {
        result.reason = std::string(*reason);
    }
    removeHeader(answer.headers, kOutcomeField);
    result.answer = std::move(answer);
    return result;
}

auto runAtPeer(SidecarState &state, const std::string &address, const RoutedRequest &request, CancelSignal &cancel) -> TargetResult
{
    const Endpoint endpoint{address, state.settings.peerListen.port};
    CallResult called = state.peerPool.call(endpoint, encodeRouted(request, BootClock::now()), cancel, request.deadline + kAnswerSlack);
    if (called.status == CallStatus::Answered) {
        return decodeOutcome(std::move(called.response));
    }
    TargetResult result;
    result.outcome = outcomeOf(called.status);
    result.arrived = called.status != CallStatus::NotSent;
    result.reason = std::string("peer-") + callStatusName(called.status) + (called.detail.empty() ? "" : ": " + called.detail);
    if (called.status == CallStatus::Cancelled) {
        return result;
    }
    const auto row = state.peers.rows.find(address);
    if (row != state.peers.rows.end() && called.status != CallStatus::TimedOut) {
        avoidPeer(row->second, BootClock::now());
        logEvent(EventId::PeerUnreachable, {{"peer", address}, {"request", request.requestId}, {"detail", result.reason}});
    }
    return result;
}

} // namespace snipestream
