#include "node/entry.h"

#include "config/keys.h"
#include "http/http_server.h"
#include "idempotency/attempt_state.h"
#include "node/claim_service.h"
#include "node/dispatch.h"
#include "node/private_headers.h"
#include "node/quota_service.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace snipestream
{

namespace
{

constexpr const char *kAuthorizationHeader = "Authorization";
constexpr const char *kIdempotencyHeader = "Idempotency-Key";
constexpr const char *kAttemptHeader = "Snipestream-Attempt";
/// Maximum depth of nested calls. A deeper chain is most likely a loop between services.
constexpr int kMaxCallDepth = 64;
/// Retry-After of requests that are shed at the entry node. The shedding level is updated every 100 ms.
constexpr Duration kShedRetryAfter = milliseconds(500);

/// State of a request while the entry node handles it.
struct EntryRequest {
    RequestHead head;
    TimePoint deadline;
    AttemptBudget budget;
    /// Whether the request takes a token of its team's quota. Nested calls do not, since their original request has taken
    /// one, nor do requests that match an open route.
    bool needsToken = false;
    /// Whether the request comes from a caller and is not a nested call. Only original requests count in the request
    /// statistics.
    bool isOriginal = false;
    /// From the caller's Snipestream-Attempt header, counted from 1.
    uint32_t attemptNumber = 1;
    /// Claim and progress of the attempt; set for non-idempotent routes only.
    std::optional<AttemptState> attemptState;
};

auto refusal(RefusalReason reason, std::string detail, Duration retryAfter = {}) -> Refusal
{
    return Refusal{reason, RunState::NotRun, retryAfter, std::move(detail)};
}

/// Responds with the refusal unless the caller has left.
void refuse(Exchange &exchange, const Refusal &refusal)
{
    if (!exchange.isCancelled()) {
        static_cast<void>(respondWithRefusal(exchange, refusal));
    }
}

/// Returns the time left to the caller's deadline, capped by `limit`; `limit` if the request has no timeout header. Fails
/// unless the header holds 0 to 86,400,000 ms (one day).
auto timeLeftOf(const RequestHead &head, Duration limit) -> Result<Duration>
{
    const auto text = findHeader(head.headers, kTimeoutHeader);
    if (!text) {
        return limit;
    }
    int64_t value = 0;
    const auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), value);
    if (error != std::errc() || end != text->data() + text->size() || value < 0 || value > 86'400'000) {
        return failure(ErrorCode::InvalidInput, std::string(kTimeoutHeader) + " '" + std::string(*text) + "' is not a time in milliseconds");
    }
    return std::min(limit, Duration(milliseconds(value)));
}

auto authenticationRefusal(const Error &error, bool isMissing) -> Refusal
{
    if (isMissing) {
        return refusal(RefusalReason::MissingKey, "send the team's key as 'Authorization: Bearer <key id>.<secret>'");
    }
    if (error.code == ErrorCode::Expired) {
        return refusal(RefusalReason::WithdrawnKey, error.message);
    }
    return refusal(RefusalReason::UnknownKey, error.message);
}

/// Fills in the fields that the route defines. Returns a refusal if the route needs an Idempotency-Key and the request
/// has no valid one, or if its attempt number is invalid.
auto applyRoute(NodeState &state, EntryRequest &request, const RouteRule &route) -> std::optional<Refusal>
{
    request.head.route = route.name;
    request.head.service = route.service;
    request.head.idempotent = route.idempotent;
    const auto key = findHeader(request.head.headers, kIdempotencyHeader);
    if (route.idempotent) {
        return std::nullopt;
    }
    if (!key || key->empty() || key->size() > kMaxIdempotencyKeyBytes) {
        return refusal(RefusalReason::MissingIdempotencyKey, "route " + route.name.value + " needs an Idempotency-Key of 1 to 255 bytes");
    }
    if (const auto attempt = findHeader(request.head.headers, kAttemptHeader)) {
        const auto [end, error] = std::from_chars(attempt->data(), attempt->data() + attempt->size(), request.attemptNumber);
        if (error != std::errc() || end != attempt->data() + attempt->size() || request.attemptNumber == 0) {
            return refusal(RefusalReason::BadRequest, std::string(kAttemptHeader) + " is not a number from 1 on");
        }
    }
    AttemptState attemptState;
    attemptState.key = ClaimKey{request.head.team, std::string(*key)};
    attemptState.attempt = drawRequestId(state.random);
    request.attemptState = attemptState;
    return std::nullopt;
}

