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

constexpr const char *kAskMethod = "quota.ask";
/// Answer to an entry node.
constexpr const char *kGrantMethod = "quota.grant";
/// Answer to a holder of another domain.
constexpr const char *kLoanMethod = "quota.loan";
constexpr const char *kWeightsAskMethod = "quota.weights";
constexpr const char *kWeightsAckMethod = "quota.weights-ack";

constexpr Duration kTick = milliseconds(5);
/// Asks that get no answer, such as pure reports, are forgotten after this time.
constexpr Duration kOpenAskLifetime = seconds(2);
/// Changes of the domain weights that are remembered. A raise is confirmed within seconds unless a domain is
/// partitioned.
constexpr size_t kMaxWeightHistory = 32;
/// How long a request waits for a holder while its range changes hands. A planned hand-over takes about half a second,
/// and up to three seconds if witnesses have just been restarted.
constexpr Duration kHandOverWait = seconds(4);
constexpr Duration kHandOverPause = milliseconds(50);
/// Requests that wait for it at once; each keeps a fiber, and a node has to stay within 32 MB.
constexpr size_t kMaxHandOverWaiters = 256;

void processQuota(NodeState &state);

/// Brings the rules in the inputs up to the configuration in force.
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

/// Takes over which ranges this node holds at this moment, and who holds them elsewhere.
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

/// Returns the holders of a range, that of the own domain first.
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

/// Sends a notice. Without a link it is sent once the link is there: losing the first ask to a holder would cost its
/// request a whole ask timeout.
void send(NodeState &state, const NodeName &to, const char *method, const nlohmann::json &payload)
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

void takeAsk(NodeState &state, const QuotaRequest &ask)
{
    if (ask.requestedAmount > 0) {
        state.quota.openAsks[{ask.from, ask.number}] = {ask.mayBorrow, BootClock::now()};
    }
    state.quota.holderInputs.requests.push_back(ask);
}

/// Sends an answer of the holder side to the side that asked.
void sendAnswer(NodeState &state, const NodeName &to, const QuotaResponse &answer)
{
    const auto open = state.quota.openAsks.find({to, answer.requestNumber});
    const bool toEntry = open == state.quota.openAsks.end() || open->second.first;
    if (open != state.quota.openAsks.end()) {
        state.quota.openAsks.erase(open);
    }
    if (to != state.settings.node) {
        send(state, to, toEntry ? kGrantMethod : kLoanMethod, toJson(answer));
    } else if (toEntry) {
        state.quota.entryInputs.responses.push_back(answer);
    } else {
        state.quota.holderInputs.responses.push_back(answer);
    }
}

