#include "tests/quota/quota_world.h"

#include "tests/support/section.h"

#include <iostream>

#include <rapidcheck.h>

namespace snipestream::testing
{

/// A fault or an operator action in a run. `a` and `b` select nodes, domains or rules by their remainder, `length` is
/// the duration of a fault, and `wait` is the time that passes after the command.
struct QuotaCommand {
    enum Kind {
        Burst,
        Kill,
        Restart,
        Pause,
        CutIncoming,
        CutOutgoing,
        CutDomain,
        Delay,
        Duplicate,
        MoveLease,
        LapseLease,
        ChangeRate,
        ChangeWeights,
        /// Requests are refused after they have spent a token, at once or later, until `length` has passed.
        Refuse,
        KindCount,
    };
    int kind = Burst;
    int a = 0;
    int b = 0;
    Duration length{};
    Duration wait{};
};

} // namespace snipestream::testing

namespace rc
{

template<>
struct Arbitrary<snipestream::testing::QuotaCommand> {
    static auto arbitrary() -> Gen<snipestream::testing::QuotaCommand>
    {
        using snipestream::testing::QuotaCommand;
        const auto ms = [](int low, int high) {
            return gen::map(gen::inRange(low, high), [](int value) {
                return snipestream::Duration(snipestream::milliseconds(value));
            });
        };
        return gen::build<QuotaCommand>(gen::set(&QuotaCommand::kind, gen::inRange<int>(0, QuotaCommand::KindCount)),
                                        gen::set(&QuotaCommand::a, gen::inRange(0, 60)), gen::set(&QuotaCommand::b, gen::inRange(0, 60)),
                                        gen::set(&QuotaCommand::length, ms(50, 2500)), gen::set(&QuotaCommand::wait, ms(10, 600)));
    }
};

} // namespace rc

namespace snipestream
{

using testing::QuotaCommand;
using testing::QuotaWorld;
using testing::section;

namespace
{

const std::vector<TeamName> kTeams = {TeamName("small"), TeamName("middle")};

/// Checks that the tokens spent by one team stay within rate x window + burst for all windows at once: a token bucket
/// that starts full must never be overdrawn. While a rule change is being rolled out, the higher of the old and the new
/// rule counts.
struct Oracle {
    double rate = 0;
    double burst = 0;
    double level = 0;
    double updatedAt = 0;
    double nextRate = 0;
    double nextBurst = 0;
    double changeAt = 1e18;
    std::string violation;

    void start(double teamRate, double teamBurst, double now)
    {
        rate = teamRate;
        burst = teamBurst;
        level = teamBurst;
        updatedAt = now;
    }

    void change(double teamRate, double teamBurst, double now)
    {
        advance(now);
        nextRate = teamRate;
        nextBurst = teamBurst;
        level += std::max(0.0, teamBurst - burst);
        rate = std::max(rate, teamRate);
        burst = std::max(burst, teamBurst);
        // Nodes apply the change within 1 s, and grants under the old rule are valid for up to 1.1 s longer.
        changeAt = now + 2.2;
    }

    void advance(double now)
    {
        level = std::min(burst, level + rate * (now - updatedAt));
        updatedAt = now;
        if (now >= changeAt) {
            rate = nextRate;
            burst = nextBurst;
            level = std::min(level, burst);
            changeAt = 1e18;
        }
    }

    void spend(double now)
    {
        advance(now);
        level -= 1;
        if (level < -1e-3 && violation.empty()) {
            violation = "overdrawn by " + std::to_string(-level) + " tokens at " + std::to_string(now) + " s";
        }
    }
};

class Run
{
public:
    Run(uint64_t seed, const QuotaParams &params)
        : world_(seed, 3, 6, params)
    {
        rules_[kTeams[0]] = TeamQuota{2 * kOneToken, 5 * kOneToken};
        rules_[kTeams[1]] = TeamQuota{100 * kOneToken, 20 * kOneToken};
        weights_ = DomainWeights{1, {{DomainName("d0"), 1}, {DomainName("d1"), 1}, {DomainName("d2"), 2}}};
        world_.setRules(rules_);
        world_.setWeights(weights_);
        for (const auto &team : kTeams) {
            oracles_[team].start(tokens(rules_[team].rate), tokens(rules_[team].burst), now());
        }
        world_.onDecision = [this](const TeamName &team, const TokenDecision &decision) {
            if (decision.state == TokenState::Admitted) {
                ++admitted;
                oracles_[team].spend(now());
            }
        };
    }

