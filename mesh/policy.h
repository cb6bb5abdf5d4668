#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace snipestream
{

/// Service that a route sends requests to, with its weight in the traffic split of the route.
struct WeightedService {
    ServiceName service;
    /// Relative to the weights of the route's other services. A service with weight 0 gets no requests.
    uint32_t weight = 1;

    friend auto operator==(const WeightedService &a, const WeightedService &b) -> bool
    {
        return a.service == b.service && a.weight == b.weight;
    }
};

/// Operator's rules for requests under one path prefix of one authority.
struct RoutePolicy {
    RouteName name;
    std::string authority;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    /// Requests of a route that is not idempotent may run at most once.
    bool idempotent = false;
    /// Maximum time until the caller gets a response.
    Duration timeout{};
    /// Response time up to which a response has its full value to the caller.
    Duration targetLatency{};
    /// Maximum number of targets that one request may be sent to.
    int maxAttempts = 1;
    /// Lower values are more important; 0 is the most important one.
    int priority = 0;
    /// Requests need no API key.
    bool isOpen = false;
    std::vector<WeightedService> weightedServices;

    friend auto operator==(const RoutePolicy &a, const RoutePolicy &b) -> bool
    {
        return a.name == b.name && a.authority == b.authority && a.pathPrefix == b.pathPrefix && a.idempotent == b.idempotent && a.timeout == b.timeout
            && a.targetLatency == b.targetLatency && a.maxAttempts == b.maxAttempts && a.priority == b.priority && a.isOpen == b.isOpen
            && a.weightedServices == b.weightedServices;
    }
};

/// Team with its API keys and its rate limit over the whole fleet.
struct TeamPolicy {
    TeamName name;
    std::vector<std::string> keys;
    /// Overrides the priority of the route if set.
    std::optional<int> priority;
    /// Rate limit over all nodes, in requests per second; 0 means no limit.
    double ratePerSecond = 0;
    /// Number of requests that may arrive at once beyond the rate.
    double burst = 0;

    friend auto operator==(const TeamPolicy &a, const TeamPolicy &b) -> bool
    {
        return a.name == b.name && a.keys == b.keys && a.priority == b.priority && a.ratePerSecond == b.ratePerSecond && a.burst == b.burst;
    }
};

/// Operator's figures for the targets of a service.
struct ServicePolicy {
    ServiceName name;
    /// Requests a second that a target bears while it is cold; 0 means no limit.
    double coldRatePerSecond = 0;

    friend auto operator==(const ServicePolicy &a, const ServicePolicy &b) -> bool
    {
        return a.name == b.name && a.coldRatePerSecond == b.coldRatePerSecond;
    }
};

/// Limits on the size of a caller's request and on the time to receive it.
struct MessageLimits {
    uint32_t maxHeaderBytes = 16 * 1024;
    uint64_t maxBodyBytes = 64ULL * 1024 * 1024;
    Duration headerTimeout = seconds(3);
    Duration idleTimeout = seconds(15);

    friend auto operator==(const MessageLimits &a, const MessageLimits &b) -> bool
    {
        return a.maxHeaderBytes == b.maxHeaderBytes && a.maxBodyBytes == b.maxBodyBytes && a.headerTimeout == b.headerTimeout && a.idleTimeout == b.idleTimeout;
    }
};

/// Complete configuration of the operator. It is immutable after `indexPolicy`; a newer version replaces it as a whole.
struct Policy {
    uint64_t version = 0;
    std::vector<RoutePolicy> routes;
    std::vector<TeamPolicy> teams;
    std::vector<ServicePolicy> services;
    MessageLimits limits;

    /// Indexes into `routes` by authority in lower case, sorted by descending length of the path prefix.
    std::unordered_map<std::string, std::vector<uint32_t>> routesByAuthority;
    /// Index into `teams` by API key.
    std::unordered_map<std::string, uint32_t> teamByKey;
};

/// Builds the lookup tables of a policy whose routes and teams are complete.
auto indexPolicy(Policy policy) -> Policy;

/// Returns the route with the longest path prefix that matches `target`, or nullptr if there is none. The query of
/// `target` and the port of `authority` are ignored.
auto findRoute(const Policy &policy, std::string_view authority, std::string_view target) -> const RoutePolicy *;

/// Returns the team that the API key belongs to, or nullptr if there is none.
auto findTeam(const Policy &policy, std::string_view key) -> const TeamPolicy *;

/// Returns the requests a second that a target of the service bears while it is cold; 0 means no limit.
auto coldRateOf(const Policy &policy, const ServiceName &service) -> double;

} // namespace snipestream
