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

void sendGrant(Tick &tick, const QuotaAsk &ask, TeamLevel &team, MicroTokens amount, bool fromLoans)
{
    const auto &rule = tick.inputs.rules.at(ask.team);
    QuotaAnswer answer;
    answer.team = ask.team;
    answer.from = tick.table.self;
    answer.ask = ask.number;
    answer.tokenInterval = mintingTime(kOneToken, rule.rate);
    answer.outcome = amount > 0 ? QuotaOutcome::Granted : QuotaOutcome::Short;
    if (amount > 0) {
        std::tie(answer.grant, answer.lifetime) = issueGrant(tick.table, tick.params, ask.team, amount, fromLoans, tick.now);
        answer.amount = amount;
        team.levelingDue = team.levelingDue || ask.mayBorrow;
    }
    answer.level = team.level;
    tick.out.answers.emplace_back(ask.from, std::move(answer));
}

void sendUnavailable(Tick &tick, const QuotaAsk &ask)
{
    QuotaAnswer answer;
    answer.team = ask.team;
    answer.from = tick.table.self;
    answer.ask = ask.number;
    answer.outcome = QuotaOutcome::Unavailable;
    tick.out.answers.emplace_back(ask.from, std::move(answer));
}

void takeAsk(Tick &tick, const QuotaAsk &ask)
{
    for (const auto &report : ask.reports) {
        const auto grant = tick.table.grants.find(report.grant);
        if (grant != tick.table.grants.end() && grant->second.team == ask.team) {
            applyReport(tick.table, report);
        }
    }
    if (ask.wanted <= 0) {
        return;
    }
    auto *team = mintedTeam(tick, ask.team);
    if (team == nullptr) {
        sendUnavailable(tick, ask);
        return;
    }
    if (ask.mayBorrow) {
        team->waiting.push_back(WaitingAsk{ask, tick.now + tick.params.askPatience});
        return;
    }
    const auto lendable = std::min(ask.wanted, lendableTokens(*team, tick.table.self, ask.from));
    sendGrant(tick, ask, *team, lendable, false);
}

/// Refuses all waiting asks of a team. `elsewhere` is what other holders are expected to have.
void refuseAll(Tick &tick, TeamLevel &team, MicroTokens elsewhere)
{
    MicroTokens missing = -availableTokens(team, tick.now) - elsewhere;
    while (!team.waiting.empty()) {
        const QuotaAsk ask = team.waiting.front().ask;
        team.waiting.pop_front();
        missing += ask.minimum;
        sendGrant(tick, ask, team, 0, true);
        auto &answer = tick.out.answers.back().second;
        answer.retryAfter = mintingTime(std::max<MicroTokens>(missing, 1), tick.inputs.rules.at(ask.team).rate);
    }
}

/// Answers the waiting asks of a team in their order, borrows for those that need more, refuses those that cannot be
/// helped.
void serveWaiting(Tick &tick, const TeamName &name)
{
    auto &team = tick.table.teams.at(name);
    if (team.waiting.empty()) {
        return;
    }
    if (mintedTeam(tick, name) == nullptr) {
        for (const auto &waiting : team.waiting) {
            sendUnavailable(tick, waiting.ask);
        }
        team.waiting.clear();
        return;
    }
    while (!team.waiting.empty()) {
        const QuotaAsk ask = team.waiting.front().ask;
        const MicroTokens available = availableTokens(team, tick.now);
        if (available < ask.minimum) {
            break;
        }
        // One ask does not empty the level while others wait; entry nodes can only use whole tokens.
        const auto even = std::max(ask.minimum, available / static_cast<MicroTokens>(team.waiting.size()));
        const MicroTokens amount = std::max(ask.minimum, std::min(ask.wanted, even) / kOneToken * kOneToken);
        team.waiting.pop_front();
        sendGrant(tick, ask, team, amount, true);
    }
    if (team.waiting.empty()) {
        return;
    }
    const auto elsewhere = borrowTokens(tick.table, tick.params, name, tick.inputs.rules.at(name), tick.inputs, tick.now, tick.out);
    const auto &first = team.waiting.front();
    if (availableTokens(team, tick.now) + elsewhere < first.ask.minimum || tick.now >= first.giveUpAt) {
        refuseAll(tick, team, elsewhere);
    }
}

/// Uses the time in which no ask waits to absorb loans and to fetch tokens from full holders.
void levelTeam(Tick &tick, const TeamName &name)
{
    auto &team = tick.table.teams.at(name);
    if (!team.waiting.empty() || mintedTeam(tick, name) == nullptr) {
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
        const bool idle = team.outstanding == 0 && team.waiting.empty() && team.loans.empty() && !team.levelingDue;
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
    for (const auto &ask : tick.inputs.weightsAsks) {
        const auto found = tick.table.ranges.find(ask.range);
        if (found != tick.table.ranges.end() && isValid(tick, ask.range) && found->second.share.version == ask.version
            && keepsToTarget(tick, ask.range, found->second.share)) {
            tick.out.weightsAcks.emplace_back(ask.from, WeightsAck{ask.range, ask.version, tick.table.domain});
        }
    }
    for (auto &[range, held] : tick.table.ranges) {
        const auto peers = tick.inputs.peers.find(range);
        if (!isValid(tick, range) || held.share.awaited.empty() || tick.now < held.share.nextAskAt || peers == tick.inputs.peers.end()) {
            continue;
        }
        held.share.nextAskAt = tick.now + milliseconds(500);
        for (const auto &domain : held.share.awaited) {
            const auto node = peers->second.find(domain);
            if (node != peers->second.end()) {
                tick.out.weightsAsks.emplace_back(node->second, WeightsAsk{range, held.share.version, tick.table.self});
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
    for (const auto &answer : inputs.answers) {
        takeLoan(table, params, answer, now, out);
    }
    for (const auto &ask : inputs.asks) {
        takeAsk(tick, ask);
    }
    for (const auto &[name, team] : table.teams) {
        serveWaiting(tick, name);
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
