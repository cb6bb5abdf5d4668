#include "bench/policy_world.h"

#include <algorithm>
#include <cmath>

namespace snipestream::bench
{

namespace
{

constexpr Duration kWarmUp = seconds(8);
constexpr Duration kTrigger = seconds(10);
constexpr Duration kAfter = seconds(20);
/// Sum of the team rates relative to the normal load.
constexpr double kRateRoom = 1.2;
/// Part of the burst that is kept for critical requests. Steps for high priority as well gave bookings the tokens of
/// lookups, which the diary could not serve.
constexpr double kCriticalReserve = 0.3;

} // namespace

auto takeToken(Bucket &bucket, TimePoint now, double reserve) -> bool
{
    const double passed = std::chrono::duration<double>(now - bucket.at).count();
    bucket.level = std::min(bucket.burst, bucket.level + passed * bucket.rate);
    bucket.at = now;
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
    , triggerAt_(now_ + kWarmUp)
    , triggerEnd_(triggerAt_ + kTrigger)
    , end_(triggerEnd_ + kAfter)
{
    buildNodes();
    for (size_t team = 0; team < deployment_.teams.size(); ++team) {
        const double rate = deployment_.rate * deployment_.teams[team] * kRateRoom;
        const Bucket bucket{rate, rate, rate, now_};
        teamRates_.push_back(bucket);
        quota_.push_back(bucket);
        counts_.emplace_back();
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
    // Without weights the queues give the largest team no more slots than the smallest.
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
        for (const double part : deployment_.teams) {
            const double rate = deployment_.rate * part * kRateRoom / static_cast<double>(nodes_.size());
            node.buckets.push_back({rate, std::max(1.0, rate), std::max(1.0, rate), now_});
        }
    }
}

void World::after(Duration delay, std::function<void()> action)
{
    events_.push(Event{now_ + delay, serial_++, std::move(action)});
}

auto World::inTrigger() const -> bool
{
    return now_ >= triggerAt_ && now_ < triggerEnd_;
}

auto World::usesSnipestream() const -> bool
{
    return policy_ == Policy::Snipestream || policy_ == Policy::SnipestreamNoQuota;
}

auto World::drawServiceTime(size_t service) -> Duration
{
    const double mean = static_cast<double>(deployment_.services[service].serviceTime.count());
    const double factor = inTrigger() && service == deployment_.deepService ? scenario_.slowdown : 1;
    // Half constant, half exponentially distributed.
    const double drawn = mean * factor * (0.5 + 0.5 * std::exponential_distribution<double>(1)(random_));
    return Duration(static_cast<Duration::rep>(drawn));
}

void World::scheduleArrival(size_t team)
{
    double rate = deployment_.rate * deployment_.teams[team];
    if (inTrigger()) {
        rate *= scenario_.load * (team == 3 ? scenario_.greedyLoad : 1);
    }
    const double wait = std::exponential_distribution<double>(rate)(random_);
    after(duration_cast<Duration>(std::chrono::duration<double>(wait)), [this, team] {
        arrive(team);
        scheduleArrival(team);
    });
}

void World::arrive(size_t team)
{
    auto logical = std::make_shared<Logical>();
    double draw = std::uniform_real_distribution<double>(0, 1)(random_);
    while (logical->route + 1 < deployment_.routes.size() && draw >= deployment_.routes[logical->route].part) {
        draw -= deployment_.routes[logical->route].part;
        ++logical->route;
    }
    logical->team = team;
    logical->arrivedAt = now_;
    logicals_.push_back(logical);
    attempt(logical);
}

void World::attempt(const std::shared_ptr<Logical> &logical)
{
    ++logical->attempts;
    const auto &route = deployment_.routes[logical->route];
    auto root = std::make_shared<Root>();
    root->logical = logical;
    root->id = drawRequestId(random_);
    root->deadline = now_ + route.timeout;
    root->counts = inTrigger();
    counts_[logical->team].allowed += takeToken(teamRates_[logical->team], now_) && root->counts ? 1 : 0;
    const size_t entry = drawBelow(random_, nodes_.size());
    after(route.timeout, [this, root] {
        endAttempt(root, false, false);
    });
    const bool limited = policy_ == Policy::Snipestream || policy_ == Policy::Fixed;
    const bool reserves = policy_ == Policy::Snipestream && scenario_.quotaReserve;
    const double reserve = reserves && route.priority != Priority::Critical ? kCriticalReserve : 0;
    auto &bucket = policy_ == Policy::Fixed ? nodes_[entry].buckets[logical->team] : quota_[logical->team];
    if (limited && !takeToken(bucket, now_, reserve)) {
        endAttempt(root, false, true);
        return;
    }
    root->charged = policy_ == Policy::Snipestream;
    auto call = std::make_shared<Call>();
    call->from = entry;
    call->root = root;
    call->budget = std::make_shared<AttemptBudget>(receivedBudget(kMaxRetriesPerRequest));
    call->done = [this, root](bool ok, std::optional<RefusalReason> reason) {
        endAttempt(root, ok, !ok && reason.has_value());
    };
    if (usesSnipestream()) {
        countFirstAttempt(nodes_[entry].ratio, now_);
        dispatch(call);
    } else {
        dispatchPlain(call);
    }
}

void World::endAttempt(const RootPtr &root, bool ok, bool refused)
{
    if (root->over) {
        return;
    }
    root->over = true;
    auto &quota = quota_[root->logical->team];
    if (root->charged && !root->hasRun && scenario_.quotaRefund) {
        quota.level = std::min(quota.burst, quota.level + 1);
    }
    const auto active = std::move(root->active);
    for (const auto &[key, running] : active) {
        auto &node = nodes_[key.first];
        node.starts.erase(key.second);
        node.refusals.erase(key.second);
        // A run whose deadline passed ends as such, so that its latency counts.
        apply(key.first,
              running && now_ >= root->deadline ? complete(node.admission, key.second, RunOutcome::TimedOut, now_) : cancel(node.admission, key.second, now_));
    }
    auto &logical = *root->logical;
    logical.completed = logical.completed || ok;
    if (root->counts) {
        counts_[logical.team].completed += ok ? 1 : 0;
        counts_[logical.team].accepted += ok || !refused ? 1 : 0;
    }
    const bool hard = scenario_.hardRetries;
    if (!ok && logical.attempts < (hard ? 6 : 2)) {
        const Duration wait = hard ? milliseconds(50) : milliseconds(500);
        after(wait, [this, logical = root->logical] {
            attempt(logical);
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
    for (const auto &logical : logicals_) {
        const auto &route = deployment_.routes[logical->route];
        if (logical->arrivedAt >= triggerEnd_) {
            auto &[offered, done] = bins[(logical->arrivedAt - triggerEnd_) / kBin];
            offered += route.weight;
            done += logical->completed ? route.weight : 0;
        }
        if (logical->arrivedAt < triggerAt_ || logical->arrivedAt >= triggerEnd_) {
            continue;
        }
        measured.goodput += logical->completed ? route.weight : 0;
        if (route.priority == Priority::Critical) {
            critical += 1;
            criticalDone += logical->completed ? 1 : 0;
        }
    }
    const double time = std::chrono::duration<double>(kTrigger).count();
    measured.goodput /= time;
    measured.criticalCompleted = critical > 0 ? criticalDone / critical : 1;
    measured.worstTeam = 1;
    double allowed = 0;
    double missing = 0;
    for (const auto &team : counts_) {
        const double most = std::max(1.0, team.allowed);
        measured.worstTeam = std::min(measured.worstTeam, team.completed / most);
        allowed += most;
        missing += std::max(0.0, most - team.accepted);
    }
    measured.wrongful = missing / allowed;
    // The last five seconds are left out: their requests may still be under way at the end.
    int good = 0;
    for (int64_t bin = 0; bin < (kAfter - seconds(5)) / kBin && !measured.recovery; ++bin) {
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
