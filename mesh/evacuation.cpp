#include "mesh/evacuation.h"

namespace snipestream
{

void applyOrder(Evacuation &evacuation, const EvacuationOrder &order)
{
    if (order.isEvacuated) {
        evacuation.domains.insert(order.domain);
    } else {
        evacuation.domains.erase(order.domain);
    }
}

auto adoptEvacuation(Evacuation &own, const Evacuation &received) -> bool
{
    if (received.revision <= own.revision) {
        return false;
    }
    const bool hasChanged = own.domains != received.domains;
    own = received;
    return hasChanged;
}

} // namespace snipestream
