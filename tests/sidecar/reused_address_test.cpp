#include "sidecar/peer_call.h"

#include "tests/sidecar/fleet.h"
#include "tests/support/section.h"

#include <memory>
#include <string>

namespace snipestream
{

using testing::Fleet;
using testing::kTargetPort;
using testing::section;
using testing::withFleet;

namespace
{

const std::string kReusedAddress = "127.0.0.3";

/// Replaces the VM of the first target by one with a target of another service at the same address.
void replaceFirstVm(Fleet &fleet, const std::string &instance, int64_t startedAtMs)
{
    fleet.restartNode(1, 3, "diary");
    fleet.firstTarget.instance = instance;
    fleet.firstTarget.startedAtMs = startedAtMs;
    fleet.firstTarget.runs.clear();
    CPPUNIT_ASSERT_EQUAL(200, fleet.firstTarget.announce({kReusedAddress, kTargetPort}, "diary", "ready"));
    fleet.runtime.sleepFor(milliseconds(500));
}

/// Sends calls for the service `catalogue` to a node. Returns how many succeed.
auto callCatalogue(Fleet &fleet, const std::string &node, int count) -> int
{
    int answered = 0;
    for (int i = 0; i < count; ++i) {
        answered += fleet.sendRequest("GET", "/call/7", "", node).response.status == 200 ? 1 : 0;
        fleet.runtime.sleepFor(milliseconds(10));
    }
    return answered;
}

/// Sends a request like an entry node does that has chosen the target. Returns what the node beside the first target says.
auto sendRouted(Fleet &fleet, const TargetId &target) -> TargetResult
{
    RoutedRequest routed;
    routed.message.method = "GET";
    routed.message.target = "/stock/7";
    routed.message.headers = {{"X-Snipestream-Request-Id", "routed"}};
    routed.target = target;
    routed.sender = "127.0.0.2";
    routed.callerService = ServiceName("diary");
    routed.targetLatency = seconds(1);
    routed.deadline = BootClock::now() + seconds(1);
    CancelSignal cancel;
    CallResult result =
        fleet.callers.call({kReusedAddress, testing::kPeerPort}, encodeRoutedRequest(routed, BootClock::now()), cancel, routed.deadline + milliseconds(100));
    CPPUNIT_ASSERT(result.status == CallStatus::Answered);
    return decodeOutcome(std::move(result.response));
}

} // namespace

/// Guards against requests that run at a target of another service because its VM has the address of an earlier one.
class ReusedAddressTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ReusedAddressTest);
    CPPUNIT_TEST(testRecordOfEarlierVmAtEntry);
    CPPUNIT_TEST(testRecordOfEarlierVmAtNewNode);
    CPPUNIT_TEST(testOtherTargetIsRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    void testRecordOfEarlierVmAtEntry()
    {
        withFleet([](Fleet &fleet) {
            fleet.store.failWith(503);
            replaceFirstVm(fleet, "i-9", 5000);
            section("an entry node that has the record of the earlier VM sends the new one nothing", [&] {
                CPPUNIT_ASSERT_EQUAL(40, callCatalogue(fleet, "127.0.0.2", 40));
                CPPUNIT_ASSERT_EQUAL(size_t{0}, fleet.firstTarget.runs.size());
            });
            section("the same once the store is back and the records are read", [&] {
                fleet.store.failWith(std::nullopt);
                fleet.runtime.sleepFor(milliseconds(1500));
                CPPUNIT_ASSERT_EQUAL(40, callCatalogue(fleet, "127.0.0.2", 40));
                CPPUNIT_ASSERT_EQUAL(size_t{0}, fleet.firstTarget.runs.size());
            });
            section("the address serves its first service again when a VM of that service gets it", [&] {
                fleet.restartNode(1, 3, "catalogue");
                ++fleet.firstTarget.startedAtMs;
                CPPUNIT_ASSERT_EQUAL(200, fleet.firstTarget.announce({kReusedAddress, kTargetPort}, "catalogue", "ready"));
                fleet.waitUntil([&] {
                    callCatalogue(fleet, "127.0.0.2", 1);
                    return !fleet.firstTarget.runs.empty();
                });
            });
        });
    }

    void testRecordOfEarlierVmAtNewNode()
    {
        withFleet([](Fleet &fleet) {
            fleet.store.failWith(503);
            replaceFirstVm(fleet, "i-9", 5000);
            section("a new node that reads the record of the earlier VM does not take it for its own", [&] {
                CPPUNIT_ASSERT_EQUAL(40, callCatalogue(fleet, kReusedAddress, 40));
                CPPUNIT_ASSERT_EQUAL(size_t{0}, fleet.firstTarget.runs.size());
            });
            section("the same once it has written its own record", [&] {
                fleet.store.failWith(std::nullopt);
                fleet.runtime.sleepFor(milliseconds(1500));
                CPPUNIT_ASSERT_EQUAL(40, callCatalogue(fleet, kReusedAddress, 40));
                CPPUNIT_ASSERT_EQUAL(size_t{0}, fleet.firstTarget.runs.size());
            });
        });
    }

    void testOtherTargetIsRefused()
    {
        withFleet([](Fleet &fleet) {
            const TargetId target{ServiceName("catalogue"), fleet.firstTarget.instance, fleet.firstTarget.startedAtMs};
            section("a request for the target beside the node runs", [&] {
                CPPUNIT_ASSERT(sendRouted(fleet, target).outcome == TargetOutcome::Answered);
            });
            const auto isRefused = [&](const TargetId &other) {
                const size_t before = fleet.firstTarget.runs.size();
                const TargetResult result = sendRouted(fleet, other);
                return result.outcome == TargetOutcome::NotRun && !result.reachedTarget && fleet.firstTarget.runs.size() == before;
            };
            section("a request for another service is refused although the instance has the same name", [&] {
                CPPUNIT_ASSERT(isRefused({ServiceName("diary"), target.instance, target.startedAtMs}));
            });
            section("a request for an earlier start of the instance is refused", [&] {
                CPPUNIT_ASSERT(isRefused({target.service, target.instance, target.startedAtMs - 1}));
            });
            section("a request for another instance or for an unnamed service is refused", [&] {
                CPPUNIT_ASSERT(isRefused({target.service, "i-2", target.startedAtMs}));
                CPPUNIT_ASSERT(isRefused({ServiceName(), target.instance, target.startedAtMs}));
            });
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReusedAddressTest);

} // namespace snipestream
