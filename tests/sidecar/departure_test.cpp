#include "tests/sidecar/fleet.h"
#include "tests/support/section.h"

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace snipestream
{

using testing::Fleet;
using testing::kTargetPort;
using testing::section;

namespace
{

const Endpoint kFirstNode{"127.0.0.3", kTargetPort};
/// Time after which the store carries out a write that it does not answer.
constexpr Duration kLateWrite = milliseconds(2500);

/// Sends requests and checks that the first target gets none and the other one answers them.
void checkIsUnused(Fleet &fleet)
{
    const size_t before = fleet.firstTarget.runs.size();
    for (int i = 0; i < 30; ++i) {
        CPPUNIT_ASSERT_EQUAL(200, fleet.sendRequest("GET", "/stock/7", "k1").response.status);
        fleet.runtime.sleepFor(milliseconds(20));
    }
    CPPUNIT_ASSERT_EQUAL(before, fleet.firstTarget.runs.size());
}

/// Starts the first target again under its id, which makes it usable.
void startFirstTarget(Fleet &fleet)
{
    ++fleet.firstTarget.startedAtMs;
    CPPUNIT_ASSERT_EQUAL(200, fleet.firstTarget.announce(kFirstNode, "catalogue", "ready"));
    const size_t before = fleet.firstTarget.runs.size();
    fleet.waitUntil([&fleet, before] {
        fleet.sendRequest("GET", "/stock/7", "k1");
        return fleet.firstTarget.runs.size() > before;
    });
}

} // namespace

/// A target whose departure was acknowledged gets no more requests, whatever happens to the node beside it.
class DepartureTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DepartureTest);
    CPPUNIT_TEST(testDepartures);
    CPPUNIT_TEST(testLateWrites);
    CPPUNIT_TEST(testRecordsOfDepartures);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a restarted node that takes a delayed announcement of a departed target for that of a new one.
    void testDepartures()
    {
        FiberRuntime runtime;
        runtime.runToEnd([&] {
            auto fleet = std::make_unique<Fleet>(runtime);
            section("a target deregisters, its node starts again, and a delayed announcement arrives", [&] {
                CPPUNIT_ASSERT_EQUAL(200, fleet->firstTarget.deregister(kFirstNode));
                fleet->restartNode(1, 3, "catalogue");
                CPPUNIT_ASSERT_EQUAL(200, fleet->firstTarget.announceLate(kFirstNode, "catalogue", "ready", 90));
                runtime.sleepFor(milliseconds(700));
                CPPUNIT_ASSERT_EQUAL(200, fleet->firstTarget.announceLate(kFirstNode, "catalogue", "ready", 91));
                checkIsUnused(*fleet);
                section("a later start under the same id is used", [&] {
                    startFirstTarget(*fleet);
                });
            });
            section("the same with a target that drains", [&] {
                CPPUNIT_ASSERT_EQUAL(200, fleet->firstTarget.announce(kFirstNode, "catalogue", "draining"));
                fleet->restartNode(1, 3, "catalogue");
                runtime.sleepFor(milliseconds(700));
                CPPUNIT_ASSERT_EQUAL(200, fleet->firstTarget.announceLate(kFirstNode, "catalogue", "ready", 90));
                checkIsUnused(*fleet);
                startFirstTarget(*fleet);
            });
            section("the same with a target that deregisters before the restarted node has heard of it", [&] {
                fleet->restartNode(1, 3, "catalogue");
                CPPUNIT_ASSERT_EQUAL(200, fleet->firstTarget.deregister(kFirstNode));
                CPPUNIT_ASSERT_EQUAL(200, fleet->firstTarget.announceLate(kFirstNode, "catalogue", "ready", 90));
                checkIsUnused(*fleet);
            });
            section("the same with a planned restart", [&] {
                fleet->nodes[1]->requestStop([](size_t) {});
                runtime.sleepFor(milliseconds(3500));
                fleet->restartNode(1, 3, "catalogue");
                runtime.sleepFor(milliseconds(700));
                CPPUNIT_ASSERT_EQUAL(200, fleet->firstTarget.announceLate(kFirstNode, "catalogue", "ready", 90));
                checkIsUnused(*fleet);
                fleet->firstTarget.startedAtMs = wallClockMs();
                startFirstTarget(*fleet);
            });
            section("while the store is away, a departure holds but is not acknowledged", [&] {
                fleet->store.failWith(503);
                CPPUNIT_ASSERT_EQUAL(503, fleet->firstTarget.deregister(kFirstNode));
                CPPUNIT_ASSERT_EQUAL(200, fleet->firstTarget.announceLate(kFirstNode, "catalogue", "ready", 90));
                checkIsUnused(*fleet);
                fleet->store.failWith(std::nullopt);
                runtime.sleepFor(milliseconds(1000));
                CPPUNIT_ASSERT_EQUAL(200, fleet->firstTarget.deregister(kFirstNode));
                section("it holds after a restart while the store is away, as other nodes know of it", [&] {
                    runtime.sleepFor(milliseconds(500));
                    fleet->store.failWith(503);
                    fleet->restartNode(1, 3, "catalogue");
                    CPPUNIT_ASSERT_EQUAL(200, fleet->firstTarget.announceLate(kFirstNode, "catalogue", "ready", 90));
                    runtime.sleepFor(milliseconds(700));
                    checkIsUnused(*fleet);
                    fleet->store.failWith(std::nullopt);
                });
            });
            section("a departure of another service's target is not acknowledged", [&] {
                CPPUNIT_ASSERT_EQUAL(400, fleet->firstTarget.announce(kFirstNode, "diary", "draining"));
            });
            section("a node that has not read the members gives no other node an empty list of them", [&] {
                fleet->store.failWith(503);
                for (const auto &[index, number] : std::map<size_t, int>{{0, 2}, {1, 3}, {2, 4}}) {
                    fleet->restartNode(index, number, number == 2 ? "diary" : "catalogue");
                }
                runtime.sleepFor(milliseconds(1000));
                RequestMessage request;
                request.method = "GET";
                request.target = "/-/members?after=0";
                CancelSignal cancel;
                const CallResult members = fleet->callers.call({"127.0.0.3", testing::kPeerPort}, request, cancel, BootClock::now() + seconds(1));
                CPPUNIT_ASSERT_EQUAL(503, members.response.status);
                fleet->store.failWith(std::nullopt);
                fleet->waitUntil([&fleet] {
                    return fleet->secondTarget.announce({"127.0.0.4", kTargetPort}, "catalogue", "ready") == 200
                        && fleet->sendRequest("GET", "/stock/7", "k1").response.status == 200;
                });
            });
            section("a record that another writer has overwritten is written again", [&] {
                runtime.sleepFor(milliseconds(1500));
                fleet->store.put("keyed.nodes", "127.0.0.3", R"({"node":"node3","domain":"east","service":"catalogue"})");
                runtime.sleepFor(milliseconds(1000));
                fleet->restartNode(1, 3, "catalogue");
                runtime.sleepFor(milliseconds(700));
                CPPUNIT_ASSERT_EQUAL(200, fleet->firstTarget.announceLate(kFirstNode, "catalogue", "ready", 90));
                checkIsUnused(*fleet);
            });
            fleet->end();
        });
    }

    /// Guards against a write that the store carries out seconds later, after the process that sent it has ended, and that takes
    /// back a recorded departure.
    void testLateWrites()
    {
        testing::withFleet([](Fleet &fleet) {
            const auto endNode = [&fleet] {
                fleet.nodes[1]->end();
                fleet.runtime.sleepFor(milliseconds(200));
            };
            const auto checkStaysUnused = [&fleet, &endNode](uint64_t lateSequence) {
                CPPUNIT_ASSERT_EQUAL(200, fleet.firstTarget.deregister(kFirstNode));
                endNode();
                fleet.runtime.sleepFor(kLateWrite);
                fleet.restartNode(1, 3, "catalogue");
                fleet.runtime.sleepFor(milliseconds(700));
                CPPUNIT_ASSERT_EQUAL(200, fleet.firstTarget.announceLate(kFirstNode, "catalogue", "ready", lateSequence));
                checkIsUnused(fleet);
            };
            section("the write of a node's start takes effect after its target's departure, and the node starts again", [&] {
                endNode();
                fleet.store.put("keyed.nodes", "127.0.0.3", R"({"node":"other","domain":"east","service":"catalogue"})");
                fleet.store.delayAppends({"127.0.0.3", 1, kLateWrite});
                fleet.restartNode(1, 3, "catalogue");
                fleet.runtime.sleepFor(milliseconds(700));
                startFirstTarget(fleet);
                checkStaysUnused(190);
            });
            section("the departure that one process wrote takes effect after that which the next one wrote", [&] {
                startFirstTarget(fleet);
                fleet.store.delayAppends({"127.0.0.3", 1000, kLateWrite});
                CPPUNIT_ASSERT_EQUAL(503, fleet.firstTarget.deregister(kFirstNode));
                endNode();
                fleet.store.delayAppends({});
                fleet.restartNode(1, 3, "catalogue");
                fleet.runtime.sleepFor(milliseconds(300));
                startFirstTarget(fleet);
                checkStaysUnused(290);
            });
        });
    }

    /// Guards against departures that pile up in the store, and against those of an older version that get lost.
    void testRecordsOfDepartures()
    {
        testing::withFleet([](Fleet &fleet) {
            const auto departures = [&fleet] {
                std::vector<std::string> values;
                for (const auto &[key, value] : fleet.store.newestValues("keyed.nodes")) {
                    if (key.rfind("127.0.0.3/", 0) == 0) {
                        values.push_back(value);
                    }
                }
                return values;
            };
            section("the store keeps the last four departures of a VM", [&] {
                for (int i = 0; i < 7; ++i) {
                    fleet.firstTarget.instance = "i-1-" + std::to_string(i);
                    CPPUNIT_ASSERT_EQUAL(200, fleet.firstTarget.announce(kFirstNode, "catalogue", "ready"));
                    CPPUNIT_ASSERT_EQUAL(200, fleet.firstTarget.deregister(kFirstNode));
                }
                fleet.waitUntil([&] {
                    return departures().size() == 4;
                });
                for (int i = 3; i < 7; ++i) {
                    const std::string value = R"({"instance":"i-1-)" + std::to_string(i) + R"(","start":1000})";
                    const auto values = departures();
                    CPPUNIT_ASSERT_MESSAGE(value, std::count(values.begin(), values.end(), value) == 1);
                }
            });
            section("a departure in a member's record of an older version holds and gets a record of its own", [&] {
                fleet.nodes[1]->end();
                fleet.runtime.sleepFor(milliseconds(200));
                fleet.store.put("keyed.nodes", "127.0.0.3",
                                R"({"node":"node3","domain":"east","service":"catalogue","departed":[{"instance":"i-old","start":2000}]})");
                fleet.restartNode(1, 3, "catalogue");
                fleet.runtime.sleepFor(milliseconds(700));
                fleet.firstTarget.instance = "i-old";
                fleet.firstTarget.startedAtMs = 2000;
                CPPUNIT_ASSERT_EQUAL(200, fleet.firstTarget.announce(kFirstNode, "catalogue", "ready"));
                checkIsUnused(fleet);
                const auto values = departures();
                CPPUNIT_ASSERT(std::count(values.begin(), values.end(), R"({"instance":"i-old","start":2000})") == 1);
                const auto member = fleet.store.newestValues("keyed.nodes").at("127.0.0.3");
                CPPUNIT_ASSERT_EQUAL(std::string::npos, member.find("departed"));
            });
            section("an unreadable record of a departure is ignored, and written again if the departure holds", [&] {
                const auto key = [&fleet] {
                    for (const auto &[each, value] : fleet.store.newestValues("keyed.nodes")) {
                        if (value.find("i-old") != std::string::npos) {
                            return each;
                        }
                    }
                    return std::string();
                }();
                fleet.store.put("keyed.nodes", key, "unreadable");
                fleet.store.put("keyed.nodes", "127.0.0.3/other", R"({"instance":"i-2","start":99})");
                fleet.waitUntil([&] {
                    return fleet.store.newestValues("keyed.nodes").at(key) == R"({"instance":"i-old","start":2000})";
                });
                checkIsUnused(fleet);
            });
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DepartureTest);

} // namespace snipestream
