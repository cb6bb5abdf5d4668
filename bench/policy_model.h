#pragma once

#include "core/priority.h"
#include "core/random.h"
#include "core/time.h"

#include <array>
#include <optional>
#include <string>
#include <vector>

namespace snipestream::bench
{

/// A service with its number of targets, the slots of each target and the mean time that a call occupies a slot.
struct ModelService {
    std::string name;
    int targets = 1;
    int slots = 1;
    Duration serviceTime{};
};

/// A kind of request: the chain of services that it calls, the fraction of the traffic that it makes up and its weight in
/// goodput.
struct ModelRoute {
    std::string name;
    std::vector<size_t> services;
    double trafficFraction = 0;
    /// Harm of a request that does not complete, relative to a lookup.
    double weight = 1;
    Priority priority = Priority::Normal;
    bool idempotent = true;
    Duration timeout{};
};

/// A deployment with its services, routes, teams and normal load.
struct Deployment {
    std::string name;
    std::vector<ModelService> services;
    std::vector<ModelRoute> routes;
    /// Fraction of the traffic that each team sends.
    std::vector<double> teams;
    /// Requests per second of normal load.
    double rate = 0;
    Duration hopLatency{};
    /// Index of the service that scenarios with a slowdown make slower.
    size_t slowedService = 0;
};

auto cymru() -> Deployment;
auto nairobi() -> Deployment;

/// The disturbance between the warm-up phase and the recovery phase of a run.
struct Scenario {
    std::string name;
    /// Load of all teams relative to the normal load.
    double load = 1;
    /// Further factor on the load of the fourth team.
    double fourthTeamLoad = 1;
    /// Factor on the service time of `slowedService`.
    double slowdown = 1;
    /// Callers retry failed requests up to five times after 50 ms instead of once after 500 ms.
    bool aggressiveRetries = false;
    /// The token buckets of snipestream reserve a fraction of the burst for critical requests.
    bool quotaReserve = true;
    /// A token is refunded if the request was refused before any target ran it.
    bool quotaRefund = true;
    /// Responses also report the shedding levels of the services further upstream.
    bool reportUpstreamLevels = true;
};

/// How requests are admitted, routed and retried.
enum class Policy {
    /// Unbounded queues, two retries per hop, no deadlines and no cancellation of nested calls.
    None,
    /// Slots and queues with fixed bounds, one retry per hop, rate divided evenly among nodes.
    Fixed,
    /// The functions of admission, retry and routing, with an exact token bucket per team at the entry node.
    Snipestream,
    /// The same without token buckets, so that admission alone handles the whole load.
    SnipestreamNoQuota,
};

/// Measured values of one run.
struct PolicyResult {
    /// Completed weight per second during the disturbance.
    double goodput = 0;
    /// Fraction of the critical requests that completed.
    double criticalCompletedFraction = 0;
    /// Time from the end of the disturbance until 95% of the offered weight completes again; empty if it does not within
    /// the run.
    std::optional<Duration> recovery;
    /// Completed attempts divided by those that the team's rate allows, for the team with the lowest value.
    double worstTeamFraction = 0;
    /// Attempts that the rates allow but that were refused, divided by all attempts that the rates allow. The policy is
    /// free to choose which of a team's requests get its tokens; only their number is compared.
    double wrongfulRefusalFraction = 0;
};

/// Runs one scenario in virtual time.
auto runPolicy(const Deployment &deployment, const Scenario &scenario, Policy policy, uint64_t seed) -> PolicyResult;

} // namespace snipestream::bench
