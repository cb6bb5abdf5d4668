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
    /// Offset of the first choice, between 0 and 1, so that nodes that start together do not all begin with the same
    /// service.
    double phase = 0;
};

/// Returns the service for the next request of the route. Over any sequence of requests, each service gets its share to
/// within one request. At least one service of the route must have a weight above 0.
auto chooseService(SplitTable &table, const RoutePolicy &route) -> const ServiceName &;

} // namespace snipestream
