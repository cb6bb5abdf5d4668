#include "quota/holder.h"

#include "quota/accounts.h"
#include "quota/borrowing.h"

#include "core/hash.h"

#include <algorithm>

namespace snipestream
{

namespace
{

/// The arguments of one call of tickHolder.
struct Tick {
    HolderTable &table;
    const QuotaParams &params;
    TimePoint now;
    const HolderInputs &inputs;
    HolderOutputs &out;
};

/// Returns the time in which `amount` is minted at the given rate, or one second if nothing is minted.
auto mintingTime(MicroTokens amount, MicroTokens rate) -> Duration
{
    if (rate <= 0) {
        return seconds(1);
    }
    return Duration(static_cast<int64_t>(static_cast<double>(amount) / static_cast<double>(rate) * 1e9) + 1);
}

void removeRange(HolderTable &table, uint32_t range)
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

/// Updates the ranges from the leases. A range whose lease was newly acquired starts without tokens, because another
/// holder may have minted in the meantime.
void updateRanges(Tick &tick)
{
    for (const auto &[range, validFrom] : tick.inputs.validRanges) {
        const auto found = tick.table.ranges.find(range);
        if (found == tick.table.ranges.end() || found->second.validFrom != validFrom) {
            removeRange(tick.table, range);
            tick.table.ranges[range] = HolderRange{validFrom, initialShareState(tick.inputs.weights, tick.table.domain)};
        } else {
            updateShare(found->second.share, tick.inputs.weights, tick.table.domain);
        }
        auto &share = tick.table.ranges.at(range).share;
        share.current = tick.params.raiseWithoutConfirmation ? share.desired : share.current;
        const auto voted = tick.inputs.votedShares.find(range);
        if (voted != tick.inputs.votedShares.end()) {
            share.current = voted->second;
            share.desired = voted->second;
            share.unconfirmedDomains.clear();
        }
    }
}

auto isValid(const Tick &tick, uint32_t range) -> bool
{
    return tick.inputs.validRanges.count(range) != 0;
}

/// Mints for a team and returns its bucket, or null if this node may not mint for the team now.
auto mintForTeam(Tick &tick, const TeamName &name) -> TeamBucket *
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
        found->second.mintedAt = held.validFrom + tick.params.takeoverDelay;
    }
    mint(found->second, rule->second, held.share.current, tick.now);
    observeDeficit(found->second, shareOf(rule->second.burst, held.share.current), tick.params.outstandingLifetime, tick.now);
    return &found->second;
}

void sendGrant(Tick &tick, const QuotaRequest &request, TeamBucket &team, MicroTokens amount, bool fromLoans)
{
    const auto &rule = tick.inputs.rules.at(request.team);
    QuotaResponse response;
    response.team = request.team;
    response.from = tick.table.self;
    response.requestNumber = request.number;
    response.tokenInterval = mintingTime(kOneToken, rule.rate);
    response.outcome = amount > 0 ? QuotaOutcome::Granted : QuotaOutcome::Insufficient;
    if (amount > 0) {
        std::tie(response.grantNumber, response.lifetime) = issueGrant(tick.table, tick.params, request.team, amount, fromLoans, tick.now);
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
        const auto grant = tick.table.grants.find(report.grantNumber);
        if (grant != tick.table.grants.end() && grant->second.team == request.team) {
            applyReport(tick.table, report);
        }
    }
    if (request.requestedAmount <= 0) {
        return;
    }
    auto *team = mintForTeam(tick, request.team);
    if (team == nullptr) {
        sendUnavailable(tick, request);
        return;
    }
    if (request.mayBorrow) {
        team->queue.push_back(QueuedQuotaRequest{request, tick.now + tick.params.borrowQueueTimeout});
        return;
    }
    const auto lendable = std::min(request.requestedAmount, lendableTokens(*team, tick.table.self, request.from));
    sendGrant(tick, request, *team, lendable, false);
}

/// Refuses all queued requests of a team. `peerTokens` is the number of tokens that other holders are estimated to
/// have.
void refuseQueue(Tick &tick, TeamBucket &team, MicroTokens peerTokens)
{
    MicroTokens missing = -availableTokens(team, tick.now) - peerTokens;
    while (!team.queue.empty()) {
        const QuotaRequest request = team.queue.front().request;
        team.queue.pop_front();
        missing += request.minAmount;
        sendGrant(tick, request, team, 0, true);
        auto &response = tick.out.responses.back().second;
        response.retryAfter = mintingTime(std::max<MicroTokens>(missing, 1), tick.inputs.rules.at(request.team).rate);
    }
}

