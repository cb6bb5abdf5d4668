#include "node/failure_detector.h"
#include "node/private_headers.h"
#include "node/request_context.h"
#include "node/request_stats_table.h"
#include "tests/support/section.h"

#include <map>
#include <set>

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

namespace snipestream::testing
{

namespace
{

const TimePoint kStart{seconds(1000)};

auto nodeTable(int nodes, const std::string &domain) -> NodeTable
{
    NodeTable table;
    for (int i = 0; i < nodes; ++i) {
        table.nodes[NodeName(domain + "-" + std::to_string(i))] = NodeRow{DomainName(domain), {}, 1, true};
    }
    return table;
}

} // namespace

/// Tests the tables of a node that need no I/O.
class NodeTablesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(NodeTablesTest);
    CPPUNIT_TEST(testRequestContexts);
    CPPUNIT_TEST(testRequestStats);
    CPPUNIT_TEST(testMonitoredNodes);
    CPPUNIT_TEST(testRecordCheck);
    CPPUNIT_TEST(testPrivateHeaders);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards I3: a context handle is valid only while its request runs.
    void testRequestContexts()
    {
        RequestContextTable table;
        RequestContext context;
        context.team = TeamName("studio");
        context.deadline = kStart + seconds(5);
        std::set<std::string> handles;
        for (int i = 0; i < 100; ++i) {
            const std::string handle = openContext(table, context);
            CPPUNIT_ASSERT_EQUAL(size_t{32}, handle.size());
            CPPUNIT_ASSERT_EQUAL(std::string::npos, handle.find_first_not_of("0123456789abcdef"));
            CPPUNIT_ASSERT(handles.insert(handle).second);
        }
        const std::string handle = *handles.begin();
        CPPUNIT_ASSERT(findContext(table, handle, kStart)->team == TeamName("studio"));
        section("an empty, truncated or extended handle is not found", [&] {
            CPPUNIT_ASSERT(findContext(table, "", kStart) == nullptr);
            CPPUNIT_ASSERT(findContext(table, handle.substr(1), kStart) == nullptr);
            CPPUNIT_ASSERT(findContext(table, handle + "0", kStart) == nullptr);
        });
        section("a handle expires at the deadline of its request", [&] {
            CPPUNIT_ASSERT(findContext(table, handle, kStart + seconds(5) - microseconds(1)) != nullptr);
            CPPUNIT_ASSERT(findContext(table, handle, kStart + seconds(5)) == nullptr);
        });
        section("a handle becomes invalid when its request ends, also if it is closed twice, and the others stay valid", [&] {
            closeContext(table, handle);
            closeContext(table, handle);
            CPPUNIT_ASSERT(findContext(table, handle, kStart) == nullptr);
            CPPUNIT_ASSERT(findContext(table, *std::next(handles.begin()), kStart) != nullptr);
        });
    }

    /// Guards against refusals that are counted under the wrong team or reason.
    void testRequestStats()
    {
        RequestStatsTable table;
        for (int i = 0; i < kRefusalReasonCount; ++i) {
            const auto reason = static_cast<RefusalReason>(i);
            for (int times = 0; times <= i; ++times) {
                recordRefusal(table, TeamName("a"), reason);
            }
        }
        table.teams[TeamName("b")].admitted = 3;
        table.teams[TeamName("b")].completed = 2;
        table.teams[TeamName("b")].wasted = 1;
        const auto json = requestStatsToJson(table)["teams"];
        CPPUNIT_ASSERT_EQUAL(size_t{2}, json.size());
        CPPUNIT_ASSERT_EQUAL(static_cast<size_t>(kRefusalReasonCount), json["a"]["refused"].size());
        for (int i = 0; i < kRefusalReasonCount; ++i) {
            const std::string name(refusalReasonName(static_cast<RefusalReason>(i)));
            CPPUNIT_ASSERT_EQUAL(i + 1, json["a"]["refused"][name].get<int>());
        }
        CPPUNIT_ASSERT(json["b"] == nlohmann::json({{"admitted", 3}, {"completed", 2}, {"wasted", 1}, {"refused", nlohmann::json::object()}}));
    }