    void apply(const QuotaCommand &command)
    {
        const auto a = static_cast<size_t>(command.a);
        const auto b = static_cast<size_t>(command.b);
        auto &machine = world_.machines[a % world_.machines.size()];
        const size_t domain = a % world_.leases.size();
        const Duration until = world_.now + command.length;
        switch (command.kind) {
        case QuotaCommand::Burst:
            for (int i = 0; i < command.b; ++i) {
                world_.submit(a % world_.machines.size(), kTeams[b % kTeams.size()]);
            }
            break;
        case QuotaCommand::Kill:
        case QuotaCommand::Restart:
            world_.restart(a % world_.machines.size());
            machine.down = command.kind == QuotaCommand::Kill;
            // A killed process no longer holds the lease, and neither does a restarted one.
            for (auto &lease : world_.leases) {
                lease.valid = lease.valid && world_.machines[lease.node].name != machine.name;
            }
            break;
        case QuotaCommand::Pause:
            machine.pausedUntil = until;
            break;
        case QuotaCommand::CutIncoming:
            machine.inboundCutUntil = until;
            break;
        case QuotaCommand::CutOutgoing:
            machine.outboundCutUntil = until;
            break;
        case QuotaCommand::CutDomain:
            world_.domainCutUntil[domain] = until;
            break;
        case QuotaCommand::Delay:
            // For even `b` the whole network is slow, otherwise only this node.
            for (auto &each : world_.machines) {
                each.slowUntil = b % 2 == 0 || each.name == machine.name ? until : each.slowUntil;
            }
            break;
        case QuotaCommand::Duplicate:
            world_.duplicateUntil = until;
            break;
        case QuotaCommand::MoveLease:
            moveLease(domain, domain + 3 * (b % 2));
            break;
        case QuotaCommand::LapseLease:
            world_.leases[domain].valid = b % 2 == 0 && !isDown(world_.leases[domain].node);
            break;
        case QuotaCommand::ChangeRate:
            changeRate(kTeams[a % kTeams.size()], b);
            break;
        case QuotaCommand::ChangeWeights:
            ++weights_.version;
            weights_.weights[DomainName("d" + std::to_string(domain))] = 1 + static_cast<int64_t>(b % 4);
            rollOut([weights = weights_](QuotaWorld::Machine &each) {
                each.weights.push_back(weights);
            });
            break;
        case QuotaCommand::Refuse:
            world_.refuseUntil = until;
            world_.maxRefusalDelay = milliseconds(b % 3 == 0 ? 0 : 25 * b);
            break;
        default:
            break;
        }
    }

    void advance(Duration length)
    {
        const Duration end = world_.now + length;
        while (world_.now < end) {
            for (const auto &team : kTeams) {
                // Steady load fills the caches of the entry nodes, the pause after it fills the levels of the holders,
                // and a burst then spends all tokens that exist.
                const auto phase = (world_.now / milliseconds(1)) % 2000;
                const double demand = phase < 1000 ? tokens(rules_[team].rate) * 0.8 : 0;
                if (static_cast<double>(drawBelow(world_.random, 1'000'000)) < demand * 1000) {
                    submitAnywhere(team);
                }
                for (int i = 0; phase == 1400 && i < 3 * tokens(rules_[team].burst); ++i) {
                    submitAnywhere(team);
                }
            }
            applyDueChanges();
            world_.run(QuotaWorld::kStep);
        }
    }

    [[nodiscard]] auto violation() const -> std::string
    {
        for (const auto &[team, oracle] : oracles_) {
            if (!oracle.violation.empty()) {
                return "team " + team.value + ": " + oracle.violation;
            }
        }
        return {};
    }

