#pragma once

#include "core/ids.h"
#include "mesh/policy.h"

#include <unordered_map>
#include <vector>

namespace snipestream
{

/// State of the smooth weighted round robin by which a node splits the requests of each route among services.
struct SplitTable {
    struct Row {
        std::vector<WeightedService> weightedServices;
        /// Credit of each service, in requests. The service with the highest credit gets the next request.
        std::vector<double> credit;
    };
    std::unordered_map<RouteName, Row> rows;
    /// Part of a cycle of choices, between 0 and 1, that is skipped at the start and after each change of the weights. It
    /// differs between nodes, since the first requests of many nodes would otherwise all go to the same service.
    double phase = 0;
};

/// Returns the service for the next request of the route, or nullptr if all weights are 0. Over any sequence of requests, each
/// service gets its share to within one request.
auto chooseService(SplitTable &table, const RoutePolicy &route) -> const ServiceName *;

} // namespace snipestream
