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
/// Deepest call chain; a longer one is most likely a loop between services.
constexpr int kMaxDepth = 64;
/// When callers may come back after early shedding; the level moves every 100 ms.
constexpr Duration kShedRetryAfter = milliseconds(500);

/// A request on its way through the entry node.
struct EntryRequest {
    RequestHead head;
    TimePoint deadline;
    AttemptBudget budget;
    /// Requests under a context are part of an original request that has paid already.
    bool isCharged = false;
    /// Came from a caller and not from a target that works on another request; only these count in the share report.
    bool isOriginal = false;
    /// From the caller's Snipestream-Attempt.
    uint32_t attemptNumber = 1;
    /// Set for non-idempotent routes.
    std::optional<AttemptState> trace;
};

auto refusal(RefusalReason reason, std::string detail, Duration retryAfter = {}) -> Refusal
{
    return Refusal{reason, RunState::NotRun, retryAfter, std::move(detail)};
}

/// Answers with the refusal, unless the caller has left.
void refuse(Exchange &exchange, const Refusal &refusal)
{
    if (!exchange.isCancelled()) {
        static_cast<void>(respondWithRefusal(exchange, refusal));
    }
}

/// Reads the time that the caller leaves; the limit of the settings if it names none.
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

/// Fills in what the route says. Returns a refusal if there is no route or the request does not fit it.
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
    AttemptState trace;
    trace.key = ClaimKey{request.head.team, std::string(*key)};
    trace.attempt = drawRequestId(state.random);
    request.trace = trace;
    return std::nullopt;
}

/// Prepares a request that came with a key or over an open route.
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
        request.isCharged = true;
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

