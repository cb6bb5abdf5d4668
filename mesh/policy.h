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

/// One service that a route sends requests to, with its share of them.
struct WeightedService {
    ServiceName service;
    /// Relative to the weights of the other parts; a part with weight 0 gets nothing.
    uint32_t weight = 1;

    friend auto operator==(const WeightedService &a, const WeightedService &b) -> bool
    {
        return a.service == b.service && a.weight == b.weight;
    }
};

/// What the operator wants of the requests under one path prefix of one authority.
struct RoutePolicy {
    RouteName name;
    std::string authority;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    /// Requests that are not idempotent may run at most once.
    bool idempotent = false;
    /// Longest time that a caller is kept waiting.
    Duration timeout{};
    /// Time within which an answer has its full worth.
    Duration targetLatency{};
    /// Targets that one request may be sent to.
    int maxAttempts = 1;
    /// Zero is the most important.
    int priority = 0;
    /// Needs no key.
    bool isOpen = false;
    std::vector<WeightedService> weightedServices;

    friend auto operator==(const RoutePolicy &a, const RoutePolicy &b) -> bool
    {
        return a.name == b.name && a.authority == b.authority && a.pathPrefix == b.pathPrefix && a.idempotent == b.idempotent && a.timeout == b.timeout
            && a.targetLatency == b.targetLatency && a.maxAttempts == b.maxAttempts && a.priority == b.priority && a.isOpen == b.isOpen
            && a.weightedServices == b.weightedServices;
    }
};

/// One team with its keys and its rate over the whole fleet.
struct TeamPolicy {
    TeamName name;
    std::vector<std::string> keys;
    /// Replaces the priority of the route if set.
    std::optional<int> priority;
    /// Requests per second over all nodes; zero means no limit.
    double ratePerSecond = 0;
    /// Requests beyond the rate that may come at once.
    double burst = 0;

    friend auto operator==(const TeamPolicy &a, const TeamPolicy &b) -> bool
    {
        return a.name == b.name && a.keys == b.keys && a.priority == b.priority && a.ratePerSecond == b.ratePerSecond && a.burst == b.burst;
    }
};

/// What a caller may send, and how long it may take.
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

/// One whole configuration of the operator. It never changes after `indexPolicy`; a newer version replaces it.
struct Policy {
    uint64_t version = 0;
    std::vector<RoutePolicy> routes;
    std::vector<TeamPolicy> teams;
    MessageLimits limits;

    /// Indexes of routes by authority in lower case, those with the longest prefix first.
    std::unordered_map<std::string, std::vector<uint32_t>> routesByAuthority;
    /// Index of the team by key.
    std::unordered_map<std::string, uint32_t> teamByKey;
};

/// Fills the indexes of a policy whose lists are complete.
auto indexPolicy(Policy policy) -> Policy;

/// Returns the route with the longest prefix that begins the path of `target`; nullptr if there is none. The query is no
/// part of the path, and a port in the authority is ignored.
auto findRoute(const Policy &policy, std::string_view authority, std::string_view target) -> const RoutePolicy *;

/// Returns the team that holds the key; nullptr if there is none.
auto findTeam(const Policy &policy, std::string_view key) -> const TeamPolicy *;

} // namespace snipestream