/// Routes and authenticates the request of a caller. Returns a refusal if it cannot be accepted.
auto prepareCallerRequest(NodeState &state, Exchange &exchange, EntryRequest &request) -> std::optional<Refusal>
{
    request.head = exchange.head;
    request.isOriginal = true;
    const auto route = matchRoute(state.fold.state, request.head.method, request.head.path);
    if (!route) {
        const bool isBad = route.error().code == ErrorCode::InvalidInput;
        return refusal(isBad ? RefusalReason::BadRequest : RefusalReason::NoRoute, route.error().message);
    }
    const RouteRule &rule = *route.value();
    if (!rule.open) {
        const auto header = findHeader(request.head.headers, kAuthorizationHeader);
        const auto team = authenticate(state.fold.state, state.fold.keyCache, header.value_or(""));
        if (!team) {
            return authenticationRefusal(team.error(), !header);
        }
        request.head.team = team.value();
        request.needsToken = true;
    }
    const auto timeLeft = timeLeftOf(request.head, state.settings.timeouts.request);
    if (!timeLeft) {
        return refusal(RefusalReason::BadRequest, timeLeft.error().message);
    }
    request.deadline = BootClock::now() + timeLeft.value();
    request.budget = receivedBudget(kMaxRetriesPerRequest);
    request.head.priority = rule.priority;
    request.head.depth = 0;
    return applyRoute(state, request, rule);
}

/// Routes a nested call and fills in what it inherits from the request context. Returns a refusal if it cannot be
/// accepted.
auto prepareContextRequest(NodeState &state, Exchange &exchange, EntryRequest &request, RequestContext &context) -> std::optional<Refusal>
{
    request.head = exchange.head;
    request.head.id = context.id;
    request.head.team = context.team;
    request.head.priority = context.priority;
    request.head.depth = context.depth;
    if (context.depth > kMaxCallDepth) {
        return refusal(RefusalReason::BadRequest, "the call chain is deeper than " + std::to_string(kMaxCallDepth));
    }
    const auto route = matchRoute(state.fold.state, request.head.method, request.head.path);
    if (!route) {
        return refusal(RefusalReason::NoRoute, route.error().message);
    }
    if (!route.value()->open && context.team.empty()) {
        return refusal(RefusalReason::MissingKey, "the original request came without a key");
    }
    const auto timeLeft = timeLeftOf(request.head, context.deadline - BootClock::now());
    if (!timeLeft) {
        return refusal(RefusalReason::BadRequest, timeLeft.error().message);
    }
    request.deadline = BootClock::now() + timeLeft.value();
    // The attempts of the call are deducted from the context, so all nested calls together stay within the budget of the
    // original request.
    AttemptBudget pool = receivedBudget(context.attemptsLeft);
    request.budget = AttemptBudget{takeCallShare(pool)};
    context.attemptsLeft = pool.left;
    const ServiceName key = upstreamKey(route.value()->service, route.value()->name);
    if (std::find(context.calledKeys.begin(), context.calledKeys.end(), key) == context.calledKeys.end()) {
        context.calledKeys.push_back(key);
    }
    return applyRoute(state, request, *route.value());
}

/// Counts the result of an original request in the request statistics.
void countResult(NodeState &state, const EntryRequest &request, const DispatchResult &result)
{
    if (!request.isOriginal) {
        return;
    }
    TeamRequestStats &stats = state.requestStats.teams[request.head.team];
    if (result.refusal) {
        recordRefusal(state.requestStats, request.head.team, result.refusal->reason);
    }
    if (result.complete) {
        ++stats.completed;
    } else if (result.run == RunState::Unknown) {
        ++stats.wasted;
    }
}

/// Records the duration of an answered request in the metrics. The summary of each priority is looked up once and cached,
/// since this runs for each request.
void observeRequestTime(NodeState &state, Priority priority, Duration duration)
{
    Summary *&summary = state.requestTimes[static_cast<size_t>(priority)];
    if (summary == nullptr) {
        summary = &state.metrics.summary("snipestream_request_seconds", "Time from the head of a caller's request to the end of its answer",
                                         {{"priority", std::string(priorityName(priority))}});
    }
    summary->observe(std::chrono::duration<double>(duration).count());
}

/// Takes a token of the team's quota if the request needs one. Returns a refusal if none is granted.
auto takeToken(NodeState &state, const EntryRequest &request) -> std::optional<Refusal>
{
    if (!request.needsToken) {
        return std::nullopt;
    }
    return acquireToken(state, request.head.team, request.deadline);
}

