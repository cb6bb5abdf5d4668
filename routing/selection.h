#pragma once

#include "core/random.h"
#include "routing/endpoint_table.h"

#include <optional>
#include <vector>

namespace snipestream
{

/// Preference tiers of endpoints, from best to worst.
enum class SelectionTier {
    OwnDomain,
    OtherDomain,
    /// Every usable endpoint is at this node's limit for it.
    AtLimit,
    /// Only ejected endpoints remain.
    Ejected,
    /// Only endpoints whose renewals stopped remain.
    Suspect,
};

/// A chosen endpoint.
struct Selection {
    EndpointId endpoint;
    DomainName domain;
    SelectionTier tier = SelectionTier::OwnDomain;
};

/// Chooses an endpoint that was not tried yet: of two random endpoints of the best tier, the one with the lower ratio
/// of calls in flight to limit. Empty if no endpoint remains.
auto chooseEndpoint(const EndpointTable &table, const ServiceName &service, const std::vector<EndpointId> &tried, Random &random, TimePoint now)
    -> std::optional<Selection>;

} // namespace snipestream
