#include "mesh/concurrency_limiter.h"
#include "mesh/target_state.h"

#include "tests/support/section.h"

namespace snipestream
{

using testing::section;

namespace
{

const TimePoint kStart = TimePoint() + seconds(1000);
constexpr int64_t kNowMs = 5000;

auto announce(const std::string &instance, uint64_t sequence, int64_t startedAtMs, bool draining = false) -> TargetAnnouncement
{
    TargetAnnouncement announcement;
    announcement.instance = instance;
    announcement.service = ServiceName("diary");
    announcement.endpoint = {"10.0.0.1", 8080};
    announcement.slots = 25;
    announcement.sequence = sequence;
    announcement.startedAtMs = startedAtMs;
    announcement.draining = draining;
    return announcement;
}

auto makeRequest(int rank, Duration latency, Duration timeLeft, bool isNested) -> LimiterRequest
{
    LimiterRequest request;
    request.rank = rank;
    request.targetLatency = latency;
    request.deadline = kStart + timeLeft;
    request.isNested = isNested;
    request.workKind = 7;
    return request;
}

/// Returns a limiter with four busy slots whose requests take 20 ms.
auto makeBusyLimiter() -> ConcurrencyLimiter
{
    ConcurrencyLimiter limiter;
    limiter.settings.maxUtilization = 1;
    setSlots(limiter, 4);
    for (int i = 0; i < 200; ++i) {
        offerRequest(limiter, makeRequest(0, seconds(1), seconds(5), false), kStart);
        releaseSlot(limiter, 7, milliseconds(20));
    }
    for (int i = 0; i < 4; ++i) {
        CPPUNIT_ASSERT(offerRequest(limiter, makeRequest(0, seconds(1), seconds(5), false), kStart).decision == LimiterDecision::Admitted);
    }
    return limiter;
}

} // namespace

class TargetTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TargetTest);
    CPPUNIT_TEST(testAnnouncements);
    CPPUNIT_TEST(testDepartures);
    CPPUNIT_TEST(testQueueOrder);
    CPPUNIT_TEST(testQueueRefusals);
    CPPUNIT_TEST_SUITE_END();