/// Runs an idempotent request. Returns a refusal if no response was passed on.
auto runIdempotent(NodeState &state, Exchange &exchange, EntryRequest &request) -> std::optional<Refusal>
{
    const DispatchResult result = dispatchRequest(state, exchange, request.head, request.deadline, request.budget, 0);
    countResult(state, request, result);
    return result.refusal;
}

auto homeReportOf(const DispatchResult &result) -> HomeReport
{
    if (result.complete) {
        return HomeReport::Answered;
    }
    if (result.head) {
        return HomeReport::ResponseCut;
    }
    return result.run == RunState::NotRun ? HomeReport::RefusedNotRun : HomeReport::RefusedUnknown;
}

/// Responds with the response that was recorded when a request with the same idempotency key ran.
void sendRecordedResponse(Exchange &exchange, const RecordedResponse &recorded)
{
    ResponseHead head;
    head.status = recorded.status;
    head.headers = recorded.headers;
    prepareResponseHeaders(head.headers, exchange.head.id);
    head.headers.emplace_back("Snipestream-Replayed", "true");
    head.bodyLength = recorded.body.size();
    if (exchange.respond(head) && (recorded.body.empty() || exchange.responseBody.write(recorded.body))) {
        static_cast<void>(exchange.responseBody.finish());
    }
}

/// Responds to the caller and then reports the outcome to the claim's owner. The response has to be sent first: once the
/// claim is released, another attempt may run, and a refusal with not-run that is written after that would be false.
void applyEntryAction(NodeState &state, Exchange &exchange, const EntryRequest &request, const EntryAction &action)
{
    if (action.kind == EntryActionKind::RespondRecorded && action.recorded) {
        sendRecordedResponse(exchange, *action.recorded);
    } else if (action.kind == EntryActionKind::Refuse && action.refusal && !exchange.isCancelled()) {
        static_cast<void>(respondWithRefusal(exchange, *action.refusal));
    }
    if (action.outcome) {
        reportToOwner(state, request.attemptState->key, request.attemptState->attempt, *action.outcome);
    }
}

/// Sends a claimed request to its target. The claim allows one run only, so dispatchRequest() retries only attempts that
/// have certainly not reached a target.
auto dispatchClaimed(NodeState &state, Exchange &exchange, EntryRequest &request) -> EntryAction
{
    AttemptState &attemptState = *request.attemptState;
    onDispatched(attemptState);
    const ClaimSettings limits;
    const DispatchResult result = dispatchRequest(state, exchange, request.head, request.deadline, request.budget, limits.maxRecordedBodyBytes);
    countResult(state, request, result);
    std::optional<RecordedResponse> response;
    if (result.complete && result.capturedWhole) {
        response = recordableResponse(RecordedResponse{result.head->status, result.head->headers, result.captured}, limits);
    }
    EntryAction action = onHomeReport(attemptState, homeReportOf(result), result.refusal, response);
    if (action.kind == EntryActionKind::Wait && result.refusal) {
        action = onLocalRefusal(attemptState, result.refusal->reason, result.refusal->retryAfter);
    }
    if (action.refusal && result.refusal) {
        action.refusal->detail = result.refusal->detail;
    }
    return action;
}

/// Runs a non-idempotent request under a claim of its idempotency key.
auto runClaimed(NodeState &state, Exchange &exchange, EntryRequest &request) -> std::optional<RefusalReason>
{
    AttemptState &attemptState = *request.attemptState;
    BeginRequest beginRequest;
    beginRequest.key = attemptState.key;
    beginRequest.fingerprint = requestFingerprint(request.head.method, request.head.path, request.head.bodyLength);
    beginRequest.attempt = attemptState.attempt;
    beginRequest.attemptNumber = request.attemptNumber;
    beginRequest.entryNode = state.settings.node;
    beginRequest.timeLeft = request.deadline - BootClock::now();
    onClaimRequested(attemptState);
    const auto decision = beginAtOwner(state, beginRequest);
    EntryAction action = decision ? onClaimDecision(attemptState, decision.value()) : onClaimCallFailed(attemptState);
    if (action.kind == EntryActionKind::Dispatch) {
        if (exchange.isCancelled() || request.deadline <= BootClock::now()) {
            const auto reason = exchange.isCancelled() ? RefusalReason::Cancelled : RefusalReason::DeadlinePassed;
            action = onLocalRefusal(attemptState, reason, {});
        } else {
            action = dispatchClaimed(state, exchange, request);
        }
    }
    if (action.kind == EntryActionKind::RespondRecorded && request.isOriginal) {
        ++state.requestStats.teams[request.head.team].completed;
    }
    if (action.refusal && request.isOriginal && attemptState.step < AttemptStep::Dispatched) {
        recordRefusal(state.requestStats, request.head.team, action.refusal->reason);
    }
    applyEntryAction(state, exchange, request, action);
    return action.refusal ? std::optional<RefusalReason>(action.refusal->reason) : std::nullopt;
}

