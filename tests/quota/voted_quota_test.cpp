#include "tests/quota/voted_world.h"

#include "tests/support/section.h"

#include <string>

namespace snipestream
{

using testing::section;
using testing::VotedWorld;

namespace
{

const TeamName kLarge("large");
const TeamName kSmall("small");
constexpr double kLargeRate = 290;
constexpr double kLargeBurst = 270;
constexpr double kSmallRate = 8;
constexpr double kSmallBurst = 8;
constexpr Duration kWindow = seconds(5);

/// Returns how many requests the operator allows in a window: rate and burst, 10% more and 20 requests. Teams are given
/// their burst and a part of this tolerance.
auto allowedIn(double rate, double burst) -> double
{
    return (rate * std::chrono::duration<double>(kWindow).count() + burst) * 1.1 + 20;
}

auto effectiveBurst(double rate, double burst) -> double
{
    return burst + 0.4 * (allowedIn(rate, burst) - rate * std::chrono::duration<double>(kWindow).count() - burst);
}

struct Fleet : VotedWorld {
    Fleet(uint64_t seed, size_t domains, size_t nodes)
        : VotedWorld(seed, domains, nodes)
    {
        addTeam(kLarge, kLargeRate, effectiveBurst(kLargeRate, kLargeBurst));
        addTeam(kSmall, kSmallRate, effectiveBurst(kSmallRate, kSmallBurst));
        run(seconds(8));
    }

    void setLoads(double factor)
    {
        setLoad(kLarge, kLargeRate * factor);
        setLoad(kSmall, kSmallRate * factor);
    }

    /// Checks that no window has more admitted requests than the operator allows.
    void checkWindows() const
    {
        for (const auto &[team, allowed] : {std::make_pair(kLarge, allowedIn(kLargeRate, kLargeBurst)), {kSmall, allowedIn(kSmallRate, kSmallBurst)}}) {
            const auto admitted = static_cast<double>(maxAdmittedIn(team, kWindow));
            CPPUNIT_ASSERT_MESSAGE(team.value + ": " + std::to_string(admitted) + " of " + std::to_string(allowed), admitted <= allowed);
        }
    }

    [[nodiscard]] auto refusedFraction(const TeamName &team) const -> double
    {
        return static_cast<double>(tally(team).refusedInRate) / static_cast<double>(std::max<uint64_t>(tally(team).requests, 1));
    }
};

} // namespace

/// Guards against teams that get less than their rate because tokens are where their requests do not arrive, and against
/// teams that get more because two nodes use the same part of a rate.
class VotedQuotaTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(VotedQuotaTest);
    CPPUNIT_TEST(testWithinRate);
    CPPUNIT_TEST(testSurge);
    CPPUNIT_TEST(testPartition);
    CPPUNIT_TEST(testRestarts);
    CPPUNIT_TEST(testHolderFails);
    CPPUNIT_TEST(testLoss);
    CPPUNIT_TEST(testIsolatedNodes);
    CPPUNIT_TEST(testLostCandidates);
    CPPUNIT_TEST(testReturnedToken);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Answers a usual load of 60% of each team's rate that arrives at random nodes of a large fleet.
    void testWithinRate()
    {
        for (const size_t nodes : {13, 78, 195}) {
            section(std::to_string(nodes) + " nodes refuse less than one in 1,000 requests within the rate", [nodes] {
                Fleet fleet(1, nodes < 50 ? 3 : 6, nodes);
                fleet.setLoads(0.6);
                fleet.run(seconds(2));
                fleet.resetTallies();
                fleet.run(seconds(20));
                CPPUNIT_ASSERT_MESSAGE(std::to_string(fleet.refusedFraction(kSmall)), fleet.refusedFraction(kSmall) < 0.001);
                CPPUNIT_ASSERT_MESSAGE(std::to_string(fleet.refusedFraction(kLarge)), fleet.refusedFraction(kLarge) < 0.001);
            });
        }
    }

    /// Answers a team that sends seven times its rate.
    void testSurge()
    {
        Fleet fleet(2, 4, 40);
        fleet.setLoads(0.6);
        fleet.run(seconds(5));
        fleet.setLoads(7);
        fleet.resetTallies();
        fleet.run(seconds(10));
        section("it gets no more than allowed in any window, and at least 90% of its rate", [&] {
            fleet.checkWindows();
            CPPUNIT_ASSERT(static_cast<double>(fleet.tally(kLarge).admitted) >= 0.9 * kLargeRate * 10);
            CPPUNIT_ASSERT(static_cast<double>(fleet.tally(kSmall).admitted) >= 0.9 * kSmallRate * 10);
        });
        section("the messages do not grow with the requests that are refused", [&] {
            const auto requests = fleet.tally(kLarge).requests + fleet.tally(kSmall).requests;
            CPPUNIT_ASSERT_MESSAGE(std::to_string(fleet.messages), fleet.messages < 3 * requests);
        });
    }

    /// Guards against both sides of a partition using the share of the other side.
    void testPartition()
    {
        Fleet fleet(3, 4, 40);
        fleet.setLoads(0.6);
        fleet.run(seconds(5));
        fleet.cutDomain(0, seconds(8));
        section("a surge during the partition stays within the tolerance on both sides together", [&] {
            fleet.setLoads(7);
            fleet.run(seconds(8));
            fleet.checkWindows();
            CPPUNIT_ASSERT(fleet.sumOfShares(kLarge) <= 1.0001);
        });
        section("after it, a usual load is served again", [&] {
            fleet.setLoads(0.6);
            fleet.run(seconds(4));
            fleet.resetTallies();
            fleet.run(seconds(5));
            CPPUNIT_ASSERT(fleet.refusedFraction(kLarge) < 0.001);
        });
    }

