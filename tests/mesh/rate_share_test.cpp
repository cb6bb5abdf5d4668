#include "mesh/rate_share.h"

#include "tests/support/section.h"

#include <deque>
#include <functional>

namespace snipestream
{

using testing::section;

namespace
{

constexpr int kNodes = 14;
constexpr double kRate = 290;
constexpr double kBurst = 270;
constexpr Duration kStep = milliseconds(10);
constexpr Duration kReportEvery = milliseconds(300);

auto addressOf(int node) -> std::string
{
    return "10.0.0." + std::to_string(node + 1);
}

/// Nodes that serve one team and tell each other their demand, in virtual time.
struct RateWorld {
    struct Node {
        RateTable rates;
        PeerTable peers;
        uint64_t sequence = 0;
        uint64_t incarnation = 1;
        double waiting = 0;
    };

    RateWorld()
        : nodes(kNodes)
    {
        TeamPolicy team;
        team.name = TeamName("studio");
        team.ratePerSecond = kRate;
        team.burst = kBurst;
        policy.teams.push_back(team);
        for (int i = 0; i < kNodes; ++i) {
            startNode(i);
        }
    }

    void startNode(int i)
    {
        auto &node = nodes[static_cast<size_t>(i)];
        const uint64_t next = node.incarnation + 1;
        node = Node();
        node.incarnation = next;
        node.peers.ownAddress = addressOf(i);
        for (int peer = 0; peer < kNodes; ++peer) {
            addAddress(node.peers, addressOf(peer));
        }
    }

    void exchangeReports()
    {
        for (int i = 0; i < kNodes; ++i) {
            auto &node = nodes[static_cast<size_t>(i)];
            NodeReport report;
            report.node = NodeName("node" + std::to_string(i));
            report.address = addressOf(i);
            report.incarnation = node.incarnation;
            report.sequence = ++node.sequence;
            report.demand = reportDemand(node.rates, now);
            for (int peer = 0; peer < kNodes; ++peer) {
                if (hears(i, peer)) {
                    applyReport(nodes[static_cast<size_t>(peer)].peers, report, now);
                }
            }
        }
    }

    /// Plays a span in which the team sends `perSecond` requests to all nodes together.
    void play(Duration span, double perSecond)
    {
        for (const TimePoint end = now + span; now < end; now += kStep) {
            if ((now - TimePoint()) % kReportEvery == Duration::zero()) {
                exchangeReports();
            }
            if ((now - TimePoint()) % milliseconds(250) == Duration::zero()) {
                for (auto &node : nodes) {
                    updateRateShares(node.rates, policy, node.peers, now);
                }
            }
            for (auto &node : nodes) {
                node.waiting += perSecond / kNodes * std::chrono::duration<double>(kStep).count();
                for (; node.waiting >= 1; node.waiting -= 1) {
                    ++asked;
                    if (takeToken(node.rates, policy.teams[0], node.peers, now)) {
                        passed.push_back(now);
                    }
                }
            }
        }
    }

    [[nodiscard]] auto mostInWindow(Duration window) const -> size_t
    {
        size_t most = 0;
        std::deque<TimePoint> recent;
        for (const TimePoint at : passed) {
            recent.push_back(at);
            while (at - recent.front() > window) {
                recent.pop_front();
            }
            most = std::max(most, recent.size());
        }
        return most;
    }

    Policy policy;
    std::vector<Node> nodes;
    TimePoint now = TimePoint() + seconds(100);
    std::deque<TimePoint> passed;
    size_t asked = 0;
    std::function<bool(int, int)> hears = [](int, int) {
        return true;
    };
};

/// What the operator allows in a window: rate and burst, 10% more and 20 requests.
auto allowedIn(Duration window) -> double
{
    return (kRate * std::chrono::duration<double>(window).count() + kBurst) * 1.1 + 20;
}

} // namespace

class RateShareTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RateShareTest);
    CPPUNIT_TEST(testSurge);
    CPPUNIT_TEST(testPartition);
    CPPUNIT_TEST(testRestart);
    CPPUNIT_TEST_SUITE_END();

public:
    void testSurge()
    {
        section("a team that keeps to its rate is hardly ever refused", [] {
            RateWorld world;
            world.play(seconds(3), kRate * 0.6);
            const size_t before = world.passed.size();
            const size_t askedBefore = world.asked;
            world.play(seconds(10), kRate * 0.6);
            const auto served = static_cast<double>(world.passed.size() - before);
            CPPUNIT_ASSERT(served >= 0.99 * static_cast<double>(world.asked - askedBefore));
            section("when it sends seven times its rate, the sum over all nodes stays allowed", [&world] {
                world.play(seconds(10), kRate * 7);
                CPPUNIT_ASSERT(static_cast<double>(world.mostInWindow(seconds(5))) <= allowedIn(seconds(5)));
                section("and the team still gets its rate", [&world] {
                    const size_t start = world.passed.size();
                    world.play(seconds(10), kRate * 7);
                    CPPUNIT_ASSERT(static_cast<double>(world.passed.size() - start) >= 0.9 * kRate * 10);
                });
            });
        });
    }

    /// Guards against a silent side's share being given to the other side, while the silent side spends it, too.
    void testPartition()
    {
        section("a surge while the nodes are parted in two stays within the rate on both sides together", [] {
            RateWorld world;
            world.play(seconds(5), kRate * 0.6);
            world.hears = [](int from, int to) {
                return (from < 5) == (to < 5);
            };
            world.play(seconds(2), kRate * 0.6);
            world.play(seconds(10), kRate * 7);
            CPPUNIT_ASSERT(static_cast<double>(world.mostInWindow(seconds(5))) <= allowedIn(seconds(5)));
        });
    }

    /// Guards against tokens that a restarted process gives itself: all nodes were killed during a surge.
    void testRestart()
    {
        section("nodes that restart during a surge begin without tokens", [] {
            RateWorld world;
            world.play(seconds(8), kRate * 7);
            for (int i = 0; i < kNodes; ++i) {
                world.startNode(i);
            }
            world.play(seconds(6), kRate * 7);
            CPPUNIT_ASSERT(static_cast<double>(world.mostInWindow(seconds(5))) <= allowedIn(seconds(5)));
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RateShareTest);

} // namespace snipestream
