#include "mesh/admission_control.h"
#include "mesh/load_balancing.h"

#include "mesh/report_codec.h"
#include "mesh/split.h"
#include "tests/mesh/peers.h"
#include "tests/support/section.h"

#include <map>

namespace snipestream
{

using testing::addHome;
using testing::section;

namespace
{

const TimePoint kStart = TimePoint() + seconds(1000);
const ServiceName kService("diary");

auto makeReport(const std::string &address, int running, int limit) -> NodeReport
{
    NodeReport report;
    report.address = address;
    report.incarnation = 1;
    report.sequence = 1;
    report.target = {kService, "i-" + address, 1000};
    report.serving = true;
    report.load = {running, 0, limit};
    report.serviceMs = 15;
    report.kinds = {{7, 12.5, 0.25, {{8, 5}, {9, 0.5}}}, {8, 60, 0.03125, {}}};
    report.demand = {0.5, 0, 2.25};
    return report;
}

auto makeTable() -> PeerTable
{
    PeerTable table;
    table.ownAddress = "10.0.0.9";
    table.ownDomain = DomainName("east");
    addHome(table, "10.0.0.1", "east", kService);
    addHome(table, "10.0.0.2", "west", kService);
    return table;
}

/// Returns how many of 1,000 requests each node gets if the load does not change in between.
auto countChoices(PeerTable &table) -> std::map<std::string, int>
{
    Random random(7);
    std::map<std::string, int> counts;
    for (int i = 0; i < 1000; ++i) {
        const PeerRow *const row = choosePeer(table, LoadBalancingSettings(), kService, {}, random, kStart);
        ++counts[row == nullptr ? "none" : row->address];
    }
    return counts;
}

} // namespace

class LoadBalancingTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LoadBalancingTest);
    CPPUNIT_TEST(testDomains);
    CPPUNIT_TEST(testBadTargets);
    CPPUNIT_TEST(testReports);
    CPPUNIT_TEST(testSplit);
    CPPUNIT_TEST(testSplitWithoutWeight);
    CPPUNIT_TEST(testSplitAtManyNodes);
    CPPUNIT_TEST_SUITE_END();

