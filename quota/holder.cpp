#include "quota/holder.h"

#include "quota/accounts.h"
#include "quota/borrowing.h"

#include "core/hash.h"

#include <algorithm>

namespace snipestream
{

namespace
{

struct Tick {
    HolderTable &table;
    const QuotaParams &params;
    TimePoint now;
    const HolderInputs &inputs;
    HolderOutputs &out;
};

/// Returns the time in which `amount` of a team is minted at the given rate; a second if nothing is minted.
auto mintingTime(MicroTokens amount, MicroTokens rate) -> Duration
{
    if (rate <= 0) {
        return seconds(1);
    }
    return Duration(static_cast<int64_t>(static_cast<double>(amount) / static_cast<double>(rate) * 1e9) + 1);
}

void forgetRange(HolderTable &table, uint32_t range)
{
    for (auto team = table.teams.begin(); team != table.teams.end();) {
        if (team->second.range != range) {
            ++team;
            continue;
        }
        for (auto grant = table.grants.begin(); grant != table.grants.end();) {
            grant = grant->second.team == team->first ? table.grants.erase(grant) : std::next(grant);
        }
        team = table.teams.erase(team);
    }
}

/// Follows the leases: a range held anew starts empty, because another holder may have minted in between.
void followLeases(Tick &tick)
{
    for (const auto &[range, validFrom] : tick.inputs.validRanges) {
        const auto found = tick.table.ranges.find(range);
        if (found == tick.table.ranges.end() || found->second.validFrom != validFrom) {
            forgetRange(tick.table, range);
            tick.table.ranges[range] = HolderRange{validFrom, startShare(tick.inputs.weights, tick.table.domain)};
        } else {
            updateShare(found->second.share, tick.inputs.weights, tick.table.domain);
        }
        auto &share = tick.table.ranges.at(range).share;
        share.used = tick.params.raiseAtOnce ? share.target : share.used;
    }
}

auto isValid(const Tick &tick, uint32_t range) -> bool
{
    return tick.inputs.validRanges.count(range) != 0;
}

/// Returns the team with its level up to date, or null if this node may not mint for it now.
auto mintedTeam(Tick &tick, const TeamName &name) -> TeamLevel *
{
    const uint32_t range = rangeOf(name.value);
    const auto rule = tick.inputs.rules.find(name);
    if (!isValid(tick, range) || rule == tick.inputs.rules.end()) {
        return nullptr;
    }
    const auto &held = tick.table.ranges.at(range);
    const auto [found, isNew] = tick.table.teams.try_emplace(name);
    if (isNew) {
        found->second.range = range;
        found->second.mintedAt = held.validFrom + tick.params.takeoverWait;
    }
    mint(found->second, rule->second, held.share.used, tick.now);
    return &found->second;
}

void sendGrant(Tick &tick, const QuotaRequest &request, TeamLevel &team, MicroTokens amount, bool fromLoans)
{
    const auto &rule = tick.inputs.rules.at(request.team);
    QuotaResponse response;
    response.team = request.team;
    response.from = tick.table.self;
    response.requestNumber = request.number;
    response.tokenInterval = mintingTime(kOneToken, rule.rate);
    response.outcome = amount > 0 ? QuotaOutcome::Granted : QuotaOutcome::Short;
    if (amount > 0) {
        std::tie(response.grant, response.lifetime) = issueGrant(tick.table, tick.params, request.team, amount, fromLoans, tick.now);
        response.amount = amount;
        team.levelingDue = team.levelingDue || request.mayBorrow;
    }
    response.level = team.level;
    tick.out.responses.emplace_back(request.from, std::move(response));
}

void sendUnavailable(Tick &tick, const QuotaRequest &request)
{
    QuotaResponse response;
    response.team = request.team;
    response.from = tick.table.self;
    response.requestNumber = request.number;
    response.outcome = QuotaOutcome::Unavailable;
    tick.out.responses.emplace_back(request.from, std::move(response));
}

void handleRequest(Tick &tick, const QuotaRequest &request)
{
    for (const auto &report : request.reports) {
        const auto grant = tick.table.grants.find(report.grant);
        if (grant != tick.table.grants.end() && grant->second.team == request.team) {
            applyReport(tick.table, report);
        }
    }
    if (request.requestedAmount <= 0) {
        return;
    }
    auto *team = mintedTeam(tick, request.team);
    if (team == nullptr) {
        sendUnavailable(tick, request);
        return;
    }
    if (request.mayBorrow) {
        team->queue.push_back(QueuedQuotaRequest{request, tick.now + tick.params.askPatience});
        return;
    }
    const auto lendable = std::min(request.requestedAmount, lendableTokens(*team, tick.table.self, request.from));
    sendGrant(tick, request, *team, lendable, false);
}

/// Refuses all waiting asks of a team. `elsewhere` is what other holders are expected to have.
void refuseAll(Tick &tick, TeamLevel &team, MicroTokens elsewhere)
{
    MicroTokens missing = -availableTokens(team, tick.now) - elsewhere;
    while (!team.queue.empty()) {
        const QuotaRequest request = team.queue.front().request;
        team.queue.pop_front();
        missing += request.minAmount;
        sendGrant(tick, request, team, 0, true);
        auto &response = tick.out.responses.back().second;
        response.retryAfter = mintingTime(std::max<MicroTokens>(missing, 1), tick.inputs.rules.at(request.team).rate);
    }
}

/// Answers the waiting asks of a team in their order, borrows for those that need more, refuses those that cannot be
/// helped.
void processQueue(Tick &tick, const TeamName &name)
{
    auto &team = tick.table.teams.at(name);
    if (team.queue.empty()) {
        return;
    }
    if (mintedTeam(tick, name) == nullptr) {
        for (const auto &queued : team.queue) {
            sendUnavailable(tick, queued.request);
        }
        team.queue.clear();
        return;
    }
    while (!team.queue.empty()) {
        const QuotaRequest request = team.queue.front().request;
        const MicroTokens available = availableTokens(team, tick.now);
        if (available < request.minAmount) {
            break;
        }
        // One ask does not empty the level while others wait; entry nodes can only use whole tokens.
        const auto even = std::max(request.minAmount, available / static_cast<MicroTokens>(team.queue.size()));
        const MicroTokens amount = std::max(request.minAmount, std::min(request.requestedAmount, even) / kOneToken * kOneToken);
        team.queue.pop_front();
        sendGrant(tick, request, team, amount, true);
    }
    if (team.queue.empty()) {
        return;
    }
    const auto elsewhere = borrowTokens(tick.table, tick.params, name, tick.inputs.rules.at(name), tick.inputs, tick.now, tick.out);
    const auto &first = team.queue.front();
    if (availableTokens(team, tick.now) + elsewhere < first.request.minAmount || tick.now >= first.giveUpAt) {
        refuseAll(tick, team, elsewhere);
    }
}

/// Uses the time in which no ask waits to absorb loans and to fetch tokens from full holders.
void levelTeam(Tick &tick, const TeamName &name)
{
    auto &team = tick.table.teams.at(name);
    if (!team.queue.empty() || mintedTeam(tick, name) == nullptr) {
        return;
    }
    const auto &range = tick.table.ranges.at(team.range);
    // Grants of the former holder may still be out; absorbed loans would come on top of them.
    if (tick.now < range.validFrom + tick.params.takeoverWait) {
        return;
    }
    const auto &rule = tick.inputs.rules.at(name);
    const auto &share = range.share.used;
    absorbLoans(team, rule, share, tick.now);
    levelTokens(tick.table, tick.params, name, rule, share, tick.inputs, tick.now, tick.out);
}

/// Forgets teams that have their full share and nothing out. Such a team is full again when it is next asked for, since
/// a new entry mints from the start of the lease on.
void forgetFullTeams(Tick &tick)
{
    auto &teams = tick.table.teams;
    for (auto item = teams.begin(); item != teams.end();) {
        const auto &team = item->second;
        const auto rule = tick.inputs.rules.find(item->first);
        const bool idle = team.outstanding == 0 && team.queue.empty() && team.loans.empty() && !team.levelingDue;
        const bool full = rule == tick.inputs.rules.end() || team.level >= shareOf(rule->second.burst, tick.table.ranges.at(team.range).share.used);
        item = idle && full ? teams.erase(item) : std::next(item);
    }
}

/// Returns whether this holder has no more tokens out than its share under the newest weights allows.
auto keepsToTarget(const Tick &tick, uint32_t range, const ShareState &share) -> bool
{
    if (share.target < share.used) {
        return false;
    }
    return std::all_of(tick.table.teams.begin(), tick.table.teams.end(), [&](const auto &item) {
        const auto rule = tick.inputs.rules.find(item.first);
        return item.second.range != range || rule == tick.inputs.rules.end()
            || item.second.level + item.second.outstanding <= shareOf(rule->second.burst, share.target);
    });
}

void exchangeWeights(Tick &tick)
{
    for (const auto &ack : tick.inputs.weightsAcks) {
        const auto found = tick.table.ranges.find(ack.range);
        if (found != tick.table.ranges.end()) {
            // What was minted before the raise is accounted for at the lower share.
            for (auto &[name, team] : tick.table.teams) {
                if (team.range == ack.range) {
                    mintedTeam(tick, name);
                }
            }
            confirmShare(found->second.share, ack.domain, ack.version);
        }
    }
    for (const auto &request : tick.inputs.weightsRequests) {
        const auto found = tick.table.ranges.find(request.range);
        if (found != tick.table.ranges.end() && isValid(tick, request.range) && found->second.share.version == request.version
            && keepsToTarget(tick, request.range, found->second.share)) {
            tick.out.weightsAcks.emplace_back(request.from, WeightsAck{request.range, request.version, tick.table.domain});
        }
    }
    for (auto &[range, held] : tick.table.ranges) {
        const auto peers = tick.inputs.peers.find(range);
        if (!isValid(tick, range) || held.share.awaited.empty() || tick.now < held.share.nextRequestAt || peers == tick.inputs.peers.end()) {
            continue;
        }
        held.share.nextRequestAt = tick.now + milliseconds(500);
        for (const auto &domain : held.share.awaited) {
            const auto node = peers->second.find(domain);
            if (node != peers->second.end()) {
                tick.out.weightsRequests.emplace_back(node->second, WeightsRequest{range, held.share.version, tick.table.self});
            }
        }
    }
}

} // namespace

auto makeHolderTable(const NodeName &self, const DomainName &domain, uint64_t incarnation) -> HolderTable
{
    HolderTable table;
    table.self = self;
    table.domain = domain;
    table.nextNumber = firstNumber(incarnation);
    return table;
}

auto tickHolder(HolderTable &table, const QuotaParams &params, TimePoint now, const HolderInputs &inputs) -> HolderOutputs
{
    HolderOutputs out;
    Tick tick{table, params, now, inputs, out};
    followLeases(tick);
    for (const auto &[name, team] : table.teams) {
        mintedTeam(tick, name);
    }
    expireGrants(table, now);
    exchangeWeights(tick);
    for (const auto &response : inputs.responses) {
        takeLoan(table, params, response, now, out);
    }
    for (const auto &request : inputs.requests) {
        handleRequest(tick, request);
    }
    for (const auto &[name, team] : table.teams) {
        processQueue(tick, name);
        levelTeam(tick, name);
    }
    reportLoans(table, params, now, out);
    forgetFullTeams(tick);
    return out;
}

auto holderLevel(const HolderTable &table, const TeamName &team) -> std::pair<MicroTokens, MicroTokens>
{
    const auto found = table.teams.find(team);
    return found == table.teams.end() ? std::make_pair(MicroTokens{0}, MicroTokens{0}) : std::make_pair(found->second.level, found->second.outstanding);
}

} // namespace snipestream
