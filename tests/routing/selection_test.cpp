#include "routing/selection.h"

#include "tests/support/section.h"

#include <map>

namespace snipestream
{

using testing::section;

namespace
{

const ServiceName kService("s");
constexpr TimePoint kNow{seconds(1000)};

auto record(const std::string &target, const std::string &domain, uint64_t version = 1) -> EndpointRecord
{
    return EndpointRecord{
        EndpointId{NodeName("node-" + target), TargetName(target)}, kService, DomainName(domain), 10, EndpointState::Active, false, 1, version};
}

/// A caller in domain "a" with two endpoints there and two in domain "b".
auto makeTable() -> EndpointTable
{
    EndpointTable table;
    table.node = NodeName("caller");
    table.domain = DomainName("a");
    makeSubscription(table, kService, NodeName("dir"));
    applyUpdate(table, UpdateMessage{kService, NodeName("dir"), 1, 0, 4, true, {record("a1", "a"), record("a2", "a"), record("b1", "b"), record("b2", "b")}},
                kNow);
    return table;
}

auto id(const std::string &target) -> EndpointId
{
    return EndpointId{NodeName("node-" + target), TargetName(target)};
}

auto choices(const EndpointTable &table, const std::vector<EndpointId> &tried, TimePoint now) -> std::map<std::string, int>
{
    std::map<std::string, int> counts;
    Random random(3);
    for (int i = 0; i < 1000; ++i) {
        const auto selection = chooseEndpoint(table, kService, tried, random, now);
        ++counts[selection ? selection->endpoint.target.value : "none"];
    }
    return counts;
}

} // namespace

/// Guards against calls that leave their failure domain unnecessarily, that do not spill over to another domain when
/// they have to, and that find no endpoint although one remains.
class SelectionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SelectionTest);
    CPPUNIT_TEST(testSpillOver);
    CPPUNIT_TEST(testEjection);
    CPPUNIT_TEST(testDirectoryUnavailable);
    CPPUNIT_TEST(testRefusalsFromHome);
    CPPUNIT_TEST_SUITE_END();

