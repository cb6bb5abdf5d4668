#include "sidecar/entry.h"

#include "core/events.h"
#include "core/hash.h"
#include "platform/request_fields.h"
#include "sidecar/home.h"
#include "sidecar/peer_call.h"
#include "sidecar/request_log.h"

#include <algorithm>
#include <utility>

namespace snipestream
{

namespace
{

/// Nodes that are asked in turn while none of them has let the target see the request. More would only add time: by then
/// the service is full or cut off.
constexpr int kPlacesAsked = 3;
/// Part of the VM's memory that bodies of requests in progress may take; the rest is for answers, connections and code.
constexpr double kHeldMemoryPart = 0.25;
/// Time for a request whose caller names none; the route's timeout is shorter in practice.
constexpr Duration kLongestWait = seconds(60);
/// Least time left for another try: below it the answer would come too late.
constexpr Duration kLeastTimeForRetry = milliseconds(30);

/// A request in progress at this node.
struct EntryCall {
    TimePoint startedAt;
    CallerFields caller;
    const RoutePolicy *route = nullptr;
    const TeamPolicy *team = nullptr;
    ServiceName service;
    /// Keeps the route and team alive while a newer policy comes into force.
    std::shared_ptr<const Policy> policy;
    /// A call of the target on this VM for a request that it runs, rather than a caller's own request.
    bool isInner = false;
    Importance importance;
    TimePoint deadline;
    bool tokenTaken = false;
};

/// Half of the hash names a kind: a configuration has some hundred routes, and reports carry the names often.
auto workKindOf(const RoutePolicy &route) -> WorkKind
{
    return static_cast<WorkKind>(stableHash(route.name.value) >> 32U);
}

auto makeRefusal(const EntryCall &call, int status, Duration retryAfter) -> ResponseMessage
{
    ResponseMessage answer;
    answer.status = status;
    addRefusalFields(answer.headers, call.caller.requestId, retryAfter);
    return answer;
}

auto refuse(SidecarState &state, EntryCall &call, int status, const char *reason, Duration retryAfter) -> ResponseMessage
{
    if (call.tokenTaken) {
        returnToken(state.rates, *call.team);
        call.tokenTaken = false;
    }
    logRefusal(state, {call.caller.requestId, call.route, call.team, call.service, call.policy ? call.policy->version : 0}, status, reason, retryAfter,
               BootClock::now() - call.startedAt);
    return makeRefusal(call, status, retryAfter);
}

/// Returns how long a caller that was refused for want of room should stay away: long enough for the queue to move, and
/// spread so that those refused together do not return together.
auto overloadRetryAfter(SidecarState &state, const RoutePolicy &route) -> Duration
{
    const double latency = std::chrono::duration<double>(route.targetLatency).count();
    const double spread = 0.6 + 0.8 * static_cast<double>(drawBelow(state.random, 1000)) / 1000;
    /// Part of the target latency: a caller that comes back then can still be answered in time.
    constexpr double kLatencyPart = 0.4;
    return duration_cast<Duration>(std::chrono::duration<double>(std::max(0.02, latency * kLatencyPart) * spread));
}

/// Returns whether the caller was refused before and comes back: it has clearly less time left than callers of the route
/// have at first. One that repeats at once instead of waiting does not count.
auto isReturning(SidecarState &state, const EntryCall &call) -> bool
{
    /// Part of the target latency that a returning caller has waited at least.
    constexpr int kLeastWaitDivisor = 8;
    if (!call.caller.timeLeft) {
        return false;
    }
    auto &longest = state.longestTimeLeft[call.route->name];
    longest = std::max(longest, *call.caller.timeLeft);
    return longest - *call.caller.timeLeft > call.route->targetLatency / kLeastWaitDivisor;
}

/// Finds route, team and service. Returns a refusal if the request cannot be served.
auto admit(SidecarState &state, const RequestMessage &request, EntryCall &call) -> std::optional<ResponseMessage>
{
    /// A node without a configuration gets one within a fraction of a second after the store answers.
    constexpr Duration kNoPolicyRetryAfter = milliseconds(300);
    const TimePoint now = call.startedAt;
    if (call.caller.requestId.empty()) {
        return refuse(state, call, 400, "no-request-id", {});
    }
    call.policy = state.policy;
    if (!call.policy) {
        return refuse(state, call, 503, "no-policy", kNoPolicyRetryAfter);
    }
    // A policy that was not confirmed for long may lack routes and keys that were added since.
    const bool isCurrent = now - state.policyConfirmedAt < state.settings.keyWithdrawal;
    call.route = findRoute(*call.policy, call.caller.authority, request.target);
    if (call.route == nullptr) {
        return isCurrent ? refuse(state, call, 404, "no-route", {}) : refuse(state, call, 503, "no-route-in-old-policy", kNoPolicyRetryAfter);
    }
    call.isInner = call.route->isOpen && !call.policy->teams.empty();
    if (!call.policy->teams.empty() && !call.route->isOpen) {
        if (!mayServeKeys(state, now)) {
            return refuse(state, call, 503, "policy-not-confirmed", kNoPolicyRetryAfter);
        }
        call.team = findTeam(*call.policy, call.caller.apiKey);
        if (call.team == nullptr) {
            return refuse(state, call, 401, "unknown-key", {});
        }
    }
    call.importance = importanceOf(*call.route, call.team);
    const Duration asked = std::min(call.caller.timeLeft.value_or(kLongestWait), call.route->timeout);
    call.deadline = now + asked;
    const uint64_t held = state.callerServer->activeRequestBytes() + state.peerServer->activeRequestBytes();
    if (static_cast<double>(held) > kHeldMemoryPart * static_cast<double>(state.settings.memoryMb) * 1024 * 1024) {
        logEvent(EventId::MemoryShort, {{"held", std::to_string(held)}});
        return refuse(state, call, 503, "memory-short", kNoPolicyRetryAfter);
    }
    call.service = chooseService(state.splits, *call.route);
    if (call.team != nullptr) {
        if (!takeToken(state.rates, *call.team, state.peers, now)) {
            return refuse(state, call, 429, "rate-exceeded", rateRetryAfter(state.rates, *call.team));
        }
        call.tokenTaken = call.team->ratePerSecond > 0;
    }
    if (!call.isInner) {
        const size_t kind = shedClass(state.importance, call.importance, isReturning(state, call));
        const auto work = state.workByKind.find(workKindOf(*call.route));
        double part = 0;
        if (work != state.workByKind.end()) {
            for (const auto &[service, slotSeconds] : work->second) {
                auto &control = state.admission[service];
                countArrival(control, kind, slotSeconds, now);
                part = std::max(part, shedPart(control, kind));
            }
        }
        if (isShed(part, call.caller.requestId)) {
            return refuse(state, call, 503, "shed", overloadRetryAfter(state, *call.route));
        }
    }
    return std::nullopt;
}

auto makeRouted(const SidecarState &state, const EntryCall &call, RequestMessage request) -> RoutedRequest
{
    RoutedRequest routed;
    routed.requestId = call.caller.requestId;
    routed.team = call.team != nullptr ? call.team->name : TeamName();
    routed.callerService = state.settings.service;
    routed.targetLatency = call.route->targetLatency;
    routed.isInner = call.isInner;
    routed.workKind = workKindOf(*call.route);
    routed.deadline = call.deadline;
    // The key never leaves this node, and fields that the system answers for are set at the target.
    setTargetFields(request.headers, {"-", call.deadline - call.startedAt, routed.team, routed.callerService});
    routed.message = std::move(request);
    return routed;
}

/// Whether another target may be asked after this result.
auto mayRetry(const EntryCall &call, const TargetResult &result, int arrivals, TimePoint now) -> bool
{
    if (now + kLeastTimeForRetry >= call.deadline || arrivals >= call.route->maxAttempts) {
        return false;
    }
    return result.outcome == TargetOutcome::NotRun || call.route->idempotent;
}

auto runOnce(SidecarState &state, const std::string &address, const RoutedRequest &routed, CancelSignal &cancel) -> TargetResult
{
    {
        auto &row = state.peers.rows[address];
        ++row.inFlight;
        ++row.sentSince;
    }
    TargetResult result = address == state.peers.ownAddress ? runAtTarget(state, routed, cancel) : runAtPeer(state, address, routed, cancel);
    const auto found = state.peers.rows.find(address);
    if (found == state.peers.rows.end()) {
        return result;
    }
    auto &row = found->second;
    row.inFlight = std::max(0, row.inFlight - 1);
    if (result.load) {
        observeLoad(row, *result.load);
    }
    if (result.arrived && result.outcome != TargetOutcome::Cancelled && result.outcome != TargetOutcome::TimedOut) {
        const bool failed = result.outcome != TargetOutcome::Answered || result.answer.status >= 500;
        observeOutcome(row, failed);
    }
    return result;
}

/// What became of a request at the targets that were asked.
struct Attempts {
    std::vector<std::string> tried;
    /// Failed answer of a target, delivered if no other target does better.
    std::optional<TargetResult> fallback;
    /// The latest result.
    TargetResult last;
    /// Targets that saw the request.
    int arrivals = 0;
    /// Nodes that refused it before their target saw it.
    int refusals = 0;
    bool mayHaveRun = false;
};

/// What to do after a result.
enum class NextStep {
    AskAnother,
    Finish,
};

auto judgeResult(SidecarState &state, const EntryCall &call, const RequestOrigin &origin, const std::string &address, Attempts &attempts) -> NextStep
{
    const TimePoint now = BootClock::now();
    TargetResult &result = attempts.last;
    attempts.arrivals += result.arrived ? 1 : 0;
    if (result.outcome == TargetOutcome::Answered) {
        attempts.mayHaveRun = true;
        if (result.answer.status < 500 || !mayRetry(call, result, attempts.arrivals, now)) {
            return NextStep::Finish;
        }
        logRetry(state, origin, address, result.answer.status, "target-failed", now - call.startedAt);
        attempts.fallback = std::exchange(result, TargetResult());
        return NextStep::AskAnother;
    }
    attempts.mayHaveRun = attempts.mayHaveRun || result.outcome == TargetOutcome::Unknown || result.outcome == TargetOutcome::TimedOut;
    logTargetRefusal(state, origin, address, targetOutcomeName(result.outcome), result.reason, now - call.startedAt);
    if (result.outcome == TargetOutcome::TimedOut || now >= call.deadline) {
        return NextStep::Finish;
    }
    if (!result.arrived) {
        return ++attempts.refusals < kPlacesAsked ? NextStep::AskAnother : NextStep::Finish;
    }
    return mayRetry(call, result, attempts.arrivals, now) ? NextStep::AskAnother : NextStep::Finish;
}

/// Makes the caller's answer from what the targets did.
auto finish(SidecarState &state, EntryCall &call, const RequestOrigin &origin, Attempts &attempts) -> ResponseMessage
{
    const Duration taken = BootClock::now() - call.startedAt;
    const bool isAnswered = attempts.last.outcome == TargetOutcome::Answered;
    if (isAnswered || attempts.fallback) {
        ResponseMessage answer = isAnswered ? std::move(attempts.last.answer) : std::move(attempts.fallback->answer);
        logAnswered(state, origin, attempts.tried.back(), answer.status, attempts.arrivals, taken);
        return answer;
    }
    const std::string reason = attempts.last.reason.empty() ? "no-target" : attempts.last.reason;
    if (!attempts.mayHaveRun) {
        return refuse(state, call, 503, reason.c_str(), overloadRetryAfter(state, *call.route));
    }
    const int status = attempts.last.outcome == TargetOutcome::TimedOut ? 504 : 502;
    logFailure(state, origin, status, reason, attempts.arrivals, taken);
    return makeRefusal(call, status, {});
}

} // namespace

auto serveCaller(SidecarState &state, RequestMessage &request, CancelSignal &cancel) -> std::optional<ResponseMessage>
{
    EntryCall call;
    call.startedAt = BootClock::now();
    state.lastRequestAt = call.startedAt;
    call.caller = readCallerFields(request.headers);
    if (auto refusal = admit(state, request, call)) {
        return refusal;
    }
    if (call.isInner) {
        const TimePoint theirs = call.caller.timeLeft ? call.startedAt + *call.caller.timeLeft : call.deadline;
        countCall(state.calls, workKindOf(*call.route), theirs);
    }
    const RequestOrigin origin{call.caller.requestId, call.route, call.team, call.service, call.policy->version};
    RoutedRequest routed = makeRouted(state, call, std::move(request));
    Attempts attempts;
    while (true) {
        PeerRow *const chosen = choosePeer(state.peers, state.placement, call.service, attempts.tried, state.random, BootClock::now());
        if (chosen == nullptr) {
            break;
        }
        const std::string address = chosen->address;
        attempts.tried.push_back(address);
        routed.instance = chosen->report->instance;
        routed.earlierArrivals = attempts.arrivals;
        attempts.last = runOnce(state, address, routed, cancel);
        if (cancel.isCancelled() || attempts.last.outcome == TargetOutcome::Cancelled) {
            logAbandoned(state, origin, address, BootClock::now() - call.startedAt);
            return std::nullopt;
        }
        if (judgeResult(state, call, origin, address, attempts) == NextStep::Finish) {
            break;
        }
    }
    return finish(state, call, origin, attempts);
}

} // namespace snipestream
