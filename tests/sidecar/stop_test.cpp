#include "sidecar/home.h"

#include "tests/sidecar/fleet.h"
#include "tests/support/section.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace snipestream
{

using testing::Fleet;
using testing::section;

namespace
{

/// Stop time of a node that is started with the default settings.
const Duration kStopTime = SidecarSettings().stopTime;

struct SentRequest {
    std::string id;
    Duration sentAfterStop{};
    CallResult result;
};

/// Callers that send one request after the other, and what became of the requests.
struct Callers {
    Callers(Fleet &callersFleet, const std::string &callersNode, int count)
        : fleet(callersFleet)
        , node(callersNode)
        , startedAt(BootClock::now())
    {
        for (int i = 0; i < count; ++i) {
            fleet.runtime.spawn([this, i] {
                ++running;
                // Without this, all callers pause at the same moment, in which the node has no request in progress.
                fleet.runtime.sleepFor(milliseconds(4) * i);
                while (!isEnding) {
                    SentRequest sent;
                    sent.id = "request-" + std::to_string(fleet.requestCount + 1);
                    sent.sentAfterStop = BootClock::now() - startedAt;
                    sent.result = fleet.sendRequest("POST", "/deposit/1", "k1", node, timeLeft);
                    requests.push_back(sent);
                    fleet.runtime.sleepFor(milliseconds(20));
                }
                --running;
            });
        }
    }

    void end()
    {
        isEnding = true;
        fleet.waitUntil([this] {
            return running == 0;
        });
    }

    [[nodiscard]] auto count(int status) const -> size_t
    {
        return static_cast<size_t>(std::count_if(requests.begin(), requests.end(), [status](const SentRequest &sent) {
            return sent.result.status == CallStatus::Answered && sent.result.response.status == status;
        }));
    }

    Fleet &fleet;
    std::string node;
    Duration timeLeft = milliseconds(1500);
    TimePoint startedAt;
    std::vector<SentRequest> requests;
    int running = 0;
    bool isEnding = false;
};

/// Stops a node, waits until it ends and returns the number of requests that it cut. The node must end before it would be
/// killed.
auto stopNode(Fleet &fleet, size_t number) -> size_t
{
    std::optional<size_t> cut;
    fleet.nodes[number]->requestStop([&cut](size_t aborted) {
        cut = aborted;
    });
    const TimePoint end = BootClock::now() + kStopTime;
    while (!cut && BootClock::now() < end) {
        fleet.runtime.sleepFor(milliseconds(10));
    }
    CPPUNIT_ASSERT_MESSAGE("the node has not ended within the stop time", cut.has_value());
    return *cut;
}

/// Announces both targets again with this number of slots.
void announceSlots(Fleet &fleet, int slots)
{
    for (auto *const target : {&fleet.firstTarget, &fleet.secondTarget}) {
        target->slots = slots;
        CPPUNIT_ASSERT_EQUAL(200, target->announce({target->endpoint().address, testing::kTargetPort}, "catalogue", "ready"));
    }
}

/// Checks that every request got a response, that those with status 503 did not run, and that the others ran at most once.
void checkResponses(const Fleet &fleet, const Callers &callers)
{
    for (const auto &sent : callers.requests) {
        const auto milliSeconds = std::to_string(duration_cast<milliseconds>(sent.sentAfterStop).count());
        CPPUNIT_ASSERT_MESSAGE(sent.id + " was cut, sent " + milliSeconds + " ms after the stop began", sent.result.status == CallStatus::Answered);
        if (sent.result.response.status == 503) {
            CPPUNIT_ASSERT(findHeader(sent.result.response.headers, "Retry-After"));
            CPPUNIT_ASSERT_EQUAL(size_t{0}, fleet.runsOf(sent.id));
        } else {
            CPPUNIT_ASSERT(fleet.runsOf(sent.id) <= 1);
        }
    }
}

void withFleet(const std::function<void(Fleet &)> &body)
{
    FiberRuntime runtime;
    runtime.runToEnd([&] {
        auto fleet = std::make_unique<Fleet>(runtime);
        body(*fleet);
        fleet->end();
    });
}

} // namespace

/// A planned stop must not cut requests, whatever they are waiting for.
class StopTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StopTest);
    CPPUNIT_TEST(testCallersThatGoOn);
    CPPUNIT_TEST(testLongRequests);
    CPPUNIT_TEST(testOutcomes);
    CPPUNIT_TEST(testRequestsTakenLate);
    CPPUNIT_TEST(testCallsTakenLate);
    CPPUNIT_TEST(testReload);
    CPPUNIT_TEST(testDeadlineAtTarget);
    CPPUNIT_TEST(testNodeOfTarget);
    CPPUNIT_TEST(testNodesOfAllTargets);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against requests that are taken late in the stop time and cut when the node ends.
    void testCallersThatGoOn()
    {
        withFleet([](Fleet &fleet) {
            fleet.forEachTarget([](auto &behaviour) {
                behaviour.runTime = milliseconds(300);
            });
            Callers callers(fleet, "127.0.0.2", 12);
            const size_t cut = stopNode(fleet, 0);
            const Duration stoppedAfter = BootClock::now() - callers.startedAt;
            callers.isEnding = true;
            fleet.runtime.sleepFor(milliseconds(500));
            section("requests are served, then refused, and none is cut", [&] {
                CPPUNIT_ASSERT_EQUAL(size_t{0}, cut);
                callers.requests.erase(std::remove_if(callers.requests.begin(), callers.requests.end(),
                                                      [&](const SentRequest &sent) {
                                                          return sent.result.status == CallStatus::NotSent;
                                                      }),
                                       callers.requests.end());
                checkResponses(fleet, callers);
                CPPUNIT_ASSERT(callers.count(200) > 50);
                CPPUNIT_ASSERT(callers.count(503) > 0);
            });
            section("the node ends soon after the last response instead of refusing requests until it is killed", [&] {
                CPPUNIT_ASSERT(stoppedAfter < kStopTime * 2 / 3);
            });
            callers.end();
        });
    }

    /// Guards against closed connections of requests that run, or wait for a slot, for longer than the stop takes.
    void testLongRequests()
    {
        withFleet([](Fleet &fleet) {
            fleet.forEachTarget([](auto &behaviour) {
                behaviour.runTime = kStopTime * 2;
            });
            fleet.store.put("keyed.op", "config", testing::configuration("00000002", "\"k1\"", 20000));
            fleet.runtime.sleepFor(milliseconds(500));
            // The entry node is also the node of a target, so that some of the requests wait in its own queue.
            Callers callers(fleet, "127.0.0.3", 30);
            callers.timeLeft = kStopTime * 2;
            fleet.runtime.sleepFor(milliseconds(200));
            callers.isEnding = true;
            CPPUNIT_ASSERT(fleet.runs() > 0);
            CPPUNIT_ASSERT(fleet.runs() < 30);
            stopNode(fleet, 1);
            fleet.runtime.sleepFor(milliseconds(300));
            section("a request that runs gets a response that promises nothing, one that waits gets 503", [&] {
                CPPUNIT_ASSERT_EQUAL(size_t{30}, callers.requests.size());
                checkResponses(fleet, callers);
                CPPUNIT_ASSERT(callers.count(502) + callers.count(504) > 0);
                CPPUNIT_ASSERT(callers.count(503) > 0);
            });
            callers.end();
        });
    }

    /// Guards against 503 for a request that timed out at the moment at which a stopping node cancelled it.
    void testOutcomes()
    {
        section("only a request that is known not to have run may be refused", [] {
            CPPUNIT_ASSERT(!mayHaveRun(TargetOutcome::NotRun));
            for (const auto outcome : {TargetOutcome::Answered, TargetOutcome::Unknown, TargetOutcome::TimedOut, TargetOutcome::Cancelled}) {
                CPPUNIT_ASSERT_MESSAGE(targetOutcomeName(outcome), mayHaveRun(outcome));
            }
        });
    }

    /// Guards against 503 for requests that run when the node must end: their deadline is the moment at which it concludes.
    void testRequestsTakenLate()
    {
        withFleet([](Fleet &fleet) {
            fleet.forEachTarget([](auto &behaviour) {
                behaviour.runTime = kStopTime * 2;
            });
            announceSlots(fleet, 64);
            fleet.store.put("keyed.op", "config", testing::configuration("00000002", "\"k1\"", 20000));
            fleet.runtime.sleepFor(milliseconds(500));
            fleet.nodes[0]->requestStop([](size_t) {});
            Callers callers(fleet, "127.0.0.2", 40);
            callers.timeLeft = kStopTime * 2;
            fleet.runtime.sleepFor(milliseconds(200));
            callers.isEnding = true;
            fleet.runtime.sleepFor(kStopTime);
            section("each gets a response that promises nothing", [&] {
                CPPUNIT_ASSERT_EQUAL(size_t{40}, callers.requests.size());
                checkResponses(fleet, callers);
                CPPUNIT_ASSERT_EQUAL(size_t{40}, callers.count(502) + callers.count(504));
            });
            callers.end();
        });
    }

    /// Guards against calls of a target that a stopping node takes although they may outlast it, and then cuts.
    void testCallsTakenLate()
    {
        withFleet([](Fleet &fleet) {
            fleet.forEachTarget([](auto &behaviour) {
                behaviour.runTime = milliseconds(4900);
            });
            fleet.store.put("keyed.op", "config", testing::configuration("00000002", "\"k1\"", 20000));
            fleet.runtime.sleepFor(milliseconds(500));
            // A request that runs keeps the node from ending early.
            Callers callers(fleet, "127.0.0.2", 1);
            callers.timeLeft = kStopTime;
            fleet.runtime.sleepFor(milliseconds(100));
            callers.isEnding = true;
            fleet.nodes[0]->requestStop([](size_t) {});
            fleet.runtime.sleepFor(kStopTime * 7 / 10);
            fleet.forEachTarget([](auto &behaviour) {
                behaviour.runTime = milliseconds(1700);
            });
            const CallResult call = fleet.sendRequest("GET", "/call/1", {}, "127.0.0.2", milliseconds(1900));
            section("a call that may outlast the node is refused and does not run", [&] {
                CPPUNIT_ASSERT(call.status == CallStatus::Answered);
                CPPUNIT_ASSERT_EQUAL(503, call.response.status);
                CPPUNIT_ASSERT_EQUAL(size_t{0}, fleet.runsOf("request-" + std::to_string(fleet.requestCount)));
            });
            callers.end();
            checkResponses(fleet, callers);
        });
    }

    /// Guards against a stop that settings read during it extend beyond the moment at which the node is killed.
    void testReload()
    {
        withFleet([](Fleet &fleet) {
            fleet.forEachTarget([](auto &behaviour) {
                behaviour.runTime = kStopTime * 2;
            });
            fleet.store.put("keyed.op", "config", testing::configuration("00000002", "\"k1\"", 20000));
            fleet.runtime.sleepFor(milliseconds(500));
            Callers callers(fleet, "127.0.0.2", 4);
            callers.timeLeft = kStopTime * 2;
            fleet.runtime.sleepFor(milliseconds(100));
            callers.isEnding = true;
            fleet.runtime.spawn([&fleet] {
                fleet.runtime.sleepFor(milliseconds(500));
                SidecarSettings longer;
                longer.stopTime = kStopTime * 5;
                fleet.nodes[0]->reload(longer);
            });
            stopNode(fleet, 0);
            fleet.runtime.sleepFor(milliseconds(300));
            section("requests in progress get their final responses in the time that was set when the stop began", [&] {
                CPPUNIT_ASSERT_EQUAL(size_t{4}, callers.requests.size());
                checkResponses(fleet, callers);
            });
            callers.end();
        });
    }

    /// Guards against targets that work on requests of other nodes for longer than their stopping node can answer.
    void testDeadlineAtTarget()
    {
        withFleet([](Fleet &fleet) {
            fleet.store.put("keyed.op", "config", testing::configuration("00000002", "\"k1\"", 20000));
            fleet.runtime.sleepFor(milliseconds(500));
            for (const size_t number : {1, 2}) {
                fleet.nodes[number]->requestStop([](size_t) {});
            }
            const TimePoint stoppedAt = BootClock::now();
            fleet.runtime.sleepFor(milliseconds(500));
            CPPUNIT_ASSERT_EQUAL(200, fleet.sendRequest("POST", "/deposit/1", "k1", "127.0.0.2", kStopTime * 2).response.status);
            section("the deadline that the target gets ends before the final responses", [&] {
                const HeaderList &seen = fleet.firstTarget.runs.empty() ? fleet.secondTarget.latestHeaders : fleet.firstTarget.latestHeaders;
                const auto deadline = findHeader(seen, "X-Snipestream-Deadline-Ms");
                CPPUNIT_ASSERT(deadline.has_value());
                const Duration elapsed = BootClock::now() - stoppedAt;
                CPPUNIT_ASSERT(milliseconds(std::stoi(std::string(*deadline))) < kStopTime * 9 / 10 - elapsed);
            });
            section("a caller gets the target's own response at that deadline", [&] {
                fleet.forEachTarget([](auto &behaviour) {
                    behaviour.runTime = kStopTime * 2;
                    behaviour.honoursDeadline = true;
                });
                const CallResult result = fleet.sendRequest("POST", "/deposit/2", "k1", "127.0.0.2", kStopTime * 2);
                CPPUNIT_ASSERT_EQUAL(504, result.response.status);
                CPPUNIT_ASSERT(findHeader(result.response.headers, "X-Snipestream-Response-Signature"));
            });
        });
    }

    /// Guards against requests of other nodes that are cut when the node beside their target ends.
    void testNodeOfTarget()
    {
        withFleet([](Fleet &fleet) {
            fleet.forEachTarget([](auto &behaviour) {
                behaviour.runTime = milliseconds(300);
            });
            // One target has slots for all callers, so that admission control refuses none of them.
            announceSlots(fleet, 32);
            Callers callers(fleet, "127.0.0.2", 6);
            fleet.runtime.sleepFor(milliseconds(500));
            const size_t cut = stopNode(fleet, 1);
            fleet.runtime.sleepFor(milliseconds(500));
            callers.end();
            section("all requests are served by the targets", [&] {
                CPPUNIT_ASSERT_EQUAL(size_t{0}, cut);
                checkResponses(fleet, callers);
                CPPUNIT_ASSERT_EQUAL(callers.requests.size(), callers.count(200));
            });
        });
    }

    /// Guards against refusals from the moment on at which the nodes of all targets of a service stop.
    void testNodesOfAllTargets()
    {
        withFleet([](Fleet &fleet) {
            fleet.forEachTarget([](auto &behaviour) {
                behaviour.runTime = milliseconds(50);
            });
            Callers callers(fleet, "127.0.0.2", 6);
            fleet.runtime.sleepFor(milliseconds(300));
            callers.startedAt = BootClock::now();
            size_t cut = 0;
            for (const size_t number : {1, 2}) {
                fleet.nodes[number]->requestStop([&cut](size_t aborted) {
                    cut += aborted;
                });
            }
            fleet.runtime.sleepFor(kStopTime);
            callers.end();
            section("they serve for the first part of the stop time, and none of their requests is cut", [&] {
                CPPUNIT_ASSERT_EQUAL(size_t{0}, cut);
                for (const auto &sent : callers.requests) {
                    CPPUNIT_ASSERT(sent.result.status == CallStatus::Answered);
                    if (sent.sentAfterStop < kStopTime * 2 / 5) {
                        CPPUNIT_ASSERT_EQUAL(200, sent.result.response.status);
                    }
                }
                CPPUNIT_ASSERT(callers.count(503) > 0);
            });
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StopTest);

} // namespace snipestream
