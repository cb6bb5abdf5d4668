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

/// Returns the term of utilization for targets that report their pace: it grows little while there is room, and reaches 1 when the
/// target is full.
auto utilizationTerm(const LoadBalancingSettings &settings, double utilization) -> double
{
    const double free = settings.freeUtilization * settings.freeUtilizationWeight;
    if (utilization <= settings.freeUtilization) {
        return utilization * settings.freeUtilizationWeight;
    }
    return free + (utilization - settings.freeUtilization) * (1 - free) / (1 - settings.freeUtilization);
}

/// Returns the term of the time that a request is expected to take at the target, as a fraction of the target latency.
auto timeTerm(const LoadBalancingSettings &settings, const PeerRow &row, Duration targetLatency) -> double
{
    const double expectedMs = row.report->serviceMs * std::max(1.0, row.load.pace);
    const double fraction = expectedMs / std::max(1.0, std::chrono::duration<double, std::milli>(targetLatency).count());
    return fraction + (fraction > settings.lateFraction ? settings.latePenalty : 0);
}

} // namespace

auto totalOf(const TargetScore &score) -> double
{
    return score.utilization + score.otherDomain + score.slowness + score.failures + score.warmup + score.leaving + score.silence;
}

auto scoreTarget(const PeerTable &table, const LoadBalancingSettings &settings, const PeerRow &row, double fastestMs, TimePoint now, Duration targetLatency)
    -> TargetScore
{
    TargetScore score;
    const bool expectsTime = row.load.pace > 0 && targetLatency > Duration::zero();
    score.utilization = expectsTime ? utilizationTerm(settings, utilizationOf(row)) : utilizationOf(row);
    if (row.member.domain != table.ownDomain) {
        score.otherDomain = settings.maxCrossDomainUtilizationGap;
    }
    if (fastestMs > 0 && expectsTime) {
        score.slowness = timeTerm(settings, row, targetLatency);
    } else if (fastestMs > 0 && row.report->serviceMs > fastestMs) {
        score.slowness = settings.slownessPenalty * std::min(row.report->serviceMs / fastestMs - 1, 10.0);
    }
    score.failures = settings.failurePenalty * row.failureRate;
    if (row.report->warmupLeft > Duration::zero() && now - row.lastReportAt < row.report->warmupLeft) {
        score.warmup = settings.warmupPenalty;
    }
    if (row.report->leaving) {
        score.leaving = settings.leavingPenalty;
    }
    if (isSilent(table, row, now)) {
        score.silence = settings.silencePenalty;
    }
    return score;
}

auto choosePeer(PeerTable &table, const LoadBalancingSettings &settings, const ServiceName &service, const std::vector<std::string> &tried, Random &random,
                TimePoint now, Duration targetLatency) -> PeerRow *
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
        const double total = totalOf(scoreTarget(table, settings, *row, isExploration ? 0 : fastestMs, now, targetLatency));
        const double score = total + 0.01 * static_cast<double>(drawBelow(random, 100)) / 100;
        if (score < bestScore) {
            bestScore = score;
            best = row;
        }
    }
    return best;
}

} // namespace snipestream
