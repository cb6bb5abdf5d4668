#include "quota/accounts.h"

#include <algorithm>

#include <glog/logging.h>

namespace snipestream
{

namespace
{

/// Longer than the lender counts a loan as outstanding, so that the tokens of a late duplicate are not returned to the
/// lender as unused.
constexpr Duration kSeenLoanRetention = seconds(5);

/// Deducts up to `amount` from the outstanding tokens of the parts, in order, and calls `onDeduction` for each deduction.
template<typename OnDeduction>
void consumeParts(Grant &grant, MicroTokens amount, OnDeduction onDeduction)
{
    for (auto &part : grant.parts) {
        const MicroTokens taken = std::min(part.outstanding, amount);
        part.outstanding -= taken;
        amount -= taken;
        if (taken > 0) {
            onDeduction(part.loan, taken);
        }
    }
}

/// Adds refunded tokens to the level as far as the bucket had room for them.
void creditRefund(TeamBucket &team, MicroTokens refunded)
{
    auto &deficit = team.deficit;
    const MicroTokens credit = std::min({refunded, deficit.previous, deficit.current});
    team.level += credit;
    deficit.previous -= credit;
    deficit.current -= credit;
}

} // namespace

void mint(TeamBucket &team, const TeamQuota &rule, const Share &share, TimePoint now)
{
    __extension__ using Wide = __int128;
    const MicroTokens maxLevel = shareOf(rule.burst, share) - team.outstanding;
    if (team.level >= maxLevel || now <= team.mintedAt) {
        // After a lowered rate or weight, the tokens above the new share are discarded.
        team.level = std::max<MicroTokens>(0, std::min(team.level, maxLevel));
        team.mintedAt = std::max(team.mintedAt, now);
        return;
    }
    const Wide perNanosecond = static_cast<Wide>(rule.rate) * share.numerator;
    const Wide scale = static_cast<Wide>(1'000'000'000) * share.denominator;
    const Wide minted = (now - team.mintedAt).count() * perNanosecond / scale;
    if (team.level + minted >= maxLevel) {
        team.level = maxLevel;
        team.mintedAt = now;
    } else if (minted > 0) {
        team.level += static_cast<MicroTokens>(minted);
        // Time that was too short for a whole micro-token counts in the next call. The used time is rounded up, so that
        // no time is counted twice.
        const Wide usedTime = (minted * scale + perNanosecond - 1) / perNanosecond;
        team.mintedAt = std::min(now, team.mintedAt + Duration(static_cast<int64_t>(usedTime)));
    }
}

void observeDeficit(TeamBucket &team, MicroTokens capacity, Duration span, TimePoint now)
{
    auto &deficit = team.deficit;
    const MicroTokens missing = std::max<MicroTokens>(0, capacity - team.level - team.outstanding);
    if (now - deficit.since >= span) {
        deficit = {deficit.current, missing, now};
    }
    deficit.current = std::min(deficit.current, missing);
}

auto availableTokens(const TeamBucket &team, TimePoint now) -> MicroTokens
{
    MicroTokens sum = team.level;
    for (const auto &[number, loan] : team.loans) {
        sum += now < loan.expiresAt ? loan.remaining : 0;
    }
    return sum;
}

auto issueGrant(HolderTable &table, const QuotaParams &params, const TeamName &name, MicroTokens amount, bool fromLoans, TimePoint now)
    -> std::pair<uint64_t, Duration>
{
    auto &team = table.teams.at(name);
    Grant grant;
    grant.team = name;
    grant.expiresAt = now + params.outstandingLifetime;
    Duration lifetime = params.grantLifetime;
    for (auto &[number, loan] : team.loans) {
        const MicroTokens taken = fromLoans && now < loan.expiresAt ? std::min(loan.remaining, amount) : 0;
        if (taken > 0) {
            loan.remaining -= taken;
            amount -= taken;
            grant.parts.push_back(GrantPart{number, taken});
            lifetime = std::min(lifetime, loan.expiresAt - now);
        }
    }
    CHECK_LE(amount, team.level) << "a grant for team " << name << " exceeds the level";
    if (amount > 0) {
        team.level -= amount;
        team.outstanding += amount;
        grant.parts.push_back(GrantPart{0, amount});
    }
    const uint64_t number = table.nextNumber++;
    table.grants[number] = std::move(grant);
    return {number, lifetime};
}

void applyReport(HolderTable &table, const SpentReport &report)
{
    const auto found = table.grants.find(report.grantNumber);
    if (found == table.grants.end()) {
        return;
    }
    auto &grant = found->second;
    const auto owner = table.teams.find(grant.team);
    if (owner == table.teams.end()) {
        // The grant was taken from loans that have expired, and the bucket of the team has been removed since.
        table.grants.erase(found);
        return;
    }
    auto &team = owner->second;
    const auto updateLoan = [&team](uint64_t number, auto apply) {
        const auto loan = team.loans.find(number);
        if (loan != team.loans.end()) {
            apply(loan->second);
            loan->second.mustReport = true;
        }
    };
    // Refunded tokens have been spent, whether or not that report has arrived.
    const MicroTokens spent = std::max(report.spent, report.refunded);
    consumeParts(grant, std::max<MicroTokens>(0, spent - grant.spent), [&](uint64_t number, MicroTokens taken) {
        if (number == 0) {
            team.outstanding -= taken;
        } else {
            updateLoan(number, [taken](Loan &loan) {
                loan.spent += taken;
            });
        }
    });
    consumeParts(grant, std::max<MicroTokens>(0, report.returned - grant.returned), [&](uint64_t number, MicroTokens taken) {
        if (number == 0) {
            team.outstanding -= taken;
            team.level += taken;
        } else {
            updateLoan(number, [taken](Loan &loan) {
                loan.remaining += taken;
            });
        }
    });
    creditRefund(team, std::max<MicroTokens>(0, report.refunded - grant.refunded));
    // A grant that is used up is kept until it expires, because tokens may still be refunded.
    grant.spent = std::max(grant.spent, spent);
    grant.returned = std::max(grant.returned, report.returned);
    grant.refunded = std::max(grant.refunded, report.refunded);
}

void expireGrants(HolderTable &table, TimePoint now)
{
    // Grant numbers increase and all grants are kept for the same time, so the first ones expire first.
    while (!table.grants.empty() && now >= table.grants.begin()->second.expiresAt) {
        const auto &grant = table.grants.begin()->second;
        const auto team = table.teams.find(grant.team);
        for (const auto &part : grant.parts) {
            if (part.loan == 0 && team != table.teams.end()) {
                team->second.outstanding -= part.outstanding;
            }
        }
        table.grants.erase(table.grants.begin());
    }
    for (auto &[name, team] : table.teams) {
        for (auto loan = team.loans.begin(); loan != team.loans.end();) {
            const bool isExpired = now >= loan->second.expiresAt && !loan->second.mustReport;
            loan = isExpired ? team.loans.erase(loan) : std::next(loan);
        }
    }
    for (auto node = table.unresponsiveUntil.begin(); node != table.unresponsiveUntil.end();) {
        node = now >= node->second ? table.unresponsiveUntil.erase(node) : std::next(node);
    }
    for (auto seen = table.seenLoans.begin(); seen != table.seenLoans.end();) {
        seen = now >= seen->second ? table.seenLoans.erase(seen) : std::next(seen);
    }
}

void applyBorrowResponse(HolderTable &table, const QuotaParams &params, const QuotaResponse &response, TimePoint now, HolderOutputs &out)
{
    const auto found = table.teams.find(response.team);
    PeerLevel *peer = nullptr;
    if (found != table.teams.end()) {
        for (auto &[domain, level] : found->second.peers) {
            peer = level.pendingRequest != 0 && level.pendingRequest == response.requestNumber ? &level : peer;
        }
    }
    TimePoint expiresAt = now;
    if (peer != nullptr) {
        expiresAt = (params.lifetimeFromReceipt ? now : peer->sentAt) + response.lifetime;
        peer->pendingRequest = 0;
        peer->observedAt = now;
        peer->level = response.level;
        if (response.outcome == QuotaOutcome::Unavailable) {
            peer->retryAt = now + params.peerBackoff;
            peer->level = 0;
            table.unresponsiveUntil[response.from] = now + params.unresponsiveBackoff;
        } else if (response.amount < peer->requestedAmount) {
            peer->retryAt = now + params.shortLoanBackoff;
        }
    }
    if (response.amount <= 0) {
        return;
    }
    const auto id = std::make_pair(response.from, response.grantNumber);
    const bool isNew = table.seenLoans.emplace(id, now + kSeenLoanRetention).second;
    if (!isNew && !params.countDuplicates) {
        return;
    }
    if (peer == nullptr || now >= expiresAt) {
        QuotaRequest returnRequest;
        returnRequest.team = response.team;
        returnRequest.from = table.self;
        returnRequest.number = table.nextNumber++;
        returnRequest.mayBorrow = false;
        returnRequest.reports.push_back(SpentReport{response.grantNumber, 0, response.amount, 0});
        out.peerRequests.emplace_back(response.from, std::move(returnRequest));
        return;
    }
    found->second.loans[table.nextNumber++] = Loan{response.from, response.grantNumber, response.amount, 0, 0, now, expiresAt, false};
}

void absorbLoans(TeamBucket &team, const TeamQuota &rule, const Share &share, TimePoint now)
{
    MicroTokens freeCapacity = shareOf(rule.burst, share) - team.level - team.outstanding;
    for (auto &[number, loan] : team.loans) {
        const MicroTokens taken = now < loan.expiresAt ? std::min(loan.remaining, freeCapacity) : 0;
        if (taken > 0) {
            loan.remaining -= taken;
            loan.spent += taken;
            loan.mustReport = true;
            team.level += taken;
            freeCapacity -= taken;
        }
    }
}

void reportLoans(HolderTable &table, const QuotaParams &params, TimePoint now, HolderOutputs &out)
{
    for (auto &[name, team] : table.teams) {
        std::map<NodeName, QuotaRequest> messages;
        for (auto &[local, loan] : team.loans) {
            const bool unused = team.queue.empty() && now - loan.receivedAt >= params.returnLoanAfter;
            if (loan.remaining > 0 && (unused || now >= loan.expiresAt)) {
                loan.returned += loan.remaining;
                loan.remaining = 0;
                loan.mustReport = true;
            }
            if (loan.mustReport) {
                loan.mustReport = false;
                messages[loan.lender].reports.push_back(SpentReport{loan.number, loan.spent, loan.returned, 0});
            }
        }
        for (auto &[lender, message] : messages) {
            message.team = name;
            message.from = table.self;
            message.number = table.nextNumber++;
            message.mayBorrow = false;
            out.peerRequests.emplace_back(lender, std::move(message));
        }
    }
}

} // namespace snipestream