void sendAsk(NodeState &state, const NodeName &to, const QuotaRequest &ask)
{
    if (to == state.settings.node) {
        takeAsk(state, ask);
    } else {
        send(state, to, kAskMethod, toJson(ask));
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
    for (const auto &[to, answer] : outputs.responses) {
        sendAnswer(state, to, answer);
    }
    for (const auto &[to, ask] : outputs.peerRequests) {
        sendAsk(state, to, ask);
    }
    for (const auto &[to, ask] : outputs.weightsRequests) {
        send(state, to, kWeightsAskMethod, toJson(ask));
    }
    for (const auto &[to, ack] : outputs.weightsAcks) {
        send(state, to, kWeightsAckMethod, toJson(ack));
    }
}

void runEntry(NodeState &state, TimePoint now)
{
    QuotaState &quota = state.quota;
    const EntryOutputs outputs = tickEntry(quota.entry, quota.params, now, quota.entryInputs);
    quota.entryInputs.responses.clear();
    for (const auto &verdict : outputs.decisions) {
        const auto wait = quota.waits.find(verdict.tokenRequestId);
        if (wait != quota.waits.end()) {
            wait->second->verdict = verdict;
            wait->second->isDecided = true;
            wait->second->event.notify();
        }
    }
    for (const auto &[to, ask] : outputs.requests) {
        sendAsk(state, to, ask);
    }
}

/// Runs both sides until no message to this node itself is left. The bound only guards against a loop.
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

/// Registers a notice whose payload is read by `fromJson` and handed to `take`; then both sides run.
template<typename FromJson, typename Take>
void onQuotaNotice(NodeState &state, const char *method, FromJson fromJson, Take take)
{
    state.peers->onNotice(method, [&state, fromJson, take](const PeerIdentity &from, const nlohmann::json &payload) {
        const auto message = fromJson(payload);
        if (!message) {
            return;
        }
        take(message.value());
        processQuota(state);
    });
}

auto refusalOf(const TokenDecision &verdict, const TeamName &team) -> Refusal
{
    const bool isShort = verdict.reason == RefusalReason::RateExceeded;
    return Refusal{verdict.reason, RunState::NotRun, verdict.retryAfter,
                   isShort ? "team " + team.value + " has used its rate and burst" : "no holder of the quota of team " + team.value + " can be reached"};
}

/// Asks once for a token of the team.
auto askForToken(NodeState &state, const TeamName &team, TimePoint deadline) -> std::optional<Refusal>
{
    QuotaState &quota = state.quota;
    const uint64_t ticket = quota.nextTicket++;
    const TokenDecision first = requestToken(quota.entry, quota.params, team, ticket, BootClock::now(), deadline);
    if (first.state == TokenState::Admitted) {
        return std::nullopt;
    }
    if (first.state == TokenState::Refused) {
        return refusalOf(first, team);
    }
    TokenWait wait;
    quota.waits[ticket] = &wait;
    processQuota(state);
    waitFor(state.runtime.context(), wait.event, deadline - BootClock::now(), wait.isDecided);
    quota.waits.erase(ticket);
    if (!wait.isDecided) {
        cancelRequest(quota.entry, team, ticket);
        return Refusal{RefusalReason::DeadlinePassed, RunState::NotRun, {}, "the deadline passed before a token came"};
    }
    if (wait.verdict.state == TokenState::Admitted) {
        return std::nullopt;
    }
    return refusalOf(wait.verdict, team);
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
    if (history.size() > kMaxWeightHistory) {
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
    onQuotaNotice(state, kAskMethod, quotaRequestFromJson, [&state](const QuotaRequest &ask) {
        takeAsk(state, ask);
    });
    onQuotaNotice(state, kGrantMethod, quotaResponseFromJson, [&quota](const QuotaResponse &answer) {
        quota.entryInputs.responses.push_back(answer);
    });
    onQuotaNotice(state, kLoanMethod, quotaResponseFromJson, [&quota](const QuotaResponse &answer) {
        quota.holderInputs.responses.push_back(answer);
    });
    onQuotaNotice(state, kWeightsAskMethod, weightsRequestFromJson, [&quota](const WeightsRequest &ask) {
        quota.holderInputs.weightsRequests.push_back(ask);
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
        auto &open = state.quota.openAsks;
        for (auto row = open.begin(); row != open.end();) {
            row = now - row->second.second > kOpenAskLifetime ? open.erase(row) : std::next(row);
        }
        state.runtime.sleepFor(kTick);
    }
}

auto acquireToken(NodeState &state, const TeamName &team, TimePoint deadline) -> std::optional<Refusal>
{
    const TimePoint giveUp = std::min(deadline, BootClock::now() + kHandOverWait);
    while (true) {
        auto refusal = askForToken(state, team, deadline);
        const bool mayChangeHands = refusal && refusal->reason == RefusalReason::QuotaUnavailable;
        if (!mayChangeHands || state.ending || BootClock::now() + kHandOverPause >= giveUp || state.quota.handOverWaiters >= kMaxHandOverWaiters) {
            return refusal;
        }
        ++state.quota.handOverWaiters;
        state.runtime.sleepFor(kHandOverPause);
        --state.quota.handOverWaiters;
    }
}

} // namespace snipestream
