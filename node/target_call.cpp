#include "node/target_call.h"

#include "node/forward.h"
#include "node/private_headers.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace snipestream
{

namespace
{

/// A request that occupies a slot of a local target. It ends once, with an outcome or as cancelled by the destructor.
struct TargetRun {
    TargetRun(NodeState &stateUsed, AdmissionId admissionIdUsed, std::string handleUsed)
        : state(stateUsed)
        , admissionId(admissionIdUsed)
        , handle(std::move(handleUsed))
    {
    }
    ~TargetRun()
    {
        end(RunOutcome::Cancelled);
    }
    TargetRun(const TargetRun &) = delete;
    auto operator=(const TargetRun &) -> TargetRun & = delete;

    void end(RunOutcome outcome)
    {
        if (ended) {
            return;
        }
        ended = true;
        if (outcome == RunOutcome::Answered && serviceTime != nullptr) {
            serviceTime->observe(std::chrono::duration<double>(BootClock::now() - startedAt).count());
        }
        closeContext(state.contexts, handle);
        applyDequeueResults(state, complete(state.admission, admissionId, outcome, BootClock::now()));
    }

    void fail(const Error &error)
    {
        const bool timedOut = error.code == ErrorCode::Timeout;
        const bool cancelled = error.code == ErrorCode::Cancelled;
        end(timedOut ? RunOutcome::TimedOut : cancelled ? RunOutcome::Cancelled : RunOutcome::Failed);
    }

    NodeState &state;
    AdmissionId admissionId;
    std::string handle;
    TimePoint startedAt = BootClock::now();
    /// Owned by the node's metrics registry, which outlives the run. Null until the target's connections were looked up.
    Summary *serviceTime = nullptr;
    bool ended = false;
};

/// Adds to a response what it reports to other nodes: the shedding level, and whether a server error was caused by an
/// overload further upstream.
void annotateHead(ResponseHead &head, const TargetRun &run, const TargetName &target)
{
    const TimePoint now = BootClock::now();
    const auto row = run.state.contexts.rows.find(run.handle);
    const auto status = admissionStatus(run.state.admission, target, now);
    if (row == run.state.contexts.rows.end() || !status) {
        return;
    }
    const RequestContext &context = row->second;
    head.sheddingLevel = reportedLevel(status->sheddingLevel, run.state.admission.upstream, context.calledKeys, now);
    if (head.status >= 500 && context.overloadedUpstream) {
        head.headers.emplace_back(kOverloadedUpstreamHeader, "1");
    }
}

/// Wraps the call so that its end is reported to admission and closes the request context.
auto trackCall(OutboundCall wrapped, const std::shared_ptr<TargetRun> &run, const TargetName &target) -> OutboundCall
{
    OutboundCall call = wrapped;
    call.awaitHead = [wrapped, run, target]() -> Result<ResponseHead> {
        auto head = wrapped.awaitHead();
        if (!head) {
            run->fail(head.error());
        } else {
            annotateHead(head.value(), *run, target);
        }
        return head;
    };
    call.responseBody.read = [wrapped, run]() -> Result<BodyChunk> {
        auto chunk = wrapped.responseBody.read();
        if (!chunk) {
            run->fail(chunk.error());
        } else if (chunk.value().last) {
            run->end(RunOutcome::Answered);
        }
        return chunk;
    };
    call.cancel = [wrapped, run] {
        wrapped.cancel();
        run->end(RunOutcome::Cancelled);
    };
    return call;
}

auto findLocalTarget(const NodeState &state, const ServiceName &service) -> const LocalTarget *
{
    for (const auto &[name, target] : state.localTargets.targets) {
        if (target.announcement.service == service && target.announcement.state != EndpointState::Left) {
            return &target;
        }
    }
    return nullptr;
}

/// Waits until admission decides on a queued request or its sender leaves. Returns a refusal unless it was admitted.
auto awaitAdmission(NodeState &state, AdmissionId admissionId, Exchange &exchange) -> std::optional<Refusal>
{
    const auto wait = std::make_shared<AdmissionWait>();
    state.admissionWaits[admissionId] = wait.get();
    exchange.onCancel([weak = std::weak_ptr<AdmissionWait>(wait)] {
        if (const auto locked = weak.lock()) {
            locked->cancelled = true;
            locked->event.notify();
        }
    });
    while (!wait->decision && !wait->cancelled) {
        wait->event.wait();
    }
    state.admissionWaits.erase(admissionId);
    if (wait->cancelled) {
        applyDequeueResults(state, cancel(state.admission, admissionId, BootClock::now()));
        return Refusal{RefusalReason::Cancelled, RunState::NotRun, {}, "the caller left while the request waited"};
    }
    if (!wait->decision->isAdmitted) {
        return wait->decision->refusal;
    }
    return std::nullopt;
}

/// Returns the head that is sent to the target, with the handle of the request context and the time left added. The
/// entry node has already removed the caller's key and its Snipestream headers.
auto makeTargetHead(const RequestHead &head, const std::string &handle, Duration timeLeft) -> RequestHead
{
    RequestHead sent = head;
    sent.timeLeft = timeLeft;
    sent.headers.emplace_back(kContextHeader, handle);
    sent.headers.emplace_back(kTimeoutHeader, std::to_string(duration_cast<milliseconds>(timeLeft).count()));
    return sent;
}

} // namespace

void applyDequeueResults(NodeState &state, const std::vector<DequeueResult> &results)
{
    for (const auto &result : results) {
        const auto wait = state.admissionWaits.find(result.admissionId);
        if (wait != state.admissionWaits.end()) {
            wait->second->decision = result;
            wait->second->event.notify();
        }
    }
}

auto refusalFor(const Error &error, bool mayHaveBeenSent) -> Refusal
{
    const RunState run = mayHaveBeenSent ? RunState::Unknown : RunState::NotRun;
    switch (error.code) {
    case ErrorCode::Timeout:
        return Refusal{RefusalReason::DeadlinePassed, run, {}, error.message};
    case ErrorCode::Cancelled:
        return Refusal{RefusalReason::Cancelled, run, {}, error.message};
    case ErrorCode::ProtocolViolation:
        return Refusal{RefusalReason::BadAnswer, run, {}, error.message};
    default:
        return Refusal{RefusalReason::ConnectionLost, run, milliseconds(100), error.message};
    }
}

auto openTargetCall(NodeState &state, const RequestHead &head, Exchange &exchange) -> TargetCall
{
    const TimePoint deadline = BootClock::now() + head.timeLeft;
    const LocalTarget *const target = findLocalTarget(state, head.service);
    if (target == nullptr) {
        return {Refusal{RefusalReason::NoTarget, RunState::NotRun, milliseconds(100),
                        "node " + state.settings.node.value + " has no target of " + head.service.value},
                std::nullopt};
    }
    const TargetName name = target->announcement.target;
    const AdmissionRequest request{head.id, head.team, head.priority, head.route, deadline};
    const AdmissionResult result = offer(state.admission, name, request, BootClock::now());
    applyDequeueResults(state, result.dequeueResults);
    if (result.decision == AdmissionDecision::Refused) {
        return {result.refusal, std::nullopt};
    }
    if (result.decision == AdmissionDecision::Queued) {
        if (auto refusal = awaitAdmission(state, result.admissionId, exchange)) {
            return {std::move(refusal), std::nullopt};
        }
    }
    const RequestContext context{head.id, head.team, head.priority, deadline, head.attemptsLeft, head.depth + 1};
    const auto run = std::make_shared<TargetRun>(state, result.admissionId, openContext(state.contexts, context));
    const Duration timeLeft = deadline - BootClock::now();
    const auto connections = state.targetConnections.find(name);
    if (connections == state.targetConnections.end()) {
        run->end(RunOutcome::Failed);
        return {Refusal{RefusalReason::NoTarget, RunState::NotRun, milliseconds(100), name.value + " left"}, std::nullopt};
    }
    run->serviceTime = connections->second.serviceTime;
    // This copy keeps the client alive, since the target may leave while the connection is being opened.
    const std::shared_ptr<HttpClient> client = connections->second.client;
    auto opened = client->open(makeTargetHead(head, run->handle, timeLeft));
    if (!opened) {
        run->fail(opened.error());
        return {refusalFor(opened.error(), false), std::nullopt};
    }
    return {std::nullopt, trackCall(std::move(opened).value(), run, name)};
}

void serveStream(NodeState &state, Exchange &exchange)
{
    const auto refuse = [&](const Refusal &refusal) {
        ResponseHead head;
        head.status = refusalStatus(refusal.reason);
        head.refusal = refusal;
        head.bodyLength = 0;
        if (exchange.respond(head)) {
            static_cast<void>(exchange.responseBody.finish());
        }
    };
    if (state.stopping && findLocalTarget(state, exchange.head.service) == nullptr) {
        refuse({RefusalReason::ShuttingDown, RunState::NotRun, milliseconds(100), "the node is shutting down"});
        return;
    }
    TargetCall target = openTargetCall(state, exchange.head, exchange);
    if (target.refusal) {
        refuse(*target.refusal);
        return;
    }
    const auto prefix = readBodyPrefix(exchange);
    if (!prefix) {
        target.call->cancel();
        return;
    }
    const auto passOn = [](ResponseHead &) {
        return true;
    };
    const ForwardResult result = forwardExchange(state.runtime, exchange, *target.call, prefix.value(), passOn);
    if (!result.passedOn && result.error && !exchange.isCancelled()) {
        refuse(refusalFor(*result.error, result.mayHaveBeenSent));
    }
}

} // namespace snipestream
