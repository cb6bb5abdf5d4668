// Compares ways to enforce a fleet-wide rate in virtual time by the requests that were refused although the team was
// within its rate and by the messages per request. The run has a fixed seed and prints one table.

#include "tests/quota/quota_world.h"

#include <array>
#include <cstdio>

namespace snipestream::testing
{

namespace
{

constexpr size_t kDomains = 4;
constexpr size_t kNodes = 18;
constexpr Duration kRunDuration = seconds(120);
const TeamName kSmallTeam("small");
const TeamName kLargeTeam("large");

enum class Mode {
    Static,
    HolderOnly,
    HolderWithLoans,
};

enum class Fault {
    None,
    Partition,
    HolderDeath,
    LogOutage,
};

/// Exact token bucket. The bucket of the whole fleet is debited for every admitted request and is the reference for ideal
/// enforcement; static division has one per node.
struct TokenBucket {
    double rate = 0;
    double burst = 0;
    double level = 0;
    double updatedAt = 0;

    void refill(double now)
    {
        level = std::min(burst, level + rate * (now - updatedAt));
        updatedAt = now;
    }
};

struct Tally {
    uint64_t admitted = 0;
    uint64_t refused = 0;
    uint64_t wrongful = 0;
};

class Bench
{
public:
    Bench(Mode mode, Fault fault, const TeamName &team, const TeamQuota &rule)
        : mode_(mode)
        , fault_(fault)
        , team_(team)
        , world_(20261204, kDomains, kNodes, QuotaParams{})
        , load_(1)
        , rate_(static_cast<double>(rule.rate) / kOneToken)
        , burst_(static_cast<double>(rule.burst) / kOneToken)
    {
        DomainWeights weights{1, {}};
        for (size_t d = 0; d < kDomains; ++d) {
            weights.weights[DomainName("d" + std::to_string(d))] = 1;
        }
        world_.loansEnabled = mode == Mode::HolderWithLoans;
        world_.setRules({{team, rule}});
        world_.setWeights(weights);
        world_.onDecision = [this](const TeamName &, const TokenDecision &decision) {
            count(decision.state == TokenState::Admitted);
        };
        world_.run(seconds(10));
        fleet_ = TokenBucket{rate_, burst_, burst_, now()};
        for (auto &node : nodes_) {
            node = TokenBucket{rate_ / kNodes, burst_ / kNodes, burst_ / kNodes, now()};
        }
    }

    void run(const char *modeName, const char *faultName)
    {
        const Duration start = world_.now;
        const uint64_t messagesBefore = world_.messageCount;
        while (world_.now - start < kRunDuration) {
            applyFault(world_.now - start);
            offer();
            world_.run(QuotaWorld::kStep);
        }
        world_.run(seconds(1));
        const auto requests = tally_.admitted + tally_.refused;
        std::printf("| %-6s | %-20s | %-13s | %8lu | %8lu | %8lu | %8.2f |\n", team_.value.c_str(), modeName, faultName, requests, tally_.admitted,
                    tally_.wrongful, static_cast<double>(world_.messageCount - messagesBefore) / static_cast<double>(requests));
    }

private:
    [[nodiscard]] auto now() const -> double
    {
        return std::chrono::duration<double>(world_.now).count();
    }

    void count(bool admitted)
    {
        fleet_.refill(now());
        if (admitted) {
            ++tally_.admitted;
            fleet_.level -= 1;
            return;
        }
        ++tally_.refused;
        tally_.wrongful += fleet_.level >= 1 ? 1 : 0;
    }

    void applyFault(Duration elapsed)
    {
        const auto at = [&](int second) {
            return elapsed == seconds(second);
        };
        if (fault_ == Fault::Partition && at(30)) {
            world_.domainCutUntil[1] = world_.now + seconds(30);
        }
        if ((fault_ == Fault::HolderDeath || fault_ == Fault::LogOutage) && at(30)) {
            world_.machines[0].down = true;
            world_.leases[0].valid = false;
        }
        // The successor holds the lease 7 s after the death, the sum of failure detection, the append to the log and the
        // takeover delay W. Without the log no node can take over.
        if (fault_ == Fault::HolderDeath && at(37)) {
            world_.moveLease(0, kDomains);
        }
    }

    /// Submits requests at 70% of the rate to random nodes, and every 10 s the whole burst to one random node.
    void offer()
    {
        constexpr double kScale = 1e9;
        if (static_cast<double>(drawBelow(load_, static_cast<uint64_t>(kScale))) < rate_ * 0.7 * 1e-3 * kScale) {
            submit(drawBelow(load_, kNodes));
        }
        if ((world_.now / milliseconds(1)) % 10000 == 5000) {
            const size_t node = drawBelow(load_, kNodes);
            for (int i = 0; i < static_cast<int>(burst_); ++i) {
                submit(node);
            }
        }
    }

    void submit(size_t node)
    {
        if (world_.machines[node].down) {
            return;
        }
        if (mode_ != Mode::Static) {
            world_.submit(node, team_);
            return;
        }
        auto &bucket = nodes_[node];
        bucket.refill(now());
        const bool admitted = bucket.level >= 1;
        bucket.level -= admitted ? 1 : 0;
        count(admitted);
    }

    Mode mode_;
    Fault fault_;
    TeamName team_;
    QuotaWorld world_;
    Random load_;
    double rate_;
    double burst_;
    TokenBucket fleet_;
    std::array<TokenBucket, kNodes> nodes_;
    Tally tally_;
};

} // namespace

} // namespace snipestream::testing

auto main() -> int
{
    using namespace snipestream;
    using namespace snipestream::testing;
    const std::pair<Mode, const char *> modes[] = {
        {Mode::Static, "static division"}, {Mode::HolderOnly, "holder without loans"}, {Mode::HolderWithLoans, "holder with loans"}};
    const std::pair<Fault, const char *> faults[] = {
        {Fault::None, "none"}, {Fault::Partition, "domain cut"}, {Fault::HolderDeath, "holder death"}, {Fault::LogOutage, "log outage"}};
    const std::pair<TeamName, TeamQuota> teams[] = {{kSmallTeam, {2 * kOneToken, 5 * kOneToken}}, {kLargeTeam, {1000 * kOneToken, 200 * kOneToken}}};
    std::printf(
        "18 nodes, 4 failure domains, 120 s; cut of one domain for 30 s; holder death with a successor after 7 s;\n"
        "log outage: the holder dies and has no successor.\n"
        "| team   | enforcement          | fault         | requests | admitted | wrongful | messages |\n"
        "| ------ | -------------------- | ------------- | -------- | -------- | -------- | -------- |\n");
    for (const auto &[team, rule] : teams) {
        for (const auto &[mode, modeName] : modes) {
            for (const auto &[fault, faultName] : faults) {
                Bench(mode, fault, team, rule).run(modeName, faultName);
            }
        }
    }
    return 0;
}
