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
constexpr WorkKind kEntryKind = 1;
constexpr WorkKind kDeepKind = 2;
/// Time that a call keeps a slot of the deep service busy.
constexpr double kSlotSeconds = 0.060;
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
        entry.kinds = {{kEntryKind, 10, 0.1, {{kDeepKind, 1}}}};
        report.kinds = {{kDeepKind, 10, kSlotSeconds, {}}};
    }

    /// Plays a span with `perSecond` requests of each priority; a request takes `kSlotSeconds` of the deep service's slots.
    void play(Duration span, double perSecond)
    {
        for (const TimePoint end = now + span; now < end; now += kStep) {
            for (size_t priority = 0; priority < priorities.size(); ++priority) {
                due[priority] += perSecond * std::chrono::duration<double>(kStep).count();
                for (; due[priority] >= 1; due[priority] -= 1) {
                    const size_t kind = shedClass(known, {priorities[priority], priorities[priority]}, false);
                    countArrival(control, kind, estimate, now);
                    ++arrived[priorities[priority]];
                    if (isShed(shedFraction(control, kind), std::to_string(++requests))) {
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
                // Nodes add the time that the queue takes to the load that they report, so that it is worked off in 0.3 s.
                report.offeredLoad = offeredLoadAt(offered, now) + work / report.load.limit / 0.3;
                ++report.sequence;
                ++entry.sequence;
                applyReport(peers, report, now);
                applyReport(peers, entry, now);
            }
            updateAdmission(control, settings, known, serviceCapacity(peers, kDeepService, now), totalDemand(peers, kDeepService, control, now), now);
            least = std::min(least, control.admittedFraction);
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
    std::vector<Importance> known = {{2, 2}, {1, 1}, {0, 0}};
    /// Slot time that the entry believes a request to take.
    double estimate = kSlotSeconds;
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
    CPPUNIT_TEST(testWrongEstimate);
    CPPUNIT_TEST(testLostService);
    CPPUNIT_TEST(testOrder);
    CPPUNIT_TEST(testImportance);
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
                CPPUNIT_ASSERT(partAdmitted(world, 2) < 0.27);
                CPPUNIT_ASSERT(partAdmitted(world, 1) > partAdmitted(world, 2) * 1.3);
                CPPUNIT_ASSERT(partAdmitted(world, 0) > 0.999);
            });
            section("starves none: the least important gets two fifths of what all get on average", [&] {
                const double mean = (partAdmitted(world, 2) + partAdmitted(world, 1) + partAdmitted(world, 0)) / 3;
                CPPUNIT_ASSERT(partAdmitted(world, 2) > 0.9 * 0.4 * mean);
            });
        });
        section("two seconds after the burst, nothing is shed any more", [&] {
            world.play(seconds(2), fits * 0.8);
            world.forget();
            world.play(seconds(2), fits * 0.8);
            CPPUNIT_ASSERT(partAdmitted(world, 2) > 0.99);
        });
    }

    /// Guards against an overload that lasts until the estimates of the work are right, which they never quite are.
    void testWrongEstimate()
    {
        for (const double factor : {0.6, 1.5}) {
            section("requests that take less or more work than estimated fill the slots all the same", [factor] {
                OverloadWorld world;
                const double fits = 25 / kSlotSeconds / 3;
                world.estimate = kSlotSeconds * factor;
                world.play(seconds(12), fits * 1.7);
                world.forget();
                world.play(seconds(5), fits * 1.7);
                CPPUNIT_ASSERT(world.done > 0.88 * 25 * 5);
                CPPUNIT_ASSERT(world.longestQueue < 0.5);
            });
        }
    }

    /// Guards against requests whose calls must fail: with the deep service gone, all of them were admitted, worked on
    /// and failed, and its return was met by a flood.
    void testLostService()
    {
        OverloadWorld world;
        const double fits = 25 / kSlotSeconds / 3;
        world.play(seconds(3), fits * 1.7);
        section("while no target of the deep service takes requests, none is admitted", [&] {
            world.report.serving = false;
            world.play(milliseconds(500), fits * 1.7);
            world.forget();
            world.play(seconds(3), fits * 1.7);
            CPPUNIT_ASSERT_EQUAL(0, world.admitted[0] + world.admitted[1] + world.admitted[2]);
        });
        section("with the first target that is back, what fits is admitted within a second, and no more", [&] {
            world.report.serving = true;
            world.play(seconds(1), fits * 1.7);
            world.forget();
            world.play(seconds(2), fits * 1.7);
            CPPUNIT_ASSERT(world.done > 0.88 * 25 * 2);
            CPPUNIT_ASSERT(world.longestQueue < 0.5);
        });
    }

    void testOrder()
    {
        const std::vector<Importance> known = {{1, 2}, {1, 0}, {0, 2}, {0, 0}};
        const TimePoint now = TimePoint() + seconds(1);
        AdmissionControl control;
        const auto shedOf = [&](const Importance &importance, bool isReturning) {
            return shedFraction(control, shedClass(known, importance, isReturning));
        };
        const auto admitPart = [&](double part) {
            control = AdmissionControl();
            for (const auto &importance : known) {
                countArrival(control, shedClass(known, importance, false), 1, now);
                countArrival(control, shedClass(known, importance, true), 1, now);
            }
            const ServiceCapacity room{16 * part / 0.95, 0.95, true};
            updateAdmission(control, {}, known, room, arrivingWork(control, now), now);
            CPPUNIT_ASSERT_DOUBLES_EQUAL(part, control.admittedFraction, 0.001);
        };
        section("the team's priority decides before the route's", [&] {
            admitPart(0.75);
            CPPUNIT_ASSERT_DOUBLES_EQUAL(0.0, shedOf({0, 2}, false), 0.001);
            CPPUNIT_ASSERT(shedOf({1, 0}, false) > 0.3);
        });
        section("of one priority, the more important route goes first", [&] {
            CPPUNIT_ASSERT(shedOf({1, 2}, false) > shedOf({1, 0}, true) + 0.3);
        });
        section("of one importance, callers that come back are let in before new ones", [&] {
            CPPUNIT_ASSERT_DOUBLES_EQUAL(0.0, shedOf({1, 0}, true), 0.001);
            CPPUNIT_ASSERT(shedOf({1, 0}, false) > 0.3);
        });
        section("every class gets its least part", [&] {
            admitPart(0.4);
            CPPUNIT_ASSERT_DOUBLES_EQUAL(1 - 0.4 * 0.4 * 0.3, shedOf({1, 2}, false), 0.001);
        });
        section("what another node wants counts like the own arrivals", [&] {
            PeerTable peers;
            peers.ownAddress = "10.0.0.1";
            NodeReport other;
            other.address = "10.0.0.2";
            other.serviceDemand = {{kDeepService, {0, 3}}, {kEntryService, {100}}};
            applyReport(peers, other, now);
            AdmissionControl own;
            countArrival(own, 1, 1, now);
            const auto wanted = totalDemand(peers, kDeepService, own, now);
            CPPUNIT_ASSERT_EQUAL(size_t(2), wanted.size());
            CPPUNIT_ASSERT_DOUBLES_EQUAL(5.0, wanted[1], 0.001);
        });
    }

    void testImportance()
    {
        section("the classes are all that teams and routes can make; routes of running requests make none", [] {
            Policy policy;
            policy.routes.resize(3);
            policy.routes[0].priority = 2;
            policy.routes[1].priority = 0;
            policy.routes[2].priority = 7;
            policy.routes[2].isOpen = true;
            policy.teams.resize(2);
            policy.teams[0].priority = 1;
            const std::vector<Importance> wanted = {{2, 2}, {1, 2}, {1, 0}, {0, 0}};
            CPPUNIT_ASSERT(wanted == importanceLevels(policy));
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionControlTest);

} // namespace snipestream
