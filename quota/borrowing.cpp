#include "quota/borrowing.h"

#include "quota/accounts.h"

#include <algorithm>

namespace snipestream
{

namespace
{

/// Estimates the level of another holder: what it had left when it answered plus what it minted since. A holder not
/// heard from lately is expected to have its whole share.
auto estimateLevel(const PeerLevel &peer, const QuotaParams &params, const TeamQuota &rule, const Share &share, TimePoint now) -> MicroTokens
{
    const MicroTokens full = shareOf(rule.burst, share);
    if (!peer.knownAt || now - *peer.knownAt >= params.peerLevelFor) {
        return full;
    }
    const double minted = static_cast<double>(shareOf(rule.rate, share)) * 1e-9 * static_cast<double>((now - *peer.knownAt).count());
    return std::min(full, peer.level + static_cast<MicroTokens>(minted));
}

struct Lender {
    MicroTokens estimate = 0;
    MicroTokens full = 0;
    NodeName node;
    PeerLevel *peer = nullptr;
};

/// The holders that can be asked now, fullest first, and what was asked of others before.
struct Lenders {
    std::vector<Lender> free;
    MicroTokens pending = 0;
};

auto findLenders(TeamLevel &team, const QuotaParams &params, const TeamQuota &rule, const HolderInputs &inputs, TimePoint now) -> Lenders
{
    Lenders lenders;
    const auto holders = inputs.peers.find(team.range);
    if (holders == inputs.peers.end()) {
        return lenders;
    }
    for (const auto &[domain, node] : holders->second) {
        auto &peer = team.peers[domain];
        if (peer.pending != 0 && now - peer.sentAt >= params.borrowTimeout) {
            peer.pending = 0;
            peer.retryAt = now + params.peerBackoff;
        }
        if (peer.pending != 0) {
            lenders.pending += peer.requestedAmount;
            continue;
        }
        const Share share = domainShare(inputs.weights.back(), domain);
        const auto estimate = estimateLevel(peer, params, rule, share, now);
        if (now >= peer.retryAt && estimate > 0) {
            lenders.free.push_back(Lender{estimate, shareOf(rule.burst, share), node, &peer});
        }
    }
    std::sort(lenders.free.begin(), lenders.free.end(), [](const Lender &a, const Lender &b) {
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
    lender.peer->pending = request.number;
    lender.peer->sentAt = now;
    lender.peer->requestedAmount = requestedAmount;
    out.peerRequests.emplace_back(lender.node, std::move(request));
}

} // namespace

auto borrowTokens(HolderTable &table, const QuotaParams &params, const TeamName &name, const TeamQuota &rule, const HolderInputs &inputs, TimePoint now,
                  HolderOutputs &out) -> MicroTokens
{
    auto &team = table.teams.at(name);
    const auto lenders = findLenders(team, params, rule, inputs, now);
    const MicroTokens available = availableTokens(team, now);
    MicroTokens expected = lenders.pending;
    for (const auto &lender : lenders.free) {
        expected += lender.estimate;
    }
    if (available + expected < team.queue.front().request.minAmount) {
        return expected;
    }
    MicroTokens needed = -available - lenders.pending;
    for (const auto &queued : team.queue) {
        needed += queued.request.requestedAmount;
    }
    for (const auto &lender : lenders.free) {
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
    const MicroTokens full = shareOf(rule.burst, share);
    // A quarter of the share has to be missing, so that small differences cause no messages.
    if (!team.levelingDue || now < team.nextLevelingAt) {
        return;
    }
    if (team.level + team.outstanding > full - full / 4) {
        team.levelingDue = team.outstanding > 0;
        return;
    }
    team.levelingDue = false;
    team.nextLevelingAt = now + params.levelingGap;
    const auto lenders = findLenders(team, params, rule, inputs, now);
    MicroTokens sum = team.level;
    for (const auto &lender : lenders.free) {
        sum += lender.estimate;
    }
    const MicroTokens mean = sum / static_cast<MicroTokens>(lenders.free.size() + 1);
    MicroTokens room = full - team.level - team.outstanding - lenders.pending;
    for (const auto &lender : lenders.free) {
        const MicroTokens requestedAmount = std::min(room, lender.estimate - mean);
        if (lender.estimate < lender.full - lender.full / 10 || requestedAmount <= 0) {
            continue;
        }
        requestLoan(table, name, lender, requestedAmount, now, out);
        room -= requestedAmount;
    }
}

auto lendableTokens(const TeamLevel &team, const NodeName &self, const NodeName &borrower) -> MicroTokens
{
    MicroTokens kept = 0;
    if (self < borrower) {
        for (const auto &queued : team.queue) {
            kept += queued.request.minAmount;
        }
    }
    return std::max<MicroTokens>(0, team.level - kept);
}

} // namespace snipestream
