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
    /// Penalty of a node that shuts down.
    double leavingPenalty = 50.0;
    /// Penalty of a node that has sent no report recently or could not be connected to.
    double silencePenalty = 100.0;
};

/// Returns the home to send a request for the service to, or nullptr if no home that is not in `tried` serves it.
/// `tried` holds addresses. The target with the lowest sum of utilization and penalties is chosen. If there are many
/// targets, only a random sample is compared, so that nodes that have the same reports do not all choose the same
/// target.
auto choosePeer(PeerTable &table, const LoadBalancingSettings &settings, const ServiceName &service, const std::vector<std::string> &tried, Random &random,
                TimePoint now) -> PeerRow *;

} // namespace snipestream
