#pragma once

#include "core/ids.h"

#include <cstdint>
#include <set>

namespace snipestream
{

/// Failure domains whose targets get no requests, by order of the operator.
struct Evacuation {
    std::set<DomainName> domains;
    /// Offset of the operator's topic up to which orders are known. An order and its withdrawal may arrive through different nodes in
    /// any order; the higher revision decides.
    uint64_t revision = 0;

    friend auto operator==(const Evacuation &a, const Evacuation &b) -> bool
    {
        return a.domains == b.domains && a.revision == b.revision;
    }
};

/// The operator's order to evacuate a failure domain, or its withdrawal.
struct EvacuationOrder {
    DomainName domain;
    bool isEvacuated = false;

    friend auto operator==(const EvacuationOrder &a, const EvacuationOrder &b) -> bool
    {
        return a.domain == b.domain && a.isEvacuated == b.isEvacuated;
    }
};

/// Applies an order of the store to the domains.
void applyOrder(Evacuation &evacuation, const EvacuationOrder &order);

/// Takes over what another node or a read of the store knows, unless it is older. Returns whether the domains have changed.
auto adoptEvacuation(Evacuation &own, const Evacuation &received) -> bool;

} // namespace snipestream