/// Grants tokens to the queued requests of a team in order, borrows for those that need more, and refuses those that no
/// loan can satisfy in time.
void processQueue(Tick &tick, const TeamName &name)
{
    auto &team = tick.table.teams.at(name);
    if (team.queue.empty()) {
        return;
    }
    if (mintForTeam(tick, name) == nullptr) {
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
        // Divides the available tokens among the queued requests, so that the first one does not take them all. Rounds
        // down to whole tokens, since entry nodes can only use whole tokens.
        const auto evenAmount = std::max(request.minAmount, available / static_cast<MicroTokens>(team.queue.size()));
        const MicroTokens amount = std::max(request.minAmount, std::min(request.requestedAmount, evenAmount) / kOneToken * kOneToken);
        team.queue.pop_front();
        sendGrant(tick, request, team, amount, true);
    }
    if (team.queue.empty()) {
        return;
    }
    const auto peerTokens = borrowTokens(tick.table, tick.params, name, tick.inputs.rules.at(name), tick.inputs, tick.now, tick.out);
    const auto &first = team.queue.front();
    if (availableTokens(team, tick.now) + peerTokens < first.request.minAmount || tick.now >= first.deadline) {
        refuseQueue(tick, team, peerTokens);
    }
}

/// While no request is queued, moves loans into the own level and fetches tokens from holders with a full share.
void levelTeam(Tick &tick, const TeamName &name)
{
    auto &team = tick.table.teams.at(name);
    if (!team.queue.empty() || mintForTeam(tick, name) == nullptr) {
        return;
    }
    const auto &range = tick.table.ranges.at(team.range);
    // Grants of the previous holder may still be in use; absorbed loans would add to them and exceed the burst.
    if (tick.now < range.validFrom + tick.params.takeoverDelay) {
        return;
    }
    const auto &rule = tick.inputs.rules.at(name);
    const auto &share = range.share.current;
    absorbLoans(team, rule, share, tick.now);
    levelTokens(tick.table, tick.params, name, rule, share, tick.inputs, tick.now, tick.out);
}

/// Removes the buckets of teams that have their full share and nothing outstanding. Such a team still has its full
/// share at its next request, since a new bucket mints from the start of the lease on.
void removeFullTeams(Tick &tick)
{
    auto &teams = tick.table.teams;
    for (auto item = teams.begin(); item != teams.end();) {
        const auto &team = item->second;
        const auto rule = tick.inputs.rules.find(item->first);
        const bool idle = team.outstanding == 0 && team.queue.empty() && team.loans.empty() && !team.levelingDue;
        const bool full = rule == tick.inputs.rules.end() || team.level >= shareOf(rule->second.burst, tick.table.ranges.at(team.range).share.current);
        item = idle && full ? teams.erase(item) : std::next(item);
    }
}

/// Returns whether this holder has no more tokens than its share under the newest weights allows, outstanding ones
/// included.
auto isWithinDesiredShare(const Tick &tick, uint32_t range, const ShareState &share) -> bool
{
    if (share.desired < share.current) {
        return false;
    }
    return std::all_of(tick.table.teams.begin(), tick.table.teams.end(), [&](const auto &item) {
        const auto rule = tick.inputs.rules.find(item.first);
        return item.second.range != range || rule == tick.inputs.rules.end()
            || item.second.level + item.second.outstanding <= shareOf(rule->second.burst, share.desired);
    });
}

void exchangeWeights(Tick &tick)
{
    for (const auto &ack : tick.inputs.weightsAcks) {
        const auto found = tick.table.ranges.find(ack.range);
        if (found != tick.table.ranges.end()) {
            // Mints for the time before the raise at the lower share.
            for (auto &[name, team] : tick.table.teams) {
                if (team.range == ack.range) {
                    mintForTeam(tick, name);
                }
            }
            confirmShare(found->second.share, ack.domain, ack.version);
        }
    }
    for (const auto &request : tick.inputs.weightsRequests) {
        const auto found = tick.table.ranges.find(request.range);
        if (found != tick.table.ranges.end() && isValid(tick, request.range) && found->second.share.version == request.version
            && isWithinDesiredShare(tick, request.range, found->second.share)) {
            tick.out.weightsAcks.emplace_back(request.from, WeightsAck{request.range, request.version, tick.table.domain});
        }
    }
    for (auto &[range, held] : tick.table.ranges) {
        const auto peers = tick.inputs.peers.find(range);
        if (!isValid(tick, range) || held.share.unconfirmedDomains.empty() || tick.now < held.share.nextRequestAt || peers == tick.inputs.peers.end()) {
            continue;
        }
        held.share.nextRequestAt = tick.now + milliseconds(500);
        for (const auto &domain : held.share.unconfirmedDomains) {
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
    updateRanges(tick);
    for (const auto &[name, team] : table.teams) {
        mintForTeam(tick, name);
    }
    expireGrants(table, now);
    exchangeWeights(tick);
    for (const auto &response : inputs.responses) {
        applyBorrowResponse(table, params, response, now, out);
    }
    for (const auto &request : inputs.requests) {
        handleRequest(tick, request);
    }
    for (const auto &[name, team] : table.teams) {
        processQueue(tick, name);
        levelTeam(tick, name);
    }
    reportLoans(table, params, now, out);
    removeFullTeams(tick);
    return out;
}

auto holderLevel(const HolderTable &table, const TeamName &team) -> std::pair<MicroTokens, MicroTokens>
{
    const auto found = table.teams.find(team);
    return found == table.teams.end() ? std::make_pair(MicroTokens{0}, MicroTokens{0}) : std::make_pair(found->second.level, found->second.outstanding);
}

} // namespace snipestream
