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

/// Larger figures are not plausible.
constexpr double kMaxPace = 1000;

/// Header field with the decisions of the entry node, separated by spaces: instance, target latency in ms, 1 for a nested
/// call, kind of work, time left in ms, service of the caller, the team or "-", the number of earlier attempts that reached
/// a target, address of the entry node, start of the instance in ms since the Unix epoch, and its service.
constexpr const char *kRoutedField = "Sns-Routed";
/// Header field with the outcome of the request, 1 if it reached the target, and the running and waiting requests and the
/// limit of the target if they are known.
constexpr const char *kOutcomeField = "Sns-Outcome";
constexpr const char *kReasonField = "Sns-Reason";
constexpr int64_t kMaxMs = 24LL * 3600 * 1000;
/// Time after the deadline within which the response of the other node may still arrive.
constexpr Duration kResponseSlack = milliseconds(40);

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

auto encodeRoutedRequest(const RoutedRequest &request, TimePoint now) -> RequestMessage
{
    RequestMessage message = request.message;
    std::ostringstream field;
    field << request.target.instance << ' ' << toMs(request.targetLatency) << ' ' << (request.isNested ? 1 : 0) << ' ' << request.workKind << ' '
          << toMs(request.deadline - now) << ' ' << request.callerService << ' ' << (request.team.empty() ? "-" : request.team.value) << ' '
          << request.previousAttempts << ' ' << request.sender << ' ' << request.target.startedAtMs << ' ' << request.target.service;
    removeHeader(message.headers, kRoutedField);
    message.headers.emplace_back(kRoutedField, field.str());
    return message;
}

auto decodeRoutedRequest(RequestMessage message, TimePoint now) -> Result<RoutedRequest>
{
    const auto field = findHeader(message.headers, kRoutedField);
    if (!field) {
        return failure(ErrorCode::InvalidInput, "the request of a peer has no routing field");
    }
    std::istringstream text{std::string(*field)};
    RoutedRequest request;
    int64_t latencyMs = 0;
    int64_t timeLeftMs = 0;
    int nested = 0;
    std::string caller;
    std::string team;
    if (!(text >> request.target.instance >> latencyMs >> nested >> request.workKind >> timeLeftMs >> caller >> team >> request.previousAttempts)
        || latencyMs < 0 || latencyMs > kMaxMs || timeLeftMs > kMaxMs) {
        return failure(ErrorCode::InvalidInput, "the routing field '" + std::string(*field) + "' of a peer is not valid");
    }
    std::string service;
    if (text >> request.sender >> request.target.startedAtMs >> service) {
        request.target.service = ServiceName(service);
    }
    request.targetLatency = milliseconds(latencyMs);
    request.isNested = nested != 0;
    request.deadline = now + milliseconds(timeLeftMs);
    request.callerService = ServiceName(caller);
    request.team = TeamName(team == "-" ? "" : team);
    removeHeader(message.headers, kRoutedField);
    request.requestId = readCallerFields(message.headers).requestId;
    request.message = std::move(message);
    return request;
}

auto encodeOutcome(TargetResult result) -> ResponseMessage
{
    ResponseMessage response;
    if (result.outcome == TargetOutcome::Answered) {
        response = std::move(result.response);
        removeHeader(response.headers, kOutcomeField);
    } else {
        response.status = 200;
        response.headers.emplace_back(kReasonField, result.reason.empty() ? "-" : result.reason);
    }
    const TargetLoad load = result.load.value_or(TargetLoad{});
    std::ostringstream field;
    field << targetOutcomeName(result.outcome) << ' ' << (result.reachedTarget ? 1 : 0);
    if (result.load) {
        field << ' ' << load.running << ' ' << load.waiting << ' ' << load.limit;
        if (load.pace > 0) {
            field << ' ' << load.pace;
        }
    }
    response.headers.emplace_back(kOutcomeField, field.str());
    return response;
}

auto decodeOutcome(ResponseMessage response) -> TargetResult
{
    TargetResult result;
    result.outcome = TargetOutcome::Unknown;
    result.reachedTarget = true;
    const auto field = findHeader(response.headers, kOutcomeField);
    if (!field) {
        // The other node's server refuses like this what it has no memory for, before the request reaches any handler.
        const bool isRefused = response.status == 503;
        result.outcome = isRefused ? TargetOutcome::NotRun : TargetOutcome::Unknown;
        result.reachedTarget = !isRefused;
        result.reason = "peer-answered-" + std::to_string(response.status);
        return result;
    }
    std::istringstream text{std::string(*field)};
    std::string name;
    int reachedTarget = 1;
    text >> name >> reachedTarget;
    const auto outcome = parseOutcome(name);
    if (!outcome) {
        result.reason = "peer-outcome-" + name;
        return result;
    }
    TargetLoad load;
    if (text >> load.running >> load.waiting >> load.limit && load.limit > 0) {
        // A target that does not report its pace, or a node of an earlier version, sends none.
        text >> load.pace;
        load.pace = load.pace > 0 && load.pace < kMaxPace ? load.pace : 0;
        result.load = load;
    }
    result.outcome = *outcome;
    result.reachedTarget = reachedTarget != 0;
    if (const auto reason = findHeader(response.headers, kReasonField)) {
        result.reason = std::string(*reason);
    }
    removeHeader(response.headers, kOutcomeField);
    result.response = std::move(response);
    return result;
}

auto runAtPeer(SidecarState &state, const std::string &address, RoutedRequest &request, CancelSignal &cancel) -> TargetResult
{
    const Endpoint endpoint{address, state.settings.peerListen.port};
    // The body is lent to the call, since it may be large.
    std::string body = std::move(request.message.body);
    RequestMessage message = encodeRoutedRequest(request, BootClock::now());
    message.body = std::move(body);
    CallResult callResult = state.peerPool.call(endpoint, message, cancel, request.deadline + kResponseSlack);
    request.message.body = std::move(message.body);
    if (callResult.status == CallStatus::Answered) {
        return decodeOutcome(std::move(callResult.response));
    }
    TargetResult result;
    result.outcome = outcomeOf(callResult.status);
    result.reachedTarget = callResult.status != CallStatus::NotSent;
    result.reason = std::string("peer-") + callStatusName(callResult.status) + (callResult.detail.empty() ? "" : ": " + callResult.detail);
    if (callResult.status == CallStatus::Cancelled) {
        return result;
    }
    const auto row = state.peers.rows.find(address);
    if (row != state.peers.rows.end() && callResult.status != CallStatus::TimedOut) {
        avoidPeer(row->second, BootClock::now());
        logEvent(EventId::PeerUnreachable, {{"peer", address}, {"request", request.requestId}, {"detail", result.reason}});
    }
    return result;
}

} // namespace snipestream