public:
    void testSpillOver()
    {
        auto table = makeTable();
        section("endpoints of the own domain are chosen, evenly at equal load", [&] {
            auto counts = choices(table, {}, kNow);
            CPPUNIT_ASSERT_EQUAL(1000, counts["a1"] + counts["a2"]);
            CPPUNIT_ASSERT_GREATER(400, counts["a1"]);
            CPPUNIT_ASSERT_GREATER(400, counts["a2"]);
        });
        section("the less loaded of two endpoints is chosen", [&] {
            beginCall(table, kService, id("a1"));
            CPPUNIT_ASSERT_EQUAL(1000, choices(table, {}, kNow)["a2"]);
        });
        section("endpoints that were tried are excluded", [&] {
            CPPUNIT_ASSERT_EQUAL(1000, choices(table, {id("a2")}, kNow)["a1"]);
            auto counts = choices(table, {id("a1"), id("a2")}, kNow);
            CPPUNIT_ASSERT_EQUAL(1000, counts["b1"] + counts["b2"]);
            CPPUNIT_ASSERT_EQUAL(1000, choices(table, {id("a1"), id("a2"), id("b1"), id("b2")}, kNow)["none"]);
        });
        section("the other domain is used when the endpoints of the own domain are at their limit", [&] {
            for (int i = 0; i < 10; ++i) {
                beginCall(table, kService, id("a1"));
                beginCall(table, kService, id("a2"));
            }
            auto counts = choices(table, {}, kNow);
            CPPUNIT_ASSERT_EQUAL(1000, counts["b1"] + counts["b2"]);
        });
    }

    void testEjection()
    {
        auto table = makeTable();
        const auto failTimes = [&table](const std::string &target, int times, TimePoint now) {
            bool ejected = false;
            for (int i = 0; i < times; ++i) {
                beginCall(table, kService, id(target));
                ejected = endCall(table, kService, id(target), CallEvidence::Failure, now) || ejected;
            }
            return ejected;
        };
        section("five consecutive failures eject an endpoint for five seconds", [&] {
            CPPUNIT_ASSERT(!failTimes("a1", 4, kNow));
            CPPUNIT_ASSERT(failTimes("a1", 1, kNow));
            CPPUNIT_ASSERT_EQUAL(1000, choices(table, {}, kNow + milliseconds(4900))["a2"]);
        });
        section("at most half of the endpoints of a service are ejected", [&] {
            CPPUNIT_ASSERT(failTimes("a2", 5, kNow));
            CPPUNIT_ASSERT(!failTimes("b1", 20, kNow));
        });
        section("an endpoint returns after its ejection, and one more failure ejects it for twice the time", [&] {
            const TimePoint later = kNow + seconds(6);
            CPPUNIT_ASSERT_EQUAL(size_t{2}, tickEndpoints(table, later).size());
            CPPUNIT_ASSERT(failTimes("a1", 1, later));
            CPPUNIT_ASSERT_EQUAL(1000, choices(table, {}, later + milliseconds(9900))["a2"]);
        });
        section("a restart of the target clears its ejection", [&] {
            auto restarted = record("a1", "a", 1);
            restarted.incarnation = 2;
            applyUpdate(table, UpdateMessage{kService, NodeName("dir"), 1, 4, 5, false, {restarted}}, kNow + seconds(6));
            CPPUNIT_ASSERT_GREATER(0, choices(table, {}, kNow + seconds(6))["a1"]);
        });
    }

    void testDirectoryUnavailable()
    {
        auto table = makeTable();
        section("suspect endpoints are used only when no other remains", [&] {
            std::vector<EndpointRecord> records;
            for (const char *target : {"b1", "b2"}) {
                records.push_back(record(target, "b"));
                records.back().suspect = true;
            }
            applyUpdate(table, UpdateMessage{kService, NodeName("dir"), 1, 4, 6, false, records}, kNow);
            CPPUNIT_ASSERT_EQUAL(1000, choices(table, {id("a2")}, kNow)["a1"]);
            auto counts = choices(table, {id("a1"), id("a2")}, kNow);
            CPPUNIT_ASSERT_EQUAL(1000, counts["b1"] + counts["b2"]);
        });
        section("without a directory the current endpoints stay in use", [&] {
            tickEndpoints(table, kNow + seconds(3600));
            auto counts = choices(table, {}, kNow + seconds(3600));
            CPPUNIT_ASSERT_EQUAL(1000, counts["a1"] + counts["a2"]);
        });
        section("an incomplete update of a restarted directory removes no endpoint", [&] {
            applyUpdate(table, UpdateMessage{kService, NodeName("dir"), 2, 0, 0, false, {}}, kNow);
            auto counts = choices(table, {}, kNow);
            CPPUNIT_ASSERT_EQUAL(1000, counts["a1"] + counts["a2"]);
        });
        section("an unknown service has no endpoint", [&] {
            Random random(1);
            CPPUNIT_ASSERT(!chooseEndpoint(table, ServiceName("other"), {}, random, kNow));
        });
    }

    void testRefusalsFromHome()
    {
        auto table = makeTable();
        section("a target that its home node reports as leaving is avoided at once", [&] {
            beginCall(table, kService, id("a1"));
            endCall(table, kService, id("a1"), CallEvidence::Leaving, kNow);
            CPPUNIT_ASSERT_EQUAL(1000, choices(table, {}, kNow)["a2"]);
            applyUpdate(table, UpdateMessage{kService, NodeName("dir"), 1, 4, 5, false, {record("a1", "a", 2)}}, kNow);
            CPPUNIT_ASSERT_EQUAL(1000, choices(table, {}, kNow)["a2"]);
        });
        section("refusals for overload lower the limit without an ejection", [&] {
            for (int i = 0; i < 30; ++i) {
                beginCall(table, kService, id("a2"));
                CPPUNIT_ASSERT(!endCall(table, kService, id("a2"), CallEvidence::Overloaded, kNow));
            }
            beginCall(table, kService, id("a2"));
            auto counts = choices(table, {}, kNow);
            CPPUNIT_ASSERT_EQUAL(1000, counts["b1"] + counts["b2"]);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SelectionTest);

} // namespace snipestream
