#include "quota/accounts.h"

#include <algorithm>

#include <glog/logging.h>

namespace snipestream
{

namespace
{

/// Loans are remembered longer than their lender counts them, so that a late duplicate cannot be returned as unused.
constexpr Duration kRememberLoans = seconds(5);

/// Takes up to `amount` out of the open parts, in order, and hands each piece to `use`.
template<typename Use>
void takeFromParts(Grant &grant, MicroTokens amount, Use use)
{
    for (auto &part : grant.parts) {
        const MicroTokens taken = std::min(part.open, amount);
        part.open -= taken;
        amount -= taken;
        if (taken > 0) {
            use(part.loan, taken);
        }
    }
}

} // namespace

void mint(TeamLevel &team, const TeamQuota &rule, const Share &share, TimePoint now)
{
    __extension__ using Wide = __int128;
    const MicroTokens room = shareOf(rule.burst, share) - team.outstanding;
    if (team.level >= room || now <= team.mintedAt) {
        // A lowered rule or weight takes the tokens above the new share out of existence.
        team.level = std::max<MicroTokens>(0, std::min(team.level, room));
        team.mintedAt = std::max(team.mintedAt, now);
        return;
    }
    const Wide perNanosecond = static_cast<Wide>(rule.rate) * share.numerator;
    const Wide scale = static_cast<Wide>(1'000'000'000) * share.denominator;
    const Wide minted = (now - team.mintedAt).count() * perNanosecond / scale;
    if (team.level + minted >= room) {
        team.level = room;
        team.mintedAt = now;
    } else if (minted > 0) {
        team.level += static_cast<MicroTokens>(minted);
        // Time that did not make up a whole micro-token is kept for the next call; rounding up never mints twice.
        const Wide used = (minted * scale + perNanosecond - 1) / perNanosecond;
        team.mintedAt = std::min(now, team.mintedAt + Duration(static_cast<int64_t>(used)));
    }
}

auto availableTokens(const TeamLevel &team, TimePoint now) -> MicroTokens
{
    MicroTokens sum = team.level;
    for (const auto &[number, loan] : team.loans) {
        sum += now < loan.expiresAt ? loan.left : 0;
    }
    return sum;
}

auto issueGrant(HolderTable &table, const QuotaParams &params, const TeamName &name, MicroTokens amount, bool fromLoans, TimePoint now)
    -> std::pair<uint64_t, Duration>
{
    auto &team = table.teams.at(name);
    Grant grant;
    grant.team = name;
    grant.expiresAt = now + params.outstandingFor;
    Duration lifetime = params.grantLifetime;
    for (auto &[number, loan] : team.loans) {
        const MicroTokens taken = fromLoans && now < loan.expiresAt ? std::min(loan.left, amount) : 0;
        if (taken > 0) {
            loan.left -= taken;
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
    const auto found = table.grants.find(report.grant);
    if (found == table.grants.end()) {
        return;
    }
    auto &grant = found->second;
    const auto owner = table.teams.find(grant.team);
    if (owner == table.teams.end()) {
        // The grant came from loans that have expired, and the team has been forgotten since.
        table.grants.erase(found);
        return;
    }
    auto &team = owner->second;
    const auto onLoan = [&team](uint64_t number, auto apply) {
        const auto loan = team.loans.find(number);
        if (loan != team.loans.end()) {
            apply(loan->second);
            loan->second.mustReport = true;
        }
    };
    takeFromParts(grant, std::max<MicroTokens>(0, report.spent - grant.spent), [&](uint64_t number, MicroTokens taken) {
        if (number == 0) {
            team.outstanding -= taken;
        } else {
            onLoan(number, [taken](Loan &loan) {
                loan.spent += taken;
            });
        }
    });
    takeFromParts(grant, std::max<MicroTokens>(0, report.returned - grant.returned), [&](uint64_t number, MicroTokens taken) {
        if (number == 0) {
            team.outstanding -= taken;
            team.level += taken;
        } else {
            onLoan(number, [taken](Loan &loan) {
                loan.left += taken;
            });
        }
    });
    grant.spent = std::max(grant.spent, report.spent);
    grant.returned = std::max(grant.returned, report.returned);
    const bool closed = std::all_of(grant.parts.begin(), grant.parts.end(), [](const GrantPart &part) {
        return part.open == 0;
    });
    if (closed) {
        table.grants.erase(found);
    }
}

void expireGrants(HolderTable &table, TimePoint now)
{
    // Grant numbers grow with time and all grants expire after the same time, so the first ones expire first.
    while (!table.grants.empty() && now >= table.grants.begin()->second.expiresAt) {
        const auto &grant = table.grants.begin()->second;
        const auto team = table.teams.find(grant.team);
        for (const auto &part : grant.parts) {
            if (part.loan == 0 && team != table.teams.end()) {
                team->second.outstanding -= part.open;
            }
        }
        table.grants.erase(table.grants.begin());
    }
    for (auto &[name, team] : table.teams) {
        for (auto loan = team.loans.begin(); loan != team.loans.end();) {
            const bool over = now >= loan->second.expiresAt && !loan->second.mustReport;
            loan = over ? team.loans.erase(loan) : std::next(loan);
        }
    }
    for (auto seen = table.seenLoans.begin(); seen != table.seenLoans.end();) {
        seen = now >= seen->second ? table.seenLoans.erase(seen) : std::next(seen);
    }
}

void takeLoan(HolderTable &table, const QuotaParams &params, const QuotaResponse &response, TimePoint now, HolderOutputs &out)
{
    const auto found = table.teams.find(response.team);
    PeerLevel *peer = nullptr;
    if (found != table.teams.end()) {
        for (auto &[domain, level] : found->second.peers) {
            peer = level.pending != 0 && level.pending == response.requestNumber ? &level : peer;
        }
    }
    TimePoint expiresAt = now;
    if (peer != nullptr) {
        expiresAt = (params.lifetimeFromReceipt ? now : peer->sentAt) + response.lifetime;
        peer->pending = 0;
        peer->knownAt = now;
        peer->level = response.level;
        if (response.outcome == QuotaOutcome::Unavailable) {
            peer->retryAt = now + params.peerBackoff;
            peer->level = 0;
        }
    }
    if (response.amount <= 0) {
        return;
    }
    const auto id = std::make_pair(response.from, response.grant);
    const bool isNew = table.seenLoans.emplace(id, now + kRememberLoans).second;
    if (!isNew && !params.countDuplicates) {
        return;
    }
    if (peer == nullptr || now >= expiresAt) {
        QuotaRequest returnRequest;
        returnRequest.team = response.team;
        returnRequest.from = table.self;
        returnRequest.number = table.nextNumber++;
        returnRequest.mayBorrow = false;
        returnRequest.reports.push_back(SpentReport{response.grant, 0, response.amount});
        out.peerRequests.emplace_back(response.from, std::move(returnRequest));
        return;
    }
    found->second.loans[table.nextNumber++] = Loan{response.from, response.grant, response.amount, 0, 0, now, expiresAt, false};
}

void absorbLoans(TeamLevel &team, const TeamQuota &rule, const Share &share, TimePoint now)
{
    MicroTokens room = shareOf(rule.burst, share) - team.level - team.outstanding;
    for (auto &[number, loan] : team.loans) {
        const MicroTokens taken = now < loan.expiresAt ? std::min(loan.left, room) : 0;
        if (taken > 0) {
            loan.left -= taken;
            loan.spent += taken;
            loan.mustReport = true;
            team.level += taken;
            room -= taken;
        }
    }
}

void reportLoans(HolderTable &table, const QuotaParams &params, TimePoint now, HolderOutputs &out)
{
    for (auto &[name, team] : table.teams) {
        std::map<NodeName, QuotaRequest> messages;
        for (auto &[local, loan] : team.loans) {
            const bool unused = team.queue.empty() && now - loan.takenAt >= params.returnLoanAfter;
            if (loan.left > 0 && (unused || now >= loan.expiresAt)) {
                loan.returned += loan.left;
                loan.left = 0;
                loan.mustReport = true;
            }
            if (loan.mustReport) {
                loan.mustReport = false;
                messages[loan.lender].reports.push_back(SpentReport{loan.number, loan.spent, loan.returned});
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
