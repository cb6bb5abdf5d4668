#include "core/tick_monitor.h"

#include "tests/support/section.h"

namespace snipestream
{

using testing::section;

namespace
{

const TimePoint kStart = TimePoint() + seconds(1000);

/// Returns the times at `since` of a process that has used `processor` and was suspended for `suspended` by then.
auto timesAt(Duration since, Duration processor, Duration suspended = Duration::zero()) -> ProcessTimes
{
    return {kStart + since, seconds(500) + since - suspended, processor};
}

} // namespace

class TickMonitorTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TickMonitorTest);
    CPPUNIT_TEST(testDelays);
    CPPUNIT_TEST(testClocks);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a log that does not tell a busy process from one without processor time or a suspended VM.
    void testDelays()
    {
        TickMonitor monitor;
        section("the first tick is never late", [&] {
            CPPUNIT_ASSERT(!noteTick(monitor, timesAt(seconds(0), milliseconds(3))));
            CPPUNIT_ASSERT(overdueTime(monitor, kStart + seconds(9)) == Duration::zero());
        });
        section("a short delay is not reported", [&] {
            expectTick(monitor, kStart + milliseconds(25));
            CPPUNIT_ASSERT(overdueTime(monitor, kStart) == Duration::zero());
            CPPUNIT_ASSERT(!noteTick(monitor, timesAt(milliseconds(100), milliseconds(5))));
        });
        section("a busy process used nearly all the time", [&] {
            expectTick(monitor, kStart + milliseconds(125));
            CPPUNIT_ASSERT(overdueTime(monitor, kStart + milliseconds(425)) == milliseconds(300));
            const auto delay = noteTick(monitor, timesAt(milliseconds(425), milliseconds(305)));
            CPPUNIT_ASSERT(delay);
            CPPUNIT_ASSERT(delay->late == milliseconds(300));
            CPPUNIT_ASSERT(delay->processor == milliseconds(300));
            CPPUNIT_ASSERT(delay->suspended == Duration::zero());
        });
        section("within a second there is one report, and the next one gives the longest delay", [&] {
            for (const auto now : {milliseconds(600), milliseconds(1000), milliseconds(1200)}) {
                expectTick(monitor, kStart + now - (now == seconds(1) ? milliseconds(350) : milliseconds(150)));
                CPPUNIT_ASSERT(!noteTick(monitor, timesAt(now, milliseconds(310))));
            }
            expectTick(monitor, kStart + milliseconds(1450));
            const auto delay = noteTick(monitor, timesAt(milliseconds(1450), milliseconds(310)));
            CPPUNIT_ASSERT(delay);
            CPPUNIT_ASSERT(delay->late == milliseconds(350));
        });
        section("a suspended VM shows as such", [&] {
            expectTick(monitor, kStart + milliseconds(1475));
            const auto delay = noteTick(monitor, timesAt(milliseconds(4475), milliseconds(312), seconds(2)));
            CPPUNIT_ASSERT(delay);
            CPPUNIT_ASSERT(delay->late == seconds(3));
            CPPUNIT_ASSERT(delay->processor == milliseconds(2));
            CPPUNIT_ASSERT(delay->suspended == seconds(2));
        });
    }

    /// Guards against clocks that are read in the wrong unit.
    void testClocks()
    {
        const ProcessTimes before = readProcessTimes();
        ProcessTimes after = before;
        while (after.processor - before.processor < milliseconds(20)) {
            after = readProcessTimes();
        }
        CPPUNIT_ASSERT(after.now - before.now >= milliseconds(20));
        CPPUNIT_ASSERT(after.awake - before.awake >= milliseconds(20));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TickMonitorTest);

} // namespace snipestream
