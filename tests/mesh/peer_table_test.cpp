#include "mesh/load_balancing.h"
#include "mesh/subscriptions.h"

#include "tests/mesh/peers.h"
#include "tests/support/section.h"

namespace snipestream
{

using testing::section;

namespace
{

const TimePoint kNow = TimePoint() + seconds(1000);
const ServiceName kOld("bookings");
const ServiceName kNew("catalogue");
const std::string kAddress = "10.0.0.1";

auto memberOf(const ServiceName &service) -> Member
{
    return {kAddress, NodeName("node-of-" + service.value), DomainName("east"), service};
}

auto reportOf(const ServiceName &service, uint64_t incarnation) -> NodeReport
{
    NodeReport report;
    report.address = kAddress;
    report.incarnation = incarnation;
    report.sequence = 1;
    report.target = {service, "i-" + service.value, 1000};
    report.serving = true;
    report.load = {3, 0, 10};
    report.kinds = {{7, 12.5, 0.25, {}}};
    return report;
}

auto choose(PeerTable &table, const ServiceName &service) -> PeerRow *
{
    Random random(7);
    return choosePeer(table, LoadBalancingSettings(), service, {}, random, kNow);
}

/// Returns a table whose node subscribes to both services and has a report of the member of the old one.
auto makeTable(SubscriptionTable &subscriptions) -> PeerTable
{
    PeerTable table;
    table.ownAddress = "10.0.0.9";
    table.ownDomain = DomainName("east");
    addMember(table, memberOf(kOld));
    updateSubscriptions(subscriptions, table, {kOld, kNew}, kNow);
    CPPUNIT_ASSERT(applyReport(table, reportOf(kOld, 1), kNow));
    CPPUNIT_ASSERT(choose(table, kOld) != nullptr);
    return table;
}

} // namespace

/// Guards against a new VM that counts as the target of another service because it has the address of an earlier VM.
class PeerTableTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PeerTableTest);
    CPPUNIT_TEST(testReportBeforeRecord);
    CPPUNIT_TEST(testRecordBeforeHomes);
    CPPUNIT_TEST(testRefusedTarget);
    CPPUNIT_TEST_SUITE_END();

public:
    void testReportBeforeRecord()
    {
        SubscriptionTable subscriptions;
        PeerTable table = makeTable(subscriptions);
        section("a report of the new VM is not taken for one of the earlier VM", [&] {
            CPPUNIT_ASSERT(!applyReport(table, reportOf(kNew, 2), kNow));
            CPPUNIT_ASSERT_EQUAL(uint64_t{2}, table.rows.at(kAddress).otherServiceIncarnation);
            CPPUNIT_ASSERT_EQUAL(std::string("i-bookings"), choose(table, kOld)->report->target.instance);
        });
        section("once the record of the new VM is read, its reports count", [&] {
            CPPUNIT_ASSERT(addMember(table, memberOf(kNew)));
            CPPUNIT_ASSERT(applyReport(table, reportOf(kNew, 2), kNow));
            updateSubscriptions(subscriptions, table, {kOld, kNew}, kNow);
            CPPUNIT_ASSERT(choose(table, kOld) == nullptr);
            CPPUNIT_ASSERT_EQUAL(std::string("i-catalogue"), choose(table, kNew)->report->target.instance);
        });
        section("a delayed report of the earlier VM changes nothing", [&] {
            CPPUNIT_ASSERT(!applyReport(table, reportOf(kOld, 1), kNow));
            CPPUNIT_ASSERT_EQUAL(std::string("i-catalogue"), choose(table, kNew)->report->target.instance);
        });
    }

    void testRecordBeforeHomes()
    {
        SubscriptionTable subscriptions;
        PeerTable table = makeTable(subscriptions);
        PeerRow &row = table.rows.at(kAddress);
        row.inFlight = 4;
        observeOutcome(row, true);
        const uint64_t before = row.memberSince;
        CPPUNIT_ASSERT(addMember(table, memberOf(kNew)));
        section("nothing that is known of the earlier VM is kept", [&] {
            CPPUNIT_ASSERT(!row.report);
            CPPUNIT_ASSERT(row.kinds.empty());
            CPPUNIT_ASSERT_EQUAL(0, row.inFlight);
            CPPUNIT_ASSERT_EQUAL(0.0, row.failureRate);
            CPPUNIT_ASSERT(row.memberSince != before);
            CPPUNIT_ASSERT(table.members.at(kOld).empty());
        });
        section("the new VM is no home of the old service, even before the homes are chosen again", [&] {
            CPPUNIT_ASSERT(applyReport(table, reportOf(kNew, 2), kNow));
            CPPUNIT_ASSERT(choose(table, kOld) == nullptr);
        });
        section("the end of the subscription for the old service leaves the report for the new one", [&] {
            updateSubscriptions(subscriptions, table, {kOld, kNew}, kNow);
            CPPUNIT_ASSERT(choose(table, kNew) != nullptr);
        });
        section("another record of the same service keeps what is known", [&] {
            Member renamed = memberOf(kNew);
            renamed.node = NodeName("renamed");
            CPPUNIT_ASSERT(addMember(table, renamed));
            CPPUNIT_ASSERT(row.report.has_value());
        });
    }

    void testRefusedTarget()
    {
        SubscriptionTable subscriptions;
        PeerTable table = makeTable(subscriptions);
        PeerRow &row = table.rows.at(kAddress);
        section("a refusal of a request for another target leaves a newer report", [&] {
            TargetId earlier = row.report->target;
            --earlier.startedAtMs;
            dropOutdatedReport(row, earlier);
            CPPUNIT_ASSERT(choose(table, kOld) != nullptr);
        });
        section("a target that its node no longer has gets no more requests until the next report", [&] {
            dropOutdatedReport(row, row.report->target);
            CPPUNIT_ASSERT(choose(table, kOld) == nullptr);
            NodeReport next = reportOf(kOld, 1);
            next.sequence = 2;
            CPPUNIT_ASSERT(applyReport(table, next, kNow));
            CPPUNIT_ASSERT(choose(table, kOld) != nullptr);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerTableTest);

} // namespace snipestream
