#include "bench/policy_world.h"

namespace snipestream::bench
{

namespace
{

auto isOverload(std::optional<RefusalReason> reason) -> bool
{
    return reason == RefusalReason::Overloaded || reason == RefusalReason::QueueTimeout || reason == RefusalReason::DeadlinePassed;
}

auto keyOf(const ModelService &service, const ModelRoute &route) -> ServiceName
{
    return upstreamKey(ServiceName(service.name), RouteName(route.name));
}

} // namespace

void World::dispatch(const CallPtr &call)
{
    if (call->attempt->isEnded) {
        return;
    }
    const auto &route = deployment_.routes[call->attempt->callerRequest->route];
    const ServiceName service(deployment_.services[route.services[call->hop]].name);
    auto &from = nodes_[call->from];
    const ServiceName key = keyOf(deployment_.services[route.services[call->hop]], route);
    if (shouldShedUpstream(from.admission.upstream, key, route.priority, call->attempt->id, now_)) {
        call->done(false, RefusalReason::Overloaded);
        return;
    }
    const auto selection = chooseEndpoint(from.endpoints, service, call->tried, random_, now_);
    if (!selection) {
        call->done(false, RefusalReason::NoTarget);
        return;
    }
    call->tried.push_back(selection->endpoint);
    const int share = takeCallShare(*call->budget);
    beginCall(from.endpoints, service, selection->endpoint);
    size_t node = 0;
    while (nodes_[node].id != selection->endpoint) {
        ++node;
    }
    after(deployment_.hopLatency, [this, node, call, share] {
        offerTo(node, call, share);
    });
}

void World::offerTo(size_t node, const CallPtr &call, int share)
{
    if (call->attempt->isEnded) {
        respond(node, call, false, RefusalReason::Cancelled);
        return;
    }
    const auto &callerRequest = *call->attempt->callerRequest;
    const auto &route = deployment_.routes[callerRequest.route];
    auto &home = nodes_[node];
    const AdmissionRequest request{call->attempt->id, TeamName("team-" + std::to_string(callerRequest.team)), route.priority, RouteName(route.name),
                                   call->attempt->deadline};
    const AdmissionResult result = offer(home.admission, home.id.target, request, now_);
    if (result.decision == AdmissionDecision::Refused) {
        respond(node, call, false, result.refusal.reason);
    } else if (result.decision == AdmissionDecision::Admitted) {
        runAt(node, result.admissionId, call, share);
    } else {
        call->attempt->active[{node, result.admissionId}] = false;
        home.startCallbacks[result.admissionId] = [this, node, call, share, admissionId = result.admissionId] {
            runAt(node, admissionId, call, share);
        };
        home.refusalCallbacks[result.admissionId] = [this, node, call, admissionId = result.admissionId](const Refusal &refusal) {
            call->attempt->active.erase({node, admissionId});
            respond(node, call, false, refusal.reason);
        };
    }
    applyDequeueResults(node, result.dequeueResults);
}

void World::applyDequeueResults(size_t node, const std::vector<DequeueResult> &results)
{
    auto &home = nodes_[node];
    for (const auto &result : results) {
        const auto start = std::move(home.startCallbacks[result.admissionId]);
        const auto refuse = std::move(home.refusalCallbacks[result.admissionId]);
        home.startCallbacks.erase(result.admissionId);
        home.refusalCallbacks.erase(result.admissionId);
        if (result.isAdmitted) {
            start();
        } else {
            refuse(result.refusal);
        }
    }
}

void World::runAt(size_t node, AdmissionId admissionId, const CallPtr &call, int share)
{
    call->attempt->active[{node, admissionId}] = true;
    call->attempt->hasRun = true;
    const auto finish = [this, node, admissionId, call](bool ok, std::optional<RefusalReason> reason) {
        if (call->attempt->active.erase({node, admissionId}) == 0) {
            return;
        }
        applyDequeueResults(node, complete(nodes_[node].admission, admissionId, ok ? RunOutcome::Answered : RunOutcome::Failed, now_));
        respond(node, call, ok, reason);
    };
    after(drawServiceTime(nodes_[node].service), [this, node, call, share, finish] {
        const auto &route = deployment_.routes[call->attempt->callerRequest->route];
        if (call->attempt->isEnded || call->hop + 1 == route.services.size()) {
            finish(true, std::nullopt);
            return;
        }
        auto nested = std::make_shared<Call>();
        nested->from = node;
        nested->attempt = call->attempt;
        nested->hop = call->hop + 1;
        nested->budget = std::make_shared<AttemptBudget>(receivedBudget(share));
        nested->done = finish;
        countFirstAttempt(nodes_[node].ratio, now_);
        dispatch(nested);
    });
}

void World::respond(size_t node, const CallPtr &call, bool ok, std::optional<RefusalReason> reason)
{
    const auto &home = nodes_[node].admission;
    int level = admissionStatus(home, nodes_[node].id.target, now_)->sheddingLevel;
    // The response also reports the level of the services further upstream, so that the entry node sheds requests before
    // any target starts to run them.
    const auto &path = deployment_.routes[call->attempt->callerRequest->route];
    if (scenario_.reportUpstreamLevels && call->hop + 1 < path.services.size()) {
        const auto &next = deployment_.services[path.services[call->hop + 1]];
        level = reportedLevel(level, home.upstream, {keyOf(next, path)}, now_);
    }
    after(deployment_.hopLatency, [this, node, call, ok, reason, level] {
        const ServiceName service(deployment_.services[nodes_[node].service].name);
        auto &from = nodes_[call->from];
        CallEvidence evidence = CallEvidence::Failure;
        if (ok) {
            evidence = CallEvidence::Success;
        } else if (reason == RefusalReason::Cancelled) {
            evidence = CallEvidence::None;
        } else if (isOverload(reason)) {
            evidence = CallEvidence::Overloaded;
        }
        endCall(from.endpoints, service, nodes_[node].id, evidence, now_);
        const auto &observed = deployment_.routes[call->attempt->callerRequest->route];
        observeUpstream(from.admission.upstream, keyOf(deployment_.services[nodes_[node].service], observed), level, now_);
        if (ok || call->attempt->isEnded) {
            call->done(ok, reason);
            return;
        }
        const auto &route = deployment_.routes[call->attempt->callerRequest->route];
        const RetriedCall retried{route.idempotent, call->attempt->deadline, false};
        const FailedAttempt failed{reason, RunState::NotRun, call->attemptNumber};
        const auto decision = decideRetry(*call->budget, from.ratio, retried, failed, now_, random_);
        if (decision.noRetryReason) {
            call->done(false, reason);
            return;
        }
        ++call->attemptNumber;
        after(decision.backoff, [this, call] {
            dispatch(call);
        });
    });
}

void World::tickNodes()
{
    for (size_t node = 0; node < nodes_.size(); ++node) {
        applyDequeueResults(node, tick(nodes_[node].admission, now_));
        tickEndpoints(nodes_[node].endpoints, now_);
    }
    after(milliseconds(10), [this] {
        tickNodes();
    });
}

void World::dispatchBaseline(const CallPtr &call)
{
    const auto &route = deployment_.routes[call->attempt->callerRequest->route];
    const size_t service = route.services[call->hop];
    std::vector<size_t> candidates;
    for (size_t node = 0; node < nodes_.size(); ++node) {
        if (nodes_[node].service == service) {
            candidates.push_back(node);
        }
    }
    const size_t node = candidates[drawBelow(random_, candidates.size())];
    // The call ends with the response or with the timeout of the hop, whichever comes first.
    auto isPending = std::make_shared<bool>(true);
    const DoneCallback done = [this, call, isPending](bool ok, std::optional<RefusalReason> reason) {
        if (!*isPending) {
            return;
        }
        *isPending = false;
        const auto &ended = deployment_.routes[call->attempt->callerRequest->route];
        const int retries = policy_ == Policy::None ? 2 : 1;
        const bool mayRetry = ended.idempotent || reason.has_value();
        if (ok || call->attemptNumber > retries || !mayRetry) {
            call->done(ok, reason);
            return;
        }
        ++call->attemptNumber;
        dispatchBaseline(call);
    };
    after(route.timeout, [done] {
        done(false, std::nullopt);
    });
    after(deployment_.hopLatency, [this, node, call, done] {
        arriveBaseline(node, call, done);
    });
}

void World::arriveBaseline(size_t node, const CallPtr &call, const DoneCallback &done)
{
    auto &home = nodes_[node];
    const int slots = deployment_.services[home.service].slots;
    const auto start = [this, node, call, done] {
        ++nodes_[node].running;
        const auto finish = [this, node, done](bool ok, std::optional<RefusalReason> reason) {
            freeBaselineSlot(node);
            after(deployment_.hopLatency, [done, ok, reason] {
                done(ok, reason);
            });
        };
        after(drawServiceTime(nodes_[node].service), [this, node, call, finish] {
            const auto &route = deployment_.routes[call->attempt->callerRequest->route];
            if (call->hop + 1 == route.services.size()) {
                finish(true, std::nullopt);
                return;
            }
            auto nested = std::make_shared<Call>();
            nested->from = node;
            nested->attempt = call->attempt;
            nested->hop = call->hop + 1;
            nested->done = finish;
            dispatchBaseline(nested);
        });
    };
    if (home.running < slots) {
        start();
    } else if (policy_ == Policy::Fixed && home.queue.size() >= static_cast<size_t>(slots) * 2) {
        after(deployment_.hopLatency, [done] {
            done(false, RefusalReason::Overloaded);
        });
    } else {
        home.queue.emplace_back(start);
    }
}

void World::freeBaselineSlot(size_t node)
{
    auto &home = nodes_[node];
    --home.running;
    if (!home.queue.empty()) {
        const auto start = std::move(home.queue.front());
        home.queue.pop_front();
        start();
    }
}

} // namespace snipestream::bench
