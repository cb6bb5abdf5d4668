#include "node/quota_service.h"

#include "core/hash.h"
#include "net/await.h"
#include "node/config_service.h"
#include "node/lease_service.h"
#include "node/node_state.h"

#include <algorithm>
#include <utility>

namespace snipestream
{

namespace
{

constexpr const char *kRequestMethod = "quota.ask";
/// Response to an entry node.
constexpr const char *kGrantMethod = "quota.grant";
/// Response to a holder of another domain.
constexpr const char *kLoanMethod = "quota.loan";
constexpr const char *kWeightsRequestMethod = "quota.weights";
constexpr const char *kWeightsAckMethod = "quota.weights-ack";

constexpr Duration kTickInterval = milliseconds(5);
/// Maximum number of past domain weights that are stored. An increase is confirmed within seconds unless a domain is partitioned.
constexpr size_t kMaxWeightHistoryEntries = 32;
/// How long a request waits for a holder during the handover of its range. A planned handover takes about half a
/// second, and up to three seconds if witnesses have just restarted.
constexpr Duration kHandoverTimeout = seconds(4);
constexpr Duration kHandoverRetryInterval = milliseconds(50);
/// Maximum number of requests that wait for a handover at the same time. Each occupies a fiber, and a node has to stay
/// within 32 MB.
constexpr size_t kMaxHandoverWaiters = 256;

/// Updates the team rates in the holder's inputs if the configuration changed.
void refreshRules(NodeState &state)
{
    QuotaState &quota = state.quota;
    if (quota.rulesRevision == state.fold.state.revision) {
        return;
    }
    quota.rulesRevision = state.fold.state.revision;
    quota.node.holderInputs.rules.clear();
    for (const auto &[name, rule] : state.fold.state.index.teams) {
        quota.node.holderInputs.rules[name] = TeamQuota{static_cast<MicroTokens>(rule.rate) * kOneToken, static_cast<MicroTokens>(rule.burst) * kOneToken};
    }
}

/// Updates the ranges for which this node has a valid lease, and the holders of the same ranges in other domains.
void refreshLeases(NodeState &state, TimePoint now)
{
    auto &inputs = state.quota.node.holderInputs;
    inputs.validRanges.clear();
    inputs.peers.clear();
    for (const auto &[key, held] : state.leaseNode.holder.leases) {
        if (key.domain != state.settings.domain || !held.validFrom || !isLeaseValid(state.leaseNode.holder, key, now)) {
            continue;
        }
        inputs.validRanges[key.range] = *held.validFrom;
        for (const auto &[domain, weight] : domainWeights(state.fold.state)) {
            if (domain == state.settings.domain) {
                continue;
            }
            if (const auto *entry = findLease(state.leases, LeaseKey{domain, key.range})) {
                inputs.peers[key.range][domain] = entry->record.holder;
            }
        }
    }
}

/// Returns the holders of a range in all domains, starting with the node's own domain.
auto holdersOf(const NodeState &state, uint32_t range) -> std::vector<NodeName>
{
    std::vector<NodeName> holders;
    if (const auto *own = findLease(state.leases, LeaseKey{state.settings.domain, range})) {
        holders.push_back(own->record.holder);
    }
    for (const auto &[domain, weight] : domainWeights(state.fold.state)) {
        const auto *entry = findLease(state.leases, LeaseKey{domain, range});
        if (domain != state.settings.domain && entry != nullptr) {
            holders.push_back(entry->record.holder);
        }
    }
    return holders;
}

/// Sends a notice. If there is no link yet, a call establishes it and the notice is sent after that: if the first quota
/// request to a holder were lost, the caller's request would wait for the whole request timeout.
void sendNotice(NodeState &state, const NodeName &to, const char *method, const nlohmann::json &payload)
{
    const auto row = state.nodes.nodes.find(to);
    if (row == state.nodes.nodes.end() || state.peers->notify(row->second.endpoint, method, payload)) {
        return;
    }
    state.runtime.spawn([&state, endpoint = row->second.endpoint, method, payload] {
        static_cast<void>(state.peers->call(endpoint, "node.check", nlohmann::json::object(), milliseconds(500)));
        state.peers->notify(endpoint, method, payload);
    });
}

void sendOutputs(NodeState &state, const QuotaNodeOutputs &out)
{
    for (const auto &[to, request] : out.requests) {
        sendNotice(state, to, kRequestMethod, toJson(request));
    }
    for (const auto &[to, side, response] : out.responses) {
        sendNotice(state, to, side == QuotaSide::Entry ? kGrantMethod : kLoanMethod, toJson(response));
    }
    for (const auto &[to, request] : out.weightsRequests) {
        sendNotice(state, to, kWeightsRequestMethod, toJson(request));
    }
    for (const auto &[to, ack] : out.weightsAcks) {
        sendNotice(state, to, kWeightsAckMethod, toJson(ack));
    }
}

void processQuota(NodeState &state)
{
    QuotaState &quota = state.quota;
    const TimePoint now = BootClock::now();
    refreshRules(state);
    refreshLeases(state, now);
    const QuotaNodeOutputs out = processQuotaNode(quota.node, now);
    for (const auto &decision : out.decisions) {
        const auto wait = quota.waits.find(decision.tokenRequestId);
        if (wait != quota.waits.end()) {
            wait->second->decide(decision);
        }
    }
    sendOutputs(state, out);
}

/// Registers the handler of a notice: parses the payload with `fromJson`, passes it to `handle` and runs both sides.
template<typename FromJson, typename Handler>
void onQuotaNotice(NodeState &state, const char *method, FromJson fromJson, Handler handle)
{
    state.peers->onNotice(method, [&state, fromJson, handle](const PeerIdentity &from, const nlohmann::json &payload) {
        const auto message = fromJson(payload);
        if (!message) {
            return;
        }
        handle(message.value());
        processQuota(state);
    });
}

auto refusalOf(const TokenDecision &decision, const TeamName &team) -> Refusal
{
    const bool isRateExceeded = decision.reason == RefusalReason::RateExceeded;
    return Refusal{decision.reason, RunState::NotRun, decision.retryAfter,
                   isRateExceeded ? "team " + team.value + " has used its rate and burst" : "no holder of the quota of team " + team.value + " can be reached"};
}

/// Requests a token of the team once. Returns a refusal if it gets none.
auto tryAcquireToken(NodeState &state, const TeamName &team, TimePoint deadline) -> std::optional<Refusal>
{
    QuotaState &quota = state.quota;
    const uint64_t tokenRequestId = quota.nextTokenRequestId++;
    const TokenDecision first = requestToken(quota.node.entry, quota.node.params, team, tokenRequestId, BootClock::now(), deadline);
    if (first.state == TokenState::Admitted) {
        return std::nullopt;
    }
    if (first.state == TokenState::Refused) {
        return refusalOf(first, team);
    }
    TokenWait wait;
    quota.waits[tokenRequestId] = &wait;
    processQuota(state);
    waitFor(state.runtime.context(), wait.event, deadline - BootClock::now(), wait.isDecided);
    quota.waits.erase(tokenRequestId);
    if (!wait.isDecided) {
        cancelRequest(quota.node.entry, team, tokenRequestId);
        return Refusal{RefusalReason::DeadlinePassed, RunState::NotRun, {}, "the deadline passed before a token came"};
    }
    if (wait.decision.state == TokenState::Admitted) {
        return std::nullopt;
    }
    return refusalOf(wait.decision, team);
}

} // namespace

void startQuota(NodeState &state)
{
    startQuotaNode(state.quota.node, state.settings.node, state.settings.domain, state.incarnation);
    state.quota.node.entryInputs.holders = [&state](uint32_t range) {
        return holdersOf(state, range);
    };
}

void recordDomainWeights(NodeState &state)
{
    auto &history = state.quota.node.holderInputs.weights;
    DomainWeights current;
    current.version = domainListRevision(state);
    for (const auto &[domain, weight] : domainWeights(state.fold.state)) {
        current.weights[domain] = static_cast<int64_t>(weight);
    }
    if (current.weights.empty() || (!history.empty() && history.back().version == current.version)) {
        return;
    }
    history.push_back(std::move(current));
    if (history.size() > kMaxWeightHistoryEntries) {
        history.erase(history.begin());
    }
}

auto dumpWeightHistory(const QuotaState &quota) -> nlohmann::json
{
    nlohmann::json history = nlohmann::json::array();
    for (const auto &entry : quota.node.holderInputs.weights) {
        nlohmann::json weights = nlohmann::json::object();
        for (const auto &[domain, weight] : entry.weights) {
            weights[domain.value] = weight;
        }
        history.push_back({{"version", entry.version}, {"weights", weights}});
    }
    return history;
}

auto loadWeightHistory(QuotaState &quota, const nlohmann::json &dumped) -> Result<void>
{
    try {
        std::vector<DomainWeights> history;
        for (const auto &row : dumped) {
            DomainWeights entry;
            entry.version = row.at("version").get<uint64_t>();
            for (const auto &[domain, weight] : row.at("weights").items()) {
                entry.weights[DomainName(domain)] = weight.get<int64_t>();
            }
            history.push_back(std::move(entry));
        }
        quota.node.holderInputs.weights = std::move(history);
        return success();
    } catch (const nlohmann::json::exception &error) {
        return failure(ErrorCode::InvalidInput, std::string("domain weights: ") + error.what());
    }
}

void serveQuota(NodeState &state)
{
    QuotaState &quota = state.quota;
    onQuotaNotice(state, kRequestMethod, quotaRequestFromJson, [&quota](const QuotaRequest &request) {
        receiveQuotaRequest(quota.node, request, BootClock::now());
    });
    onQuotaNotice(state, kGrantMethod, quotaResponseFromJson, [&quota](const QuotaResponse &response) {
        receiveQuotaResponse(quota.node, QuotaSide::Entry, response);
    });
    onQuotaNotice(state, kLoanMethod, quotaResponseFromJson, [&quota](const QuotaResponse &response) {
        receiveQuotaResponse(quota.node, QuotaSide::Holder, response);
    });
    onQuotaNotice(state, kWeightsRequestMethod, weightsRequestFromJson, [&quota](const WeightsRequest &request) {
        quota.node.holderInputs.weightsRequests.push_back(request);
    });
    onQuotaNotice(state, kWeightsAckMethod, weightsAckFromJson, [&quota](const WeightsAck &ack) {
        quota.node.holderInputs.weightsAcks.push_back(ack);
    });
}

void runQuota(NodeState &state)
{
    while (!state.ending) {
        processQuota(state);
        dropUnansweredRequests(state.quota.node, BootClock::now());
        state.runtime.sleepFor(kTickInterval);
    }
}

auto acquireToken(NodeState &state, const TeamName &team, TimePoint deadline) -> std::optional<Refusal>
{
    const TimePoint handoverDeadline = std::min(deadline, BootClock::now() + kHandoverTimeout);
    while (true) {
        auto refusal = tryAcquireToken(state, team, deadline);
        const bool mayBeHandover = refusal && refusal->reason == RefusalReason::QuotaUnavailable;
        if (!mayBeHandover || state.ending || BootClock::now() + kHandoverRetryInterval >= handoverDeadline
            || state.quota.handoverWaiters >= kMaxHandoverWaiters) {
            return refusal;
        }
        ++state.quota.handoverWaiters;
        state.runtime.sleepFor(kHandoverRetryInterval);
        --state.quota.handoverWaiters;
    }
}

} // namespace snipestream