public:
    void testDomains()
    {
        PeerTable table = makeTable();
        applyReport(table, makeReport("10.0.0.1", 5, 25), kStart);
        applyReport(table, makeReport("10.0.0.2", 5, 25), kStart);
        section("the node's own failure domain is preferred while it has free capacity", [&] {
            CPPUNIT_ASSERT_EQUAL(1000, countChoices(table)["10.0.0.1"]);
        });
        section("requests go to another domain when its targets are clearly less busy", [&] {
            observeLoad(table.rows["10.0.0.1"], {20, 0, 25});
            CPPUNIT_ASSERT_EQUAL(1000, countChoices(table)["10.0.0.2"]);
        });
    }

    void testBadTargets()
    {
        PeerTable table = makeTable();
        applyReport(table, makeReport("10.0.0.1", 5, 25), kStart);
        applyReport(table, makeReport("10.0.0.2", 5, 25), kStart);
        section("a target that fails most requests is avoided", [&] {
            for (int i = 0; i < 30; ++i) {
                observeOutcome(table.rows["10.0.0.1"], true);
            }
            CPPUNIT_ASSERT_EQUAL(1000, countChoices(table)["10.0.0.2"]);
        });
        section("a node that could not be connected to is avoided unless there is no better one", [&] {
            avoidPeer(table.rows["10.0.0.2"], kStart);
            CPPUNIT_ASSERT_EQUAL(1000, countChoices(table)["10.0.0.1"]);
        });
        section("a target whose node shuts down gets requests only while no other node is alive", [&] {
            PeerTable two = makeTable();
            NodeReport leaving = makeReport("10.0.0.1", 5, 25);
            leaving.leaving = true;
            applyReport(two, leaving, kStart);
            applyReport(two, makeReport("10.0.0.2", 24, 25), kStart);
            CPPUNIT_ASSERT_EQUAL(1000, countChoices(two)["10.0.0.2"]);
            avoidPeer(two.rows["10.0.0.2"], kStart);
            CPPUNIT_ASSERT_EQUAL(1000, countChoices(two)["10.0.0.1"]);
            CPPUNIT_ASSERT_EQUAL(25.0, serviceCapacity(two, kService, kStart).slots);
            section("the slots of nodes that shut down count as long as there are no others", [&] {
                NodeReport other = makeReport("10.0.0.2", 24, 25);
                other.sequence = two.rows["10.0.0.2"].report->sequence + 1;
                other.leaving = true;
                applyReport(two, other, kStart);
                CPPUNIT_ASSERT_EQUAL(50.0, serviceCapacity(two, kService, kStart).slots);
            });
        });
        section("a target that does not serve gets no request even if there is no other", [&] {
            for (const char *address : {"10.0.0.1", "10.0.0.2"}) {
                NodeReport report = *table.rows[address].report;
                ++report.sequence;
                report.serving = false;
                applyReport(table, report, kStart);
            }
            CPPUNIT_ASSERT_EQUAL(1000, countChoices(table)["none"]);
        });
        section("a slow target gets a few requests, so that its recovery is detected", [&] {
            PeerTable two = makeTable();
            addMember(two, {"10.0.0.2", NodeName("node2"), DomainName("east"), kService});
            applyReport(two, makeReport("10.0.0.1", 5, 25), kStart);
            NodeReport slow = makeReport("10.0.0.2", 0, 25);
            slow.serviceMs = 150;
            applyReport(two, slow, kStart);
            const int tries = countChoices(two)["10.0.0.2"];
            CPPUNIT_ASSERT(tries > 5 && tries < 60);
        });
    }

    void testReports()
    {
        const NodeReport report = makeReport("10.0.0.1", 5, 25);
        const auto bytes = encodeReport(report);
        const std::string_view view(reinterpret_cast<const char *>(bytes.data()), bytes.size());
        section("a report is decoded as it was encoded", [&] {
            const auto decoded = decodeReport(view);
            CPPUNIT_ASSERT(decoded.has_value());
            CPPUNIT_ASSERT(decoded.value() == report);
        });
        section("truncated bytes are an error, and damaged bytes do not crash", [&] {
            for (size_t length = 0; length < view.size(); ++length) {
                CPPUNIT_ASSERT(!decodeReport(view.substr(0, length)).has_value());
            }
            std::string damaged(view);
            for (size_t i = 0; i < damaged.size(); ++i) {
                damaged[i] = static_cast<char>(damaged[i] ^ 0x55);
                static_cast<void>(decodeReport(damaged));
                damaged[i] = view[i];
            }
        });
        section("a delayed report of the current or the previous incarnation is ignored", [&] {
            PeerTable table = makeTable();
            NodeReport second = report;
            second.sequence = 2;
            CPPUNIT_ASSERT(applyReport(table, second, kStart));
            CPPUNIT_ASSERT(!applyReport(table, report, kStart));
            NodeReport restarted = report;
            restarted.incarnation = 9;
            CPPUNIT_ASSERT(applyReport(table, restarted, kStart));
            second.sequence = 3;
            CPPUNIT_ASSERT(!applyReport(table, second, kStart));
        });
    }

    void testSplit()
    {
        RoutePolicy route;
        route.name = RouteName("stock");
        route.weightedServices = {{ServiceName("old"), 90}, {ServiceName("new"), 10}};
        SplitTable table;
        table.phase = 0.3;
        std::map<std::string, int> counts;
        for (int i = 0; i < 1000; ++i) {
            ++counts[chooseService(table, route)->value];
        }
        section("each weighted service gets its share of the requests", [&] {
            CPPUNIT_ASSERT(counts["old"] >= 898 && counts["old"] <= 902);
        });
        section("new weights apply from the next request", [&] {
            route.weightedServices[0].weight = 10;
            route.weightedServices[1].weight = 90;
            counts.clear();
            for (int i = 0; i < 100; ++i) {
                ++counts[chooseService(table, route)->value];
            }
            CPPUNIT_ASSERT(counts["old"] >= 9 && counts["old"] <= 12);
        });
    }

    /// Guards against requests at a service whose weight was set to 0: the first request after the change went there at half
    /// of the nodes.
    void testSplitWithoutWeight()
    {
        const auto weightsOf = [](const std::vector<uint32_t> &weights) {
            RoutePolicy route;
            route.name = RouteName("stock");
            for (size_t i = 0; i < weights.size(); ++i) {
                route.weightedServices.push_back({ServiceName("s" + std::to_string(i)), weights[i]});
            }
            return route;
        };
        const std::vector<std::vector<uint32_t>> splits = {{100, 0}, {0, 100}, {0, 50, 50}, {50, 0, 50}, {50, 50, 0}, {0, 1, 0}, {1, 0, 0}, {0, 0, 1}};
        for (int phase = 0; phase < 1000; ++phase) {
            SplitTable table;
            table.phase = phase / 1000.0;
            for (const auto &weights : splits) {
                section("a service with weight 0 gets no request at the start, phase " + std::to_string(table.phase), [&] {
                    table.rows.clear();
                    assertNoneWithoutWeight(table, weightsOf(weights));
                });
                section("nor after a change that takes its weight away, phase " + std::to_string(table.phase), [&] {
                    table.rows.clear();
                    const RoutePolicy before = weightsOf(std::vector<uint32_t>(weights.size(), 10));
                    for (int request = 0; request < phase % 7; ++request) {
                        CPPUNIT_ASSERT(chooseService(table, before) != nullptr);
                    }
                    assertNoneWithoutWeight(table, weightsOf(weights));
                });
                section("it gets its share again when its weight comes back, phase " + std::to_string(table.phase), [&] {
                    const RoutePolicy after = weightsOf(std::vector<uint32_t>(weights.size(), 10));
                    std::map<std::string, int> counts;
                    for (size_t request = 0; request < 10 * weights.size(); ++request) {
                        ++counts[chooseService(table, after)->value];
                    }
                    for (const auto &[service, count] : counts) {
                        CPPUNIT_ASSERT(count >= 9 && count <= 11);
                    }
                });
            }
        }
        section("no service is chosen if all weights are 0", [&] {
            SplitTable table;
            CPPUNIT_ASSERT(chooseService(table, weightsOf({0})) == nullptr);
            CPPUNIT_ASSERT(chooseService(table, weightsOf({0, 0})) == nullptr);
        });
    }

    /// Guards against nodes that begin with the same service after a change, and against a start that gives a service more of
    /// the first requests than its weight.
    void testSplitAtManyNodes()
    {
        RoutePolicy route;
        route.name = RouteName("stock");
        const std::vector<std::vector<double>> shares = {{0.9, 0.1}, {0.1, 0.9}, {0.5, 0.5}, {0.6, 0.3, 0.1}, {0, 0.75, 0.25}};
        for (const auto &share : shares) {
            route.weightedServices.clear();
            for (size_t i = 0; i < share.size(); ++i) {
                route.weightedServices.push_back({ServiceName("s" + std::to_string(i)), static_cast<uint32_t>(std::lround(share[i] * 1000))});
            }
            std::map<std::string, int> first;
            for (int phase = 0; phase < 1000; ++phase) {
                SplitTable table;
                table.phase = phase / 1000.0;
                std::map<std::string, int> counts;
                ++first[chooseService(table, route)->value];
                section("the share holds to within one request at any length of the sequence, phase " + std::to_string(table.phase), [&] {
                    table.rows.clear();
                    for (int length = 1; length <= 30; ++length) {
                        ++counts[chooseService(table, route)->value];
                        for (size_t i = 0; i < share.size(); ++i) {
                            CPPUNIT_ASSERT_DOUBLES_EQUAL(share[i] * length, counts["s" + std::to_string(i)], 1 + 1e-9);
                        }
                    }
                });
            }
            section("the first requests of many nodes are divided by the weights", [&] {
                for (size_t i = 0; i < share.size(); ++i) {
                    CPPUNIT_ASSERT_DOUBLES_EQUAL(share[i] * 1000, first["s" + std::to_string(i)], 10);
                }
            });
        }
    }

private:
    static void assertNoneWithoutWeight(SplitTable &table, const RoutePolicy &route)
    {
        for (int request = 0; request < 20; ++request) {
            const ServiceName *const chosen = chooseService(table, route);
            for (const auto &weighted : route.weightedServices) {
                CPPUNIT_ASSERT(chosen != nullptr && (weighted.weight > 0 || *chosen != weighted.service));
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadBalancingTest);

} // namespace snipestream
