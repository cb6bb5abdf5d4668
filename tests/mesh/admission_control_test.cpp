#include "mesh/admission_control.h"

#include "mesh/offered_load.h"
#include "tests/support/section.h"

#include <algorithm>
#include <deque>
#include <map>

namespace snipestream
{

using testing::section;

namespace
{

constexpr Duration kStep = milliseconds(10);
const ServiceName kEntryService("catalogue");
const ServiceName kDeepService("diary");

/// Callers, an entry node and a deep service whose slots bind. A request reaches the deep service only after the calls in
/// between, and the entry learns its load from reports.
struct OverloadWorld {
    OverloadWorld()
    {
        peers.ownAddress = "10.0.0.1";
        report.node = NodeName("deep");
        report.address = "10.0.0.2";
        report.incarnation = 1;
        report.service = kDeepService;
        report.instance = "i-1";
        report.serving = true;
        report.load.limit = 25;
        entry = report;
        entry.node = NodeName("entry");
        entry.address = "10.0.0.3";
        entry.service = kEntryService;
        entry.calledServices = {kDeepService};
    }

    /// Plays a span with `perSecond` requests of each priority; a request takes `kSlotSeconds` of the deep service's slots.
    void play(Duration span, double perSecond)
    {
        constexpr double kSlotSeconds = 0.060;
        for (const TimePoint end = now + span; now < end; now += kStep) {
            for (size_t priority = 0; priority < priorities.size(); ++priority) {
                due[priority] += perSecond * std::chrono::duration<double>(kStep).count();
                for (; due[priority] >= 1; due[priority] -= 1) {
                    const size_t kind = shedClass(priorities, priorities[priority], false);
                    countArrival(control, kind, now);
                    ++arrived[priorities[priority]];
                    if (isShed(control, kind, std::to_string(++requests))) {
                        continue;
                    }
                    ++admitted[priorities[priority]];
                    onTheWay.push_back(now + milliseconds(120));
                }
            }
            while (!onTheWay.empty() && onTheWay.front() <= now) {
                onTheWay.pop_front();
                addWork(offered, kSlotSeconds / report.load.limit, now);
                work += kSlotSeconds;
            }
            const double capacity = std::chrono::duration<double>(kStep).count() * report.load.limit;
            done += std::min(work, capacity);
            work -= std::min(work, capacity);
            if ((now - TimePoint()) % milliseconds(300) == Duration::zero()) {
                report.offeredLoad = offeredAt(offered, now);
                ++report.sequence;
                ++entry.sequence;
                applyReport(peers, report, now);
                applyReport(peers, entry, now);
            }
            stepAdmission(control, settings, serviceLoad(peers, kEntryService, now), now);
            least = std::min(least, control.admitted);
            longestQueue = std::max(longestQueue, work / report.load.limit);
        }
    }

    void forget()
    {
        arrived.clear();
        admitted.clear();
        done = 0;
        least = 1;
        longestQueue = 0;
    }

    std::vector<int> priorities = {2, 1, 0};
    PeerTable peers;
    NodeReport report;
    NodeReport entry;
    AdmissionControl control;
    AdmissionControlSettings settings;
    OfferedLoad offered;
    TimePoint now = TimePoint() + seconds(100);
    std::map<size_t, double> due;
    std::deque<TimePoint> onTheWay;
    uint64_t requests = 0;
    /// Requests by priority.
    std::map<int, int> arrived;
    std::map<int, int> admitted;
    /// Slot time that waits and that was worked off.
    double work = 0;
    double done = 0;
    double least = 1;
    /// Longest time that the work which waited would take, in seconds.
    double longestQueue = 0;
};

auto partAdmitted(OverloadWorld &world, int priority) -> double
{
    return static_cast<double>(world.admitted[priority]) / world.arrived[priority];
}

} // namespace

class AdmissionControlTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AdmissionControlTest);
    CPPUNIT_TEST(testBurst);
    CPPUNIT_TEST(testReturningCallers);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Plays the burst of the heaviest days: 1.7 times what the deepest service can do, for ten seconds.
    void testBurst()
    {
        OverloadWorld world;
        const double fits = 25 / 0.060 / 3;
        section("below its capacity, nothing is shed", [&] {
            world.play(seconds(5), fits * 0.8);
            CPPUNIT_ASSERT(partAdmitted(world, 2) > 0.999);
        });
        section("a burst of 1.7 times the capacity", [&] {
            world.play(seconds(3), fits * 1.7);
            world.forget();
            world.play(seconds(7), fits * 1.7);
            section("keeps the slots busy: an admission that swings would leave them idle half of the time", [&] {
                CPPUNIT_ASSERT(world.done > 0.88 * 25 * 7);
                CPPUNIT_ASSERT(world.least > 0.4);
            });
            section("does not let a queue stand", [&] {
                CPPUNIT_ASSERT(world.longestQueue < 0.5);
            });
            section("sheds the least important first", [&] {
                CPPUNIT_ASSERT(partAdmitted(world, 2) < 0.2);
                CPPUNIT_ASSERT(partAdmitted(world, 1) > 0.6);
                CPPUNIT_ASSERT(partAdmitted(world, 0) > 0.999);
            });
        });
        section("two seconds after the burst, nothing is shed any more", [&] {
            world.play(seconds(2), fits * 0.8);
            world.forget();
            world.play(seconds(2), fits * 0.8);
            CPPUNIT_ASSERT(partAdmitted(world, 2) > 0.99);
        });
    }

    void testReturningCallers()
    {
        section("of one priority, callers that come back are let in before new ones", [] {
            const std::vector<int> priorities = {2, 0};
            AdmissionControl control;
            control.admitted = 0.5;
            const TimePoint now = TimePoint() + seconds(1);
            for (int i = 0; i < 100; ++i) {
                countArrival(control, shedClass(priorities, 2, false), now);
                countArrival(control, shedClass(priorities, 2, true), now);
            }
            CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, shedPart(control, shedClass(priorities, 2, false)), 0.01);
            CPPUNIT_ASSERT_DOUBLES_EQUAL(0.0, shedPart(control, shedClass(priorities, 2, true)), 0.01);
            CPPUNIT_ASSERT_DOUBLES_EQUAL(0.0, shedPart(control, shedClass(priorities, 0, false)), 0.01);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionControlTest);

} // namespace snipestream