    /// Guards against tokens that were spent before a restart and are there again after it.
    void testRestarts()
    {
        for (const size_t killed : {20, 40}) {
            section("the restart of " + std::to_string(killed) + " of 40 nodes during a surge stays within the tolerance", [killed] {
                Fleet fleet(4, 4, 40);
                fleet.setLoads(7);
                fleet.run(seconds(8));
                for (size_t i = 0; i < killed; ++i) {
                    fleet.kill(i, milliseconds(200));
                }
                fleet.run(seconds(3));
                for (size_t i = 0; i < killed; ++i) {
                    fleet.kill((i * 7) % 40, milliseconds(300));
                }
                fleet.run(seconds(6));
                fleet.checkWindows();
            });
        }
        section("tokens are granted again within 1.2 s after the restart of all nodes", [] {
            Fleet fleet(5, 4, 40);
            fleet.setLoads(0.6);
            fleet.run(seconds(3));
            for (size_t i = 0; i < fleet.nodeCount(); ++i) {
                fleet.kill(i, milliseconds(100));
            }
            fleet.run(milliseconds(1300));
            fleet.resetTallies();
            fleet.run(seconds(3));
            CPPUNIT_ASSERT(static_cast<double>(fleet.tally(kLarge).admitted) >= 0.9 * static_cast<double>(fleet.tally(kLarge).requests));
        });
    }

    void testHolderFails()
    {
        Fleet fleet(6, 4, 40);
        fleet.setLoads(0.6);
        fleet.run(seconds(3));
        fleet.resetTallies();
        section("while single nodes are killed or paused in turn, few requests within the rate are refused", [&] {
            for (size_t i = 0; i < fleet.nodeCount(); ++i) {
                if (i % 2 == 0) {
                    fleet.kill(i, milliseconds(700));
                } else {
                    fleet.pause(i, milliseconds(700));
                }
                fleet.run(milliseconds(250));
            }
            CPPUNIT_ASSERT_MESSAGE(std::to_string(fleet.refusedFraction(kLarge)), fleet.refusedFraction(kLarge) < 0.02);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(fleet.refusedFraction(kSmall)), fleet.refusedFraction(kSmall) < 0.05);
        });
        fleet.checkWindows();
    }

    void testLoss()
    {
        Fleet fleet(7, 4, 40);
        fleet.lossFraction = 0.025;
        fleet.duplicateFraction = 0.05;
        fleet.setLoads(0.6);
        fleet.run(seconds(3));
        fleet.resetTallies();
        fleet.run(seconds(20));
        section("lost and doubled messages refuse few requests within the rate", [&] {
            CPPUNIT_ASSERT_MESSAGE(std::to_string(fleet.refusedFraction(kLarge)), fleet.refusedFraction(kLarge) < 0.005);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(fleet.refusedFraction(kSmall)), fleet.refusedFraction(kSmall) < 0.02);
        });
        section("and admit no more than allowed", [&] {
            fleet.setLoads(7);
            fleet.run(seconds(10));
            fleet.checkWindows();
        });
    }

    /// Guards against nodes that are cut off one by one and each use a part that the others still count.
    void testIsolatedNodes()
    {
        Fleet fleet(8, 4, 40);
        fleet.setLoads(7);
        fleet.run(seconds(5));
        for (size_t i = 0; i < 12; ++i) {
            fleet.cutNode(i * 3, seconds(5));
        }
        fleet.run(seconds(10));
        fleet.checkWindows();
    }

    /// Guards against a failure domain whose tokens nobody can borrow, because its first candidate for a range is gone.
    void testLostCandidates()
    {
        Fleet fleet(9, 4, 40);
        fleet.setLoads(0.6);
        fleet.run(seconds(3));
        // The nodes of two domains that hold ranges are killed for good, half of their domains.
        for (size_t i = 0; i < 20; ++i) {
            if (i % 4 < 2) {
                fleet.kill(i, seconds(100));
            }
        }
        fleet.run(seconds(3));
        fleet.resetTallies();
        fleet.run(seconds(10));
        CPPUNIT_ASSERT_MESSAGE(std::to_string(fleet.refusedFraction(kSmall)), fleet.refusedFraction(kSmall) < 0.01);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(fleet.refusedFraction(kLarge)), fleet.refusedFraction(kLarge) < 0.01);
    }

    /// Guards against a token that is lost because its request was refused for another reason.
    void testReturnedToken()
    {
        QuotaParams params;
        EntryTable entry = makeEntryTable(NodeName("n1"), 1);
        const TimePoint now(seconds(10));
        returnToken(entry, params, kSmall, now);
        CPPUNIT_ASSERT(requestToken(entry, params, kSmall, 1, now, now + seconds(1)).state == TokenState::Admitted);
        CPPUNIT_ASSERT(requestToken(entry, params, kSmall, 2, now, now + seconds(1)).state == TokenState::Queued);
        section("nothing is reported to a holder for it, since its grant has been reported as spent", [&] {
            cancelRequest(entry, kSmall, 2);
            EntryInputs inputs;
            inputs.holders = [](uint32_t) {
                return std::vector<NodeName>();
            };
            CPPUNIT_ASSERT(tickEntry(entry, params, now + seconds(2), inputs).requests.empty());
        });
        section("it expires like a grant", [&] {
            returnToken(entry, params, kSmall, now);
            CPPUNIT_ASSERT(requestToken(entry, params, kSmall, 3, now + seconds(2), now + seconds(3)).state == TokenState::Queued);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(VotedQuotaTest);

} // namespace snipestream
