#pragma once

#include "core/random.h"
#include "mesh/peer_table.h"

#include <string>
#include <vector>

namespace snipestream
{

/// Constants of the choice among the targets of a service.
struct LoadBalancingSettings {
    /// Use of a target's slots that another failure domain must offer less of before a request crosses over. Crossing
    /// costs two link delays and bytes between failure domains, which are small against a queue.
    double crossDomainUse = 0.15;
    /// Use added for a target whose requests take twice as long as at the fastest one.
    double slownessUse = 0.20;
    /// Use added for a target at which every recent request failed.
    double failureUse = 4.0;
    /// Use added while a target is cold, since its requests take about twice as long.
    double coldUse = 0.3;
    /// Use added for a node that was not heard of recently or refused a connection.
    double silentUse = 100.0;
};

/// Returns the node to send a request for the service to, or nullptr if no node that was not tried serves it. Every
/// target is rated by the part of its slots in use, with additions for what makes it a worse choice; the lowest wins.
/// Among many targets, a random sample is compared, so that nodes with the same knowledge do not all choose the same.
auto choosePeer(PeerTable &table, const LoadBalancingSettings &settings, const ServiceName &service, const std::vector<std::string> &tried, Random &random,
                TimePoint now) -> PeerRow *;

} // namespace snipestream
