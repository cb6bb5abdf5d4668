#include "mesh/policy.h"

#include <algorithm>

namespace snipestream
{

namespace
{

auto toLower(std::string_view text) -> std::string
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char c) {
        return static_cast<char>(c >= 'A' && c <= 'Z' ? c - 'A' + 'a' : c);
    });
    return lower;
}

} // namespace

auto indexPolicy(Policy policy) -> Policy
{
    policy.routesByAuthority.clear();
    policy.teamByKey.clear();
    for (uint32_t i = 0; i < policy.routes.size(); ++i) {
        policy.routesByAuthority[toLower(policy.routes[i].authority)].push_back(i);
    }
    for (auto &[authority, indexes] : policy.routesByAuthority) {
        std::sort(indexes.begin(), indexes.end(), [&policy](uint32_t a, uint32_t b) {
            return policy.routes[a].pathPrefix.size() > policy.routes[b].pathPrefix.size();
        });
    }
    for (uint32_t i = 0; i < policy.teams.size(); ++i) {
        for (const auto &key : policy.teams[i].keys) {
            policy.teamByKey.emplace(key, i);
        }
    }
    return policy;
}

auto findRoute(const Policy &policy, std::string_view authority, std::string_view target) -> const RoutePolicy *
{
    const auto colon = authority.find(':');
    const auto found = policy.routesByAuthority.find(toLower(authority.substr(0, colon)));
    if (found == policy.routesByAuthority.end()) {
        return nullptr;
    }
    const std::string_view path = target.substr(0, target.find('?'));
    for (const uint32_t index : found->second) {
        const auto &route = policy.routes[index];
        if (path.compare(0, route.pathPrefix.size(), route.pathPrefix) == 0) {
            return &route;
        }
    }
    return nullptr;
}

auto findTeam(const Policy &policy, std::string_view key) -> const TeamPolicy *
{
    const auto found = policy.teamByKey.find(std::string(key));
    return found == policy.teamByKey.end() ? nullptr : &policy.teams[found->second];
}

auto coldRateOf(const Policy &policy, const ServiceName &service) -> double
{
    const auto found = std::find_if(policy.services.begin(), policy.services.end(), [&service](const ServicePolicy &row) {
        return row.name == service;
    });
    return found == policy.services.end() ? 0 : found->coldRatePerSecond;
}

} // namespace snipestream
