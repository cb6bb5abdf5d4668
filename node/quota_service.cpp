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
/// Requests that get no response, for example because they only carry a report, are dropped after this time.
constexpr Duration kOpenRequestLifetime = seconds(2);
/// Maximum number of past domain weights that are stored. An increase is confirmed within seconds unless a domain is partitioned.
constexpr size_t kMaxWeightHistoryEntries = 32;
/// How long a request waits for a holder during the handover of its range. A planned handover takes about half a
/// second, and up to three seconds if witnesses have just restarted.
constexpr Duration kHandoverTimeout = seconds(4);
constexpr Duration kHandoverRetryInterval = milliseconds(50);
/// Maximum number of requests that wait for a handover at the same time. Each occupies a fiber, and a node has to stay
/// within 32 MB.
constexpr size_t kMaxHandoverWaiters = 256;

void processQuota(NodeState &state);

/// Updates the team rates in the holder's inputs if the configuration changed.
void refreshRules(NodeState &state)
{
    QuotaState &quota = state.quota;
    if (quota.rulesRevision == state.fold.state.revision) {
        return;
    }
    quota.rulesRevision = state.fold.state.revision;
    quota.holderInputs.rules.clear();
    for (const auto &[name, rule] : state.fold.state.index.teams) {
        quota.holderInputs.rules[name] = TeamQuota{static_cast<MicroTokens>(rule.rate) * kOneToken, static_cast<MicroTokens>(rule.burst) * kOneToken};
    }
}

/// Updates the ranges for which this node has a valid lease, and the holders of the same ranges in other domains.
void refreshLeases(NodeState &state, TimePoint now)
{
    auto &inputs = state.quota.holderInputs;
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

void receiveQuotaRequest(NodeState &state, const QuotaRequest &request)
{
    if (request.requestedAmount > 0) {
        state.quota.openQuotaRequests[{request.from, request.number}] = {request.mayBorrow, BootClock::now()};
    }
    state.quota.holderInputs.requests.push_back(request);
}

/// Sends a response of the holder side to the side that sent the request.
void sendQuotaResponse(NodeState &state, const NodeName &to, const QuotaResponse &response)
{
    const auto openRequest = state.quota.openQuotaRequests.find({to, response.requestNumber});
    const bool toEntry = openRequest == state.quota.openQuotaRequests.end() || openRequest->second.first;
    if (openRequest != state.quota.openQuotaRequests.end()) {
        state.quota.openQuotaRequests.erase(openRequest);
    }
    if (to != state.settings.node) {
        sendNotice(state, to, toEntry ? kGrantMethod : kLoanMethod, toJson(response));
    } else if (toEntry) {
        state.quota.entryInputs.responses.push_back(response);
    } else {
        state.quota.holderInputs.responses.push_back(response);
    }
}

void sendQuotaRequest(NodeState &state, const NodeName &to, const QuotaRequest &request)
{
    if (to == state.settings.node) {
        receiveQuotaRequest(state, request);
    } else {
        sendNotice(state, to, kRequestMethod, toJson(request));
    }
}

void runHolder(NodeState &state, TimePoint now)
{
    QuotaState &quota = state.quota;
    refreshRules(state);
    refreshLeases(state, now);
    if (quota.holderInputs.weights.empty() || quota.holderInputs.weights.back().weights.empty()) {
        return;
    }
    const HolderOutputs outputs = tickHolder(quota.holder, quota.params, now, quota.holderInputs);
    quota.holderInputs.requests.clear();
    quota.holderInputs.responses.clear();
    quota.holderInputs.weightsRequests.clear();
    quota.holderInputs.weightsAcks.clear();
    for (const auto &[to, response] : outputs.responses) {
        sendQuotaResponse(state, to, response);
    }
    for (const auto &[to, request] : outputs.peerRequests) {
        sendQuotaRequest(state, to, request);
    }
    for (const auto &[to, request] : outputs.weightsRequests) {
        sendNotice(state, to, kWeightsRequestMethod, toJson(request));
    }
    for (const auto &[to, ack] : outputs.weightsAcks) {
        sendNotice(state, to, kWeightsAckMethod, toJson(ack));
    }
}

void runEntry(NodeState &state, TimePoint now)
{
    QuotaState &quota = state.quota;
    const EntryOutputs outputs = tickEntry(quota.entry, quota.params, now, quota.entryInputs);
    quota.entryInputs.responses.clear();
    for (const auto &decision : outputs.decisions) {
        const auto wait = quota.waits.find(decision.tokenRequestId);
        if (wait != quota.waits.end()) {
            wait->second->decision = decision;
            wait->second->isDecided = true;
            wait->second->event.notify();
        }
    }
    for (const auto &[to, request] : outputs.requests) {
        sendQuotaRequest(state, to, request);
    }
}

/// Runs both sides until no messages of this node to itself are left. The limit of rounds only prevents an endless
/// loop.
void processQuota(NodeState &state)
{
    QuotaState &quota = state.quota;
    if (quota.isProcessing) {
        return;
    }
    quota.isProcessing = true;
    const TimePoint now = BootClock::now();
    for (int round = 0; round < 4; ++round) {
        runEntry(state, now);
        runHolder(state, now);
        if (quota.entryInputs.responses.empty() && quota.holderInputs.responses.empty() && quota.holderInputs.requests.empty()) {
            break;
        }
    }
    quota.isProcessing = false;
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
    const TokenDecision first = requestToken(quota.entry, quota.params, team, tokenRequestId, BootClock::now(), deadline);
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
        cancelRequest(quota.entry, team, tokenRequestId);
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
    state.quota.holder = makeHolderTable(state.settings.node, state.settings.domain, state.incarnation);
    state.quota.entry = makeEntryTable(state.settings.node, state.incarnation);
    state.quota.entryInputs.holders = [&state](uint32_t range) {
        return holdersOf(state, range);
    };
}

void recordDomainWeights(NodeState &state)
{
    auto &history = state.quota.holderInputs.weights;
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
    for (const auto &entry : quota.holderInputs.weights) {
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
        quota.holderInputs.weights = std::move(history);
        return success();
    } catch (const nlohmann::json::exception &error) {
        return failure(ErrorCode::InvalidInput, std::string("domain weights: ") + error.what());
    }
}

void serveQuota(NodeState &state)
{
    QuotaState &quota = state.quota;
    onQuotaNotice(state, kRequestMethod, quotaRequestFromJson, [&state](const QuotaRequest &request) {
        receiveQuotaRequest(state, request);
    });
    onQuotaNotice(state, kGrantMethod, quotaResponseFromJson, [&quota](const QuotaResponse &response) {
        quota.entryInputs.responses.push_back(response);
    });
    onQuotaNotice(state, kLoanMethod, quotaResponseFromJson, [&quota](const QuotaResponse &response) {
        quota.holderInputs.responses.push_back(response);
    });
    onQuotaNotice(state, kWeightsRequestMethod, weightsRequestFromJson, [&quota](const WeightsRequest &request) {
        quota.holderInputs.weightsRequests.push_back(request);
    });
    onQuotaNotice(state, kWeightsAckMethod, weightsAckFromJson, [&quota](const WeightsAck &ack) {
        quota.holderInputs.weightsAcks.push_back(ack);
    });
}

void runQuota(NodeState &state)
{
    while (!state.ending) {
        const TimePoint now = BootClock::now();
        processQuota(state);
        auto &open = state.quota.openQuotaRequests;
        for (auto row = open.begin(); row != open.end();) {
            row = now - row->second.second > kOpenRequestLifetime ? open.erase(row) : std::next(row);
        }
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
