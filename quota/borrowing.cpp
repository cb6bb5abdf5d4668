#include "quota/borrowing.h"

#include "quota/accounts.h"

#include <algorithm>

namespace snipestream
{

namespace
{

/// Estimates the level of another holder from the level in its last response and the tokens minted since. A holder
/// without a recent response is assumed to have its full share.
auto estimateLevel(const PeerLevel &peer, const QuotaParams &params, const TeamQuota &rule, const Share &share, TimePoint now) -> MicroTokens
{
    const MicroTokens burstShare = shareOf(rule.burst, share);
    if (!peer.observedAt || now - *peer.observedAt >= params.peerLevelLifetime) {
        return burstShare;
    }
    const double minted = static_cast<double>(shareOf(rule.rate, share)) * 1e-9 * static_cast<double>((now - *peer.observedAt).count());
    return std::min(burstShare, peer.level + static_cast<MicroTokens>(minted));
}

/// A holder of another domain that can be asked for a loan.
struct Lender {
    MicroTokens estimate = 0;
    /// The lender's share of the burst.
    MicroTokens burstShare = 0;
    NodeName node;
    PeerLevel *peer = nullptr;
};

/// The holders that can be asked now, highest estimate first, and the amount of the borrow requests that are still
/// open.
struct Lenders {
    std::vector<Lender> available;
    MicroTokens pendingAmount = 0;
};

auto findLenders(HolderTable &table, TeamBucket &team, const QuotaParams &params, const TeamQuota &rule, const HolderInputs &inputs, TimePoint now) -> Lenders
{
    Lenders lenders;
    const auto holders = inputs.peers.find(team.range);
    if (holders == inputs.peers.end()) {
        return lenders;
    }
    for (const auto &[domain, node] : holders->second) {
        auto &peer = team.peers[domain];
        if (peer.pendingRequest != 0 && now - peer.sentAt >= params.borrowTimeout) {
            peer.pendingRequest = 0;
            peer.retryAt = now + params.peerBackoff;
            table.unresponsiveUntil[peer.requestedFrom] = now + params.unresponsiveBackoff;
        }
        if (peer.pendingRequest != 0) {
            lenders.pendingAmount += peer.requestedAmount;
            continue;
        }
        const Share share = domainShare(inputs.weights.back(), domain);
        const auto estimate = estimateLevel(peer, params, rule, share, now);
        if (now >= peer.retryAt && estimate > 0) {
            lenders.available.push_back(Lender{estimate, shareOf(rule.burst, share), node, &peer});
        }
    }
    std::sort(lenders.available.begin(), lenders.available.end(), [](const Lender &a, const Lender &b) {
        return a.estimate != b.estimate ? a.estimate > b.estimate : a.node < b.node;
    });
    return lenders;
}

void requestLoan(HolderTable &table, const TeamName &name, const Lender &lender, MicroTokens requestedAmount, TimePoint now, HolderOutputs &out)
{
    QuotaRequest request;
    request.team = name;
    request.from = table.self;
    request.number = table.nextNumber++;
    request.requestedAmount = requestedAmount;
    request.mayBorrow = false;
    lender.peer->pendingRequest = request.number;
    lender.peer->sentAt = now;
    lender.peer->requestedFrom = lender.node;
    lender.peer->requestedAmount = requestedAmount;
    out.peerRequests.emplace_back(lender.node, std::move(request));
}

} // namespace

auto borrowTokens(HolderTable &table, const QuotaParams &params, const TeamName &name, const TeamQuota &rule, const HolderInputs &inputs, TimePoint now,
                  HolderOutputs &out) -> MicroTokens
{
    auto &team = table.teams.at(name);
    const auto lenders = findLenders(table, team, params, rule, inputs, now);
    const MicroTokens available = availableTokens(team, now);
    MicroTokens expected = lenders.pendingAmount;
    for (const auto &lender : lenders.available) {
        expected += lender.estimate;
    }
    if (available + expected < team.queue.front().request.minAmount) {
        return expected;
    }
    MicroTokens needed = -available - lenders.pendingAmount;
    for (const auto &queued : team.queue) {
        needed += queued.request.requestedAmount;
    }
    for (const auto &lender : lenders.available) {
        const MicroTokens requestedAmount = std::min(needed, lender.estimate);
        if (requestedAmount > 0) {
            requestLoan(table, name, lender, requestedAmount, now, out);
            needed -= requestedAmount;
        }
    }
    return expected;
}

void levelTokens(HolderTable &table, const QuotaParams &params, const TeamName &name, const TeamQuota &rule, const Share &share, const HolderInputs &inputs,
                 TimePoint now, HolderOutputs &out)
{
    auto &team = table.teams.at(name);
    const MicroTokens burstShare = shareOf(rule.burst, share);
    if (!team.levelingDue || now < team.nextLevelingAt) {
        return;
    }
    // At least a quarter of the share must be missing, so that small differences cause no messages.
    if (team.level + team.outstanding > burstShare - burstShare / 4) {
        team.levelingDue = team.outstanding > 0;
        return;
    }
    team.levelingDue = false;
    team.nextLevelingAt = now + params.minLevelingInterval;
    const auto lenders = findLenders(table, team, params, rule, inputs, now);
    MicroTokens sum = team.level;
    for (const auto &lender : lenders.available) {
        sum += lender.estimate;
    }
    const MicroTokens mean = sum / static_cast<MicroTokens>(lenders.available.size() + 1);
    MicroTokens freeCapacity = burstShare - team.level - team.outstanding - lenders.pendingAmount;
    for (const auto &lender : lenders.available) {
        const MicroTokens requestedAmount = std::min(freeCapacity, lender.estimate - mean);
        if (lender.estimate < lender.burstShare - lender.burstShare / 10 || requestedAmount <= 0) {
            continue;
        }
        requestLoan(table, name, lender, requestedAmount, now, out);
        freeCapacity -= requestedAmount;
    }
}

auto lendableTokens(const TeamBucket &team, const NodeName &self, const NodeName &borrower) -> MicroTokens
{
    MicroTokens reserved = 0;
    if (self < borrower) {
        for (const auto &queued : team.queue) {
            reserved += queued.request.minAmount;
        }
    }
    return std::max<MicroTokens>(0, team.level - reserved);
}

} // namespace snipestream
