#include "admission/admission.h"
#include "core/random.h"

#include "tests/support/section.h"

#include <map>
#include <random>

namespace snipestream
{

using testing::section;

namespace
{

const TargetName kTarget("t");

/// Simulates a target in steps of one millisecond. Up to `realSlots` requests run at full speed; more than that share
/// the capacity.
struct Simulation {
    AdmissionTable table;
    TimePoint now{seconds(100)};
    int realSlots = 20;
    double serviceMs = 20;
    std::map<AdmissionId, double> remainingMs;
    std::map<AdmissionId, std::pair<Priority, TimePoint>> open;
    std::array<int, kPriorityCount> offered{};
    std::array<int, kPriorityCount> completedInTime{};
    int completedLate = 0;
    double arrivals = 0;
    Random random{7};

    explicit Simulation(int announcedSlots, bool isWarmingUp = false)
    {
        upsertTarget(table, kTarget, ServiceName("s"), announcedSlots, isWarmingUp, now);
    }

    void apply(const std::vector<DequeueResult> &dequeueResults)
    {
        for (const auto &dequeueResult : dequeueResults) {
            if (dequeueResult.isAdmitted) {
                remainingMs[dequeueResult.admissionId] = drawServiceMs();
            } else {
                open.erase(dequeueResult.admissionId);
            }
        }
    }

    auto drawServiceMs() -> double
    {
        return std::exponential_distribution<double>(1 / serviceMs)(random);
    }

    void run(Duration time, double perMs, Duration timeout)
    {
        for (const TimePoint end = now + time; now < end;) {
            now += milliseconds(1);
            const double speed =
                remainingMs.size() > static_cast<size_t>(realSlots) ? static_cast<double>(realSlots) / static_cast<double>(remainingMs.size()) : 1;
            std::vector<AdmissionId> done;
            for (auto &[admissionId, remaining] : remainingMs) {
                remaining -= speed;
                if (remaining <= 0) {
                    done.push_back(admissionId);
                }
            }
            for (const AdmissionId admissionId : done) {
                remainingMs.erase(admissionId);
                const auto [priority, deadline] = open.at(admissionId);
                open.erase(admissionId);
                (now <= deadline ? completedInTime[static_cast<size_t>(priority)] : completedLate) += 1;
                apply(complete(table, admissionId, RunOutcome::Answered, now));
            }
            for (arrivals += perMs; arrivals >= 1; arrivals -= 1) {
                arrive(timeout);
            }
            if (now.time_since_epoch() % milliseconds(10) == Duration::zero()) {
                apply(tick(table, now));
            }
        }
    }

    void arrive(Duration timeout)
    {
        const auto priority = static_cast<Priority>(drawBelow(random, 4));
        ++offered[static_cast<size_t>(priority)];
        const AdmissionRequest request{drawRequestId(random), TeamName("a"), priority, RouteName("r"), now + timeout};
        const AdmissionResult result = offer(table, kTarget, request, now);
        if (result.decision != AdmissionDecision::Refused) {
            open[result.admissionId] = std::make_pair(priority, request.deadline);
        }
        if (result.decision == AdmissionDecision::Admitted) {
            remainingMs[result.admissionId] = drawServiceMs();
        }
        apply(result.dequeueResults);
    }

    void clearCounts()
    {
        offered = {};
        completedInTime = {};
        completedLate = 0;
    }

    [[nodiscard]] auto completedInTimeSum() const -> int
    {
        return completedInTime[0] + completedInTime[1] + completedInTime[2] + completedInTime[3];
    }
};

} // namespace

/// Guards against overload that wastes capacity, sheds high priorities first or continues after the excess load ends,
/// and against a limit that relies on the announced slots or that collapses when a target is slow for a reason other
/// than load.
class OverloadTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OverloadTest);
    CPPUNIT_TEST(testRecoveryAfterOverload);
    CPPUNIT_TEST(testSlowTargetKeepsItsLimit);
    CPPUNIT_TEST(testOverstatedSlots);
    CPPUNIT_TEST(testSlowStart);
    CPPUNIT_TEST(testShortDeadlinesAfterSlowPhase);
    CPPUNIT_TEST_SUITE_END();

