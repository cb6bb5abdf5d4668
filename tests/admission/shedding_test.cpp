#include "admission/shedding.h"
#include "core/random.h"

#include "tests/support/section.h"

namespace snipestream
{

using testing::section;

/// Guards against requests that are shed part-way down a chain, important requests shed before others, and upstream
/// nodes that never send to a service again.
class SheddingTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SheddingTest);
    CPPUNIT_TEST(testOrder);
    CPPUNIT_TEST(testLevelFollowsOverload);
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
            section("a request that passes a level passes every lower one, at any hop", [&] {
                const int rank = rankOf(Priority::Normal, id);
                CPPUNIT_ASSERT(isShed(level, rank) || !isShed(level / 2, rank));
            });
        }
        section("no critical request is shed before all others are, and one cohort never is", [&] {
            CPPUNIT_ASSERT(!isShed(kRankCount - kCohortCount, kCohortCount - 1));
            CPPUNIT_ASSERT(!isShed(kMaxSheddingLevel, 0));
            CPPUNIT_ASSERT(!isShed(0, kRankCount - 1));
        });
    }

    void testLevelFollowsOverload()
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
        section("overload raises it by a part of the admitted arrivals", [&] {
            CPPUNIT_ASSERT_EQUAL(0, window(false));
            CPPUNIT_ASSERT_GREATER(20, window(true));
            for (int i = 0; i < 200; ++i) {
                window(true);
            }
            CPPUNIT_ASSERT_GREATER(480, state.level);
            CPPUNIT_ASSERT_LESSEQUAL(kMaxSheddingLevel, state.level);
        });
        section("seven seconds of calm end it even from the highest level", [&] {
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
        const auto shedPart = [&](Priority priority, TimePoint at) {
            int shed = 0;
            for (int i = 0; i < 1000; ++i) {
                shed += shouldShedUpstream(table, key, priority, drawRequestId(random), at) ? 1 : 0;
            }
            return shed;
        };
        section("one odd answer changes little", [&] {
            observeUpstream(table, key, 10'000, now);
            CPPUNIT_ASSERT_LESSEQUAL(kMaxSheddingLevel / 8, upstreamLevel(table, key, now));
        });
        section("a lasting level sheds what the target would shed, but for a margin", [&] {
            for (int i = 0; i < 100; ++i) {
                observeUpstream(table, key, 2 * kCohortCount, now);
            }
            CPPUNIT_ASSERT_EQUAL(1000, shedPart(Priority::Low, now));
            CPPUNIT_ASSERT_GREATER(800, shedPart(Priority::Normal, now));
            CPPUNIT_ASSERT_LESS(1000, shedPart(Priority::Normal, now));
            CPPUNIT_ASSERT_EQUAL(0, shedPart(Priority::High, now));
        });
        section("the level reported upwards is the highest on the way down", [&] {
            CPPUNIT_ASSERT_EQUAL(7, reportedLevel(7, table, {}, now));
            CPPUNIT_ASSERT_GREATER(200, reportedLevel(7, table, {key}, now));
        });
        section("without answers it is forgotten", [&] {
            CPPUNIT_ASSERT_EQUAL(0, shedPart(Priority::Low, now + seconds(2)));
        });
        section("time between answers does not lower a lasting level two hops up", [&] {
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
