#include "tests/sidecar/fleet.h"
#include "tests/support/section.h"

#include <memory>
#include <string>

namespace snipestream
{

using testing::configuration;
using testing::Fleet;
using testing::section;

namespace
{

void setEvacuated(Fleet &fleet, const std::string &domain, bool isEvacuated)
{
    fleet.store.put("keyed.op", "evacuate/" + domain, isEvacuated ? "{}" : "");
}

auto statusOf(Fleet &fleet, const std::string &entry = "127.0.0.2") -> int
{
    return fleet.sendRequest("GET", "/stock/1", "k1", entry).response.status;
}

/// Sends requests and returns how many ran at the first target.
auto runsAtFirst(Fleet &fleet, int requests) -> size_t
{
    const size_t before = fleet.firstTarget.runs.size();
    for (int i = 0; i < requests; ++i) {
        statusOf(fleet, i % 2 == 0 ? "127.0.0.2" : "127.0.0.3");
    }
    return fleet.firstTarget.runs.size() - before;
}

} // namespace

/// Guards against requests that reach the targets of an evacuated failure domain, and against a fleet that does not learn of the order.
class EvacuationTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EvacuationTest);
    CPPUNIT_TEST(testDomain);
    CPPUNIT_TEST(testOutage);
    CPPUNIT_TEST(testColdTarget);
    CPPUNIT_TEST_SUITE_END();

public:
    void testDomain()
    {
        testing::withFleet(
            [](Fleet &fleet) {
                section("the targets of an evacuated domain get nothing, also from their own node, and its callers are served elsewhere", [&fleet] {
                    setEvacuated(fleet, "east", true);
                    fleet.waitUntil([&fleet] {
                        return runsAtFirst(fleet, 4) == 0;
                    });
                    CPPUNIT_ASSERT_EQUAL(size_t{0}, runsAtFirst(fleet, 40));
                    CPPUNIT_ASSERT_EQUAL(200, statusOf(fleet));
                    CPPUNIT_ASSERT_EQUAL(200, statusOf(fleet, "127.0.0.3"));
                });
                section("a node that starts meanwhile knows the order", [&fleet] {
                    fleet.restartNode(1, 3, "catalogue");
                    CPPUNIT_ASSERT_EQUAL(200, fleet.firstTarget.announce({"127.0.0.3", testing::kTargetPort}, "catalogue", "ready"));
                    fleet.runtime.sleepFor(milliseconds(700));
                    CPPUNIT_ASSERT_EQUAL(size_t{0}, runsAtFirst(fleet, 20));
                });
                section("without any other domain, requests are refused as not run", [&fleet] {
                    setEvacuated(fleet, "west", true);
                    fleet.waitUntil([&fleet] {
                        return statusOf(fleet) == 503;
                    });
                    const size_t before = fleet.runs();
                    const CallResult refused = fleet.sendRequest("POST", "/deposit/1", "k1");
                    CPPUNIT_ASSERT_EQUAL(503, refused.response.status);
                    CPPUNIT_ASSERT(findHeader(refused.response.headers, "Retry-After"));
                    CPPUNIT_ASSERT_EQUAL(before, fleet.runs());
                });
                section("after the withdrawal, the targets get requests again", [&fleet] {
                    setEvacuated(fleet, "west", false);
                    setEvacuated(fleet, "east", false);
                    fleet.waitUntil([&fleet] {
                        return runsAtFirst(fleet, 10) > 0;
                    });
                });
                section("an order and its withdrawal right after it end with the withdrawal, and an unknown domain changes nothing", [&fleet] {
                    setEvacuated(fleet, "north", true);
                    setEvacuated(fleet, "east", true);
                    setEvacuated(fleet, "east", false);
                    fleet.runtime.sleepFor(milliseconds(1500));
                    CPPUNIT_ASSERT(runsAtFirst(fleet, 40) > 0);
                });
            },
            {{4, "west"}});
    }

    void testOutage()
    {
        testing::withFleet(
            [](Fleet &fleet) {
                section("the order stays in force while the store is away, also at a node that starts then", [&fleet] {
                    setEvacuated(fleet, "east", true);
                    fleet.waitUntil([&fleet] {
                        return runsAtFirst(fleet, 4) == 0;
                    });
                    fleet.store.failWith(503);
                    fleet.restartNode(1, 3, "catalogue");
                    fleet.waitUntil([&fleet] {
                        return fleet.firstTarget.announce({"127.0.0.3", testing::kTargetPort}, "catalogue", "ready") == 200;
                    });
                    fleet.runtime.sleepFor(milliseconds(700));
                    CPPUNIT_ASSERT_EQUAL(size_t{0}, runsAtFirst(fleet, 20));
                    fleet.store.failWith(std::nullopt);
                });
            },
            {{4, "west"}});
    }

    void testColdTarget()
    {
        testing::withFleet([](Fleet &fleet) {
            constexpr double kColdPerSecond = 5;
            section("a cold target gets no more than its rate, whatever is sent, and the others serve the rest", [&fleet] {
                fleet.store.put("keyed.op", "config", configuration("00000002", "\"k1\"", 2000, kColdPerSecond));
                fleet.runtime.sleepFor(milliseconds(1500));
                fleet.firstTarget.coldLeftMs = 20000;
                CPPUNIT_ASSERT_EQUAL(200, fleet.firstTarget.announce({"127.0.0.3", testing::kTargetPort}, "catalogue", "ready"));
                fleet.runtime.sleepFor(milliseconds(400));
                const TimePoint start = BootClock::now();
                const size_t before = fleet.firstTarget.runs.size();
                int answered = 0;
                for (int i = 0; i < 200; ++i) {
                    answered += statusOf(fleet, i % 2 == 0 ? "127.0.0.2" : "127.0.0.3") == 200 ? 1 : 0;
                }
                const double elapsed = std::chrono::duration<double>(BootClock::now() - start).count();
                const size_t runs = fleet.firstTarget.runs.size() - before;
                CPPUNIT_ASSERT_MESSAGE(std::to_string(runs), static_cast<double>(runs) <= kColdPerSecond * (elapsed + 0.25) + 1);
                CPPUNIT_ASSERT_EQUAL(200, answered);
            });
            section("its node is started again: it still gets no more", [&fleet] {
                fleet.restartNode(1, 3, "catalogue");
                CPPUNIT_ASSERT_EQUAL(200, fleet.firstTarget.announce({"127.0.0.3", testing::kTargetPort}, "catalogue", "ready"));
                const TimePoint start = BootClock::now();
                const size_t before = fleet.firstTarget.runs.size();
                fleet.runtime.sleepFor(milliseconds(600));
                for (int i = 0; i < 100; ++i) {
                    statusOf(fleet);
                }
                const double elapsed = std::chrono::duration<double>(BootClock::now() - start).count();
                const size_t runs = fleet.firstTarget.runs.size() - before;
                CPPUNIT_ASSERT_MESSAGE(std::to_string(runs), static_cast<double>(runs) <= kColdPerSecond * (elapsed + 0.25) + 1);
            });
            section("once it is warm, it gets its share", [&fleet] {
                fleet.firstTarget.coldLeftMs = 0;
                CPPUNIT_ASSERT_EQUAL(200, fleet.firstTarget.announce({"127.0.0.3", testing::kTargetPort}, "catalogue", "ready"));
                fleet.runtime.sleepFor(milliseconds(700));
                CPPUNIT_ASSERT(runsAtFirst(fleet, 60) > 15);
            });
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EvacuationTest);

} // namespace snipestream
