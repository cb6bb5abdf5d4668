#include "quota/entry.h"

#include "core/hash.h"

#include <algorithm>

namespace snipestream
{

namespace
{

/// Longer than a holder counts a grant, so that a late duplicate cannot be returned as unused.
constexpr Duration kRememberGrants = seconds(5);

auto isUsable(const CachedGrant &grant, TimePoint now) -> bool
{
    return grant.left > 0 && now < grant.expiresAt;
}

auto cachedTokens(const EntryTeam &team, TimePoint now) -> MicroTokens
{
    MicroTokens sum = 0;
    for (const auto &grant : team.grants) {
        sum += isUsable(grant, now) ? grant.left : 0;
    }
    return sum;
}

/// Spends one token of grants that have not expired at this moment, those that expire first before the others.
auto spendToken(EntryTeam &team, TimePoint now) -> bool
{
    if (cachedTokens(team, now) < kOneToken) {
        return false;
    }
    std::sort(team.grants.begin(), team.grants.end(), [](const CachedGrant &a, const CachedGrant &b) {
        return a.expiresAt < b.expiresAt;
    });
    MicroTokens due = kOneToken;
    for (auto &grant : team.grants) {
        const MicroTokens taken = isUsable(grant, now) ? std::min(due, grant.left) : 0;
        if (taken > 0) {
            grant.left -= taken;
            grant.spent += taken;
            grant.unreportedSince = grant.unreportedSince.value_or(now);
            due -= taken;
        }
    }
    return true;
}

auto recentDemand(EntryTeam &team, const QuotaParams &params, TimePoint now) -> int64_t
{
    while (!team.demand.empty() && now - team.demand.front() >= params.demandWindow) {
        team.demand.pop_front();
    }
    return static_cast<int64_t>(team.demand.size());
}

auto refusal(uint64_t ticket, RefusalReason reason, Duration retryAfter) -> TokenVerdict
{
    return TokenVerdict{ticket, TokenState::Refused, reason, std::max<Duration>(retryAfter, milliseconds(1))};
}

void takeAnswer(EntryTable &table, const QuotaParams &params, const QuotaAnswer &answer, TimePoint now, EntryOutputs &out)
{
    auto &team = table.teams[answer.team];
    const bool expected = team.pending && team.pending->number == answer.ask && team.pending->holder == answer.from;
    TimePoint expiresAt = now;
    if (expected) {
        expiresAt = (params.lifetimeFromReceipt ? now : team.pending->sentAt) + answer.lifetime;
        team.pending.reset();
        team.tokenInterval = answer.tokenInterval;
        team.shortUntil = answer.outcome == QuotaOutcome::Short ? now + answer.retryAfter : TimePoint{};
        if (answer.outcome == QuotaOutcome::Unavailable) {
            table.avoided[answer.from] = now + params.holderBackoff;
            team.nextAskAt = now;
        }
    }
    if (answer.amount <= 0) {
        return;
    }
    const auto id = std::make_pair(answer.from, answer.grant);
    const bool isNew = table.seenGrants.emplace(id, now + kRememberGrants).second;
    if (!isNew && !params.countDuplicates) {
        return;
    }
    if (!isNew) {
        expiresAt = now + answer.lifetime;
    } else if (!expected || now >= expiresAt) {
        QuotaAsk giveBack;
        giveBack.team = answer.team;
        giveBack.from = table.self;
        giveBack.number = table.nextNumber++;
        giveBack.reports.push_back(SpentReport{answer.grant, 0, answer.amount});
        out.asks.emplace_back(answer.from, std::move(giveBack));
        return;
    }
    CachedGrant grant;
    grant.holder = answer.from;
    grant.number = answer.grant;
    grant.left = answer.amount;
    grant.takenAt = now;
    grant.expiresAt = expiresAt;
    team.grants.push_back(std::move(grant));
}

void returnIdle(EntryTeam &team, const QuotaParams &params, int64_t demand, TimePoint now)
{
    for (auto &grant : team.grants) {
        const bool idle = demand == 0 && team.waiting.empty() && now - grant.takenAt >= params.returnGrantAfter;
        if (grant.left > 0 && (idle || now >= grant.expiresAt)) {
            grant.returned += grant.left;
            grant.left = 0;
            grant.unreportedSince = grant.unreportedSince.value_or(now);
        }
    }
}

/// Moves the unreported amounts of a holder's grants into a message.
void fillReports(EntryTeam &team, const NodeName &holder, QuotaAsk &ask)
{
    for (auto &grant : team.grants) {
        if (grant.holder == holder && grant.unreportedSince) {
            ask.reports.push_back(SpentReport{grant.number, grant.spent, grant.returned});
            grant.unreportedSince.reset();
        }
    }
    team.grants.erase(std::remove_if(team.grants.begin(), team.grants.end(),
                                     [](const CachedGrant &grant) {
                                         return grant.left == 0 && !grant.unreportedSince;
                                     }),
                      team.grants.end());
}

void sendReports(EntryTable &table, const QuotaParams &params, const TeamName &name, EntryTeam &team, bool large, TimePoint now, EntryOutputs &out)
{
    if (now < team.nextReportAt) {
        return;
    }
    const Duration delay = large ? params.reportBatch : Duration::zero();
    std::vector<NodeName> holders;
    for (const auto &grant : team.grants) {
        if (grant.unreportedSince && now - *grant.unreportedSince >= delay) {
            holders.push_back(grant.holder);
        }
    }
    std::sort(holders.begin(), holders.end());
    holders.erase(std::unique(holders.begin(), holders.end()), holders.end());
    for (const auto &holder : holders) {
        QuotaAsk report;
        report.team = name;
        report.from = table.self;
        report.number = table.nextNumber++;
        fillReports(team, holder, report);
        out.asks.emplace_back(holder, std::move(report));
        team.nextReportAt = now + params.askGap;
    }
}

void refuseWaiting(EntryTeam &team, RefusalReason reason, Duration first, EntryOutputs &out)
{
    Duration retryAfter = first;
    for (const auto &request : team.waiting) {
        out.verdicts.push_back(refusal(request.ticket, reason, retryAfter));
        retryAfter += team.tokenInterval;
    }
    team.waiting.clear();
}

/// Refuses the requests whose token will not be minted in time, and those that waited too long for an answer.
void refuseLate(EntryTeam &team, const QuotaParams &params, TimePoint now, EntryOutputs &out)
{
    std::deque<TokenWaiter> kept;
    TimePoint mintedAt = std::max(team.shortUntil, now);
    for (const auto &request : team.waiting) {
        const bool isShort = team.shortUntil > now;
        if (isShort && (mintedAt > now + params.mintPatience || mintedAt > request.giveUpAt)) {
            out.verdicts.push_back(refusal(request.ticket, RefusalReason::RateExceeded, mintedAt - now));
        } else if (now >= request.giveUpAt) {
            const auto reason = isShort ? RefusalReason::RateExceeded : RefusalReason::QuotaUnavailable;
            out.verdicts.push_back(refusal(request.ticket, reason, params.holderBackoff));
        } else {
            kept.push_back(request);
        }
        mintedAt += team.tokenInterval;
    }
    team.waiting = std::move(kept);
}

void sendAsk(EntryTable &table, const QuotaParams &params, const TeamName &name, EntryTeam &team, int64_t demand, TimePoint now, const EntryInputs &inputs,
             EntryOutputs &out)
{
    const MicroTokens cached = cachedTokens(team, now);
    const MicroTokens prefetch = demand >= params.largeDemand ? demand * kOneToken : 0;
    const MicroTokens needed = static_cast<MicroTokens>(team.waiting.size()) * kOneToken;
    if ((needed == 0 && cached * 2 >= prefetch) || team.pending || now < team.nextAskAt || now < team.shortUntil) {
        return;
    }
    const auto holders = inputs.holders(rangeOf(name.value));
    const auto holder = std::find_if(holders.begin(), holders.end(), [&](const NodeName &candidate) {
        const auto avoided = table.avoided.find(candidate);
        return avoided == table.avoided.end() || now >= avoided->second;
    });
    if (holder == holders.end()) {
        refuseWaiting(team, RefusalReason::QuotaUnavailable, params.holderBackoff, out);
        return;
    }
    QuotaAsk ask;
    ask.team = name;
    ask.from = table.self;
    ask.number = table.nextNumber++;
    ask.minimum = kOneToken;
    ask.wanted = std::max(needed, needed + prefetch - cached);
    fillReports(team, *holder, ask);
    team.pending = PendingAsk{ask.number, *holder, now};
    team.nextAskAt = now + params.askGap;
    out.asks.emplace_back(*holder, std::move(ask));
}

void forgetOld(EntryTable &table, TimePoint now)
{
    const auto drop = [now](auto &times) {
        for (auto item = times.begin(); item != times.end();) {
            item = now >= item->second ? times.erase(item) : std::next(item);
        }
    };
    drop(table.avoided);
    drop(table.seenGrants);
    for (auto item = table.teams.begin(); item != table.teams.end();) {
        const auto &team = item->second;
        const bool idle =
            team.grants.empty() && team.waiting.empty() && !team.pending && team.demand.empty() && now >= team.shortUntil && now >= team.nextAskAt;
        item = idle ? table.teams.erase(item) : std::next(item);
    }
}

} // namespace

auto makeEntryTable(const NodeName &self, uint64_t incarnation) -> EntryTable
{
    EntryTable table;
    table.self = self;
    table.nextNumber = firstNumber(incarnation);
    return table;
}

auto requestToken(EntryTable &table, const QuotaParams &params, const TeamName &team, uint64_t ticket, TimePoint now, TimePoint deadline) -> TokenVerdict
{
    auto &entry = table.teams[team];
    entry.demand.push_back(now);
    recentDemand(entry, params, now);
    if (entry.waiting.empty() && spendToken(entry, now)) {
        return TokenVerdict{ticket, TokenState::Admitted};
    }
    const Duration wait = entry.shortUntil - now + entry.tokenInterval * static_cast<int64_t>(entry.waiting.size());
    if (entry.shortUntil > now && (wait > params.mintPatience || now + wait > deadline)) {
        return refusal(ticket, RefusalReason::RateExceeded, wait);
    }
    entry.waiting.push_back(TokenWaiter{ticket, std::min(deadline, now + params.answerPatience)});
    return TokenVerdict{ticket, TokenState::Waiting};
}

void cancelRequest(EntryTable &table, const TeamName &team, uint64_t ticket)
{
    const auto found = table.teams.find(team);
    if (found == table.teams.end()) {
        return;
    }
    auto &waiting = found->second.waiting;
    waiting.erase(std::remove_if(waiting.begin(), waiting.end(),
                                 [ticket](const TokenWaiter &request) {
                                     return request.ticket == ticket;
                                 }),
                  waiting.end());
}

auto tickEntry(EntryTable &table, const QuotaParams &params, TimePoint now, const EntryInputs &inputs) -> EntryOutputs
{
    EntryOutputs out;
    forgetOld(table, now);
    for (const auto &answer : inputs.answers) {
        takeAnswer(table, params, answer, now, out);
    }
    for (auto &[name, team] : table.teams) {
        while (!team.waiting.empty() && now < team.waiting.front().giveUpAt && spendToken(team, now)) {
            out.verdicts.push_back(TokenVerdict{team.waiting.front().ticket, TokenState::Admitted});
            team.waiting.pop_front();
        }
        if (team.pending && now - team.pending->sentAt >= params.askTimeout) {
            table.avoided[team.pending->holder] = now + params.holderBackoff;
            team.pending.reset();
        }
        const int64_t demand = recentDemand(team, params, now);
        refuseLate(team, params, now, out);
        returnIdle(team, params, demand, now);
        sendAsk(table, params, name, team, demand, now, inputs, out);
        sendReports(table, params, name, team, demand >= params.largeDemand, now, out);
    }
    return out;
}

} // namespace snipestream
