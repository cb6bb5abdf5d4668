#pragma once

#include "core/ids.h"
#include "mesh/policy.h"

#include <unordered_map>
#include <vector>

namespace snipestream
{

/// Position of a node in the splits of its routes.
struct SplitTable {
    struct Row {
        std::vector<WeightedService> weightedServices;
        /// Credit of each part; the part with the most credit is next.
        std::vector<double> credit;
    };
    std::unordered_map<RouteName, Row> rows;
    /// Offset of the first choice, between 0 and 1, so that nodes that start together do not all begin with one part.
    double phase = 0;
};

/// Returns the service for the next request of the route. Each part gets its share of any run of requests, to within one
/// request. The route has at least one part with a weight.
auto chooseService(SplitTable &table, const RoutePolicy &route) -> const ServiceName &;

} // namespace snipestream
