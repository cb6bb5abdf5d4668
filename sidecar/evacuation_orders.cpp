#include "sidecar/evacuation_orders.h"

#include "core/events.h"
#include "sidecar/distribution.h"
#include "sidecar/home.h"

#include <algorithm>
#include <string>

namespace snipestream
{

namespace
{

auto joinNames(const std::set<DomainName> &domains) -> std::string
{
    std::string names;
    for (const DomainName &domain : domains) {
        names.append(names.empty() ? "" : ",").append(domain.value);
    }
    return names.empty() ? "-" : names;
}

/// Returns the evacuated domains that no member is in. The operator may have misspelled them.
auto unknownDomains(const SidecarState &state) -> std::set<DomainName>
{
    std::set<DomainName> unknown = state.evacuation.domains;
    for (const auto &[address, row] : state.peers.rows) {
        unknown.erase(row.member.domain);
    }
    return unknown;
}

} // namespace

void applyEvacuation(SidecarState &state, const Evacuation &evacuation)
{
    const bool wasEvacuated = isEvacuated(state);
    if (!adoptEvacuation(state.evacuation, evacuation)) {
        return;
    }
    state.peers.evacuatedDomains = state.evacuation.domains;
    state.metrics.gauge("snipestream_evacuated_domains", "Failure domains whose targets get no requests by order of the operator")
        .set(static_cast<double>(state.evacuation.domains.size()));
    logEvent(EventId::EvacuationChanged,
             {{"domains", joinNames(state.evacuation.domains)},
              {"unknown", joinNames(unknownDomains(state))},
              {"revision", std::to_string(state.evacuation.revision)},
              {"running", std::to_string(state.limiter.running)},
              {"waiting", std::to_string(state.limiter.queue.size())}});
    if (isEvacuated(state) && !wasEvacuated) {
        drainLimiterQueue(state);
    }
    state.reportDue = true;
    notifyFollowers(state);
}

} // namespace snipestream
