#include "sidecar/policy_reader.h"

#include "core/events.h"
#include "platform/operator_orders.h"
#include "platform/policy_document.h"
#include "sidecar/distribution.h"
#include "sidecar/evacuation_orders.h"
#include "sidecar/store_access.h"

#include <algorithm>
#include <optional>

namespace snipestream
{

namespace
{

constexpr Duration kFollowCheckInterval = milliseconds(50);

/// Logs when the store becomes unreachable and when it becomes reachable again, once each.
void logStoreReachability(bool &reachable, const Result<KeyedPage> &page)
{
    const bool answered = page.has_value() || page.error().code == ErrorCode::Expired;
    if (answered == reachable) {
        return;
    }
    reachable = answered;
    if (answered) {
        logEvent(EventId::LogAvailable, {{"topic", operatorTopic().name}});
    } else {
        logEvent(EventId::LogUnavailable, {{"topic", operatorTopic().name}, {"error", page.error().message}});
    }
}

} // namespace

void applyPolicyDocument(SidecarState &state, const std::string &document)
{
    auto decoded = decodePolicy(document);
    if (!decoded) {
        logEvent(EventId::PolicyRejected, {{"error", decoded.error().message}});
        return;
    }
    if (state.policy && decoded.value().version <= state.policy->version) {
        return;
    }
    const auto policy = std::make_shared<const Policy>(std::move(decoded).value());
    state.policy = policy;
    state.storeView.newerPolicyHeardAt.reset();
    state.storeView.policyDocument = std::make_shared<const std::string>(document);
    state.importance = importanceLevels(*policy);
    updateTokenMembers(state);
    const auto &limits = policy->limits;
    state.callerServer->setLimits(limits.maxHeaderBytes, limits.maxBodyBytes, limits.headerTimeout, limits.idleTimeout);
    logEvent(
        EventId::PolicyApplied,
        {{"version", std::to_string(policy->version)}, {"routes", std::to_string(policy->routes.size())}, {"teams", std::to_string(policy->teams.size())}});
    notifyFollowers(state);
}

void confirmPolicy(SidecarState &state, TimePoint confirmedAt)
{
    state.policyConfirmedAt = std::max(state.policyConfirmedAt, confirmedAt);
}

void followPolicy(SidecarState &state)
{
    const StoreClient store = storeClient(state);
    std::optional<uint64_t> offset;
    bool reachable = true;
    int failures = 0;
    while (!state.ended) {
        const TimePoint sentAt = BootClock::now();
        if (!state.isStoreReader && state.policy && sentAt - state.policyConfirmedAt < state.storeView.freshness.ownReadAge) {
            state.runtime.sleepFor(kFollowCheckInterval);
            continue;
        }
        // After a failure, a read without a wait confirms the policy sooner.
        const Duration wait = failures == 0 && state.isStoreReader ? state.storeView.freshness.readWait : Duration::zero();
        StoreContact &contact = state.storeView.contact;
        beginStoreRead(contact, wait + state.storeView.freshness.answerTime, sentAt);
        const auto page = offset ? readChanges(store, operatorTopic(), *offset, wait) : readNewest(store, operatorTopic());
        endStoreRead(contact, page.has_value() || page.error().code == ErrorCode::Expired, BootClock::now());
        logStoreReachability(reachable, page);
        if (!page && page.error().code == ErrorCode::Expired) {
            offset.reset();
            continue;
        }
        failures = page ? 0 : failures + 1;
        state.storeView.isStoreFailing = failures > 0;
        if (!page) {
            pauseAfterFailure(state, failures);
            continue;
        }
        // The newest records are complete, so that a domain without one is not evacuated.
        Evacuation evacuation = offset ? state.evacuation : Evacuation();
        for (const auto &record : page.value().records) {
            if (record.key == configurationKey()) {
                applyPolicyDocument(state, record.value);
            } else if (const auto order = decodeEvacuationOrder(record)) {
                applyOrder(evacuation, *order);
            }
        }
        evacuation.revision = page.value().nextOffset;
        applyEvacuation(state, evacuation);
        offset = page.value().nextOffset;
        confirmPolicy(state, sentAt);
        if (!state.policy) {
            pauseAfterFailure(state, 1);
        }
    }
}

} // namespace snipestream
