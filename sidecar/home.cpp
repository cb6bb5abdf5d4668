#include "sidecar/home.h"

#include "core/events.h"
#include "platform/request_fields.h"

#include <algorithm>

namespace snipestream
{

namespace
{

/// Time after the deadline within which the response of the target may still arrive while the node stops. It is shorter than
/// the time from that deadline to the final responses.
constexpr Duration kResponseSlackAtStop = milliseconds(40);

auto notRun(std::string reason, bool reachedTarget) -> TargetResult
{
    TargetResult result;
    result.outcome = TargetOutcome::NotRun;
    result.reachedTarget = reachedTarget;
    result.reason = std::move(reason);
    return result;
}

/// Waits for a slot. Returns an empty string if the request occupies one now, and otherwise the reason for the refusal.
auto acquireSlot(SidecarState &state, const RoutedRequest &request, CancelSignal &cancel) -> std::string
{
    LimiterRequest limiterRequest;
    // All requests have the same rank, so the queue is ordered by the time at which a response loses its value. The entry
    // nodes have already refused less important requests; if nested calls had priority, their steady stream would make the
    // requests that the entry nodes admitted wait until their deadline.
    limiterRequest.targetLatency = request.targetLatency;
    limiterRequest.deadline = request.deadline;
    limiterRequest.isNested = request.isNested;
    limiterRequest.workKind = request.workKind;
    const LimiterResult result = offerRequest(state.limiter, limiterRequest, BootClock::now());
    if (result.decision == LimiterDecision::Admitted) {
        return {};
    }
    if (result.decision == LimiterDecision::Refused) {
        return "queue-too-long";
    }
    LimiterWait wait;
    state.limiterWaits[result.id] = &wait;
    cancel.onCancel([&state, &wait, id = result.id] {
        if (cancelQueued(state.limiter, id)) {
            wait.decided = true;
            wait.event.notify();
        }
    });
    while (!wait.decided) {
        wait.event.wait();
    }
    cancel.clear();
    state.limiterWaits.erase(result.id);
    if (wait.admitted) {
        return {};
    }
    return cancel.isCancelled() ? "caller-left" : "waited-too-long";
}

/// Derives the outcome of the request from the response of the target.
auto classifyResponse(const RoutedRequest &request, CallResult call) -> TargetResult
{
    ResponseMessage response = std::move(call.response);
    const TargetResponseFields fields = readTargetResponse(response.status, response.headers);
    TargetResult result;
    result.reachedTarget = true;
    if (!fields.requestId.empty() && fields.requestId != request.requestId) {
        result.outcome = TargetOutcome::Unknown;
        result.reason = "answer-of-another-request";
        return result;
    }
    const bool success = response.status / 100 == 2;
    if (fields.requestId.empty() && call.reusedConnection && (fields.notExecuted || success)) {
        // It may be a second copy of the response to an earlier request, whose own response has yet to come.
        result.outcome = TargetOutcome::Unknown;
        result.reason = "answer-without-id";
        return result;
    }
    if (fields.notExecuted) {
        result.outcome = TargetOutcome::NotRun;
        result.reason = "target-answered-" + std::to_string(response.status);
        return result;
    }
    if (success && (!fields.isSigned || fields.isEncoded)) {
        result.outcome = TargetOutcome::Unknown;
        result.reason = fields.isEncoded ? "encoded-answer" : "unsigned-answer";
        return result;
    }
    // To a caller these statuses mean that the request has not run. That is unknown if the response has neither a signature
    // nor the field above that says so.
    if (!fields.isSigned && (response.status == 429 || response.status == 503 || response.status == 408)) {
        result.outcome = TargetOutcome::Unknown;
        result.reason = "unsigned-" + std::to_string(response.status);
        return result;
    }
    result.outcome = TargetOutcome::Answered;
    result.response = std::move(response);
    return result;
}

/// Returns whether a request that has already reached another target may be retried at the target on this VM. All retries
/// to a service pass through the nodes beside its targets, so each of these nodes allows its share of the service's retries.
auto mayRetryAtTarget(SidecarState &state, const RoutedRequest &request, TimePoint now) -> bool
{
    /// Fractions of the allowed ratio that are used at a service that makes no calls and at one that does. The nested calls
    /// of a retried request count as retries again at the called services, so services that make calls use less.
    constexpr double kLeafFraction = 0.6;
    constexpr double kCallingServiceFraction = 0.1;
    /// Fraction of that ratio that nested calls may use. A caller's request needs one retry, while a request that makes many
    /// calls needs many retries.
    constexpr double kNestedCallFraction = 0.5;
    /// Fraction of the absolute allowance that all targets of a service share.
    constexpr double kSlackFraction = 0.3;
    const auto members = state.peers.members.find(state.settings.service);
    const size_t targets = members == state.peers.members.end() ? 1 : members->second.size();
    const bool isLeaf = !makesCalls(state.callPattern);
    const double fraction = (isLeaf ? kLeafFraction : kCallingServiceFraction) * (request.isNested ? kNestedCallFraction : 1);
    state.retryRatio.settings.ratio = state.settings.retryRatio * fraction;
    state.retryRatio.settings.minRetries =
        static_cast<int>(state.settings.retrySlack * kSlackFraction * fraction / static_cast<double>(std::max<size_t>(targets, 1)));
    return allowsRetry(state.retryRatio, now);
}

/// A target whose connection breaks, or that is silent and announces nothing, may have started again and be cold.
void noteBrokenCall(SidecarState &state, CallStatus status)
{
    /// Targets announce themselves more often than this.
    constexpr Duration kAnnouncementOverdue = seconds(2);
    const TimePoint now = BootClock::now();
    const bool isSilent = status == CallStatus::TimedOut && now - state.target.lastAnnouncementAt > kAnnouncementOverdue;
    if (status == CallStatus::Broken || isSilent) {
        suspectCold(state.coldRate, now);
    }
}

auto callTarget(SidecarState &state, RoutedRequest &request, CancelSignal &cancel) -> TargetResult
{
    // The stop may have begun while the request waited for a slot.
    const TimePoint deadline = deadlineWithin(state.stop, state.stopSettings, request.deadline);
    const TimePoint responseDeadline = isStopping(state.stop) ? deadline + kResponseSlackAtStop : deadline;
    // The body is lent to the call, since it may be large, and the request may be sent to another target afterwards.
    std::string body = std::move(request.message.body);
    RequestMessage message = request.message;
    message.body = std::move(body);
    setTargetFields(message.headers, {request.target.instance, deadline - BootClock::now(), request.team, request.callerService});
    const RunId run = beginRun(state.callPattern, request.workKind, deadline);
    CallResult callResult = state.targetPool.call(state.target.latest->endpoint, message, cancel, responseDeadline);
    request.message.body = std::move(message.body);
    const bool succeeded = callResult.status == CallStatus::Answered && callResult.response.status / 100 == 2;
    endRun(state.callPattern, run, succeeded, BootClock::now());
    TargetResult result;
    if (callResult.status == CallStatus::Answered) {
        const auto reported = readTargetResponse(callResult.response.status, callResult.response.headers).load;
        observePace(state.pace, reported ? reported->pace : 0, BootClock::now());
        result = classifyResponse(request, std::move(callResult));
        if (result.outcome == TargetOutcome::Unknown) {
            logEvent(EventId::TargetResponseInvalid, {{"request", request.requestId}, {"instance", request.target.instance}, {"reason", result.reason}});
            // Later responses on these connections may belong to other requests as well.
            state.targetPool.closeIdle(state.settings.target);
        }
        return result;
    }
    if (callResult.status == CallStatus::NotSent) {
        if (!state.target.unreachable && request.target == localTarget(state)) {
            logEvent(EventId::TargetUnreachable, {{"instance", request.target.instance}, {"detail", callResult.detail}});
            state.target.unreachable = true;
            suspectCold(state.coldRate, BootClock::now());
            state.reportDue = true;
        }
        return notRun("target-unreachable", false);
    }
    noteBrokenCall(state, callResult.status);
    result.outcome = outcomeOf(callResult.status);
    result.reachedTarget = true;
    result.reason = std::string(callStatusName(callResult.status)) + (callResult.detail.empty() ? "" : ": " + callResult.detail);
    return result;
}

/// Learns from a run of a kind that makes no calls how the target takes its present concurrency.
void learnFromRun(SidecarState &state, const RoutedRequest &request, const TargetResult &result, const MeasuredRun &run)
{
    const double pace = paceAt(state.pace, BootClock::now());
    const bool isWork = result.outcome == TargetOutcome::Answered && result.response.status / 100 == 2;
    const auto kind = state.callPattern.kinds.find(request.workKind);
    const bool isLeaf = kind == state.callPattern.kinds.end() || kind->second.calls.empty();
    if (pace > 0 && isWork && isLeaf) {
        MeasuredRun atUsualPace = run;
        atUsualPace.inSeconds /= pace;
        observeRun(state.learnedLimit, state.limiter.slots, atUsualPace);
    }
}

/// Logs that a request was sent here for another target than the local one, or for an earlier start of it.
void logOtherTarget(const SidecarState &state, const RoutedRequest &request)
{
    const TargetId local = localTarget(state);
    logEvent(EventId::RequestForOtherTarget,
             {{"request", request.requestId},
              {"from", request.sender},
              {"service", request.target.service.value},
              {"instance", request.target.instance},
              {"start", std::to_string(request.target.startedAtMs)},
              {"own-service", local.service.value},
              {"own-instance", local.instance},
              {"own-start", std::to_string(local.startedAtMs)}});
}

/// Returns why the local target must not run the request now, or an empty string. Only this node knows which target is beside
/// it; what other nodes know of its address may be about an earlier VM or an earlier start.
auto refusalOf(const SidecarState &state, const RoutedRequest &request) -> std::string
{
    if (isEvacuated(state)) {
        return "domain-evacuated";
    }
    if (!isTargetServing(state)) {
        return "target-not-serving";
    }
    if (request.target != localTarget(state)) {
        logOtherTarget(state, request);
        return kOtherTargetReason;
    }
    return {};
}

} // namespace

auto outcomeOf(CallStatus status) -> TargetOutcome
{
    switch (status) {
    case CallStatus::Answered:
        return TargetOutcome::Answered;
    case CallStatus::NotSent:
        return TargetOutcome::NotRun;
    case CallStatus::Broken:
    case CallStatus::Malformed:
    case CallStatus::TooLarge:
        return TargetOutcome::Unknown;
    case CallStatus::TimedOut:
        return TargetOutcome::TimedOut;
    case CallStatus::Cancelled:
        return TargetOutcome::Cancelled;
    }
    return TargetOutcome::Unknown;
}

auto mayHaveRun(TargetOutcome outcome) -> bool
{
    return outcome != TargetOutcome::NotRun;
}

auto targetOutcomeName(TargetOutcome outcome) -> const char *
{
    switch (outcome) {
    case TargetOutcome::Answered:
        return "answered";
    case TargetOutcome::NotRun:
        return "not-run";
    case TargetOutcome::Unknown:
        return "unknown";
    case TargetOutcome::TimedOut:
        return "timed-out";
    case TargetOutcome::Cancelled:
        return "cancelled";
    }
    return "unknown";
}

auto runAtTarget(SidecarState &state, RoutedRequest &request, CancelSignal &cancel) -> TargetResult
{
    const TimePoint arrivedAt = BootClock::now();
    const std::string refusalBeforeQueue = refusalOf(state, request);
    if (!refusalBeforeQueue.empty()) {
        return notRun(refusalBeforeQueue, false);
    }
    if (request.previousAttempts == 0) {
        countFirstAttempt(state.retryRatio, arrivedAt);
    } else if (!mayRetryAtTarget(state, request, arrivedAt)) {
        return notRun("retry-budget-spent", false);
    }
    const std::string refusalReason = acquireSlot(state, request, cancel);
    TargetResult result;
    if (!refusalReason.empty()) {
        result = notRun(refusalReason, false);
        result.outcome = cancel.isCancelled() ? TargetOutcome::Cancelled : TargetOutcome::NotRun;
        result.load = localLoad(state);
        return result;
    }
    const TimePoint startedAt = BootClock::now();
    Duration service{};
    if (cancel.isCancelled()) {
        result.outcome = TargetOutcome::Cancelled;
    } else if (const std::string reason = refusalOf(state, request); !reason.empty()) {
        result = notRun(reason, false);
    } else if (!takeColdToken(state.coldRate, coldRatePerSecond(state), startedAt)) {
        result = notRun("target-cold", false);
    } else {
        if (request.previousAttempts > 0) {
            countRetry(state.retryRatio, startedAt);
        }
        MeasuredRun run{request.workKind, 0, startedAt, state.limiter.running};
        result = callTarget(state, request, cancel);
        run.inSeconds = std::chrono::duration<double>(BootClock::now() - startedAt).count();
        learnFromRun(state, request, result, run);
        const bool isMeasured = result.outcome == TargetOutcome::Answered || result.outcome == TargetOutcome::TimedOut;
        service = isMeasured ? BootClock::now() - startedAt : Duration::zero();
    }
    releaseSlot(state.limiter, request.workKind, service);
    advanceLimiter(state, BootClock::now());
    result.load = localLoad(state);
    return result;
}

auto refuseBeforeTarget(const SidecarState &state, const char *reason) -> TargetResult
{
    TargetResult result = notRun(reason, false);
    result.load = localLoad(state);
    return result;
}

auto concludeAtStop(SidecarState &state, const ConcludedRequest &request, TargetResult cancelled) -> TargetResult
{
    cancelled.outcome = cancelled.reachedTarget ? TargetOutcome::Unknown : TargetOutcome::NotRun;
    cancelled.reason = "node-stopping";
    if (cancelled.reachedTarget) {
        ++state.requestsCutByStop;
        const auto toMs = [](Duration duration) {
            return std::to_string(duration_cast<milliseconds>(duration).count());
        };
        logEvent(EventId::RequestCutAtStop,
                 {{"request", request.requestId},
                  {"read-ms-after-stop", toMs(request.startedAt - state.stop.requestedAt)},
                  {"left-ms", toMs(request.senderDeadline - BootClock::now())},
                  {"nested", request.isNested ? "1" : "0"}});
    }
    return cancelled;
}

namespace
{

/// Wakes the fiber of a queued request that is not admitted.
void wakeRefusedRequest(SidecarState &state, LimiterRequestId id)
{
    const auto found = state.limiterWaits.find(id);
    if (found != state.limiterWaits.end()) {
        found->second->decided = true;
        found->second->event.notify();
    }
}

} // namespace

void expireQueuedRequests(SidecarState &state, TimePoint now)
{
    for (const LimiterRequestId id : expireQueued(state.limiter, now)) {
        wakeRefusedRequest(state, id);
    }
}

void updateLearnedLimit(SidecarState &state, TimePoint now)
{
    if (paceAt(state.pace, now) == 0) {
        return;
    }
    const int before = state.limiter.limit;
    setUtilization(state.limiter, learnedFraction(state.learnedLimit, !state.limiter.queue.empty(), now));
    if (state.limiter.limit == before) {
        return;
    }
    auto &metrics = state.metrics;
    metrics.gauge("snipestream_learned_limit", "Requests that the local target takes well at once").set(state.limiter.limit);
    logEvent(EventId::LimitLearned,
             {{"limit", std::to_string(state.limiter.limit)},
              {"slots", std::to_string(state.limiter.slots)},
              {"trial", state.learnedLimit.tried == state.learnedLimit.level ? "0" : "1"},
              {"relative-duration", std::to_string(state.learnedLimit.current.mean)},
              {"pace", std::to_string(paceAt(state.pace, now))}});
}

void advanceLimiter(SidecarState &state, TimePoint now)
{
    for (const LimiterDequeueResult &decision : dequeueRequests(state.limiter, now)) {
        const auto found = state.limiterWaits.find(decision.id);
        if (found == state.limiterWaits.end()) {
            // Every queued request should have a fiber. A slot that was given to a request without one would never be freed.
            releaseSlot(state.limiter, 0, Duration::zero());
            continue;
        }
        found->second->decided = true;
        found->second->admitted = decision.start;
        found->second->event.notify();
    }
}

void drainLimiterQueue(SidecarState &state)
{
    while (!state.limiter.queue.empty()) {
        const LimiterRequestId id = state.limiter.queue.begin()->second.id;
        cancelQueued(state.limiter, id);
        wakeRefusedRequest(state, id);
    }
}

} // namespace snipestream
