#include "mesh/split.h"

#include <algorithm>

namespace snipestream
{

auto chooseService(SplitTable &table, const RoutePolicy &route) -> const ServiceName &
{
    if (route.weightedServices.size() == 1) {
        return route.weightedServices.front().service;
    }
    auto &row = table.rows[route.name];
    if (row.weightedServices != route.weightedServices) {
        row.weightedServices = route.weightedServices;
        row.credit.assign(route.weightedServices.size(), 0);
        // A start at different points of the cycle spreads the first choices of many nodes over the services.
        row.credit.back() = table.phase;
        row.credit.front() = -table.phase;
    }
    double total = 0;
    for (const auto &weighted : row.weightedServices) {
        total += weighted.weight;
    }
    size_t best = 0;
    for (size_t i = 0; i < row.weightedServices.size(); ++i) {
        row.credit[i] += total > 0 ? row.weightedServices[i].weight / total : 0;
        if (row.credit[i] > row.credit[best]) {
            best = i;
        }
    }
    row.credit[best] -= 1;
    return route.weightedServices[best].service;
}

} // namespace snipestream
