#include "mesh/load_balancing.h"

#include <algorithm>
#include <limits>

namespace snipestream
{

namespace
{

/// Number of targets that are sampled for one request from the node's own failure domain, and number of those from
/// other domains. Two are enough to avoid the worst target; four also find a free one in the node's own domain, which
/// has a quarter to a third of the targets.
constexpr size_t kSampledTargets = 4;

/// One in this many requests ignores the slowness penalty, so that the service time of a slow target that gets no other
/// requests is measured again.
constexpr uint64_t kRequestsPerExploration = 40;

/// Returns whether the node has sent no report recently or could not be connected to.
auto isSilent(const PeerTable &table, const PeerRow &row, TimePoint now) -> bool
{
    return now < row.avoidUntil || (row.address != table.ownAddress && !isAlive(row, now));
}

/// Returns the homes of the service that serve and are not in `tried`. Those that shut down are only taken if no other is
/// alive.
auto findCandidates(PeerTable &table, const ServiceName &service, const std::vector<std::string> &tried, TimePoint now) -> std::vector<PeerRow *>
{
    bool isAnyAlive = false;
    std::vector<PeerRow *> serving;
    std::vector<PeerRow *> leaving;
    for (PeerRow *const row : homesOf(table, service)) {
        if (isEvacuated(table, *row) || std::find(tried.begin(), tried.end(), row->address) != tried.end()) {
            continue;
        }
        if (isServing(*row)) {
            serving.push_back(row);
            isAnyAlive = isAnyAlive || !isSilent(table, *row, now);
        } else if (isServingLast(*row)) {
            leaving.push_back(row);
        }
    }
    if (!isAnyAlive) {
        serving.insert(serving.end(), leaving.begin(), leaving.end());
    }
    return serving;
}

auto utilizationOf(const PeerRow &row) -> double
{
    const int reported = row.load.running + row.load.waiting + row.sentSinceLoadUpdate;
    const int busy = std::max(reported, row.inFlight);
    return static_cast<double>(busy + 1) / std::max(row.load.limit, 1);
}

/// Returns the utilization of the node's target plus its penalties. `fastestMs` is the lowest mean service time among
/// the candidates in milliseconds, or 0 to leave out the slowness penalty.
auto scoreOf(const PeerTable &table, const LoadBalancingSettings &settings, const PeerRow &row, double fastestMs, TimePoint now) -> double
{
    double score = utilizationOf(row);
    if (row.member.domain != table.ownDomain) {
        score += settings.maxCrossDomainUtilizationGap;
    }
    if (fastestMs > 0 && row.report->serviceMs > fastestMs) {
        score += settings.slownessPenalty * std::min(row.report->serviceMs / fastestMs - 1, 10.0);
    }
    score += settings.failurePenalty * row.failureRate;
    if (row.report->warmupLeft > Duration::zero() && now - row.lastReportAt < row.report->warmupLeft) {
        score += settings.warmupPenalty;
    }
    if (row.report->leaving) {
        score += settings.leavingPenalty;
    }
    if (isSilent(table, row, now)) {
        score += settings.silencePenalty;
    }
    return score;
}

} // namespace

auto choosePeer(PeerTable &table, const LoadBalancingSettings &settings, const ServiceName &service, const std::vector<std::string> &tried, Random &random,
                TimePoint now) -> PeerRow *
{
    std::vector<PeerRow *> candidates = findCandidates(table, service, tried, now);
    double fastestMs = 0;
    const bool isExploration = drawBelow(random, kRequestsPerExploration) == 0;
    for (const PeerRow *const row : candidates) {
        if (row->report->serviceMs > 0 && (fastestMs == 0 || row->report->serviceMs < fastestMs)) {
            fastestMs = row->report->serviceMs;
        }
    }
    if (candidates.size() > kSampledTargets * 2) {
        // Samples the node's own failure domain, whose targets come first after the partition, and the others
        // separately.
        std::shuffle(candidates.begin(), candidates.end(), random);
        std::stable_partition(candidates.begin(), candidates.end(), [&table](const PeerRow *row) {
            return row->member.domain == table.ownDomain;
        });
        const size_t localCount = std::count_if(candidates.begin(), candidates.end(), [&table](const PeerRow *row) {
            return row->member.domain == table.ownDomain;
        });
        const size_t sampledLocal = std::min(localCount, kSampledTargets);
        candidates.erase(candidates.begin() + static_cast<std::ptrdiff_t>(sampledLocal), candidates.begin() + static_cast<std::ptrdiff_t>(localCount));
        candidates.resize(std::min(candidates.size(), sampledLocal + kSampledTargets));
    }
    PeerRow *best = nullptr;
    double bestScore = std::numeric_limits<double>::max();
    for (PeerRow *const row : candidates) {
        // A small random term breaks ties between equal targets.
        const double score = scoreOf(table, settings, *row, isExploration ? 0 : fastestMs, now) + 0.01 * static_cast<double>(drawBelow(random, 100)) / 100;
        if (score < bestScore) {
            bestScore = score;
            best = row;
        }
    }
    return best;
}

} // namespace snipestream