public:
    void testAnnouncements()
    {
        TargetState state;
        section("a target that announces itself takes requests", [&] {
            CPPUNIT_ASSERT(applyAnnouncement(state, announce("i-1", 1, 500), kStart, kNowMs) == AnnouncementEffect::Ready);
            CPPUNIT_ASSERT(isServing(state));
        });
        section("a delayed announcement of an earlier start changes nothing", [&] {
            CPPUNIT_ASSERT(applyAnnouncement(state, announce("i-0", 90, 400), kStart, kNowMs) == AnnouncementEffect::Stale);
            CPPUNIT_ASSERT(state.latest->instance == "i-1");
        });
        section("once it drains, a delayed announcement does not make it ready again", [&] {
            CPPUNIT_ASSERT(applyAnnouncement(state, announce("i-1", 5, 500, true), kStart, kNowMs) == AnnouncementEffect::Draining);
            CPPUNIT_ASSERT(applyAnnouncement(state, announce("i-1", 4, 500), kStart, kNowMs) == AnnouncementEffect::Stale);
            CPPUNIT_ASSERT(applyAnnouncement(state, announce("i-1", 6, 500), kStart, kNowMs) == AnnouncementEffect::Stale);
            CPPUNIT_ASSERT(!isServing(state));
        });
        section("sequence numbers restart when the instance restarts", [&] {
            CPPUNIT_ASSERT(applyAnnouncement(state, announce("i-1", 1, 900), kStart, kNowMs) == AnnouncementEffect::Ready);
            CPPUNIT_ASSERT(isServing(state));
        });
        section("a delayed announcement does not bring back a target that left", [&] {
            CPPUNIT_ASSERT(applyDeparture(state, "i-1", 900, kNowMs));
            CPPUNIT_ASSERT(applyAnnouncement(state, announce("i-1", 2, 900), kStart, kNowMs) == AnnouncementEffect::Stale);
            CPPUNIT_ASSERT(!isServing(state));
            section("the next instance at the same address takes requests", [&] {
                CPPUNIT_ASSERT(applyAnnouncement(state, announce("i-2", 1, 950), kStart, kNowMs) == AnnouncementEffect::Ready);
                CPPUNIT_ASSERT(isServing(state));
            });
        });
    }

    /// Guards against requests to a target that has left and whose delayed announcements arrive.
    void testDepartures()
    {
        section("a target that deregisters without its start before it was heard stays departed", [] {
            TargetState state;
            CPPUNIT_ASSERT(!applyDeparture(state, "i-1", 0, kNowMs));
            CPPUNIT_ASSERT(applyAnnouncement(state, announce("i-1", 7, 500), kStart, kNowMs) == AnnouncementEffect::Stale);
            CPPUNIT_ASSERT(applyAnnouncement(state, announce("i-1", 7, 0), kStart, kNowMs) == AnnouncementEffect::Stale);
            CPPUNIT_ASSERT(!isServing(state));
            section("a later start under the same id takes requests", [&] {
                CPPUNIT_ASSERT(applyAnnouncement(state, announce("i-1", 1, 5001), kStart, kNowMs) == AnnouncementEffect::Ready);
            });
        });
        section("a target without a start in its messages stays departed too", [] {
            TargetState state;
            applyAnnouncement(state, announce("i-1", 7, 0), kStart, kNowMs);
            CPPUNIT_ASSERT(applyDeparture(state, "i-1", 0, kNowMs));
            CPPUNIT_ASSERT(applyAnnouncement(state, announce("i-1", 8, 0), kStart, kNowMs) == AnnouncementEffect::Stale);
        });
        section("another departure does not let an earlier one be forgotten", [] {
            TargetState state;
            applyDeparture(state, "i-1", 500, kNowMs);
            applyAnnouncement(state, announce("i-2", 1, 700), kStart, kNowMs);
            applyDeparture(state, "i-2", 700, kNowMs);
            CPPUNIT_ASSERT(applyAnnouncement(state, announce("i-1", 9, 500), kStart, kNowMs) == AnnouncementEffect::Stale);
            CPPUNIT_ASSERT(applyAnnouncement(state, announce("i-2", 9, 700), kStart, kNowMs) == AnnouncementEffect::Stale);
        });
        section("a delayed message that a target drains holds, although another has followed it", [] {
            TargetState state;
            applyAnnouncement(state, announce("i-2", 1, 700), kStart, kNowMs);
            CPPUNIT_ASSERT(applyAnnouncement(state, announce("i-1", 9, 500, true), kStart, kNowMs) == AnnouncementEffect::Stale);
            CPPUNIT_ASSERT(isServing(state));
            CPPUNIT_ASSERT(state.departures == std::vector<DepartedTarget>({{"i-1", 500}}));
        });
        section("a message that the target drains holds without its start and with a lower sequence number", [] {
            for (const auto &message : {announce("i-1", 9, 0, true), announce("i-1", 2, 500, true)}) {
                TargetState state;
                applyAnnouncement(state, announce("i-1", 3, 500), kStart, kNowMs);
                CPPUNIT_ASSERT(applyAnnouncement(state, message, kStart, kNowMs) == AnnouncementEffect::Draining);
                CPPUNIT_ASSERT(!isServing(state));
                CPPUNIT_ASSERT(applyAnnouncement(state, announce("i-1", 10, 500), kStart, kNowMs) == AnnouncementEffect::Stale);
                TargetState restarted;
                restoreDepartures(restarted, state.departures);
                CPPUNIT_ASSERT(applyAnnouncement(restarted, announce("i-1", 10, 500), kStart, kNowMs) == AnnouncementEffect::Stale);
            }
            section("also before the target was heard", [] {
                TargetState state;
                applyAnnouncement(state, announce("i-1", 9, 0, true), kStart, kNowMs);
                CPPUNIT_ASSERT(applyAnnouncement(state, announce("i-1", 10, 500), kStart, kNowMs) == AnnouncementEffect::Stale);
                CPPUNIT_ASSERT(!isServing(state));
            });
        });
        section("restored departures end the use of a target that was heard before them", [] {
            TargetState state;
            applyAnnouncement(state, announce("i-1", 3, 500), kStart, kNowMs);
            CPPUNIT_ASSERT(restoreDepartures(state, {{"i-1", 500}, {"i-0", 100}}));
            CPPUNIT_ASSERT(!isServing(state));
            CPPUNIT_ASSERT(applyAnnouncement(state, announce("i-1", 4, 500), kStart, kNowMs) == AnnouncementEffect::Stale);
            section("they do not end that of another one", [&] {
                applyAnnouncement(state, announce("i-2", 1, 700), kStart, kNowMs);
                CPPUNIT_ASSERT(!restoreDepartures(state, {{"i-1", 500}}));
                CPPUNIT_ASSERT(isServing(state));
            });
        });
        section("the number of departures that are kept is bounded, and the latest are kept", [] {
            TargetState state;
            for (int i = 0; i < 20; ++i) {
                applyDeparture(state, "i-" + std::to_string(i), 500, kNowMs);
            }
            CPPUNIT_ASSERT_EQUAL(size_t{4}, state.departures.size());
            CPPUNIT_ASSERT(state.departures.back() == (DepartedTarget{"i-19", 500}));
        });
    }

    void testQueueOrder()
    {
        section("queued requests start by rank, then by the end of their target latency", [] {
            ConcurrencyLimiter limiter = makeBusyLimiter();
            const auto late = offerRequest(limiter, makeRequest(0, milliseconds(300), seconds(1), true), kStart);
            const auto early = offerRequest(limiter, makeRequest(0, milliseconds(100), seconds(1), false), kStart);
            const auto last = offerRequest(limiter, makeRequest(1, milliseconds(100), seconds(1), false), kStart);
            CPPUNIT_ASSERT(late.decision == LimiterDecision::Queued && early.decision == LimiterDecision::Queued && last.decision == LimiterDecision::Queued);
            for (const auto &expected : {early, late, last}) {
                releaseSlot(limiter, 7, milliseconds(20));
                const auto started = dequeueRequests(limiter, kStart);
                CPPUNIT_ASSERT_EQUAL(size_t{1}, started.size());
                CPPUNIT_ASSERT(started[0].start && started[0].id == expected.id);
            }
        });
    }

    void testQueueRefusals()
    {
        section("a caller's request that would miss its target latency is refused at once", [] {
            ConcurrencyLimiter limiter = makeBusyLimiter();
            int queued = 0;
            while (offerRequest(limiter, makeRequest(0, milliseconds(100), seconds(1), false), kStart).decision == LimiterDecision::Queued) {
                ++queued;
            }
            // 60 ms of queue delay at 5 ms per request.
            CPPUNIT_ASSERT(queued >= 10 && queued <= 13);
            section("a nested call is queued, since refusing it wastes the work of the running request", [&] {
                CPPUNIT_ASSERT(offerRequest(limiter, makeRequest(0, milliseconds(100), seconds(1), true), kStart).decision == LimiterDecision::Queued);
            });
            section("a nested call that would miss its deadline is refused", [&] {
                CPPUNIT_ASSERT(offerRequest(limiter, makeRequest(0, milliseconds(100), milliseconds(30), true), kStart).decision == LimiterDecision::Refused);
            });
        });
        section("a request whose deadline passes leaves the queue although no slot becomes free", [] {
            ConcurrencyLimiter limiter = makeBusyLimiter();
            const auto waiting = offerRequest(limiter, makeRequest(0, milliseconds(100), milliseconds(60), true), kStart);
            const auto later = offerRequest(limiter, makeRequest(0, milliseconds(100), milliseconds(600), true), kStart);
            CPPUNIT_ASSERT(dequeueRequests(limiter, kStart + milliseconds(70)).empty());
            CPPUNIT_ASSERT(expireQueued(limiter, kStart + milliseconds(59)).empty());
            CPPUNIT_ASSERT(expireQueued(limiter, kStart + milliseconds(60)) == std::vector<LimiterRequestId>{waiting.id});
            CPPUNIT_ASSERT(limiter.queue.size() == 1 && limiter.queue.begin()->second.id == later.id);
        });
        section("a request whose deadline passes in the queue does not start", [] {
            ConcurrencyLimiter limiter = makeBusyLimiter();
            const auto waiting = offerRequest(limiter, makeRequest(0, milliseconds(100), milliseconds(60), true), kStart);
            CPPUNIT_ASSERT(waiting.decision == LimiterDecision::Queued);
            releaseSlot(limiter, 7, milliseconds(20));
            const auto results = dequeueRequests(limiter, kStart + milliseconds(70));
            CPPUNIT_ASSERT(results.size() == 1 && !results[0].start);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetTest);

} // namespace snipestream
