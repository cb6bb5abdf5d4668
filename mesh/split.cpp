#include "mesh/split.h"

#include <algorithm>
#include <optional>

namespace snipestream
{

namespace
{

/// Maximum number of choices that are skipped at the start of a row. It bounds the time that this takes; longer cycles differ
/// by less than a thousandth in their first choices.
constexpr double kMaxSkippedChoices = 1000;

auto totalWeight(const std::vector<WeightedService> &services) -> double
{
    double total = 0;
    for (const auto &weighted : services) {
        total += weighted.weight;
    }
    return total;
}

/// Advances the row by one choice and returns its index. Only services with a weight above 0 are chosen, whatever their credit
/// is. Returns an empty value if there is none.
auto advance(SplitTable::Row &row, double total) -> std::optional<size_t>
{
    std::optional<size_t> best;
    for (size_t i = 0; i < row.weightedServices.size(); ++i) {
        if (row.weightedServices[i].weight == 0) {
            continue;
        }
        row.credit[i] += row.weightedServices[i].weight / total;
        if (!best || row.credit[i] > row.credit[*best]) {
            best = i;
        }
    }
    if (best) {
        row.credit[*best] -= 1;
    }
    return best;
}

/// Starts a new cycle for changed weights.
void restart(SplitTable::Row &row, const std::vector<WeightedService> &services, double total, double phase)
{
    row.weightedServices = services;
    row.credit.assign(services.size(), 0);
    const auto skipped = static_cast<int>(std::clamp(phase, 0.0, 1.0) * kMaxSkippedChoices);
    for (int i = 0; i < skipped; ++i) {
        advance(row, total);
    }
}

} // namespace

auto chooseService(SplitTable &table, const RoutePolicy &route) -> const ServiceName *
{
    const auto &services = route.weightedServices;
    if (services.size() == 1) {
        return services.front().weight > 0 ? &services.front().service : nullptr;
    }
    auto &row = table.rows[route.name];
    const double total = totalWeight(services);
    if (row.weightedServices != services) {
        restart(row, services, total, table.phase);
    }
    const auto chosen = advance(row, total);
    return chosen ? &services[*chosen].service : nullptr;
}

} // namespace snipestream
