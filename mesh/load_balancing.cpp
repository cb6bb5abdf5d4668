#include "mesh/load_balancing.h"

#include <algorithm>
#include <limits>

namespace snipestream
{

namespace
{

/// Targets of the service that are compared for one request. Two are enough to avoid the worst; four also find a free
/// one in the caller's own failure domain, which holds a quarter to a third of them.
constexpr size_t kSampledTargets = 4;

/// One request in so many ignores how slow the targets were, so that a target that got no requests for being slow is
/// measured again.
constexpr uint64_t kExploreOneIn = 40;

auto isCandidate(const PeerRow &row, const ServiceName &service, const std::vector<std::string> &tried) -> bool
{
    return row.report && row.report->service == service && row.report->serving && !row.report->leaving
        && std::find(tried.begin(), tried.end(), row.address) == tried.end();
}

auto useOf(const PeerRow &row) -> double
{
    const int known = row.load.running + row.load.waiting + row.sentSinceLoadUpdate;
    const int busy = std::max(known, row.inFlight);
    return static_cast<double>(busy + 1) / std::max(row.load.limit, 1);
}

auto rate(const PeerTable &table, const LoadBalancingSettings &settings, const PeerRow &row, double fastestMs, TimePoint now) -> double
{
    double use = useOf(row);
    if (row.report->domain != table.ownDomain) {
        use += settings.crossDomainUse;
    }
    if (fastestMs > 0 && row.report->serviceMs > fastestMs) {
        use += settings.slownessUse * std::min(row.report->serviceMs / fastestMs - 1, 10.0);
    }
    use += settings.failureUse * row.failureShare;
    if (row.report->warmupLeft > Duration::zero() && now - row.lastReportAt < row.report->warmupLeft) {
        use += settings.coldUse;
    }
    if (now < row.avoidUntil || (row.address != table.ownAddress && !isAlive(table, row, now))) {
        use += settings.silentUse;
    }
    return use;
}

} // namespace

auto choosePeer(PeerTable &table, const LoadBalancingSettings &settings, const ServiceName &service, const std::vector<std::string> &tried, Random &random,
                TimePoint now) -> PeerRow *
{
    std::vector<PeerRow *> candidates;
    double fastestMs = 0;
    const bool explores = drawBelow(random, kExploreOneIn) == 0;
    for (auto &[address, row] : table.rows) {
        if (!isCandidate(row, service, tried)) {
            continue;
        }
        candidates.push_back(&row);
        if (row.report->serviceMs > 0 && (fastestMs == 0 || row.report->serviceMs < fastestMs)) {
            fastestMs = row.report->serviceMs;
        }
    }
    if (candidates.size() > kSampledTargets * 2) {
        // Half of the sample comes from the own failure domain if it has targets.
        std::shuffle(candidates.begin(), candidates.end(), random);
        std::stable_partition(candidates.begin(), candidates.end(), [&table](const PeerRow *row) {
            return row->report->domain == table.ownDomain;
        });
        const size_t near = std::count_if(candidates.begin(), candidates.end(), [&table](const PeerRow *row) {
            return row->report->domain == table.ownDomain;
        });
        const size_t keptNear = std::min(near, kSampledTargets);
        candidates.erase(candidates.begin() + static_cast<std::ptrdiff_t>(keptNear), candidates.begin() + static_cast<std::ptrdiff_t>(near));
        candidates.resize(std::min(candidates.size(), keptNear + kSampledTargets));
    }
    PeerRow *best = nullptr;
    double bestRate = std::numeric_limits<double>::max();
    for (PeerRow *const row : candidates) {
        // The random part breaks ties between equal targets.
        const double rated = rate(table, settings, *row, explores ? 0 : fastestMs, now) + 0.01 * static_cast<double>(drawBelow(random, 100)) / 100;
        if (rated < bestRate) {
            bestRate = rated;
            best = row;
        }
    }
    return best;
}

} // namespace snipestream
