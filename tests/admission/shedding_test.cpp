#include "admission/shedding.h"
#include "core/random.h"

#include "tests/support/section.h"

namespace snipestream
{

using testing::section;

/// Guards against requests that are shed part of the way through a call chain, high priorities that are shed before
/// lower ones, and callers that never call a service again after it shed everything.
class SheddingTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SheddingTest);
    CPPUNIT_TEST(testOrder);
    CPPUNIT_TEST(testLevelRisesAndFalls);
    CPPUNIT_TEST(testUpstream);
    CPPUNIT_TEST_SUITE_END();

public:
    void testOrder()
    {
        Random random(1);
        for (int i = 0; i < 1000; ++i) {
            const RequestId id = drawRequestId(random);
            const int level = static_cast<int>(drawBelow(random, kMaxSheddingLevel + 1));
            section("a request shed at a priority is shed at each lower one", [&] {
                for (int priority = 1; priority < kPriorityCount; ++priority) {
                    const int higher = rankOf(static_cast<Priority>(priority - 1), id);
                    CPPUNIT_ASSERT(!isShed(level, higher) || isShed(level, rankOf(static_cast<Priority>(priority), id)));
                }
            });
            section("a request admitted at a level is admitted at every lower level, on any node", [&] {
                const int rank = rankOf(Priority::Normal, id);
                CPPUNIT_ASSERT(isShed(level, rank) || !isShed(level / 2, rank));
            });
        }
        section("critical requests are shed only after all others, and one cohort never is", [&] {
            CPPUNIT_ASSERT(!isShed(kRankCount - kCohortCount, kCohortCount - 1));
            CPPUNIT_ASSERT(!isShed(kMaxSheddingLevel, 0));
            CPPUNIT_ASSERT(!isShed(0, kRankCount - 1));
        });
    }

    void testLevelRisesAndFalls()
    {
        SheddingState state;
        const SheddingSettings settings;
        TimePoint now{seconds(100)};
        state.windowStart = now;
        const auto window = [&](bool overloaded) {
            for (int rank = 0; rank < kRankCount; ++rank) {
                observeArrival(state, rank);
            }
            state.overflowed = overloaded;
            state.queueWasEmpty = !overloaded;
            now += milliseconds(100);
            CPPUNIT_ASSERT(tickShedding(state, settings, milliseconds(10), now));
            return state.level;
        };
        section("overload raises the level by a fraction of the admitted arrivals", [&] {
            CPPUNIT_ASSERT_EQUAL(0, window(false));
            CPPUNIT_ASSERT_GREATER(20, window(true));
            for (int i = 0; i < 200; ++i) {
                window(true);
            }
            CPPUNIT_ASSERT_GREATER(480, state.level);
            CPPUNIT_ASSERT_LESSEQUAL(kMaxSheddingLevel, state.level);
        });
        section("seven seconds without overload lower the level from its maximum to zero", [&] {
            for (int i = 0; i < 70; ++i) {
                window(false);
            }
            CPPUNIT_ASSERT_EQUAL(0, state.level);
        });
    }

    void testUpstream()
    {
        Random random(2);
        UpstreamTable table;
        const TimePoint now{seconds(100)};
        const ServiceName key = upstreamKey(ServiceName("bookings"), RouteName("deposit"));
        const auto countShed = [&](Priority priority, TimePoint at) {
            int shed = 0;
            for (int i = 0; i < 1000; ++i) {
                shed += shouldShedUpstream(table, key, priority, drawRequestId(random), at) ? 1 : 0;
            }
            return shed;
        };
        section("one outlier has little effect", [&] {
            observeUpstream(table, key, 10'000, now);
            CPPUNIT_ASSERT_LESSEQUAL(kMaxSheddingLevel / 8, upstreamLevel(table, key, now));
        });
        section("a lasting level sheds what the target would shed, except for a margin", [&] {
            for (int i = 0; i < 100; ++i) {
                observeUpstream(table, key, 2 * kCohortCount, now);
            }
            CPPUNIT_ASSERT_EQUAL(1000, countShed(Priority::Low, now));
            CPPUNIT_ASSERT_GREATER(800, countShed(Priority::Normal, now));
            CPPUNIT_ASSERT_LESS(1000, countShed(Priority::Normal, now));
            CPPUNIT_ASSERT_EQUAL(0, countShed(Priority::High, now));
        });
        section("the reported level is the maximum of the own level and those of the nested calls", [&] {
            CPPUNIT_ASSERT_EQUAL(7, reportedLevel(7, table, {}, now));
            CPPUNIT_ASSERT_GREATER(200, reportedLevel(7, table, {key}, now));
        });
        section("the level expires without responses", [&] {
            CPPUNIT_ASSERT_EQUAL(0, countShed(Priority::Low, now + seconds(2)));
        });
        section("time between responses does not lower a lasting level two hops further towards the caller", [&] {
            UpstreamTable middle;
            UpstreamTable entry;
            TimePoint at = now;
            for (int i = 0; i < 200; ++i) {
                at += milliseconds(20);
                observeUpstream(middle, key, 460, at);
                observeUpstream(entry, key, reportedLevel(0, middle, {key}, at + milliseconds(10)), at);
            }
            CPPUNIT_ASSERT_GREATEREQUAL(455, upstreamLevel(entry, key, at + milliseconds(20)));
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SheddingTest);

} // namespace snipestream
