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

/// A target in steps of one millisecond. `realSlots` requests run at full speed; more share them.
struct Simulation {
    AdmissionTable table;
    TimePoint now{seconds(100)};
    int realSlots = 20;
    double serviceMs = 20;
    std::map<AdmissionId, double> left;
    std::map<AdmissionId, std::pair<Priority, TimePoint>> open;
    std::array<int, kPriorityCount> offered{};
    std::array<int, kPriorityCount> good{};
    int late = 0;
    double arrivals = 0;
    Random random{7};

    explicit Simulation(int announcedSlots, bool cold = false)
    {
        upsertTarget(table, kTarget, ServiceName("s"), announcedSlots, cold, now);
    }

    void apply(const std::vector<DequeueResult> &dequeueResults)
    {
        for (const auto &dequeueResult : dequeueResults) {
            if (dequeueResult.isAdmitted) {
                left[dequeueResult.admissionId] = draw();
            } else {
                open.erase(dequeueResult.admissionId);
            }
        }
    }

    auto draw() -> double
    {
        return std::exponential_distribution<double>(1 / serviceMs)(random);
    }

    void run(Duration time, double perMs, Duration timeout)
    {
        for (const TimePoint end = now + time; now < end;) {
            now += milliseconds(1);
            const double speed = left.size() > static_cast<size_t>(realSlots) ? static_cast<double>(realSlots) / static_cast<double>(left.size()) : 1;
            std::vector<AdmissionId> done;
            for (auto &[admissionId, rest] : left) {
                rest -= speed;
                if (rest <= 0) {
                    done.push_back(admissionId);
                }
            }
            for (const AdmissionId admissionId : done) {
                left.erase(admissionId);
                const auto [priority, deadline] = open.at(admissionId);
                open.erase(admissionId);
                (now <= deadline ? good[static_cast<size_t>(priority)] : late) += 1;
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
            left[result.admissionId] = draw();
        }
        apply(result.dequeueResults);
    }

    void clearCounts()
    {
        offered = {};
        good = {};
        late = 0;
    }

    [[nodiscard]] auto goodSum() const -> int
    {
        return good[0] + good[1] + good[2] + good[3];
    }
};

} // namespace

/// Guards against overload that wastes capacity, sheds important requests or outlasts its trigger, and against a limit
/// that believes the announced slots or that collapses when a target is slow for other reasons.
class OverloadTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OverloadTest);
    CPPUNIT_TEST(testOverloadEndsWithItsTrigger);
    CPPUNIT_TEST(testSlowTargetKeepsItsLimit);
    CPPUNIT_TEST(testOverstatedSlots);
    CPPUNIT_TEST(testSlowStart);
    CPPUNIT_TEST(testShortDeadlinesAfterSlowPhase);
    CPPUNIT_TEST_SUITE_END();

public:
    void testOverloadEndsWithItsTrigger()
    {
        Simulation simulation(20);
        simulation.run(seconds(5), 0.8, milliseconds(200));
        simulation.clearCounts();
        section("four times the capacity for ten seconds", [&] {
            simulation.run(seconds(10), 4, milliseconds(200));
            CPPUNIT_ASSERT_GREATEREQUAL(8500, simulation.goodSum());
            CPPUNIT_ASSERT_LESS(300, simulation.late);
            CPPUNIT_ASSERT_GREATEREQUAL(simulation.offered[0] * 80 / 100, simulation.good[0]);
            CPPUNIT_ASSERT_LESS(simulation.offered[3] * 5 / 100, simulation.good[3]);
        });
        section("one second after it nearly everything is served", [&] {
            simulation.run(seconds(1), 0.8, milliseconds(200));
            simulation.clearCounts();
            simulation.run(seconds(5), 0.8, milliseconds(200));
            CPPUNIT_ASSERT_GREATEREQUAL(4000 * 95 / 100, simulation.goodSum());
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
            CPPUNIT_ASSERT_GREATEREQUAL(2000 * 80 / 100, simulation.goodSum());
        });
        section("full throughput comes back", [&] {
            simulation.serviceMs = 20;
            simulation.run(seconds(2), 0.9, seconds(2));
            simulation.clearCounts();
            simulation.run(seconds(5), 0.9, seconds(2));
            CPPUNIT_ASSERT_GREATEREQUAL(4500 * 95 / 100, simulation.goodSum());
        });
    }

    void testOverstatedSlots()
    {
        // Several seeds, because a limit that takes the congestion for slowness does so by chance.
        for (uint64_t seed = 1; seed <= 8; ++seed) {
            section("seed " + std::to_string(seed), [seed] {
                Simulation simulation(200);
                simulation.random = Random(seed);
                simulation.run(seconds(5), 0.5, seconds(1));
                simulation.run(seconds(20), 2, seconds(1));
                CPPUNIT_ASSERT_LESS(90, admissionStatus(simulation.table, kTarget, simulation.now)->limit);
                simulation.clearCounts();
                simulation.run(seconds(5), 2, seconds(1));
                CPPUNIT_ASSERT_GREATEREQUAL(4500, simulation.goodSum());
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
        // A mean above every deadline must not keep all requests away for ever.
        Simulation simulation(20);
        simulation.run(seconds(2), 0.5, milliseconds(200));
        simulation.serviceMs = 2000;
        simulation.run(seconds(5), 0.5, milliseconds(200));
        simulation.serviceMs = 20;
        simulation.run(seconds(8), 0.5, milliseconds(200));
        simulation.clearCounts();
        simulation.run(seconds(4), 0.5, milliseconds(200));
        CPPUNIT_ASSERT_GREATEREQUAL(2000 * 95 / 100, simulation.goodSum());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OverloadTest);

} // namespace snipestream
