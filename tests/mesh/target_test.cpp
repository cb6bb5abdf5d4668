#include "mesh/concurrency_limiter.h"
#include "mesh/target_state.h"

#include "tests/support/section.h"

namespace snipestream
{

using testing::section;

namespace
{

const TimePoint kStart = TimePoint() + seconds(1000);

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

auto makeRequest(int rank, Duration latency, Duration timeLeft, bool inner) -> LimiterRequest
{
    LimiterRequest request;
    request.rank = rank;
    request.targetLatency = latency;
    request.deadline = kStart + timeLeft;
    request.isNested = inner;
    request.workKind = 7;
    return request;
}

/// Returns a gate with four slots whose requests take 20 ms, all of them busy.
auto busyGate() -> ConcurrencyLimiter
{
    ConcurrencyLimiter gate;
    gate.settings.usedSlots = 1;
    setSlots(gate, 4);
    for (int i = 0; i < 200; ++i) {
        offerRequest(gate, makeRequest(0, seconds(1), seconds(5), false), kStart);
        releaseSlot(gate, 7, milliseconds(20));
    }
    for (int i = 0; i < 4; ++i) {
        CPPUNIT_ASSERT(offerRequest(gate, makeRequest(0, seconds(1), seconds(5), false), kStart).decision == LimiterDecision::Admitted);
    }
    return gate;
}

} // namespace

class TargetTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TargetTest);
    CPPUNIT_TEST(testAnnouncements);
    CPPUNIT_TEST(testGateOrder);
    CPPUNIT_TEST(testGateRefusals);
    CPPUNIT_TEST_SUITE_END();

public:
    void testAnnouncements()
    {
        TargetState state;
        section("a target that announces itself serves", [&] {
            CPPUNIT_ASSERT(applyAnnouncement(state, announce("i-1", 1, 500), kStart) == AnnouncementEffect::Ready);
            CPPUNIT_ASSERT(isServing(state));
        });
        section("a late announcement of an earlier start changes nothing", [&] {
            CPPUNIT_ASSERT(applyAnnouncement(state, announce("i-0", 90, 400), kStart) == AnnouncementEffect::Stale);
            CPPUNIT_ASSERT(state.latest->instance == "i-1");
        });
        section("once it drains, an overtaken announcement does not bring it back", [&] {
            CPPUNIT_ASSERT(applyAnnouncement(state, announce("i-1", 5, 500, true), kStart) == AnnouncementEffect::Draining);
            CPPUNIT_ASSERT(applyAnnouncement(state, announce("i-1", 4, 500), kStart) == AnnouncementEffect::Stale);
            CPPUNIT_ASSERT(applyAnnouncement(state, announce("i-1", 6, 500), kStart) == AnnouncementEffect::Stale);
            CPPUNIT_ASSERT(!isServing(state));
        });
        section("a new start under the same name counts anew", [&] {
            CPPUNIT_ASSERT(applyAnnouncement(state, announce("i-1", 1, 900), kStart) == AnnouncementEffect::Ready);
            CPPUNIT_ASSERT(isServing(state));
        });
        section("a target that left is not brought back by what was on its way", [&] {
            CPPUNIT_ASSERT(applyDeparture(state, "i-1", 900));
            CPPUNIT_ASSERT(applyAnnouncement(state, announce("i-1", 2, 900), kStart) == AnnouncementEffect::Stale);
            CPPUNIT_ASSERT(!isServing(state));
            section("but the next instance at the address serves", [&] {
                CPPUNIT_ASSERT(applyAnnouncement(state, announce("i-2", 1, 950), kStart) == AnnouncementEffect::Ready);
                CPPUNIT_ASSERT(isServing(state));
            });
        });
    }

    void testGateOrder()
    {
        section("waiting requests start by rank, then by the moment at which their answer loses worth", [] {
            ConcurrencyLimiter gate = busyGate();
            const auto late = offerRequest(gate, makeRequest(0, milliseconds(300), seconds(1), true), kStart);
            const auto early = offerRequest(gate, makeRequest(0, milliseconds(100), seconds(1), false), kStart);
            const auto last = offerRequest(gate, makeRequest(1, milliseconds(100), seconds(1), false), kStart);
            CPPUNIT_ASSERT(late.decision == LimiterDecision::Queued && early.decision == LimiterDecision::Queued && last.decision == LimiterDecision::Queued);
            for (const auto &expected : {early, late, last}) {
                releaseSlot(gate, 7, milliseconds(20));
                const auto started = dequeueRequests(gate, kStart);
                CPPUNIT_ASSERT_EQUAL(size_t{1}, started.size());
                CPPUNIT_ASSERT(started[0].start && started[0].id == expected.id);
            }
        });
    }

    void testGateRefusals()
    {
        section("a client's request that would be answered too late to be worth the wait is refused at once", [] {
            ConcurrencyLimiter gate = busyGate();
            int waiting = 0;
            while (offerRequest(gate, makeRequest(0, milliseconds(100), seconds(1), false), kStart).decision == LimiterDecision::Queued) {
                ++waiting;
            }
            // 60 ms of waiting at 5 ms a request.
            CPPUNIT_ASSERT(waiting >= 10 && waiting <= 13);
            section("a call of a running request waits, since refusing it wastes that one's work", [&] {
                CPPUNIT_ASSERT(offerRequest(gate, makeRequest(0, milliseconds(100), seconds(1), true), kStart).decision == LimiterDecision::Queued);
            });
            section("unless it cannot be answered before its deadline", [&] {
                CPPUNIT_ASSERT(offerRequest(gate, makeRequest(0, milliseconds(100), milliseconds(30), true), kStart).decision == LimiterDecision::Refused);
            });
        });
        section("a request whose deadline passes is answered although no slot becomes free", [] {
            ConcurrencyLimiter gate = busyGate();
            const auto waiting = offerRequest(gate, makeRequest(0, milliseconds(100), milliseconds(60), true), kStart);
            const auto later = offerRequest(gate, makeRequest(0, milliseconds(100), milliseconds(600), true), kStart);
            CPPUNIT_ASSERT(dequeueRequests(gate, kStart + milliseconds(70)).empty());
            CPPUNIT_ASSERT(expireQueued(gate, kStart + milliseconds(59)).empty());
            CPPUNIT_ASSERT(expireQueued(gate, kStart + milliseconds(60)) == std::vector<LimiterRequestId>{waiting.id});
            CPPUNIT_ASSERT(gate.queue.size() == 1 && gate.queue.begin()->second.id == later.id);
        });
        section("a request whose time ran out while it waited does not start", [] {
            ConcurrencyLimiter gate = busyGate();
            const auto waiting = offerRequest(gate, makeRequest(0, milliseconds(100), milliseconds(60), true), kStart);
            CPPUNIT_ASSERT(waiting.decision == LimiterDecision::Queued);
            releaseSlot(gate, 7, milliseconds(20));
            const auto decisions = dequeueRequests(gate, kStart + milliseconds(70));
            CPPUNIT_ASSERT(decisions.size() == 1 && !decisions[0].start);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetTest);

} // namespace snipestream
