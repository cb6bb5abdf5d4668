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
    if (call->root->over) {
        return;
    }
    const auto &route = deployment_.routes[call->root->logical->route];
    const ServiceName service(deployment_.services[route.services[call->hop]].name);
    auto &from = nodes_[call->from];
    const ServiceName key = keyOf(deployment_.services[route.services[call->hop]], route);
    if (shouldShedUpstream(from.admission.upstream, key, route.priority, call->root->id, now_)) {
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
    if (call->root->over) {
        answer(node, call, false, RefusalReason::Cancelled);
        return;
    }
    const auto &logical = *call->root->logical;
    const auto &route = deployment_.routes[logical.route];
    auto &home = nodes_[node];
    const AdmissionRequest request{call->root->id, TeamName("team-" + std::to_string(logical.team)), route.priority, RouteName(route.name),
                                   call->root->deadline};
    const AdmissionResult result = offer(home.admission, home.id.target, request, now_);
    if (result.decision == AdmissionDecision::Refused) {
        answer(node, call, false, result.refusal.reason);
    } else if (result.decision == AdmissionDecision::Admitted) {
        runAt(node, result.admissionId, call, share);
    } else {
        call->root->active[{node, result.admissionId}] = false;
        home.starts[result.admissionId] = [this, node, call, share, ticket = result.admissionId] {
            runAt(node, ticket, call, share);
        };
        home.refusals[result.admissionId] = [this, node, call, ticket = result.admissionId](const Refusal &refusal) {
            call->root->active.erase({node, ticket});
            answer(node, call, false, refusal.reason);
        };
    }
    apply(node, result.dequeueResults);
}

void World::apply(size_t node, const std::vector<DequeueResult> &decisions)
{
    auto &home = nodes_[node];
    for (const auto &decision : decisions) {
        const auto start = std::move(home.starts[decision.admissionId]);
        const auto refuse = std::move(home.refusals[decision.admissionId]);
        home.starts.erase(decision.admissionId);
        home.refusals.erase(decision.admissionId);
        if (decision.isAdmitted) {
            start();
        } else {
            refuse(decision.refusal);
        }
    }
}

void World::runAt(size_t node, AdmissionId ticket, const CallPtr &call, int share)
{
    call->root->active[{node, ticket}] = true;
    call->root->hasRun = true;
    const auto finish = [this, node, ticket, call](bool ok, std::optional<RefusalReason> reason) {
        if (call->root->active.erase({node, ticket}) == 0) {
            return;
        }
        apply(node, complete(nodes_[node].admission, ticket, ok ? RunOutcome::Answered : RunOutcome::Failed, now_));
        answer(node, call, ok, reason);
    };
    after(drawServiceTime(nodes_[node].service), [this, node, call, share, finish] {
        const auto &route = deployment_.routes[call->root->logical->route];
        if (call->root->over || call->hop + 1 == route.services.size()) {
            finish(true, std::nullopt);
            return;
        }
        auto onward = std::make_shared<Call>();
        onward->from = node;
        onward->root = call->root;
        onward->hop = call->hop + 1;
        onward->budget = std::make_shared<AttemptBudget>(receivedBudget(share));
        onward->done = finish;
        countFirstAttempt(nodes_[node].ratio, now_);
        dispatch(onward);
    });
}

void World::answer(size_t node, const CallPtr &call, bool ok, std::optional<RefusalReason> reason)
{
    const auto &home = nodes_[node].admission;
    int level = admissionStatus(home, nodes_[node].id.target, now_)->sheddingLevel;
    // The answer also carries the level of the services further down, so that the entry sheds before any work starts.
    const auto &path = deployment_.routes[call->root->logical->route];
    if (scenario_.deepLevels && call->hop + 1 < path.services.size()) {
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
        const auto &observed = deployment_.routes[call->root->logical->route];
        observeUpstream(from.admission.upstream, keyOf(deployment_.services[nodes_[node].service], observed), level, now_);
        if (ok || call->root->over) {
            call->done(ok, reason);
            return;
        }
        const auto &route = deployment_.routes[call->root->logical->route];
        const RetriedCall retried{route.idempotent, call->root->deadline, false};
        const FailedAttempt failed{reason, RunState::NotRun, call->number};
        const auto decision = decideRetry(*call->budget, from.ratio, retried, failed, now_, random_);
        if (decision.noRetryReason) {
            call->done(false, reason);
            return;
        }
        ++call->number;
        after(decision.backoff, [this, call] {
            dispatch(call);
        });
    });
}

void World::tickNodes()
{
    for (size_t node = 0; node < nodes_.size(); ++node) {
        apply(node, tick(nodes_[node].admission, now_));
        tickEndpoints(nodes_[node].endpoints, now_);
    }
    after(milliseconds(10), [this] {
        tickNodes();
    });
}

void World::dispatchPlain(const CallPtr &call)
{
    const auto &route = deployment_.routes[call->root->logical->route];
    const size_t service = route.services[call->hop];
    std::vector<size_t> candidates;
    for (size_t node = 0; node < nodes_.size(); ++node) {
        if (nodes_[node].service == service) {
            candidates.push_back(node);
        }
    }
    const size_t node = candidates[drawBelow(random_, candidates.size())];
    // Whatever comes first, the answer or the timeout of the hop, counts.
    auto open = std::make_shared<bool>(true);
    const Done done = [this, call, open](bool ok, std::optional<RefusalReason> reason) {
        if (!*open) {
            return;
        }
        *open = false;
        const auto &ended = deployment_.routes[call->root->logical->route];
        const int retries = policy_ == Policy::None ? 2 : 1;
        const bool mayRetry = ended.idempotent || reason.has_value();
        if (ok || call->number > retries || !mayRetry) {
            call->done(ok, reason);
            return;
        }
        ++call->number;
        dispatchPlain(call);
    };
    after(route.timeout, [done] {
        done(false, std::nullopt);
    });
    after(deployment_.hopLatency, [this, node, call, done] {
        arrivePlain(node, call, done);
    });
}

void World::arrivePlain(size_t node, const CallPtr &call, const Done &done)
{
    auto &home = nodes_[node];
    const int slots = deployment_.services[home.service].slots;
    const auto start = [this, node, call, done] {
        ++nodes_[node].running;
        const auto finish = [this, node, done](bool ok, std::optional<RefusalReason> reason) {
            freePlain(node);
            after(deployment_.hopLatency, [done, ok, reason] {
                done(ok, reason);
            });
        };
        after(drawServiceTime(nodes_[node].service), [this, node, call, finish] {
            const auto &route = deployment_.routes[call->root->logical->route];
            if (call->hop + 1 == route.services.size()) {
                finish(true, std::nullopt);
                return;
            }
            auto onward = std::make_shared<Call>();
            onward->from = node;
            onward->root = call->root;
            onward->hop = call->hop + 1;
            onward->done = finish;
            dispatchPlain(onward);
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

void World::freePlain(size_t node)
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