public:
    void testRecoveryAfterOverload()
    {
        Simulation simulation(20);
        simulation.run(seconds(5), 0.8, milliseconds(200));
        simulation.clearCounts();
        section("load of four times the capacity for ten seconds", [&] {
            simulation.run(seconds(10), 4, milliseconds(200));
            CPPUNIT_ASSERT_GREATEREQUAL(8500, simulation.completedInTimeSum());
            CPPUNIT_ASSERT_LESS(300, simulation.completedLate);
            CPPUNIT_ASSERT_GREATEREQUAL(simulation.offered[0] * 80 / 100, simulation.completedInTime[0]);
            CPPUNIT_ASSERT_LESS(simulation.offered[3] * 5 / 100, simulation.completedInTime[3]);
        });
        section("one second after the overload at least 95% of the requests complete in time", [&] {
            simulation.run(seconds(1), 0.8, milliseconds(200));
            simulation.clearCounts();
            simulation.run(seconds(5), 0.8, milliseconds(200));
            CPPUNIT_ASSERT_GREATEREQUAL(4000 * 95 / 100, simulation.completedInTimeSum());
        });
    }

    void testSlowTargetKeepsItsLimit()
    {
        Simulation simulation(20);
        simulation.run(seconds(10), 0.9, seconds(2));
        simulation.serviceMs = 100;
        simulation.run(seconds(2), 0.9, seconds(2));
        simulation.clearCounts();
        simulation.run(seconds(10), 0.9, seconds(2));
        section("five times the service time leaves a fifth of the throughput", [&] {
            CPPUNIT_ASSERT_GREATEREQUAL(2000 * 80 / 100, simulation.completedInTimeSum());
        });
        section("throughput recovers", [&] {
            simulation.serviceMs = 20;
            simulation.run(seconds(2), 0.9, seconds(2));
            simulation.clearCounts();
            simulation.run(seconds(5), 0.9, seconds(2));
            CPPUNIT_ASSERT_GREATEREQUAL(4500 * 95 / 100, simulation.completedInTimeSum());
        });
    }

    void testOverstatedSlots()
    {
        // Several seeds, because a limit that mistakes congestion for slowness does so by chance.
        for (uint64_t seed = 1; seed <= 8; ++seed) {
            section("seed " + std::to_string(seed), [seed] {
                Simulation simulation(200);
                simulation.random = Random(seed);
                simulation.run(seconds(5), 0.5, seconds(1));
                simulation.run(seconds(20), 2, seconds(1));
                CPPUNIT_ASSERT_LESS(90, admissionStatus(simulation.table, kTarget, simulation.now)->limit);
                simulation.clearCounts();
                simulation.run(seconds(5), 2, seconds(1));
                CPPUNIT_ASSERT_GREATEREQUAL(4500, simulation.completedInTimeSum());
            });
        }
    }

    void testSlowStart()
    {
        Simulation simulation(100, true);
        const auto limitNow = [&] {
            return admissionStatus(simulation.table, kTarget, simulation.now)->limit;
        };
        CPPUNIT_ASSERT_EQUAL(10, limitNow());
        simulation.now += seconds(1);
        CPPUNIT_ASSERT_EQUAL(20, limitNow());
        simulation.now += seconds(3);
        tick(simulation.table, simulation.now);
        CPPUNIT_ASSERT_EQUAL(100, limitNow());
    }

    void testShortDeadlinesAfterSlowPhase()
    {
        // A mean latency above every deadline must not cause all requests to be refused permanently.
        Simulation simulation(20);
        simulation.run(seconds(2), 0.5, milliseconds(200));
        simulation.serviceMs = 2000;
        simulation.run(seconds(5), 0.5, milliseconds(200));
        simulation.serviceMs = 20;
        simulation.run(seconds(8), 0.5, milliseconds(200));
        simulation.clearCounts();
        simulation.run(seconds(4), 0.5, milliseconds(200));
        CPPUNIT_ASSERT_GREATEREQUAL(2000 * 95 / 100, simulation.completedInTimeSum());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OverloadTest);

} // namespace snipestream
