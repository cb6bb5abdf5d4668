#include "bench/policy_world.h"

#include <algorithm>
#include <cmath>

namespace snipestream::bench
{

namespace
{

constexpr Duration kWarmupDuration = seconds(8);
constexpr Duration kDisturbanceDuration = seconds(10);
constexpr Duration kRecoveryDuration = seconds(20);
/// Sum of the team rates, as a multiple of the normal load.
constexpr double kRateHeadroom = 1.2;
/// Fraction of the burst that is reserved for critical requests. High priority has no reserve of its own, because that
/// gave the tokens of lookups to bookings, for which the diary service had no capacity.
constexpr double kCriticalReserve = 0.3;

} // namespace

auto takeToken(TokenBucket &bucket, TimePoint now, double reserve) -> bool
{
    const double passed = std::chrono::duration<double>(now - bucket.updatedAt).count();
    bucket.level = std::min(bucket.burst, bucket.level + passed * bucket.rate);
    bucket.updatedAt = now;
    if (bucket.level < 1 + reserve * bucket.burst) {
        return false;
    }
    bucket.level -= 1;
    return true;
}

World::World(const Deployment &deployment, const Scenario &scenario, Policy policy, uint64_t seed)
    : deployment_(deployment)
    , scenario_(scenario)
    , policy_(policy)
    , random_(seed)
    , disturbanceStart_(now_ + kWarmupDuration)
    , disturbanceEnd_(disturbanceStart_ + kDisturbanceDuration)
    , end_(disturbanceEnd_ + kRecoveryDuration)
{
    buildNodes();
    for (size_t team = 0; team < deployment_.teams.size(); ++team) {
        const double rate = deployment_.rate * deployment_.teams[team] * kRateHeadroom;
        const TokenBucket bucket{rate, rate, rate, now_};
        teamRates_.push_back(bucket);
        quota_.push_back(bucket);
        teamCounts_.emplace_back();
    }
}

void World::buildNodes()
{
    for (size_t service = 0; service < deployment_.services.size(); ++service) {
        const auto &model = deployment_.services[service];
        for (int i = 0; i < model.targets; ++i) {
            WorldNode node;
            node.service = service;
            const std::string name = model.name + "-" + std::to_string(i);
            node.id = EndpointId{NodeName(name), TargetName(name)};
            node.endpoints.domain = DomainName("d" + std::to_string(i % 3));
            upsertTarget(node.admission, node.id.target, ServiceName(model.name), model.slots, false, now_);
            nodes_.push_back(std::move(node));
        }
    }
    // Without weights, fair queueing would give the largest team no more slots than the smallest.
    std::map<TeamName, double> weights;
    for (size_t team = 0; team < deployment_.teams.size(); ++team) {
        weights[TeamName("team-" + std::to_string(team))] = deployment_.teams[team];
    }
    for (auto &node : nodes_) {
        setTeamWeights(node.admission, weights);
        for (size_t service = 0; service < deployment_.services.size(); ++service) {
            const ServiceName name(deployment_.services[service].name);
            makeSubscription(node.endpoints, name, NodeName("directory"));
            UpdateMessage update{name, NodeName("directory"), 1, 0, 1, true, {}};
            for (const auto &other : nodes_) {
                if (other.service == service) {
                    update.records.push_back({other.id, name, other.endpoints.domain, deployment_.services[service].slots, EndpointState::Active, false, 1, 1});
                }
            }
            applyUpdate(node.endpoints, update, now_);
        }
        for (const double trafficFraction : deployment_.teams) {
            const double rate = deployment_.rate * trafficFraction * kRateHeadroom / static_cast<double>(nodes_.size());
            node.buckets.push_back({rate, std::max(1.0, rate), std::max(1.0, rate), now_});
        }
    }
}

void World::after(Duration delay, std::function<void()> action)
{
    events_.push(Event{now_ + delay, serial_++, std::move(action)});
}

auto World::isDisturbed() const -> bool
{
    return now_ >= disturbanceStart_ && now_ < disturbanceEnd_;
}

auto World::usesSnipestream() const -> bool
{
    return policy_ == Policy::Snipestream || policy_ == Policy::SnipestreamNoQuota;
}

auto World::drawServiceTime(size_t service) -> Duration
{
    const double mean = static_cast<double>(deployment_.services[service].serviceTime.count());
    const double factor = isDisturbed() && service == deployment_.slowedService ? scenario_.slowdown : 1;
    // Half of the service time is constant and half is exponentially distributed.
    const double drawn = mean * factor * (0.5 + 0.5 * std::exponential_distribution<double>(1)(random_));
    return Duration(static_cast<Duration::rep>(drawn));
}

void World::scheduleArrival(size_t team)
{
    double rate = deployment_.rate * deployment_.teams[team];
    if (isDisturbed()) {
        rate *= scenario_.load * (team == 3 ? scenario_.fourthTeamLoad : 1);
    }
    const double interarrivalSeconds = std::exponential_distribution<double>(rate)(random_);
    after(duration_cast<Duration>(std::chrono::duration<double>(interarrivalSeconds)), [this, team] {
        arrive(team);
        scheduleArrival(team);
    });
}

void World::arrive(size_t team)
{
    auto callerRequest = std::make_shared<CallerRequest>();
    double draw = std::uniform_real_distribution<double>(0, 1)(random_);
    while (callerRequest->route + 1 < deployment_.routes.size() && draw >= deployment_.routes[callerRequest->route].trafficFraction) {
        draw -= deployment_.routes[callerRequest->route].trafficFraction;
        ++callerRequest->route;
    }
    callerRequest->team = team;
    callerRequest->arrivedAt = now_;
    callerRequests_.push_back(callerRequest);
    startAttempt(callerRequest);
}

void World::startAttempt(const std::shared_ptr<CallerRequest> &callerRequest)
{
    ++callerRequest->attempts;
    const auto &route = deployment_.routes[callerRequest->route];
    auto attempt = std::make_shared<CallerAttempt>();
    attempt->callerRequest = callerRequest;
    attempt->id = drawRequestId(random_);
    attempt->deadline = now_ + route.timeout;
    attempt->isCounted = isDisturbed();
    teamCounts_[callerRequest->team].allowed += takeToken(teamRates_[callerRequest->team], now_) && attempt->isCounted ? 1 : 0;
    const size_t entry = drawBelow(random_, nodes_.size());
    after(route.timeout, [this, attempt] {
        endAttempt(attempt, false, false);
    });
    const bool limited = policy_ == Policy::Snipestream || policy_ == Policy::Fixed;
    const bool reserves = policy_ == Policy::Snipestream && scenario_.quotaReserve;
    const double reserve = reserves && route.priority != Priority::Critical ? kCriticalReserve : 0;
    auto &bucket = policy_ == Policy::Fixed ? nodes_[entry].buckets[callerRequest->team] : quota_[callerRequest->team];
    if (limited && !takeToken(bucket, now_, reserve)) {
        endAttempt(attempt, false, true);
        return;
    }
    attempt->charged = policy_ == Policy::Snipestream;
    auto call = std::make_shared<Call>();
    call->from = entry;
    call->attempt = attempt;
    call->budget = std::make_shared<AttemptBudget>(receivedBudget(kMaxRetriesPerRequest));
    call->done = [this, attempt](bool ok, std::optional<RefusalReason> reason) {
        endAttempt(attempt, ok, !ok && reason.has_value());
    };
    if (usesSnipestream()) {
        countFirstAttempt(nodes_[entry].ratio, now_);
        dispatch(call);
    } else {
        dispatchBaseline(call);
    }
}

void World::endAttempt(const AttemptPtr &attempt, bool ok, bool refused)
{
    if (attempt->isEnded) {
        return;
    }
    attempt->isEnded = true;
    auto &quota = quota_[attempt->callerRequest->team];
    if (attempt->charged && !attempt->hasRun && scenario_.quotaRefund) {
        quota.level = std::min(quota.burst, quota.level + 1);
    }
    const auto active = std::move(attempt->active);
    for (const auto &[key, running] : active) {
        auto &node = nodes_[key.first];
        node.startCallbacks.erase(key.second);
        node.refusalCallbacks.erase(key.second);
        // A run whose deadline has passed ends with TimedOut, so that admission observes its latency.
        applyDequeueResults(key.first,
                            running && now_ >= attempt->deadline ? complete(node.admission, key.second, RunOutcome::TimedOut, now_)
                                                                 : cancel(node.admission, key.second, now_));
    }
    auto &callerRequest = *attempt->callerRequest;
    callerRequest.completed = callerRequest.completed || ok;
    if (attempt->isCounted) {
        teamCounts_[callerRequest.team].completed += ok ? 1 : 0;
        teamCounts_[callerRequest.team].accepted += ok || !refused ? 1 : 0;
    }
    const bool hard = scenario_.aggressiveRetries;
    if (!ok && callerRequest.attempts < (hard ? 6 : 2)) {
        const Duration retryDelay = hard ? milliseconds(50) : milliseconds(500);
        after(retryDelay, [this, callerRequest = attempt->callerRequest] {
            startAttempt(callerRequest);
        });
    }
}

auto World::run() -> PolicyResult
{
    for (size_t team = 0; team < deployment_.teams.size(); ++team) {
        scheduleArrival(team);
    }
    if (usesSnipestream()) {
        tickNodes();
    }
    while (!events_.empty() && events_.top().at < end_) {
        const auto event = events_.top();
        events_.pop();
        now_ = event.at;
        event.action();
    }
    return result();
}

auto World::result() const -> PolicyResult
{
    PolicyResult measured;
    double critical = 0;
    double criticalDone = 0;
    constexpr Duration kBin = milliseconds(500);
    std::map<int64_t, std::pair<double, double>> bins;
    for (const auto &callerRequest : callerRequests_) {
        const auto &route = deployment_.routes[callerRequest->route];
        if (callerRequest->arrivedAt >= disturbanceEnd_) {
            auto &[offered, done] = bins[(callerRequest->arrivedAt - disturbanceEnd_) / kBin];
            offered += route.weight;
            done += callerRequest->completed ? route.weight : 0;
        }
        if (callerRequest->arrivedAt < disturbanceStart_ || callerRequest->arrivedAt >= disturbanceEnd_) {
            continue;
        }
        measured.goodput += callerRequest->completed ? route.weight : 0;
        if (route.priority == Priority::Critical) {
            critical += 1;
            criticalDone += callerRequest->completed ? 1 : 0;
        }
    }
    const double time = std::chrono::duration<double>(kDisturbanceDuration).count();
    measured.goodput /= time;
    measured.criticalCompletedFraction = critical > 0 ? criticalDone / critical : 1;
    measured.worstTeamFraction = 1;
    double allowed = 0;
    double refusedWithinRate = 0;
    for (const auto &team : teamCounts_) {
        const double allowedAttempts = std::max(1.0, team.allowed);
        measured.worstTeamFraction = std::min(measured.worstTeamFraction, team.completed / allowedAttempts);
        allowed += allowedAttempts;
        refusedWithinRate += std::max(0.0, allowedAttempts - team.accepted);
    }
    measured.wrongfulRefusalFraction = refusedWithinRate / allowed;
    // Excludes the last five seconds, because requests that arrive then may still be running at the end.
    int good = 0;
    for (int64_t bin = 0; bin < (kRecoveryDuration - seconds(5)) / kBin && !measured.recovery; ++bin) {
        const auto found = bins.find(bin);
        const bool ok = found != bins.end() && found->second.second >= 0.95 * found->second.first;
        good = ok ? good + 1 : 0;
        if (good == 4) {
            measured.recovery = kBin * (bin - 3);
        }
    }
    return measured;
}

auto runPolicy(const Deployment &deployment, const Scenario &scenario, Policy policy, uint64_t seed) -> PolicyResult
{
    return World(deployment, scenario, policy, seed).run();
}

} // namespace snipestream::bench
