#include "mesh/cold_rate.h"

#include "tests/support/section.h"

#include <algorithm>
#include <string>
#include <vector>

namespace snipestream
{

using testing::section;

namespace
{

constexpr double kPerSecond = 8.7;

/// Offers requests as fast as possible for a time. Returns the times of those that were sent.
auto flood(ColdRate &rate, TimePoint &now, Duration span)
{
    std::vector<TimePoint> sent;
    for (const TimePoint end = now + span; now < end; now += milliseconds(1)) {
        if (takeColdToken(rate, kPerSecond, now)) {
            sent.push_back(now);
        }
    }
    return sent;
}

/// Returns the largest number of requests in any one second.
auto mostInOneSecond(const std::vector<TimePoint> &sent) -> size_t
{
    size_t most = 0;
    for (auto first = sent.begin(); first != sent.end(); ++first) {
        most = std::max(most, static_cast<size_t>(std::upper_bound(first, sent.end(), *first + seconds(1)) - first));
    }
    return most;
}

} // namespace

/// Guards against a cold target that crashes since it gets more requests than it bears.
class ColdRateTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ColdRateTest);
    CPPUNIT_TEST(testFlood);
    CPPUNIT_TEST(testTurningCold);
    CPPUNIT_TEST(testConcurrency);
    CPPUNIT_TEST_SUITE_END();

public:
    void testFlood()
    {
        section("in any one second, a flooded cold target gets its rate and a quarter of it more", [] {
            ColdRate rate;
            TimePoint now = TimePoint() + seconds(100);
            observeWarmup(rate, seconds(3), now);
            const auto sent = flood(rate, now, milliseconds(2900));
            CPPUNIT_ASSERT_MESSAGE(std::to_string(mostInOneSecond(sent)), mostInOneSecond(sent) <= 12);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(sent.size()), sent.size() >= 24);
        });
        section("announcements that say again that it is cold do not add to that", [] {
            ColdRate rate;
            TimePoint now = TimePoint() + seconds(100);
            std::vector<TimePoint> sent;
            for (int i = 0; i < 30; ++i) {
                observeWarmup(rate, milliseconds(3000 - i * 100), now);
                const auto more = flood(rate, now, milliseconds(100));
                sent.insert(sent.end(), more.begin(), more.end());
            }
            CPPUNIT_ASSERT_MESSAGE(std::to_string(mostInOneSecond(sent)), mostInOneSecond(sent) <= 12);
        });
        section("a warm target and a service without a rate are not limited", [] {
            ColdRate rate;
            TimePoint now = TimePoint() + seconds(100);
            CPPUNIT_ASSERT_EQUAL(size_t{100}, flood(rate, now, milliseconds(100)).size());
            observeWarmup(rate, seconds(3), now);
            CPPUNIT_ASSERT(takeColdToken(rate, 0, now) && takeColdToken(rate, 0, now));
        });
    }

    void testTurningCold()
    {
        section("a target that turns cold again starts with an empty bucket", [] {
            ColdRate rate;
            TimePoint now = TimePoint() + seconds(100);
            observeWarmup(rate, Duration::zero(), now);
            flood(rate, now, seconds(1));
            observeWarmup(rate, seconds(3), now);
            CPPUNIT_ASSERT(!takeColdToken(rate, kPerSecond, now));
        });
        section("one that may have started again is held to the rate until it announces itself", [] {
            ColdRate rate;
            TimePoint now = TimePoint() + seconds(100);
            suspectCold(rate, now);
            CPPUNIT_ASSERT(flood(rate, now, seconds(5)).size() <= 45);
            observeWarmup(rate, Duration::zero(), now);
            CPPUNIT_ASSERT(!isCold(rate, now));
        });
        section("it turns warm by itself at the time that it announced", [] {
            ColdRate rate;
            const TimePoint now = TimePoint() + seconds(100);
            observeWarmup(rate, seconds(3), now);
            CPPUNIT_ASSERT(isCold(rate, now + milliseconds(2999)) && !isCold(rate, now + seconds(3)));
        });
    }

    void testConcurrency()
    {
        section("other nodes see as many slots as the rate keeps busy, at least one", [] {
            CPPUNIT_ASSERT_EQUAL(2, coldConcurrency(8.7, 0.2, 60));
            CPPUNIT_ASSERT_EQUAL(1, coldConcurrency(8.7, 0, 60));
            CPPUNIT_ASSERT_EQUAL(3, coldConcurrency(100, 1, 3));
            CPPUNIT_ASSERT_EQUAL(60, coldConcurrency(0, 1, 60));
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ColdRateTest);

} // namespace snipestream
