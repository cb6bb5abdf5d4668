#include "sidecar/policy_reader.h"

#include "core/events.h"
#include "platform/policy_document.h"
#include "sidecar/store_access.h"

#include <algorithm>
#include <optional>

namespace snipestream
{

namespace
{

/// How long a read waits for a change. The end of a read confirms the policy as of the start of the read, so two reads in
/// a row must end well before a withdrawn key has to stop working.
constexpr Duration kPolicyLongPollWait = milliseconds(1700);

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
    state.importance = importanceLevels(*policy);
    updateTokenMembers(state);
    const auto &limits = policy->limits;
    state.callerServer->setLimits(limits.maxHeaderBytes, limits.maxBodyBytes, limits.headerTimeout, limits.idleTimeout);
    logEvent(
        EventId::PolicyApplied,
        {{"version", std::to_string(policy->version)}, {"routes", std::to_string(policy->routes.size())}, {"teams", std::to_string(policy->teams.size())}});
}

void followPolicy(SidecarState &state)
{
    const StoreClient store = storeClient(state);
    std::optional<uint64_t> offset;
    bool reachable = true;
    bool lastReadFailed = false;
    while (!state.ended) {
        const TimePoint sentAt = BootClock::now();
        // After a failure, a read without a wait confirms the policy sooner.
        const Duration wait = lastReadFailed ? Duration::zero() : kPolicyLongPollWait;
        const auto page = offset ? readChanges(store, operatorTopic(), *offset, wait) : readNewest(store, operatorTopic());
        logStoreReachability(reachable, page);
        lastReadFailed = !page;
        if (!page) {
            if (page.error().code == ErrorCode::Expired) {
                offset.reset();
                continue;
            }
            pauseAfterFailure(state);
            continue;
        }
        for (const auto &record : page.value().records) {
            if (record.key == configurationKey()) {
                applyPolicyDocument(state, record.value);
            }
        }
        offset = page.value().nextOffset;
        state.policyConfirmedAt = std::max(state.policyConfirmedAt, sentAt);
        if (!state.policy) {
            pauseAfterFailure(state);
        }
    }
}

} // namespace snipestream
