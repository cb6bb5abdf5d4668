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

/// A service: a number of targets, each with slots, and the mean time that a slot is busy per call.
struct ModelService {
    std::string name;
    int targets = 1;
    int slots = 1;
    Duration serviceTime{};
};

/// A kind of request: the chain of services that it passes, its part of the traffic and its weight in goodput.
struct ModelRoute {
    std::string name;
    std::vector<size_t> services;
    double part = 0;
    /// Harm of a request that does not complete, relative to a lookup.
    double weight = 1;
    Priority priority = Priority::Normal;
    bool idempotent = true;
    Duration timeout{};
};

/// One of the deployments of the design page.
struct Deployment {
    std::string name;
    std::vector<ModelService> services;
    std::vector<ModelRoute> routes;
    /// Part of the traffic by team.
    std::vector<double> teams;
    /// Requests per second of normal load.
    double rate = 0;
    Duration hopLatency{};
    /// Service that the slow scenario slows down.
    size_t deepService = 0;
};

auto cymru() -> Deployment;
auto nairobi() -> Deployment;

/// What happens between the warm-up and the recovery phase.
struct Scenario {
    std::string name;
    /// Load of all teams relative to the normal one.
    double load = 1;
    /// Load of the fourth team on top of that.
    double greedyLoad = 1;
    /// Factor on the service time of the deep service.
    double slowdown = 1;
    /// Callers repeat failed requests up to five times after 50 ms instead of once after 500 ms.
    bool hardRetries = false;
    /// The token buckets of snipestream keep a part of the burst for important requests.
    bool quotaReserve = true;
    /// A token is given back if the request was refused before any target worked for it.
    bool quotaRefund = true;
    /// Answers report the shedding levels of the services further down as well.
    bool deepLevels = true;
};

/// Who decides about requests.
enum class Policy {
    /// Unbounded queues, two retries per hop, no deadlines or cancellation inside.
    None,
    /// Slots and queues with fixed bounds, one retry per hop, rate divided evenly among nodes.
    Fixed,
    /// The functions of admission, retry and routing, with an exact token bucket per team at the entry.
    Snipestream,
    /// The same without token buckets, so that admission alone meets the whole load.
    SnipestreamNoQuota,
};

/// Measured values of one run.
struct PolicyResult {
    /// Completed weight per second while the trigger lasts.
    double goodput = 0;
    /// Completed part of all critical requests.
    double criticalCompleted = 0;
    /// Time from the end of the trigger until 95% of the offered weight completes again; empty if it never does.
    std::optional<Duration> recovery;
    /// Completed attempts as a part of those that the team's rate allows, of the team for which it is lowest.
    double worstTeam = 0;
    /// Attempts that the rates allow but that were refused, as a part of all that they allow. Which of a team's
    /// requests get its tokens is left to the policy; only their number counts.
    double wrongful = 0;
};

/// Runs one scenario in virtual time.
auto runPolicy(const Deployment &deployment, const Scenario &scenario, Policy policy, uint64_t seed) -> PolicyResult;

} // namespace snipestream::bench