    /// Guards against a node that no other node checks, so that its failure would not be detected.
    void testMonitoredNodes()
    {
        for (int nodes = 1; nodes <= 9; ++nodes) {
            const NodeTable table = nodeTable(nodes, "d");
            std::map<NodeName, size_t> checkers;
            const size_t expected = std::min<size_t>(kMonitoredNodes, static_cast<size_t>(nodes) - 1);
            for (const auto &[name, row] : table.nodes) {
                const auto names = monitoredNodes(table, name);
                const std::set<NodeName> distinct(names.begin(), names.end());
                CPPUNIT_ASSERT_EQUAL(expected, distinct.size());
                CPPUNIT_ASSERT_EQUAL(size_t{0}, distinct.count(name));
                for (const auto &checked : names) {
                    ++checkers[checked];
                }
            }
            for (const auto &[name, count] : checkers) {
                CPPUNIT_ASSERT_EQUAL(expected, count);
            }
        }
        section("nodes that left, nodes of other domains and unknown nodes neither check nor are checked", [] {
            NodeTable table = nodeTable(2, "d");
            table.nodes[NodeName("x")] = NodeRow{DomainName("e"), {}, 1, true};
            table.nodes[NodeName("gone")] = NodeRow{DomainName("d"), {}, 1, false};
            CPPUNIT_ASSERT(monitoredNodes(table, NodeName("d-0")) == std::vector<NodeName>{NodeName("d-1")});
            CPPUNIT_ASSERT(monitoredNodes(table, NodeName("gone")).empty());
            CPPUNIT_ASSERT(monitoredNodes(table, NodeName("nobody")).empty());
        });
    }

    /// Guards against a live node that is reported dead, a dead node that is not reported, and too many reports on the log.
    void testRecordCheck()
    {
        FailureDetector detector;
        const NodeName node("n");
        const auto miss = [&](uint64_t incarnation, int second) {
            return recordCheck(detector, node, incarnation, false, kStart + seconds(second));
        };
        CPPUNIT_ASSERT(!miss(1, 0));
        CPPUNIT_ASSERT(!miss(1, 1));
        section("a successful check resets the count of misses", [&] {
            CPPUNIT_ASSERT(!recordCheck(detector, node, 1, true, kStart + seconds(2)));
            CPPUNIT_ASSERT(!miss(1, 3));
            CPPUNIT_ASSERT(!miss(1, 4));
        });
        section("the third miss in a row is reported, and later misses once in five seconds", [&] {
            CPPUNIT_ASSERT(miss(1, 5));
            for (int second = 6; second < 10; ++second) {
                CPPUNIT_ASSERT(!miss(1, second));
            }
            CPPUNIT_ASSERT(miss(1, 10));
        });
        section("misses of an earlier incarnation do not count for a new one", [&] {
            CPPUNIT_ASSERT(!miss(2, 16));
            CPPUNIT_ASSERT(!miss(2, 17));
            CPPUNIT_ASSERT(miss(2, 18));
        });
    }

    /// Guards against a target that sets Snipestream headers itself, so that its response looks like a trusted refusal.
    void testPrivateHeaders()
    {
        HeaderList headers{{"snipestream-run", "not-run"},
                           {"Content-Type", "text/plain"},
                           {"SNIPESTREAM-Replayed", "true"},
                           {"X-Snipestream-Like", "kept"},
                           {"Snipestream", "kept"}};
        const RequestId id{1, 2};
        prepareResponseHeaders(headers, id);
        const HeaderList expected{
            {"Content-Type", "text/plain"}, {"X-Snipestream-Like", "kept"}, {"Snipestream", "kept"}, {"Snipestream-Request-Id", toHex(id)}};
        CPPUNIT_ASSERT(expected == headers);
        prepareResponseHeaders(headers, id);
        CPPUNIT_ASSERT(expected == headers);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NodeTablesTest);

} // namespace snipestream::testing
