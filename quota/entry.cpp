#include "quota/entry.h"

#include "core/hash.h"

#include <algorithm>
#include <utility>

namespace snipestream
{

namespace
{

/// Longer than a holder counts a grant as outstanding, so that the tokens of a late duplicate are not returned as
/// unused.
constexpr Duration kSeenGrantRetention = seconds(5);

auto isUsable(const CachedGrant &grant, TimePoint now) -> bool
{
    return grant.remaining > 0 && now < grant.expiresAt;
}

auto cachedTokens(const EntryTeam &team, TimePoint now) -> MicroTokens
{
    MicroTokens sum = 0;
    for (const auto &grant : team.grants) {
        sum += isUsable(grant, now) ? grant.remaining : 0;
    }
    return sum;
}

/// Notes that the holder has to be told what happened to the grant's tokens.
void markUnreported(CachedGrant &grant, TimePoint now)
{
    grant.unreportedSince = grant.unreportedSince.value_or(now);
}

/// Spends one token from grants that have not expired, those that expire first before the others. Returns its parts, which are
/// none if there are too few tokens.
auto spendToken(EntryTeam &team, TimePoint now) -> std::vector<TokenPart>
{
    std::vector<TokenPart> token;
    if (cachedTokens(team, now) < kOneToken) {
        return token;
    }
    std::sort(team.grants.begin(), team.grants.end(), [](const CachedGrant &a, const CachedGrant &b) {
        return a.expiresAt < b.expiresAt;
    });
    MicroTokens due = kOneToken;
    for (auto &grant : team.grants) {
        const MicroTokens taken = isUsable(grant, now) ? std::min(due, grant.remaining) : 0;
        if (taken > 0) {
            grant.remaining -= taken;
            grant.spent += taken;
            markUnreported(grant, now);
            due -= taken;
            token.push_back({grant.holder, grant.number, taken});
        }
    }
    return token;
}

/// Reverses the spending of a part if the grant can still be used and the holder has not been told of it.
auto unspend(EntryTeam &team, const TokenPart &part, TimePoint now) -> bool
{
    const auto grant = std::find_if(team.grants.begin(), team.grants.end(), [&part](const CachedGrant &cached) {
        return cached.holder == part.holder && cached.number == part.grantNumber;
    });
    if (grant == team.grants.end() || now >= grant->expiresAt) {
        return false;
    }
    if (grant->spent - grant->reportedSpent < part.amount) {
        return false;
    }
    grant->spent -= part.amount;
    grant->remaining += part.amount;
    return true;
}

/// Returns the number of token requests in the last demand window.
auto recentDemand(EntryTeam &team, const QuotaParams &params, TimePoint now) -> int64_t
{
    while (!team.requestTimes.empty() && now - team.requestTimes.front() >= params.demandWindow) {
        team.requestTimes.pop_front();
    }
    return static_cast<int64_t>(team.requestTimes.size());
}

auto admission(uint64_t tokenRequestId, std::vector<TokenPart> token) -> TokenDecision
{
    TokenDecision decision;
    decision.tokenRequestId = tokenRequestId;
    decision.state = TokenState::Admitted;
    decision.token = std::move(token);
    return decision;
}

auto refusal(uint64_t tokenRequestId, RefusalReason reason, Duration retryAfter) -> TokenDecision
{
    return TokenDecision{tokenRequestId, TokenState::Refused, reason, std::max<Duration>(retryAfter, milliseconds(1))};
}

void applyResponse(EntryTable &table, const QuotaParams &params, const QuotaResponse &response, TimePoint now, EntryOutputs &out)
{
    auto &team = table.teams[response.team];
    const bool expected = team.pending && team.pending->number == response.requestNumber && team.pending->holder == response.from;
    TimePoint expiresAt = now;
    if (expected) {
        team.timeouts = 0;
        team.lastHolder = response.from;
        team.lastResponseAt = now;
        expiresAt = (params.lifetimeFromReceipt ? now : team.pending->sentAt) + response.lifetime;
        team.pending.reset();
        team.tokenInterval = response.tokenInterval;
        team.nextTokenAt = response.outcome == QuotaOutcome::Insufficient ? now + std::max(response.retryAfter, params.exhaustedRequestInterval) : TimePoint{};
        if (response.outcome == QuotaOutcome::Unavailable) {
            table.holderBackoffUntil[response.from] = now + params.holderBackoff;
            team.nextRequestAt = now;
        }
    }
    if (response.amount <= 0) {
        return;
    }
    const auto id = std::make_pair(response.from, response.grantNumber);
    const bool isNew = table.seenGrants.emplace(id, now + kSeenGrantRetention).second;
    if (!isNew && !params.countDuplicates) {
        return;
    }
    if (!isNew) {
        expiresAt = now + response.lifetime;
    } else if (!expected || now >= expiresAt) {
        QuotaRequest returnRequest;
        returnRequest.team = response.team;
        returnRequest.from = table.self;
        returnRequest.number = table.nextNumber++;
        returnRequest.reports.push_back(SpentReport{response.grantNumber, 0, response.amount, 0});
        out.requests.emplace_back(response.from, std::move(returnRequest));
        return;
    }
    CachedGrant grant;
    grant.holder = response.from;
    grant.number = response.grantNumber;
    grant.remaining = response.amount;
    grant.receivedAt = now;
    grant.expiresAt = expiresAt;
    team.grants.push_back(std::move(grant));
}

/// Marks the tokens of expired grants as returned, and those of old grants if the team has no demand.
void returnUnusedTokens(EntryTeam &team, const QuotaParams &params, int64_t demand, TimePoint now)
{
    for (auto &grant : team.grants) {
        const bool idle = demand == 0 && team.queue.empty() && now - grant.receivedAt >= params.returnGrantAfter;
        if (grant.remaining > 0 && (idle || now >= grant.expiresAt)) {
            grant.returned += grant.remaining;
            grant.remaining = 0;
            markUnreported(grant, now);
        }
    }
}

void removeUsedGrants(EntryTeam &team)
{
    team.grants.erase(std::remove_if(team.grants.begin(), team.grants.end(),
                                     [](const CachedGrant &grant) {
                                         return grant.remaining == 0 && !grant.unreportedSince;
                                     }),
                      team.grants.end());
}

/// Adds the unreported amounts of a holder's grants to a message, and removes the grants that are used up.
void addReports(EntryTeam &team, const NodeName &holder, QuotaRequest &request)
{
    for (auto &grant : team.grants) {
        if (grant.holder == holder && grant.unreportedSince) {
            request.reports.push_back(SpentReport{grant.number, grant.spent, grant.returned, 0});
            grant.reportedSpent = grant.spent;
            grant.unreportedSince.reset();
        }
    }
    for (auto &[id, refund] : team.refunds) {
        if (id.first == holder && refund.unreportedSince) {
            request.reports.push_back(SpentReport{id.second, 0, 0, refund.amount});
            refund.unreportedSince.reset();
        }
    }
    removeUsedGrants(team);
}

void sendReports(EntryTable &table, const QuotaParams &params, const TeamName &name, EntryTeam &team, bool batchReports, TimePoint now, EntryOutputs &out)
{
    if (now < team.nextReportAt) {
        return;
    }
    const Duration delay = batchReports ? params.reportBatchDelay : Duration::zero();
    std::vector<NodeName> holders;
    for (const auto &grant : team.grants) {
        if (grant.unreportedSince && now - *grant.unreportedSince >= delay) {
            holders.push_back(grant.holder);
        }
    }
    for (const auto &[id, refund] : team.refunds) {
        if (refund.unreportedSince && now - *refund.unreportedSince >= delay) {
            holders.push_back(id.first);
        }
    }
    std::sort(holders.begin(), holders.end());
    holders.erase(std::unique(holders.begin(), holders.end()), holders.end());
    for (const auto &holder : holders) {
        QuotaRequest report;
        report.team = name;
        report.from = table.self;
        report.number = table.nextNumber++;
        addReports(team, holder, report);
        out.requests.emplace_back(holder, std::move(report));
        team.nextReportAt = now + params.minRequestInterval;
    }
}

/// Refuses all queued token requests of a team. `firstRetryAfter` is the retry-after delay of the first one; that of
/// each later one is one token interval longer.
void refuseQueue(EntryTeam &team, RefusalReason reason, Duration firstRetryAfter, EntryOutputs &out)
{
    Duration retryAfter = firstRetryAfter;
    for (const auto &request : team.queue) {
        out.decisions.push_back(refusal(request.tokenRequestId, reason, retryAfter));
        retryAfter += team.tokenInterval;
    }
    team.queue.clear();
}

/// Refuses the token requests whose token will not be minted in time, and those that have waited too long for a
/// response.
void refuseOverdue(EntryTeam &team, const QuotaParams &params, TimePoint now, EntryOutputs &out)
{
    std::deque<QueuedTokenRequest> stillQueued;
    TimePoint mintedAt = std::max(team.nextTokenAt, now);
    for (const auto &request : team.queue) {
        const bool isExhausted = team.nextTokenAt > now;
        if (isExhausted && (mintedAt > now + params.mintTimeout || mintedAt > request.deadline)) {
            out.decisions.push_back(refusal(request.tokenRequestId, RefusalReason::RateExceeded, mintedAt - now));
        } else if (now >= request.deadline) {
            const auto reason = isExhausted ? RefusalReason::RateExceeded : RefusalReason::QuotaUnavailable;
            out.decisions.push_back(refusal(request.tokenRequestId, reason, params.holderBackoff));
        } else {
            stillQueued.push_back(request);
        }
        mintedAt += team.tokenInterval;
    }
    team.queue = std::move(stillQueued);
}

/// Sends a request to a holder if token requests are queued or if less than half of the expected demand is prefetched.
void sendRequest(EntryTable &table, const QuotaParams &params, const TeamName &name, EntryTeam &team, int64_t demand, TimePoint now, const EntryInputs &inputs,
                 EntryOutputs &out)
{
    const MicroTokens cached = cachedTokens(team, now);
    const MicroTokens prefetch = demand >= params.minPrefetchDemand ? demand * kOneToken : 0;
    const MicroTokens needed = static_cast<MicroTokens>(team.queue.size()) * kOneToken;
    if ((needed == 0 && cached * 2 >= prefetch) || team.pending || now < team.nextRequestAt || now < team.nextTokenAt) {
        return;
    }
    const auto holders = inputs.holders(rangeOf(name.value));
    const auto holder = std::find_if(holders.begin(), holders.end(), [&](const NodeName &candidate) {
        const auto backoff = table.holderBackoffUntil.find(candidate);
        return backoff == table.holderBackoffUntil.end() || now >= backoff->second;
    });
    if (holder == holders.end()) {
        refuseQueue(team, RefusalReason::QuotaUnavailable, params.holderBackoff, out);
        return;
    }
    QuotaRequest request;
    request.team = name;
    request.from = table.self;
    request.number = table.nextNumber++;
    request.minAmount = kOneToken;
    request.requestedAmount = std::max(needed, needed + prefetch - cached);
    addReports(team, *holder, request);
    team.pending = PendingQuotaRequest{request.number, *holder, now};
    team.nextRequestAt = now + params.minRequestInterval;
    out.requests.emplace_back(*holder, std::move(request));
}

/// Abandons a request without a response. After several of them, no more are sent to the holder for a while.
void abandonOverdueRequest(EntryTable &table, const QuotaParams &params, EntryTeam &team, TimePoint now)
{
    if (!team.pending || now - team.pending->sentAt < params.requestTimeout) {
        return;
    }
    if (++team.timeouts >= params.timeoutsBeforeBackoff) {
        team.timeouts = 0;
        table.holderBackoffUntil[team.pending->holder] = now + params.silentHolderBackoff;
    }
    team.pending.reset();
}

void removeExpired(EntryTable &table, TimePoint now)
{
    const auto drop = [now](auto &times) {
        for (auto item = times.begin(); item != times.end();) {
            item = now >= item->second ? times.erase(item) : std::next(item);
        }
    };
    drop(table.holderBackoffUntil);
    drop(table.seenGrants);
    for (auto item = table.teams.begin(); item != table.teams.end();) {
        auto &team = item->second;
        for (auto refund = team.refunds.begin(); refund != team.refunds.end();) {
            refund = now >= refund->second.expiresAt ? team.refunds.erase(refund) : std::next(refund);
        }
        const bool idle = team.grants.empty() && team.refunds.empty() && team.queue.empty() && !team.pending && team.requestTimes.empty()
            && now >= team.nextTokenAt && now >= team.nextRequestAt;
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

auto requestToken(EntryTable &table, const QuotaParams &params, const TeamName &team, uint64_t tokenRequestId, TimePoint now, TimePoint deadline)
    -> TokenDecision
{
    auto &entry = table.teams[team];
    entry.requestTimes.push_back(now);
    recentDemand(entry, params, now);
    if (entry.queue.empty()) {
        auto token = spendToken(entry, now);
        if (!token.empty()) {
            return admission(tokenRequestId, std::move(token));
        }
    }
    const Duration wait = entry.nextTokenAt - now + entry.tokenInterval * static_cast<int64_t>(entry.queue.size());
    if (entry.nextTokenAt > now && (wait > params.mintTimeout || now + wait > deadline)) {
        return refusal(tokenRequestId, RefusalReason::RateExceeded, wait);
    }
    entry.queue.push_back(QueuedTokenRequest{tokenRequestId, std::min(deadline, now + params.responseTimeout)});
    return TokenDecision{tokenRequestId, TokenState::Queued};
}

void returnToken(EntryTable &table, const QuotaParams &params, const TeamName &team, const std::vector<TokenPart> &token, TimePoint now)
{
    auto &entry = table.teams[team];
    for (const auto &part : token) {
        if (unspend(entry, part, now)) {
            continue;
        }
        if (params.reuseSpentTokens) {
            CachedGrant reused;
            reused.holder = part.holder;
            reused.number = part.grantNumber;
            reused.remaining = part.amount;
            reused.receivedAt = now;
            reused.expiresAt = now + params.grantLifetime;
            entry.grants.push_back(std::move(reused));
            continue;
        }
        auto &refund = entry.refunds[{part.holder, part.grantNumber}];
        refund.amount += part.amount;
        refund.expiresAt = now + params.outstandingLifetime;
        refund.unreportedSince = refund.unreportedSince.value_or(now);
    }
}

void cancelRequest(EntryTable &table, const TeamName &team, uint64_t tokenRequestId)
{
    const auto found = table.teams.find(team);
    if (found == table.teams.end()) {
        return;
    }
    auto &queue = found->second.queue;
    queue.erase(std::remove_if(queue.begin(), queue.end(),
                               [tokenRequestId](const QueuedTokenRequest &request) {
                                   return request.tokenRequestId == tokenRequestId;
                               }),
                queue.end());
}

auto tickEntry(EntryTable &table, const QuotaParams &params, TimePoint now, const EntryInputs &inputs) -> EntryOutputs
{
    EntryOutputs out;
    removeExpired(table, now);
    for (const auto &response : inputs.responses) {
        applyResponse(table, params, response, now, out);
    }
    for (auto &[name, team] : table.teams) {
        while (!team.queue.empty() && now < team.queue.front().deadline) {
            auto token = spendToken(team, now);
            if (token.empty()) {
                break;
            }
            out.decisions.push_back(admission(team.queue.front().tokenRequestId, std::move(token)));
            team.queue.pop_front();
        }
        abandonOverdueRequest(table, params, team, now);
        const int64_t demand = recentDemand(team, params, now);
        refuseOverdue(team, params, now, out);
        returnUnusedTokens(team, params, demand, now);
        sendRequest(table, params, name, team, demand, now, inputs, out);
        sendReports(table, params, name, team, demand >= params.minPrefetchDemand, now, out);
        removeUsedGrants(team);
    }
    return out;
}

} // namespace snipestream
