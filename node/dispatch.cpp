#include "node/dispatch.h"

#include "core/events.h"
#include "node/directory_service.h"
#include "node/forward.h"
#include "node/private_headers.h"
#include "node/target_call.h"
#include "retry/retry.h"
#include "routing/selection.h"

#include <functional>
#include <memory>
#include <utility>
#include <vector>

#include <boost/asio/steady_timer.hpp>

namespace snipestream
{

namespace
{

/// The home node refuses the request at the deadline. This node waits a little longer for that refusal, because it gives
/// a more specific reason than a local timeout.
constexpr Duration kHomeResponseMargin = milliseconds(20);

/// One attempt at one endpoint.
struct Attempt {
    EndpointId endpoint;
    std::optional<Refusal> refusal;
    ForwardResult forwarded;
    /// The target responded with a server error because a service that it called is overloaded.
    bool overloadedUpstream = false;
};

auto callEvidenceOf(const Attempt &attempt, bool cancelled) -> CallEvidence
{
    if (cancelled) {
        return CallEvidence::None;
    }
    if (!attempt.refusal) {
        if (attempt.overloadedUpstream) {
            return CallEvidence::Overloaded;
        }
        const bool failed = !attempt.forwarded.complete || attempt.forwarded.head->status >= 500;
        return failed ? CallEvidence::Failure : CallEvidence::Success;
    }
    switch (attempt.refusal->reason) {
    case RefusalReason::Overloaded:
    case RefusalReason::QueueTimeout:
        return CallEvidence::Overloaded;
    case RefusalReason::NoTarget:
    case RefusalReason::ShuttingDown:
        return CallEvidence::Leaving;
    case RefusalReason::DeadlinePassed:
        return attempt.refusal->run == RunState::NotRun ? CallEvidence::None : CallEvidence::Failure;
    case RefusalReason::Cancelled:
        return CallEvidence::None;
    default:
        return CallEvidence::Failure;
    }
}

/// Opens the call to the endpoint. A local target is called through this node's own admission.
auto openAttempt(NodeState &state, const EndpointId &endpoint, const RequestHead &head, Exchange &exchange) -> TargetCall
{
    if (endpoint.node == state.settings.node) {
        return openTargetCall(state, head, exchange);
    }
    const auto node = state.nodes.nodes.find(endpoint.node);
    if (node == state.nodes.nodes.end()) {
        return {Refusal{RefusalReason::NoTarget, RunState::NotRun, milliseconds(100), "node " + endpoint.node.value + " is not known"}, std::nullopt};
    }
    auto opened = state.peers->openStream(node->second.endpoint, head);
    if (!opened) {
        return {refusalFor(opened.error(), false), std::nullopt};
    }
    return {std::nullopt, std::move(opened).value()};
}

/// Decides whether a failed attempt is retried, and sleeps for the backoff before the retry.
auto shouldRetry(NodeState &state, Exchange &exchange, const RequestHead &head, TimePoint deadline, AttemptBudget &budget, const FailedAttempt &failed,
                 bool cannotResend) -> bool
{
    if (exchange.isCancelled() || state.stopping) {
        return false;
    }
    const RetriedCall call{head.idempotent, deadline, cannotResend};
    const RetryDecision decision = decideRetry(budget, state.retryRatio, call, failed, BootClock::now(), state.random);
    if (decision.noRetryReason) {
        return false;
    }
    if (decision.backoff > Duration::zero()) {
        state.runtime.sleepFor(decision.backoff);
    }
    return true;
}

/// Runs one attempt. The response is passed on unless it is a refusal or a server error that is retried.
auto runAttempt(NodeState &state, Exchange &exchange, const RequestHead &head, const RequestBodyPrefix &prefix, const EndpointId &endpoint, size_t captureBytes,
                const HeadFilter &filter) -> Attempt
{
    Attempt attempt;
    attempt.endpoint = endpoint;
    TargetCall opened = openAttempt(state, endpoint, head, exchange);
    if (opened.refusal) {
        attempt.refusal = opened.refusal;
        return attempt;
    }
    // A home node that hangs sends no response, not even the refusal at the deadline, so the attempt needs a timeout of
    // its own.
    bool timedOut = false;
    boost::asio::steady_timer timer(state.runtime.context(), head.timeLeft + kHomeResponseMargin);
    const auto cancel = std::make_shared<std::function<void()>>(opened.call->cancel);
    timer.async_wait([&timedOut, weak = std::weak_ptr<std::function<void()>>(cancel)](const boost::system::error_code &error) {
        const auto function = weak.lock();
        if (!error && function) {
            timedOut = true;
            (*function)();
        }
    });
    attempt.forwarded = forwardExchange(state.runtime, exchange, *opened.call, prefix, filter, captureBytes);
    timer.cancel();
    if (timedOut && attempt.forwarded.error) {
        attempt.forwarded.error = Error{ErrorCode::Timeout, "the deadline passed without an answer"};
    }
    if (attempt.forwarded.head && attempt.forwarded.head->refusal) {
        attempt.refusal = attempt.forwarded.head->refusal;
    } else if (!attempt.forwarded.passedOn && attempt.forwarded.error) {
        attempt.refusal = refusalFor(*attempt.forwarded.error, attempt.forwarded.mayHaveBeenSent);
    }
    return attempt;
}

auto noTargetRefusal(const ServiceName &service) -> Refusal
{
    return Refusal{RefusalReason::NoTarget, RunState::NotRun, milliseconds(500), "no target of " + service.value + " can be reached"};
}

} // namespace

auto dispatchRequest(NodeState &state, Exchange &exchange, RequestHead head, TimePoint deadline, AttemptBudget &budget, size_t captureBytes) -> DispatchResult
{
    DispatchResult result;
    const auto prefix = readBodyPrefix(exchange);
    if (!prefix) {
        result.refusal = Refusal{RefusalReason::Cancelled, RunState::NotRun, {}, prefix.error().message};
        return result;
    }
    ensureSubscribed(state, head.service);
    const ServiceName sheddingKey = upstreamKey(head.service, head.route);
    std::vector<EndpointId> triedEndpoints;
    for (int attemptNumber = 1;; ++attemptNumber) {
        const TimePoint now = BootClock::now();
        if (shouldShedUpstream(state.admission.upstream, sheddingKey, head.priority, head.id, now)) {
            result.refusal = Refusal{RefusalReason::Overloaded, result.run, milliseconds(500), head.service.value + " sheds requests of this priority"};
            return result;
        }
        const auto selection = chooseEndpoint(state.endpoints, head.service, triedEndpoints, state.random, now);
        if (!selection) {
            if (!result.refusal) {
                result.refusal = noTargetRefusal(head.service);
            }
            return result;
        }
        head.timeLeft = deadline - now;
        head.attemptsLeft = takeCallShare(budget);
        if (attemptNumber == 1) {
            countFirstAttempt(state.retryRatio, now);
        }
        // Unless the prefix is the whole body, the first attempt consumes the rest, and the request cannot be sent again.
        const bool cannotResend = !prefix.value().whole;
        bool retryServerError = false;
        bool overloadedUpstream = false;
        const HeadFilter filter = [&](ResponseHead &response) {
            if (response.sheddingLevel) {
                observeUpstream(state.admission.upstream, sheddingKey, *response.sheddingLevel, BootClock::now());
                response.sheddingLevel.reset();
            }
            if (response.refusal) {
                return false;
            }
            overloadedUpstream = findHeader(response.headers, kOverloadedUpstreamHeader).has_value();
            removeHeader(response.headers, kOverloadedUpstreamHeader);
            if (response.status >= 500) {
                const auto reason = overloadedUpstream ? std::optional<RefusalReason>(RefusalReason::Overloaded) : std::nullopt;
                const FailedAttempt failed{reason, RunState::Unknown, attemptNumber};
                retryServerError = shouldRetry(state, exchange, head, deadline, budget, failed, cannotResend);
            }
            prepareResponseHeaders(response.headers, head.id);
            return !retryServerError;
        };
        beginCall(state.endpoints, head.service, selection->endpoint);
        Attempt attempt = runAttempt(state, exchange, head, prefix.value(), selection->endpoint, captureBytes, filter);
        attempt.overloadedUpstream = overloadedUpstream;
        const CallEvidence evidence = retryServerError ? CallEvidence::Failure : callEvidenceOf(attempt, exchange.isCancelled());
        if (endCall(state.endpoints, head.service, selection->endpoint, evidence, BootClock::now())) {
            logEvent(EventId::TargetEjected, {{"service", head.service.value}, {"target", selection->endpoint.target.value}});
        }
        triedEndpoints.push_back(selection->endpoint);
        if (retryServerError) {
            result.run = RunState::Unknown;
            continue;
        }
        if (!attempt.refusal) {
            result.refusal.reset();
            result.run = RunState::Unknown;
            result.head = attempt.forwarded.head;
            result.complete = attempt.forwarded.complete;
            result.captured = std::move(attempt.forwarded.captured);
            result.capturedWhole = attempt.forwarded.capturedWhole;
            return result;
        }
        if (attempt.refusal->run == RunState::Unknown) {
            result.run = RunState::Unknown;
        }
        result.refusal = attempt.refusal;
        result.refusal->run = result.run;
        const FailedAttempt failed{attempt.refusal->reason, attempt.refusal->run, attemptNumber};
        if (!shouldRetry(state, exchange, head, deadline, budget, failed, cannotResend)) {
            return result;
        }
    }
}

} // namespace snipestream