    int admitted = 0;

private:
    static auto tokens(MicroTokens amount) -> double
    {
        return static_cast<double>(amount) / kOneToken;
    }
    [[nodiscard]] auto now() const -> double
    {
        return std::chrono::duration<double>(world_.now).count();
    }
    [[nodiscard]] auto isDown(size_t node) const -> bool
    {
        return world_.machines[node].down;
    }

    void submitAnywhere(const TeamName &team)
    {
        world_.submit(drawBelow(world_.random, world_.machines.size()), team);
    }

    void moveLease(size_t domain, size_t node)
    {
        if (isDown(node)) {
            world_.restart(node);
        }
        // If the node already holds the lease, it keeps it.
        if (world_.leases[domain].node != node || !world_.leases[domain].valid) {
            world_.moveLease(domain, node);
        }
    }

    void changeRate(const TeamName &team, size_t choice)
    {
        if (now() < oracles_[team].changeAt && oracles_[team].changeAt < 1e17) {
            return;
        }
        rules_[team] = TeamQuota{static_cast<MicroTokens>(1 + choice) * kOneToken, static_cast<MicroTokens>(3 + choice / 4) * kOneToken};
        oracles_[team].change(tokens(rules_[team].rate), tokens(rules_[team].burst), now());
        rollOut([team, rule = rules_[team]](QuotaWorld::Machine &each) {
            each.rules[team] = rule;
        });
    }

    /// Makes every node apply a change at its own time within 1 s, but in the order of the changes.
    template<typename Change>
    void rollOut(Change change)
    {
        for (size_t i = 0; i < world_.machines.size(); ++i) {
            auto &queue = pendingChanges_[i];
            Duration at = world_.now + milliseconds(drawBelow(world_.random, 1000));
            if (!queue.empty()) {
                at = std::max(at, queue.back().first);
            }
            queue.emplace_back(at, change);
        }
    }

    void applyDueChanges()
    {
        for (auto &[index, queue] : pendingChanges_) {
            while (!queue.empty() && queue.front().first <= world_.now) {
                queue.front().second(world_.machines[index]);
                queue.pop_front();
            }
        }
    }

    QuotaWorld world_;
    std::map<TeamName, TeamQuota> rules_;
    DomainWeights weights_;
    std::map<TeamName, Oracle> oracles_;
    std::map<size_t, std::deque<std::pair<Duration, std::function<void(QuotaWorld::Machine &)>>>> pendingChanges_;
};

auto runCommands(uint64_t seed, const QuotaParams &params, const std::vector<QuotaCommand> &commands) -> std::string
{
    Run run(seed, params);
    run.advance(seconds(3));
    for (const auto &command : commands) {
        run.apply(command);
        run.advance(command.wait);
        if (!run.violation().empty()) {
            break;
        }
    }
    return run.violation();
}

/// Longer timeouts let more tokens be outstanding for longer, so that only the lifetimes bound the tokens in existence.
auto longTimeoutParams() -> QuotaParams
{
    QuotaParams params;
    params.requestTimeout = milliseconds(1500);
    params.borrowTimeout = milliseconds(1500);
    params.demandWindow = milliseconds(400);
    params.returnGrantAfter = milliseconds(900);
    params.returnLoanAfter = milliseconds(900);
    return params;
}

constexpr int kFaultRuns = 40;

/// Late responses only cause a violation while the levels of the holders are full, so these runs have no other fault.
const std::vector<int> kSlowNetworkKinds = {QuotaCommand::Delay, QuotaCommand::Burst};
const std::vector<int> kRefusalKinds = {QuotaCommand::Refuse, QuotaCommand::Burst};
const std::vector<int> kWeightChangeKinds = {QuotaCommand::ChangeWeights, QuotaCommand::CutDomain, QuotaCommand::MoveLease};

/// Returns the number of runs up to the first violation, or -1 if there is none. If `kinds` is not empty, only these
/// kinds of commands occur.
auto runsUntilViolation(const QuotaParams &params, const std::vector<int> &kinds = {}) -> int
{
    const auto arbitrary = rc::gen::container<std::vector<QuotaCommand>>(40, rc::gen::arbitrary<QuotaCommand>());
    for (int run = 1; run <= kFaultRuns; ++run) {
        const auto seed = static_cast<uint64_t>(run);
        auto commands = arbitrary(rc::Random(seed), 100).value();
        for (auto &command : commands) {
            command.kind = kinds.empty() ? command.kind : kinds[static_cast<size_t>(command.kind) % kinds.size()];
        }
        if (!runCommands(seed, params, commands).empty()) {
            return run;
        }
    }
    return -1;
}

} // namespace

/// Guards the invariant that no team spends more than rate x window + burst over all nodes under any sequence of
/// faults. Also checks that the oracle detects each of the known faults in the protocol parameters.
class QuotaFuzzTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(QuotaFuzzTest);
    CPPUNIT_TEST(testNeverMoreThanRateAndBurst);
    CPPUNIT_TEST(testCorrectParametersPassTheFaultRuns);
    CPPUNIT_TEST(testCatchesDoubleCountedGrant);
    CPPUNIT_TEST(testCatchesMintingAtTakeover);
    CPPUNIT_TEST(testCatchesLifetimeFromReceipt);
    CPPUNIT_TEST(testCatchesRaiseWithoutConfirmation);
    CPPUNIT_TEST(testCatchesReusedToken);
    CPPUNIT_TEST_SUITE_END();

public:
    void testNeverMoreThanRateAndBurst()
    {
        CPPUNIT_ASSERT(rc::check("tokens spent are at most rate x window + burst", [] {
            const auto seed = *rc::gen::arbitrary<uint64_t>();
            const auto commands = *rc::gen::arbitrary<std::vector<QuotaCommand>>();
            const auto violation = runCommands(seed, longTimeoutParams(), commands);
            if (!violation.empty()) {
                RC_FAIL(violation);
            }
        }));
    }

