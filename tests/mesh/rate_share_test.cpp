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
constexpr Duration kReportInterval = milliseconds(300);

auto addressOf(int node) -> std::string
{
    return "10.0.0." + std::to_string(node + 1);
}

/// Simulates nodes that serve one team and report their demand to each other, in virtual time.
struct RateSimulation {
    struct Node {
        RateTable rates;
        PeerTable peers;
        uint64_t sequence = 0;
        uint64_t incarnation = 1;
        /// Requests that are still to be sent to the node.
        double due = 0;
    };

    RateSimulation()
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
                if (receivesReports(i, peer)) {
                    applyReport(nodes[static_cast<size_t>(peer)].peers, report, now);
                }
            }
        }
    }

    /// Simulates `span`, in which the team sends `perSecond` requests to all nodes together.
    void run(Duration span, double perSecond)
    {
        for (const TimePoint end = now + span; now < end; now += kStep) {
            if ((now - TimePoint()) % kReportInterval == Duration::zero()) {
                exchangeReports();
            }
            if ((now - TimePoint()) % milliseconds(250) == Duration::zero()) {
                for (auto &node : nodes) {
                    updateRateShares(node.rates, policy, node.peers, now);
                }
            }
            for (auto &node : nodes) {
                node.due += perSecond / kNodes * std::chrono::duration<double>(kStep).count();
                for (; node.due >= 1; node.due -= 1) {
                    ++sent;
                    if (takeToken(node.rates, policy.teams[0], node.peers, now)) {
                        passed.push_back(now);
                    }
                }
            }
        }
    }

    [[nodiscard]] auto maxPassedInWindow(Duration window) const -> size_t
    {
        size_t maxPassed = 0;
        std::deque<TimePoint> recent;
        for (const TimePoint at : passed) {
            recent.push_back(at);
            while (at - recent.front() > window) {
                recent.pop_front();
            }
            maxPassed = std::max(maxPassed, recent.size());
        }
        return maxPassed;
    }

    Policy policy;
    std::vector<Node> nodes;
    TimePoint now = TimePoint() + seconds(100);
    std::deque<TimePoint> passed;
    size_t sent = 0;
    /// Returns whether reports of the first node reach the second one.
    std::function<bool(int, int)> receivesReports = [](int, int) {
        return true;
    };
};

/// Returns how many requests the operator allows in a window: rate and burst, 10% more and 20 requests.
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
        section("at least 99% of the requests of a team within its rate pass", [] {
            RateSimulation simulation;
            simulation.run(seconds(3), kRate * 0.6);
            const size_t before = simulation.passed.size();
            const size_t sentBefore = simulation.sent;
            simulation.run(seconds(10), kRate * 0.6);
            const auto served = static_cast<double>(simulation.passed.size() - before);
            CPPUNIT_ASSERT(served >= 0.99 * static_cast<double>(simulation.sent - sentBefore));
            section("at seven times its rate, the sum over all nodes stays within the tolerance", [&simulation] {
                simulation.run(seconds(10), kRate * 7);
                CPPUNIT_ASSERT(static_cast<double>(simulation.maxPassedInWindow(seconds(5))) <= allowedIn(seconds(5)));
                section("the team still gets at least 90% of its rate", [&simulation] {
                    const size_t start = simulation.passed.size();
                    simulation.run(seconds(10), kRate * 7);
                    CPPUNIT_ASSERT(static_cast<double>(simulation.passed.size() - start) >= 0.9 * kRate * 10);
                });
            });
        });
    }

    /// Guards against both sides of a network partition using the share of the other side, which still uses it itself.
    void testPartition()
    {
        section("during a network partition, a surge stays within the tolerance on both sides together", [] {
            RateSimulation simulation;
            simulation.run(seconds(5), kRate * 0.6);
            simulation.receivesReports = [](int from, int to) {
                return (from < 5) == (to < 5);
            };
            simulation.run(seconds(2), kRate * 0.6);
            simulation.run(seconds(10), kRate * 7);
            CPPUNIT_ASSERT(static_cast<double>(simulation.maxPassedInWindow(seconds(5))) <= allowedIn(seconds(5)));
        });
    }

    /// Guards against nodes that start with tokens. When all nodes were killed during a surge, the tokens that they had
    /// already spent were available again after the restart.
    void testRestart()
    {
        section("the rate stays within the tolerance if all nodes restart during a surge", [] {
            RateSimulation simulation;
            simulation.run(seconds(8), kRate * 7);
            for (int i = 0; i < kNodes; ++i) {
                simulation.startNode(i);
            }
            simulation.run(seconds(6), kRate * 7);
            CPPUNIT_ASSERT(static_cast<double>(simulation.maxPassedInWindow(seconds(5))) <= allowedIn(seconds(5)));
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RateShareTest);

} // namespace snipestream