/// Asks the claim's owner about the other attempts of the idempotency key, so that the run state of the refusal is true
/// for all of them and not only for this attempt.
auto adjustRunState(NodeState &state, EntryRequest &request, const Refusal &refused) -> Refusal
{
    if (!request.attemptState) {
        return refused;
    }
    const PeekResult peekResult = peekAtOwner(state, request.attemptState->key, request.attemptNumber);
    const EntryAction action = onLocalRefusal(*request.attemptState, refused.reason, refused.retryAfter, peekResult);
    Refusal result = action.refusal.value_or(refused);
    result.detail = refused.detail;
    return result;
}

/// Runs a prepared request and responds to it. Returns the reason if it was refused.
auto runRequest(NodeState &state, Exchange &exchange, EntryRequest &request) -> std::optional<RefusalReason>
{
    std::optional<Refusal> refused;
    if (request.deadline <= BootClock::now()) {
        refused = refusal(RefusalReason::DeadlinePassed, "the deadline passed before the request was sent on");
    } else if (shouldShedUpstream(state.admission.upstream, upstreamKey(request.head.service, request.head.route), request.head.priority, request.head.id,
                                  BootClock::now())) {
        // Checked before a token is taken, so that a request that is shed does not use up the team's quota.
        refused = refusal(RefusalReason::Overloaded, request.head.service.value + " sheds requests of this priority", kShedRetryAfter);
    } else {
        refused = takeToken(state, request);
    }
    if (refused) {
        if (request.isOriginal) {
            recordRefusal(state.requestStats, request.head.team, refused->reason);
        }
        refuse(exchange, adjustRunState(state, request, *refused));
        return refused->reason;
    }
    stripPrivateHeaders(request.head.headers);
    removeHeader(request.head.headers, kAuthorizationHeader);
    if (request.isOriginal) {
        ++state.requestStats.teams[request.head.team].admitted;
    }
    if (request.attemptState) {
        return runClaimed(state, exchange, request);
    }
    if (const auto runRefusal = runIdempotent(state, exchange, request)) {
        refuse(exchange, *runRefusal);
        return runRefusal->reason;
    }
    return std::nullopt;
}

} // namespace

void serveCaller(NodeState &state, Exchange &exchange)
{
    const TimePoint start = BootClock::now();
    exchange.head.id = drawRequestId(state.random);
    EntryRequest request;
    if (auto refused = prepareCallerRequest(state, exchange, request)) {
        recordRefusal(state.requestStats, request.head.team, refused->reason);
        // A claim is found by team and idempotency key, so without the team earlier attempts of the key are unknown.
        if (findHeader(exchange.head.headers, kIdempotencyHeader)) {
            refused->run = RunState::Unknown;
        }
        refuse(exchange, *refused);
        return;
    }
    if (!runRequest(state, exchange, request)) {
        observeRequestTime(state, request.head.priority, BootClock::now() - start);
    }
}

void serveTargetCall(NodeState &state, Exchange &exchange)
{
    const auto handle = findHeader(exchange.head.headers, kContextHeader);
    if (!handle) {
        serveCaller(state, exchange);
        return;
    }
    RequestContext *const context = findContext(state.contexts, *handle, BootClock::now());
    if (context == nullptr) {
        exchange.head.id = drawRequestId(state.random);
        refuse(exchange, refusal(RefusalReason::UnknownContext, "no request with this context is running here"));
        return;
    }
    exchange.head.id = context->id;
    EntryRequest request;
    if (const auto refused = prepareContextRequest(state, exchange, request, *context)) {
        refuse(exchange, *refused);
        return;
    }
    const auto outcome = runRequest(state, exchange, request);
    // The context may have been closed while the call ran, so it is looked up again.
    RequestContext *const current = findContext(state.contexts, *handle, BootClock::now());
    if (current != nullptr && outcome && (*outcome == RefusalReason::Overloaded || *outcome == RefusalReason::QueueTimeout)) {
        current->overloadedUpstream = true;
    }
}

} // namespace snipestream