    void testCorrectParametersPassTheFaultRuns()
    {
        CPPUNIT_ASSERT_EQUAL(-1, runsUntilViolation(longTimeoutParams()));
        CPPUNIT_ASSERT_EQUAL(-1, runsUntilViolation(longTimeoutParams(), kSlowNetworkKinds));
        CPPUNIT_ASSERT_EQUAL(-1, runsUntilViolation(longTimeoutParams(), kWeightChangeKinds));
        CPPUNIT_ASSERT_EQUAL(-1, runsUntilViolation(longTimeoutParams(), kRefusalKinds));
    }

    void testCatchesDoubleCountedGrant()
    {
        auto params = longTimeoutParams();
        params.countDuplicates = true;
        expectCaught("the tokens of a duplicate grant are added again", params);
    }

    void testCatchesMintingAtTakeover()
    {
        auto params = longTimeoutParams();
        params.takeoverDelay = Duration::zero();
        expectCaught("a new holder mints immediately", params);
    }

    void testCatchesLifetimeFromReceipt()
    {
        auto params = longTimeoutParams();
        params.lifetimeFromReceipt = true;
        expectCaught("the lifetime is counted from the receipt of the response", params, kSlowNetworkKinds);
    }

    void testCatchesRaiseWithoutConfirmation()
    {
        auto params = longTimeoutParams();
        params.raiseWithoutConfirmation = true;
        expectCaught("a raised weight is used before it is confirmed", params, kWeightChangeKinds);
    }

    /// A token that a refused request gave back was used again although the holder had minted another one for it.
    void testCatchesReusedToken()
    {
        auto params = longTimeoutParams();
        params.reuseSpentTokens = true;
        expectCaught("a refused request's token is used again after it was reported as spent", params, kRefusalKinds);
    }

private:
    static void expectCaught(const std::string &fault, const QuotaParams &params, const std::vector<int> &kinds = {})
    {
        section(fault, [&] {
            const int runs = runsUntilViolation(params, kinds);
            std::cout << "fault '" << fault << "' is caught in run " << runs << std::endl;
            CPPUNIT_ASSERT(runs > 0);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuotaFuzzTest);

} // namespace snipestream
