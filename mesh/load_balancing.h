#pragma once

#include "core/random.h"
#include "mesh/peer_table.h"

#include <string>
#include <vector>

namespace snipestream
{

/// Settings of the choice among the targets of a service. Penalties are added to the utilization of a target, which is
/// the ratio of its busy slots to all of its slots.
struct LoadBalancingSettings {
    /// Maximum by which the utilization of a target in the node's own failure domain may exceed that of one in another
    /// domain before requests go there. Crossing domains costs two link delays and traffic between domains, which is
    /// little compared with a queue.
    double maxCrossDomainUtilizationGap = 0.15;
    /// Penalty of a target whose requests take twice as long as those of the fastest one.
    double slownessPenalty = 0.20;
    /// Penalty of a target at which every recent request failed.
    double failurePenalty = 4.0;
    /// Penalty during the warm-up of a target, when its requests take about twice as long.
    double warmupPenalty = 0.3;
    /// Utilization up to which a target that reports its pace answers without a wait that matters, although news of it are some tenths
    /// of a second old.
    double freeUtilization = 0.6;
    /// Weight of utilization below that, which only spreads requests over equal targets.
    double freeUtilizationWeight = 0.1;
    /// Penalty of a target whose expected time takes most of the target latency, and what counts as most.
    double latePenalty = 2.0;
    double lateFraction = 0.8;
    /// Penalty of a node that shuts down.
    double leavingPenalty = 50.0;
    /// Penalty of a node that has sent no report recently or could not be connected to.
    double silencePenalty = 100.0;
};

/// Returns the home to send a request for the service to, or nullptr if no home that is not in `tried` serves it.
/// `tried` holds addresses. The target with the lowest sum of utilization and penalties is chosen. If there are many
/// targets, only a random sample is compared, so that nodes that have the same reports do not all choose the same
/// target.
///
/// If the targets report their pace, the expected time until the answer counts as a fraction of `targetLatency` in place of the
/// ratio to the fastest target, and utilization counts little as long as there is room: a free target in another domain is no gain
/// then.
auto choosePeer(PeerTable &table, const LoadBalancingSettings &settings, const ServiceName &service, const std::vector<std::string> &tried, Random &random,
                TimePoint now, Duration targetLatency = Duration::zero()) -> PeerRow *;

/// What the choice among targets is based on, per target. Lower sums are better.
struct TargetScore {
    double utilization = 0;
    double otherDomain = 0;
    double slowness = 0;
    double failures = 0;
    double warmup = 0;
    double leaving = 0;
    double silence = 0;

    friend auto operator==(const TargetScore &a, const TargetScore &b) -> bool
    {
        return a.utilization == b.utilization && a.otherDomain == b.otherDomain && a.slowness == b.slowness && a.failures == b.failures && a.warmup == b.warmup
            && a.leaving == b.leaving && a.silence == b.silence;
    }
};

auto totalOf(const TargetScore &score) -> double;

/// Returns the terms of the choice for a target that serves. `fastestMs` is the lowest mean service time among the candidates in
/// milliseconds, or 0 to leave out the time that requests take.
auto scoreTarget(const PeerTable &table, const LoadBalancingSettings &settings, const PeerRow &row, double fastestMs, TimePoint now, Duration targetLatency)
    -> TargetScore;

} // namespace snipestream
