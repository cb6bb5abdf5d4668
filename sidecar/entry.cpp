#include "sidecar/entry.h"

#include "core/hash.h"
#include "platform/request_fields.h"
#include "sidecar/home.h"
#include "sidecar/memory_limit.h"
#include "sidecar/peer_call.h"
#include "sidecar/reports.h"
#include "sidecar/request_log.h"

#include <algorithm>
#include <utility>

namespace snipestream
{

namespace
{

/// Number of nodes that may refuse a request before it has reached a target. More attempts would only add latency: after
/// three refusals the service is overloaded or unreachable.
constexpr int kMaxNodeRefusals = 3;
/// Timeout of a request whose caller sends none. The route's timeout is shorter in practice.
constexpr Duration kDefaultCallerTimeout = seconds(60);
/// Minimum time before the deadline for another attempt; with less, the response would come too late.
constexpr Duration kMinTimeForRetry = milliseconds(30);

/// A request in progress at this node.
struct EntryCall {
    TimePoint startedAt;
    CallerFields caller;
    const RoutePolicy *route = nullptr;
    const TeamPolicy *team = nullptr;
    ServiceName service;
    /// Keeps the route and team alive while a newer policy comes into force.
    std::shared_ptr<const Policy> policy;
    /// The request is a call that the target on this VM makes for a request that it runs, not a caller's own request.
    bool isNested = false;
    Importance importance;
    TimePoint deadline;
    /// Deadline that the caller and the route give the request, without regard to a stop of the node.
    TimePoint callerDeadline;
    /// Token of the team's rate that the request has spent, if the team has a rate.
    std::vector<TokenPart> token;
    /// What a refusal was based on, for the log.
    std::string detail;
};

auto makeRefusal(const EntryCall &call, int status, Duration retryAfter) -> ResponseMessage
{
    ResponseMessage response;
    response.status = status;
    addRefusalFields(response.headers, call.caller.requestId, retryAfter);
    return response;
}

auto refuse(SidecarState &state, EntryCall &call, int status, const char *reason, Duration retryAfter) -> ResponseMessage
{
    if (call.team != nullptr) {
        giveBackToken(state, *call.team, std::exchange(call.token, {}));
    }
    logRefusal(state, {call.caller.requestId, call.route, call.team, call.service, call.policy ? call.policy->version : 0, call.detail}, status, reason,
               retryAfter, BootClock::now() - call.startedAt);
    return makeRefusal(call, status, retryAfter);
}

/// Returns how long a caller that was refused because of overload should wait before it retries: long enough for the
/// queue to move, with jitter so that callers refused together do not retry together.
auto overloadRetryAfter(SidecarState &state, const RoutePolicy &route) -> Duration
{
    const double latency = std::chrono::duration<double>(route.targetLatency).count();
    const double jitter = 0.6 + 0.8 * static_cast<double>(drawBelow(state.random, 1000)) / 1000;
    /// Fraction of the target latency after which a retry can still be answered in time.
    constexpr double kRetryAfterLatencyFraction = 0.4;
    return duration_cast<Duration>(std::chrono::duration<double>(std::max(0.02, latency * kRetryAfterLatencyFraction) * jitter));
}

/// Returns whether the request is a retry after a refusal: the caller has clearly less time left than the maximum seen on
/// the route. A caller that retries at once instead of waiting is not recognized.
auto isRetry(SidecarState &state, const EntryCall &call) -> bool
{
    /// A retry is recognized if its caller has waited more than the target latency divided by this.
    constexpr int kMinWaitDivisor = 8;
    if (!call.caller.timeLeft) {
        return false;
    }
    auto &maxTimeLeft = state.maxTimeLeft[call.route->name];
    maxTimeLeft = std::max(maxTimeLeft, *call.caller.timeLeft);
    return maxTimeLeft - *call.caller.timeLeft > call.route->targetLatency / kMinWaitDivisor;
}

/// Takes a token of the team's rate. Returns a refusal if there is none.
auto acquireToken(SidecarState &state, EntryCall &call, CancelSignal &cancel) -> std::optional<ResponseMessage>
{
    if (call.team == nullptr) {
        return std::nullopt;
    }
    TokenDecision decision = takeToken(state, *call.team, call.deadline, cancel);
    if (decision.state == TokenState::Admitted) {
        call.token = std::move(decision.token);
        return std::nullopt;
    }
    call.detail = describeHolder(state, call.team->name, BootClock::now());
    if (decision.reason == RefusalReason::RateExceeded) {
        return refuse(state, call, 429, "rate-exceeded", decision.retryAfter);
    }
    return refuse(state, call, 503, "quota-unavailable", decision.retryAfter);
}

/// Returns whether the node must refuse the request because it stops.
auto isRefusedAtStop(const SidecarState &state, const EntryCall &call) -> bool
{
    return call.isNested ? !mayTakeCall(state.stop, state.stopSettings, call.callerDeadline) : refusesRequests(state.stop);
}

/// Returns how long a caller that was refused because the node stops should wait: about the time until the node has ended
/// and started again, with jitter.
auto restartRetryAfter(SidecarState &state) -> Duration
{
    return milliseconds(1200) + milliseconds(drawBelow(state.random, 600));
}

/// Finds the route, team and service of the request. Returns a refusal if it cannot be served.
auto admit(SidecarState &state, const RequestMessage &request, EntryCall &call, CancelSignal &cancel) -> std::optional<ResponseMessage>
{
    /// A node without a configuration gets one within a fraction of a second once the store is available.
    constexpr Duration kNoPolicyRetryAfter = milliseconds(300);
    /// A node that got no processor time for a while has read the store again after a few round trips.
    constexpr Duration kUnconfirmedRetryAfter = milliseconds(100);
    /// A route without a service gets one by a change of the configuration, which is in force within about this time.
    constexpr Duration kNoServiceRetryAfter = seconds(1);
    const TimePoint now = call.startedAt;
    if (call.caller.requestId.empty()) {
        return refuse(state, call, 400, "no-request-id", {});
    }
    call.policy = state.policy;
    if (!call.policy) {
        return refuse(state, call, 503, "no-policy", kNoPolicyRetryAfter);
    }
    const PolicyTrust trust = policyTrustOf(state, now);
    if (trust == PolicyTrust::Unconfirmed) {
        return refuse(state, call, 503, "policy-outdated", kUnconfirmedRetryAfter);
    }
    // A policy that has not been confirmed recently may lack routes and keys that were added since.
    const bool isCurrent = trust == PolicyTrust::Confirmed;
    call.route = findRoute(*call.policy, call.caller.authority, request.target);
    if (call.route == nullptr) {
        return isCurrent ? refuse(state, call, 404, "no-route", {}) : refuse(state, call, 503, "no-route-in-old-policy", kNoPolicyRetryAfter);
    }
    call.isNested = call.route->isOpen && !call.policy->teams.empty();
    if (!call.policy->teams.empty() && !call.route->isOpen) {
        if (!mayServeKeyedRequests(state, now)) {
            return refuse(state, call, 503, "policy-not-confirmed", kNoPolicyRetryAfter);
        }
        call.team = findTeam(*call.policy, call.caller.apiKey);
        if (call.team == nullptr) {
            return isCurrent ? refuse(state, call, 401, "unknown-key", {}) : refuse(state, call, 503, "no-key-in-old-policy", kNoPolicyRetryAfter);
        }
    }
    call.importance = importanceOf(*call.route, call.team);
    const Duration timeout = std::min(call.caller.timeLeft.value_or(kDefaultCallerTimeout), call.route->timeout);
    call.callerDeadline = now + timeout;
    call.deadline = deadlineWithin(state.stop, state.stopSettings, call.callerDeadline);
    if (isRefusedAtStop(state, call)) {
        return refuse(state, call, 503, "node-stopping", restartRetryAfter(state));
    }
    if (refusesForMemory(state, RequestSender::Caller)) {
        return refuse(state, call, 503, "memory-short", kNoPolicyRetryAfter);
    }
    const ServiceName *const service = chooseService(state.splits, *call.route);
    if (service == nullptr) {
        return refuse(state, call, 503, "all-weights-zero", kNoServiceRetryAfter);
    }
    call.service = *service;
    if (auto refusal = acquireToken(state, call, cancel)) {
        return refusal;
    }
    if (!call.isNested) {
        const size_t sheddingClass = shedClass(state.importance, call.importance, isRetry(state, call));
        const auto work = state.workByKind.find(workKindOf(*call.route));
        double fraction = 0;
        if (work != state.workByKind.end()) {
            for (const auto &[service, slotSeconds] : work->second) {
                auto &control = state.admission[service];
                countArrival(control, sheddingClass, slotSeconds, now);
                fraction = std::max(fraction, shedFraction(control, sheddingClass));
            }
        }
        if (isShed(fraction, call.caller.requestId)) {
            return refuse(state, call, 503, "shed", overloadRetryAfter(state, *call.route));
        }
    }
    return std::nullopt;
}

auto makeRoutedRequest(const SidecarState &state, const EntryCall &call, RequestMessage request) -> RoutedRequest
{
    RoutedRequest routed;
    routed.requestId = call.caller.requestId;
    routed.team = call.team != nullptr ? call.team->name : TeamName();
    routed.callerService = state.settings.service;
    routed.sender = state.settings.address;
    routed.targetLatency = call.route->targetLatency;
    routed.isNested = call.isNested;
    routed.workKind = workKindOf(*call.route);
    routed.deadline = call.deadline;
    // The API key is removed because it must not leave this node. The node beside the target sets the system's fields
    // again before the request is sent to the target.
    setTargetFields(request.headers, {"-", call.deadline - call.startedAt, routed.team, routed.callerService});
    routed.message = std::move(request);
    return routed;
}

/// Returns whether the request may be sent to another target after this result.
auto mayRetry(const EntryCall &call, const TargetResult &result, int targetAttempts, TimePoint now) -> bool
{
    if (now + kMinTimeForRetry >= call.deadline || targetAttempts >= call.route->maxAttempts) {
        return false;
    }
    return result.outcome == TargetOutcome::NotRun || call.route->idempotent;
}

auto runAttempt(SidecarState &state, const std::string &address, RoutedRequest &routed, CancelSignal &cancel) -> TargetResult
{
    uint64_t memberSince = 0;
    {
        auto &row = state.peers.rows.at(address);
        ++row.inFlight;
        ++row.sentSinceLoadUpdate;
        memberSince = row.memberSince;
    }
    TargetResult result = address == state.peers.ownAddress ? runAtTarget(state, routed, cancel) : runAtPeer(state, address, routed, cancel);
    const auto found = state.peers.rows.find(address);
    if (found == state.peers.rows.end() || found->second.memberSince != memberSince) {
        return result;
    }
    auto &row = found->second;
    if (result.outcome == TargetOutcome::NotRun && result.reason == kOtherTargetReason) {
        dropOutdatedReport(row, routed.target);
    }
    row.inFlight = std::max(0, row.inFlight - 1);
    if (result.load) {
        observeLoad(row, *result.load);
    }
    if (result.reachedTarget && result.outcome != TargetOutcome::Cancelled && result.outcome != TargetOutcome::TimedOut) {
        const bool failed = result.outcome != TargetOutcome::Answered || result.response.status >= 500;
        observeOutcome(row, failed);
    }
    return result;
}

/// Results of the attempts to run a request at the targets of its service.
struct Attempts {
    /// Addresses of the nodes that were tried, in order.
    std::vector<std::string> tried;
    /// Error response (5xx) of a target; returned to the caller if no other target responds.
    std::optional<TargetResult> fallback;
    TargetResult last;
    /// Attempts that reached a target.
    int targetAttempts = 0;
    /// Nodes that refused the request before it reached their target.
    int refusals = 0;
    bool mayHaveRun = false;
};

/// What to do after an attempt.
enum class NextStep {
    TryAnotherTarget,
    Finish,
};

auto decideNextStep(SidecarState &state, const EntryCall &call, const RequestOrigin &origin, const std::string &address, Attempts &attempts) -> NextStep
{
    const TimePoint now = BootClock::now();
    TargetResult &result = attempts.last;
    attempts.targetAttempts += result.reachedTarget ? 1 : 0;
    attempts.mayHaveRun = attempts.mayHaveRun || mayHaveRun(result.outcome);
    if (result.outcome == TargetOutcome::Answered) {
        if (result.response.status < 500 || !mayRetry(call, result, attempts.targetAttempts, now)) {
            return NextStep::Finish;
        }
        logRetry(state, origin, address, result.response.status, "target-failed", now - call.startedAt);
        attempts.fallback = std::exchange(result, TargetResult());
        return NextStep::TryAnotherTarget;
    }
    logTargetRefusal(state, origin, address, targetOutcomeName(result.outcome), result.reason, now - call.startedAt);
    // The deadline at a node that stops may be earlier than that of the request.
    if (now >= call.deadline) {
        return NextStep::Finish;
    }
    if (!result.reachedTarget) {
        return ++attempts.refusals < kMaxNodeRefusals ? NextStep::TryAnotherTarget : NextStep::Finish;
    }
    return mayRetry(call, result, attempts.targetAttempts, now) ? NextStep::TryAnotherTarget : NextStep::Finish;
}

/// Makes the response for the caller from the results of the attempts.
auto finish(SidecarState &state, EntryCall &call, const RequestOrigin &origin, Attempts &attempts) -> ResponseMessage
{
    const Duration elapsed = BootClock::now() - call.startedAt;
    const bool isAnswered = attempts.last.outcome == TargetOutcome::Answered;
    if (isAnswered || attempts.fallback) {
        ResponseMessage response = isAnswered ? std::move(attempts.last.response) : std::move(attempts.fallback->response);
        logAnswered(state, origin, attempts.tried.back(), response.status, attempts.targetAttempts, elapsed);
        return response;
    }
    const char *const ownReason = refusesRequests(state.stop) ? "node-stopping" : "no-target";
    const std::string reason = attempts.last.reason.empty() ? ownReason : attempts.last.reason;
    if (!attempts.mayHaveRun) {
        return refuse(state, call, 503, reason.c_str(), overloadRetryAfter(state, *call.route));
    }
    const int status = attempts.last.outcome == TargetOutcome::TimedOut ? 504 : 502;
    logFailure(state, origin, status, reason, attempts.targetAttempts, elapsed);
    return makeRefusal(call, status, {});
}

} // namespace

auto workKindOf(const RoutePolicy &route) -> WorkKind
{
    return static_cast<WorkKind>(stableHash(route.name.value) >> 32U);
}

auto mayRunConcurrently(const SidecarState &state, const RequestMessage &request) -> bool
{
    if (!state.policy) {
        return false;
    }
    const auto authority = findHeader(request.headers, "Host");
    const RoutePolicy *const route = findRoute(*state.policy, authority.value_or(std::string_view()), request.target);
    return route != nullptr && route->idempotent;
}

auto serveCaller(SidecarState &state, RequestMessage &request, CancelSignal &cancel) -> std::optional<ResponseMessage>
{
    EntryCall call;
    call.startedAt = BootClock::now();
    state.lastRequestAt = call.startedAt;
    call.caller = readCallerFields(request.headers);
    if (auto refusal = admit(state, request, call, cancel)) {
        return refusal;
    }
    if (call.isNested) {
        const TimePoint callerDeadline = call.caller.timeLeft ? call.startedAt + *call.caller.timeLeft : call.deadline;
        countCall(state.callPattern, workKindOf(*call.route), callerDeadline);
    }
    requireService(state, call.service);
    const RequestOrigin origin{call.caller.requestId, call.route, call.team, call.service, call.policy->version, {}};
    RoutedRequest routed = makeRoutedRequest(state, call, std::move(request));
    Attempts attempts;
    // A request that was cancelled at the end of a stop before it could be sent has not run.
    while (!cancel.isCancelled() || state.stop.step < StopStep::Concluding) {
        PeerRow *const peer =
            choosePeer(state.peers, state.loadBalancing, call.service, attempts.tried, state.random, BootClock::now(), call.route->targetLatency);
        if (peer == nullptr) {
            break;
        }
        const std::string address = peer->address;
        attempts.tried.push_back(address);
        routed.target = {call.service, peer->report->target.instance, peer->report->target.startedAtMs};
        routed.previousAttempts = attempts.targetAttempts;
        attempts.last = runAttempt(state, address, routed, cancel);
        const bool isCancelled = cancel.isCancelled() || attempts.last.outcome == TargetOutcome::Cancelled;
        if (isCancelled && state.stop.step >= StopStep::Concluding) {
            if (attempts.last.outcome == TargetOutcome::Cancelled) {
                attempts.last = concludeAtStop(state, {call.caller.requestId, call.startedAt, call.callerDeadline, call.isNested}, std::move(attempts.last));
            }
            attempts.mayHaveRun = attempts.mayHaveRun || mayHaveRun(attempts.last.outcome);
            break;
        }
        if (isCancelled) {
            logAbandoned(state, origin, address, BootClock::now() - call.startedAt);
            return std::nullopt;
        }
        if (decideNextStep(state, call, origin, address, attempts) == NextStep::Finish) {
            break;
        }
    }
    return finish(state, call, origin, attempts);
}

} // namespace snipestream