/// Prepares a call that a target makes while it works on a request.
auto prepareContextRequest(NodeState &state, Exchange &exchange, EntryRequest &request, RequestContext &context) -> std::optional<Refusal>
{
    request.head = exchange.head;
    request.head.id = context.id;
    request.head.team = context.team;
    request.head.priority = context.priority;
    request.head.depth = context.depth;
    if (context.depth > kMaxDepth) {
        return refusal(RefusalReason::BadRequest, "the call chain is deeper than " + std::to_string(kMaxDepth));
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
    // What the call gets is taken from the context, so all calls of the tree together stay within the budget.
    AttemptBudget pool = receivedBudget(context.attemptsLeft);
    request.budget = AttemptBudget{takeCallShare(pool)};
    context.attemptsLeft = pool.left;
    const ServiceName key = upstreamKey(route.value()->service, route.value()->name);
    if (std::find(context.calledKeys.begin(), context.calledKeys.end(), key) == context.calledKeys.end()) {
        context.calledKeys.push_back(key);
    }
    return applyRoute(state, request, *route.value());
}

/// Counts how an original request ended.
void account(NodeState &state, const EntryRequest &request, const DispatchResult &result)
{
    if (!request.isOriginal) {
        return;
    }
    TeamRequestStats &share = state.requestStats.teams[request.head.team];
    if (result.refusal) {
        recordRefusal(state.requestStats, request.head.team, result.refusal->reason);
    }
    if (result.complete) {
        ++share.completed;
    } else if (result.run == RunState::Unknown) {
        ++share.wasted;
    }
}

/// Records how long an answered request took. The summaries are looked up once, since this runs for each request.
void observeRequestTime(NodeState &state, Priority priority, Duration took)
{
    Summary *&summary = state.requestTimes[static_cast<size_t>(priority)];
    if (summary == nullptr) {
        summary = &state.metrics.summary("snipestream_request_seconds", "Time from the head of a caller's request to the end of its answer",
                                         {{"priority", std::string(priorityName(priority))}});
    }
    summary->observe(std::chrono::duration<double>(took).count());
}

/// Takes a token for a charged request.
auto takeToken(NodeState &state, const EntryRequest &request) -> std::optional<Refusal>
{
    if (!request.isCharged) {
        return std::nullopt;
    }
    return acquireToken(state, request.head.team, request.deadline);
}

/// Runs an idempotent request.
auto runIdempotent(NodeState &state, Exchange &exchange, EntryRequest &request) -> std::optional<Refusal>
{
    const DispatchResult result = dispatchRequest(state, exchange, request.head, request.deadline, request.budget, 0);
    account(state, request, result);
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

/// Answers with the response that was recorded when the key ran first.
void replay(Exchange &exchange, const RecordedResponse &recorded)
{
    ResponseHead head;
    head.status = recorded.status;
    head.headers = recorded.headers;
    markAnswer(head.headers, exchange.head.id);
    head.headers.emplace_back("Snipestream-Replayed", "true");
    head.bodyLength = recorded.body.size();
    if (exchange.respond(head) && (recorded.body.empty() || exchange.responseBody.write(recorded.body))) {
        static_cast<void>(exchange.responseBody.finish());
    }
}

/// Answers the caller as the action says and reports the outcome to the claim's owner. The answer goes first: after a
/// release another attempt may run, and a refusal with not-run that is written later would be false.
void finishAction(NodeState &state, Exchange &exchange, const EntryRequest &request, const EntryAction &action)
{
    if (action.kind == EntryActionKind::RespondRecorded && action.recorded) {
        replay(exchange, *action.recorded);
    } else if (action.kind == EntryActionKind::Refuse && action.refusal && !exchange.isCancelled()) {
        static_cast<void>(respondWithRefusal(exchange, *action.refusal));
    }
    if (action.outcome) {
        reportToOwner(state, request.trace->key, request.trace->attempt, *action.outcome);
    }
}

/// Sends a claimed request to its target. The claim allows one run, so the attempts of dispatchRequest() are only those
/// that are proven not to have reached a target.
auto dispatchClaimed(NodeState &state, Exchange &exchange, EntryRequest &request) -> EntryAction
{
    AttemptState &trace = *request.trace;
    onDispatched(trace);
    const ClaimSettings limits;
    const DispatchResult result = dispatchRequest(state, exchange, request.head, request.deadline, request.budget, limits.maxRecordedBodyBytes);
    account(state, request, result);
    std::optional<RecordedResponse> response;
    if (result.complete && result.capturedWhole) {
        response = recordableResponse(RecordedResponse{result.head->status, result.head->headers, result.captured}, limits);
    }
    EntryAction action = onHomeReport(trace, homeReportOf(result), result.refusal, response);
    if (action.kind == EntryActionKind::Wait && result.refusal) {
        action = onLocalRefusal(trace, result.refusal->reason, result.refusal->retryAfter);
    }
    if (action.refusal && result.refusal) {
        action.refusal->detail = result.refusal->detail;
    }
    return action;
}

/// Runs a non-idempotent request under a claim of its idempotency key.
auto runClaimed(NodeState &state, Exchange &exchange, EntryRequest &request) -> std::optional<RefusalReason>
{
    AttemptState &trace = *request.trace;
    BeginRequest begin;
    begin.key = trace.key;
    begin.fingerprint = requestFingerprint(request.head.method, request.head.path, request.head.bodyLength);
    begin.attempt = trace.attempt;
    begin.attemptNumber = request.attemptNumber;
    begin.entryNode = state.settings.node;
    begin.timeLeft = request.deadline - BootClock::now();
    onClaimRequested(trace);
    const auto verdict = beginAtOwner(state, begin);
    EntryAction action = verdict ? onClaimDecision(trace, verdict.value()) : onClaimCallFailed(trace);
    if (action.kind == EntryActionKind::Dispatch) {
        if (exchange.isCancelled() || request.deadline <= BootClock::now()) {
            const auto reason = exchange.isCancelled() ? RefusalReason::Cancelled : RefusalReason::DeadlinePassed;
            action = onLocalRefusal(trace, reason, {});
        } else {
            action = dispatchClaimed(state, exchange, request);
        }
    }
    if (action.kind == EntryActionKind::RespondRecorded && request.isOriginal) {
        ++state.requestStats.teams[request.head.team].completed;
    }
    if (action.refusal && request.isOriginal && trace.step < AttemptStep::Dispatched) {
        recordRefusal(state.requestStats, request.head.team, action.refusal->reason);
    }
    finishAction(state, exchange, request, action);
    return action.refusal ? std::optional<RefusalReason>(action.refusal->reason) : std::nullopt;
}

/// Makes the refusal of a keyed request truthful for all attempts of the key, not only for this one.
auto truthful(NodeState &state, EntryRequest &request, const Refusal &refused) -> Refusal
{
    if (!request.trace) {
        return refused;
    }
    const PeekResult knowledge = peekAtOwner(state, request.trace->key, request.attemptNumber);
    const EntryAction action = onLocalRefusal(*request.trace, refused.reason, refused.retryAfter, knowledge);
    Refusal result = action.refusal.value_or(refused);
    result.detail = refused.detail;
    return result;
}

/// Runs the request once it is prepared. Returns why it was refused, if it was.
auto runRequest(NodeState &state, Exchange &exchange, EntryRequest &request) -> std::optional<RefusalReason>
{
    std::optional<Refusal> refused;
    if (request.deadline <= BootClock::now()) {
        refused = refusal(RefusalReason::DeadlinePassed, "the deadline passed before the request was sent on");
    } else if (shouldShedUpstream(state.admission.upstream, upstreamKey(request.head.service, request.head.route), request.head.priority, request.head.id,
                                  BootClock::now())) {
        // Checked before the token, which the request would pay for nothing.
        refused = refusal(RefusalReason::Overloaded, request.head.service.value + " sheds requests of this priority", kShedRetryAfter);
    } else {
        refused = takeToken(state, request);
    }
    if (refused) {
        if (request.isOriginal) {
            recordRefusal(state.requestStats, request.head.team, refused->reason);
        }
        refuse(exchange, truthful(state, request, *refused));
        return refused->reason;
    }
    stripPrivateHeaders(request.head.headers);
    removeHeader(request.head.headers, kAuthorizationHeader);
    if (request.isOriginal) {
        ++state.requestStats.teams[request.head.team].admitted;
    }
    if (request.trace) {
        return runClaimed(state, exchange, request);
    }
    if (const auto notAnswered = runIdempotent(state, exchange, request)) {
        refuse(exchange, *notAnswered);
        return notAnswered->reason;
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
        // Without the team nothing is known about earlier attempts of the idempotency key.
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
    // The context may have ended while the call ran.
    RequestContext *const current = findContext(state.contexts, *handle, BootClock::now());
    if (current != nullptr && outcome && (*outcome == RefusalReason::Overloaded || *outcome == RefusalReason::QueueTimeout)) {
        current->overloadedBelow = true;
    }
}

} // namespace snipestream
