#include "mesh/stop_schedule.h"

#include "tests/support/section.h"

#include <map>

namespace snipestream
{

using testing::section;

namespace
{

const TimePoint kStart = TimePoint() + seconds(1000);

/// Returns the schedule of a stop that begins at kStart and has been advanced to `now`.
auto advancedTo(Duration now, const StopLoad &load, StopSchedule schedule = {}) -> StopSchedule
{
    beginStop(schedule, kStart);
    advanceStop(schedule, StopSettings(), load, kStart + now);
    return schedule;
}

} // namespace

class StopScheduleTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StopScheduleTest);
    CPPUNIT_TEST(testSteps);
    CPPUNIT_TEST(testCalls);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a node that takes requests for which no time is left, or that ends before its responses are sent.
    void testSteps()
    {
        const StopLoad idle{0, 0, kStart};
        const StopLoad busy{3, 3, kStart + seconds(1)};
        section("without a stop nothing is due", [&] {
            StopSchedule schedule;
            advanceStop(schedule, StopSettings(), idle, kStart);
            CPPUNIT_ASSERT(schedule.step == StopStep::None);
            CPPUNIT_ASSERT(conclusionTime(schedule, StopSettings()) == TimePoint::max());
        });
        section("requests are served until callers have had time to leave, even if there are none", [&] {
            CPPUNIT_ASSERT(advancedTo(milliseconds(2500), idle).step == StopStep::Serving);
            CPPUNIT_ASSERT(advancedTo(milliseconds(2650), idle).step == StopStep::Closing);
        });
        section("new requests are refused in time for those before them to end", [&] {
            CPPUNIT_ASSERT(!refusesRequests(advancedTo(milliseconds(2650), busy)));
            CPPUNIT_ASSERT(refusesRequests(advancedTo(milliseconds(2750), busy)));
            section("the node closes as soon as there are none in progress", [&] {
                CPPUNIT_ASSERT(advancedTo(milliseconds(2800), {0, 2, kStart + milliseconds(2799)}).step == StopStep::Closing);
            });
        });
        section("requests that go on get their final responses before the node is killed", [&] {
            const StopSchedule concluding = advancedTo(milliseconds(5450), busy);
            CPPUNIT_ASSERT(concluding.step == StopStep::Concluding);
            CPPUNIT_ASSERT(advancedTo(milliseconds(5700), busy, concluding).step == StopStep::Concluding);
            CPPUNIT_ASSERT(advancedTo(milliseconds(5800), busy, concluding).step == StopStep::Ended);
            section("also if the node notices late that its time is over", [&] {
                const StopSchedule late = advancedTo(milliseconds(5800), busy);
                CPPUNIT_ASSERT(late.step == StopStep::Concluding);
                CPPUNIT_ASSERT(advancedTo(milliseconds(5825), busy, late).step == StopStep::Ended);
                CPPUNIT_ASSERT(advancedTo(milliseconds(5800), idle).step == StopStep::Ended);
            });
        });
        section("a closing node waits for the last bytes, and a short time for callers that do not close", [&] {
            const StopSchedule closing = advancedTo(seconds(3), idle);
            CPPUNIT_ASSERT(advancedTo(milliseconds(3100), {0, 1, kStart}, closing).step == StopStep::Closing);
            CPPUNIT_ASSERT(advancedTo(milliseconds(3350), {0, 1, kStart}, closing).step == StopStep::Ended);
            CPPUNIT_ASSERT(advancedTo(milliseconds(5000), {1, 1, kStart}, closing).step == StopStep::Closing);
            CPPUNIT_ASSERT(advancedTo(milliseconds(3025), {0, 0, kStart}, closing).step == StopStep::Ended);
        });
        section("a short stop time is divided in the same way", [&] {
            StopSettings shorter;
            shorter.stopTime = milliseconds(400);
            StopSchedule schedule;
            beginStop(schedule, kStart);
            CPPUNIT_ASSERT(conclusionTime(schedule, shorter) == kStart + milliseconds(360));
            for (const auto &[now, step] : std::map<Duration, StopStep>{{milliseconds(170), StopStep::Serving},
                                                                        {milliseconds(190), StopStep::Refusing},
                                                                        {milliseconds(370), StopStep::Concluding},
                                                                        {milliseconds(385), StopStep::Ended}}) {
                advanceStop(schedule, shorter, busy, kStart + now);
                CPPUNIT_ASSERT(schedule.step == step);
            }
        });
        section("a longer stop time gives requests in progress more time, but new ones are refused as early", [&] {
            StopSettings longer;
            longer.stopTime = seconds(10);
            StopSchedule schedule;
            beginStop(schedule, kStart);
            advanceStop(schedule, longer, busy, kStart + milliseconds(2650));
            CPPUNIT_ASSERT(schedule.step == StopStep::Serving);
            advanceStop(schedule, longer, busy, kStart + milliseconds(2750));
            CPPUNIT_ASSERT(schedule.step == StopStep::Refusing);
            CPPUNIT_ASSERT(conclusionTime(schedule, longer) == kStart + milliseconds(9400));
        });
        section("a second stop request and a longer stop time do not lead back", [&] {
            StopSchedule schedule = advancedTo(milliseconds(2750), busy);
            beginStop(schedule, kStart + seconds(3));
            StopSettings longer;
            longer.stopTime = seconds(30);
            advanceStop(schedule, longer, busy, kStart + seconds(3));
            CPPUNIT_ASSERT(schedule.step == StopStep::Refusing);
            CPPUNIT_ASSERT(conclusionTime(schedule, longer) == kStart + milliseconds(29400));
        });
    }

    /// Guards against calls of a target that may last longer than the node that takes them.
    void testCalls()
    {
        const StopLoad busy{3, 3, kStart + seconds(1)};
        section("while other requests are served, all calls are", [&] {
            CPPUNIT_ASSERT(mayTakeCall(StopSchedule(), StopSettings(), TimePoint::max()));
            CPPUNIT_ASSERT(mayTakeCall(advancedTo(milliseconds(2000), busy), StopSettings(), kStart + seconds(20)));
        });
        section("later ones are taken only if their sender gives up before the final responses", [&] {
            const StopSchedule refusing = advancedTo(milliseconds(2750), busy);
            CPPUNIT_ASSERT(mayTakeCall(refusing, StopSettings(), kStart + milliseconds(5200)));
            CPPUNIT_ASSERT(!mayTakeCall(refusing, StopSettings(), kStart + milliseconds(5500)));
            section("the calls of a request that the stop has bounded are, although they arrive a little later than it", [&] {
                const TimePoint parentDeadline = deadlineWithin(refusing, StopSettings(), TimePoint::max());
                CPPUNIT_ASSERT(mayTakeCall(refusing, StopSettings(), parentDeadline + milliseconds(5)));
            });
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StopScheduleTest);

} // namespace snipestream
