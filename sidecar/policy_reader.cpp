#include "sidecar/policy_reader.h"

#include "core/events.h"
#include "platform/policy_document.h"

#include <algorithm>
#include <optional>

namespace snipestream
{

namespace
{

/// How long one read waits for a change. Two reads in a row must end well before a withdrawn key has to stop working,
/// since only the end of a read confirms the policy as of its start.
constexpr Duration kPolicyWait = milliseconds(1700);
/// Bound of a store call beyond its wait. The store answers in 4 ms, or 250 ms when slow.
constexpr Duration kStoreTimeout = milliseconds(700);
/// Pause after a failed call. All nodes fail together when the store is down, so the pause is spread.
constexpr Duration kFailurePause = milliseconds(150);
constexpr int kFailurePauseSpreadMs = 200;
/// How often the roster is read again, for nodes whose first reports did not arrive. Reads are priced by the platform.
constexpr Duration kRosterInterval = seconds(30);

constexpr int kRosterSpreadMs = 5000;
constexpr Duration kEndCheckInterval = seconds(1);

void pauseAfterFailure(SidecarState &state)
{
    state.runtime.sleepFor(kFailurePause + milliseconds(drawBelow(state.random, kFailurePauseSpreadMs)));
}

/// Logs the loss and the return of the store, once each.
void noteStore(bool &reachable, const Result<KeyedPage> &page)
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

auto storeClient(SidecarState &state) -> StoreClient
{
    StoreClient store;
    store.timeout = kStoreTimeout;
    store.transport = [&state](const std::string &method, const std::string &path, const std::string &body, Duration timeout) -> Result<HttpAnswer> {
        RequestMessage request;
        request.method = method;
        request.target = path;
        request.headers.emplace_back("Host", toString(state.settings.store));
        request.body = body;
        CancelSignal cancel;
        CallResult result = state.storePool.call(state.settings.store, request, cancel, BootClock::now() + timeout);
        switch (result.status) {
        case CallStatus::Answered:
            return HttpAnswer{result.answer.status, std::move(result.answer.body)};
        case CallStatus::NotSent:
            return failure(ErrorCode::Unavailable, result.detail);
        case CallStatus::TimedOut:
            return failure(ErrorCode::Timeout, "the store did not answer " + path);
        default:
            return failure(ErrorCode::Closed, "the store's connection ended: " + result.detail);
        }
    };
    return store;
}

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
    state.priorities = clientPriorities(*policy);
    // Before the other nodes are known, this node would give itself the whole of every rate.
    if (const TimePoint now = BootClock::now(); knowsPeers(state, now)) {
        shareRates(state.rates, *policy, state.peers, now);
    }
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
    bool lastFailed = false;
    while (!state.ended) {
        const TimePoint sentAt = BootClock::now();
        // After a failure, a read that does not wait confirms the policy sooner.
        const Duration wait = lastFailed ? Duration::zero() : kPolicyWait;
        const auto page = offset ? readChanges(store, operatorTopic(), *offset, wait) : readNewest(store, operatorTopic());
        noteStore(reachable, page);
        lastFailed = !page;
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

void followRoster(SidecarState &state)
{
    const StoreClient store = storeClient(state);
    bool written = false;
    while (!state.ended) {
        if (!written) {
            const auto result = writeRecord(store, nodesTopic(), state.settings.address, state.settings.node.value);
            written = result.has_value();
            if (!written) {
                pauseAfterFailure(state);
                continue;
            }
        }
        const auto page = readNewest(store, nodesTopic());
        if (!page) {
            pauseAfterFailure(state);
            continue;
        }
        for (const auto &record : page.value().records) {
            if (!record.value.empty()) {
                addAddress(state.peers, record.key);
            }
        }
        state.reportSoon = true;
        state.rosterRead = true;
        logEvent(EventId::RosterRead, {{"nodes", std::to_string(page.value().records.size())}});
        const TimePoint next = BootClock::now() + kRosterInterval + milliseconds(drawBelow(state.random, kRosterSpreadMs));
        while (!state.ended && BootClock::now() < next) {
            state.runtime.sleepFor(kEndCheckInterval);
        }
    }
}

} // namespace snipestream
