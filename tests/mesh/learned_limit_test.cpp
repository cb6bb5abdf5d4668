#include "mesh/learned_limit.h"

#include "tests/support/section.h"

#include <functional>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace snipestream
{

using testing::section;

namespace
{

constexpr int kSlots = 130;
constexpr WorkKind kKind = 7;

/// A target with a queue that never gets empty, in virtual time.
struct BusyTarget {
    /// Utilization beyond which work takes `kneeFactor` times as long; 1 means none.
    double knee = 1;
    double kneeFactor = 1.3;
    /// Factor on all durations.
    double slowness = 1;
    /// Mean duration of work in seconds, and its spread.
    double meanSeconds = 0.047;
    double spread = 0.5;

    LearnedLimit learned;
    std::mt19937 random{11};
    TimePoint now = TimePoint() + seconds(1000);
    std::priority_queue<std::pair<TimePoint, size_t>, std::vector<std::pair<TimePoint, size_t>>, std::greater<>> ends;
    std::vector<MeasuredRun> runs;

    void start()
    {
        const int concurrency = static_cast<int>(ends.size()) + 1;
        const double factor = slowness * (concurrency > knee * kSlots ? kneeFactor : 1);
        std::gamma_distribution<double> duration(1 / (spread * spread), meanSeconds * spread * spread);
        const double inSeconds = duration(random) * factor;
        runs.push_back({kKind, inSeconds, now, concurrency});
        ends.emplace(now + duration_cast<Duration>(std::chrono::duration<double>(inSeconds)), runs.size() - 1);
    }

    /// Returns the number of runs that ended within the time. With a fixed limit, nothing is learned.
    auto work(Duration span, double fixedFraction = 0) -> int
    {
        int done = 0;
        for (const TimePoint end = now + span; now < end;) {
            const double fraction = fixedFraction > 0 ? fixedFraction : learnedFraction(learned, true, now);
            const int limit = static_cast<int>(kSlots * fraction);
            while (static_cast<int>(ends.size()) < limit) {
                start();
            }
            const auto [endsAt, index] = ends.top();
            ends.pop();
            now = std::max(now, endsAt);
            observeRun(learned, kSlots, runs[index]);
            ++done;
        }
        return done;
    }
};

} // namespace

/// Guards against a fixed share of the slots: targets that slow down earlier get less done at it, and others could do more.
class LearnedLimitTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LearnedLimitTest);
    CPPUNIT_TEST(testOverloadWithKnees);
    CPPUNIT_TEST(testOverloadWithChanges);
    CPPUNIT_TEST(testTrials);
    CPPUNIT_TEST(testPace);
    CPPUNIT_TEST_SUITE_END();

public:
    void testOverloadWithKnees()
    {
        struct Case {
            double knee;
            double kneeFactor;
            /// Utilization at which the target gets most work done.
            double best;
        };
        for (const Case &each : {Case{1, 1, 1}, Case{0.95, 1.3, 0.95}, Case{0.8, 1.5, 0.8}, Case{0.6, 2, 0.6}}) {
            const std::string name = "beyond " + std::to_string(each.knee) + " of its slots work takes " + std::to_string(each.kneeFactor) + " times as long";
            section(name + ": within a minute of overload the target gets as much done as at its best limit", [&each] {
                BusyTarget target;
                target.knee = each.knee;
                target.kneeFactor = each.kneeFactor;
                BusyTarget best = target;
                target.work(seconds(60));
                const int learned = target.work(seconds(30));
                const int atBest = best.work(seconds(30), each.best);
                CPPUNIT_ASSERT_MESSAGE(std::to_string(learned) + " of " + std::to_string(atBest), learned >= 0.95 * atBest);
            });
        }
    }

    void testOverloadWithChanges()
    {
        section("a target that is five times slower for six seconds keeps its concurrency", [] {
            BusyTarget target;
            target.kneeFactor = 1;
            target.work(seconds(30));
            target.slowness = 5;
            target.work(seconds(6));
            target.slowness = 1;
            target.work(seconds(5));
            BusyTarget best;
            best.kneeFactor = 1;
            const int learned = target.work(seconds(10));
            const int atBest = best.work(seconds(10), 1);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(learned) + " of " + std::to_string(atBest), learned >= 0.9 * atBest);
        });
        section("a knee that appears is found, and its end as well", [] {
            BusyTarget target;
            target.kneeFactor = 1;
            target.work(seconds(30));
            target.knee = 0.7;
            target.kneeFactor = 2;
            target.work(seconds(40));
            BusyTarget best = target;
            int learned = target.work(seconds(20));
            int atBest = best.work(seconds(20), 0.7);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(learned) + " of " + std::to_string(atBest), learned >= 0.9 * atBest);
            target.kneeFactor = 1;
            best.kneeFactor = 1;
            target.work(seconds(60));
            learned = target.work(seconds(20));
            atBest = best.work(seconds(20), 1);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(learned) + " of " + std::to_string(atBest), learned >= 0.9 * atBest);
        });
    }

    void testTrials()
    {
        section("without requests that wait, nothing is tried", [] {
            LearnedLimit learned;
            TimePoint now = TimePoint() + seconds(10);
            for (int i = 0; i < 1000; ++i, now += milliseconds(25)) {
                observeRun(learned, 10, {kKind, 0.02, now, 10});
                CPPUNIT_ASSERT_EQUAL(0.95, learnedFraction(learned, false, now));
            }
        });
        section("runs below full concurrency, or without a duration, say nothing", [] {
            LearnedLimit learned;
            observeRun(learned, 100, {kKind, 0.02, TimePoint() + seconds(1), 50});
            observeRun(learned, 100, {kKind, 0, TimePoint() + seconds(1), 95});
            CPPUNIT_ASSERT_EQUAL(0.0, learned.current.runs);
        });
    }

    void testPace()
    {
        section("the pace follows a change within a second, both ways, and single figures do not decide", [] {
            ReportedPace pace;
            TimePoint now = TimePoint() + seconds(10);
            CPPUNIT_ASSERT_EQUAL(0.0, paceAt(pace, now));
            observePace(pace, 1, now);
            observePace(pace, 2.5, now + milliseconds(2));
            CPPUNIT_ASSERT(paceAt(pace, now + milliseconds(2)) < 1.1);
            for (int i = 0; i < 100; ++i) {
                observePace(pace, 2.5, now += milliseconds(6));
            }
            CPPUNIT_ASSERT(paceAt(pace, now) > 2.3);
            for (int i = 0; i < 100; ++i) {
                observePace(pace, 1, now += milliseconds(6));
            }
            CPPUNIT_ASSERT(paceAt(pace, now) < 1.2);
        });
        section("an old figure is forgotten, and an implausible one ignored", [] {
            ReportedPace pace;
            const TimePoint now = TimePoint() + seconds(10);
            observePace(pace, 3, now);
            observePace(pace, -1, now);
            observePace(pace, 0, now);
            CPPUNIT_ASSERT_EQUAL(3.0, paceAt(pace, now));
            CPPUNIT_ASSERT_EQUAL(1.0, paceAt(pace, now + seconds(2)));
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LearnedLimitTest);

} // namespace snipestream
