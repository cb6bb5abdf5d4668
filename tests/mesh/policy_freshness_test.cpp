#include "mesh/policy_freshness.h"
#include "mesh/store_readers.h"

#include "tests/support/section.h"

#include <optional>
#include <string>

namespace snipestream
{

using testing::section;

namespace
{

constexpr Duration kTick = milliseconds(25);
constexpr Duration kReadCheck = milliseconds(50);
constexpr Duration kReadTimeout = milliseconds(700);
constexpr Duration kPauseAfterFailure = milliseconds(1200);

/// How the store treats the reads of a node. Without a delay, reads get no answer.
struct StoreBehaviour {
    std::optional<Duration> delay = milliseconds(4);
    bool refuses = false;
};

/// A node that reads the store when its confirmation gets old, in virtual time. Nobody else confirms its configuration.
struct FollowerNode {
    Duration policyApply = seconds(2);
    FreshnessLimits limits = freshnessLimits(policyApply, seconds(5), 1);
    StoreBehaviour store;
    StoreContact contact;
    TimePoint now = TimePoint() + seconds(10);
    TimePoint confirmedAt = now;
    std::optional<TimePoint> readSentAt;
    TimePoint nextReadAt = now;

    [[nodiscard]] auto trust() const -> PolicyTrust
    {
        return policyTrust(confirmedAt, contact, std::nullopt, policyApply, now);
    }

    void updateRead()
    {
        if (readSentAt) {
            const bool hasAnswer = store.delay && now - *readSentAt >= *store.delay;
            if (!hasAnswer && now - *readSentAt < kReadTimeout) {
                return;
            }
            const bool isConfirmed = hasAnswer && !store.refuses;
            endStoreRead(contact, isConfirmed, now);
            confirmedAt = isConfirmed ? *readSentAt : confirmedAt;
            nextReadAt = now + (isConfirmed ? kReadCheck : kPauseAfterFailure);
            readSentAt.reset();
        } else if (now >= nextReadAt && now - confirmedAt >= limits.ownReadAge) {
            readSentAt = now;
            beginStoreRead(contact, limits.answerTime, now);
        }
    }

    void tick()
    {
        now += kTick;
        observeStoreRead(contact, limits.answerTime, now);
        updateRead();
    }

    /// Lets the time pass. Returns for how long the node was in this state.
    auto timeIn(PolicyTrust state, Duration span) -> Duration
    {
        Duration total{};
        for (const TimePoint end = now + span; now < end;) {
            tick();
            total += trust() == state ? kTick : Duration::zero();
        }
        return total;
    }
};

auto describe(Duration time) -> std::string
{
    return std::to_string(duration_cast<milliseconds>(time).count()) + " ms";
}

} // namespace

/// Guards against a node that decides by an old configuration although the store would have answered it, and against refusals by
/// nodes that the store does not answer.
class PolicyFreshnessTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PolicyFreshnessTest);
    CPPUNIT_TEST(testStore);
    CPPUNIT_TEST(testPause);
    CPPUNIT_TEST(testNewerPolicy);
    CPPUNIT_TEST_SUITE_END();

public:
    void testStore()
    {
        for (const Duration policyApply : {milliseconds(1500), milliseconds(2000), milliseconds(2500), milliseconds(4000)}) {
            for (const double spread : {0.0, 0.5, 1.0}) {
                FollowerNode node;
                node.policyApply = policyApply;
                node.limits = freshnessLimits(policyApply, seconds(5), spread);
                const std::string name = describe(policyApply) + ", spread " + std::to_string(spread);
                section("a store that answers within its time confirms the configuration in time, " + name, [&node] {
                    node.store.delay = node.limits.answerTime - kTick;
                    CPPUNIT_ASSERT_EQUAL(Duration::zero().count(), node.timeIn(PolicyTrust::Unconfirmed, seconds(10)).count());
                    CPPUNIT_ASSERT_EQUAL(Duration::zero().count(), node.timeIn(PolicyTrust::Unreachable, seconds(10)).count());
                });
                section("a store that does not answer is known to be unreachable before the bound, and no request is refused", [&node] {
                    node.store.delay.reset();
                    const Duration refused = node.timeIn(PolicyTrust::Unconfirmed, seconds(10));
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(describe(refused), Duration::zero().count(), refused.count());
                    CPPUNIT_ASSERT(node.trust() == PolicyTrust::Unreachable);
                });
                section("neither is one if the store refuses the node's reads", [&node] {
                    node.store = {milliseconds(4), true};
                    CPPUNIT_ASSERT_EQUAL(Duration::zero().count(), node.timeIn(PolicyTrust::Unconfirmed, seconds(10)).count());
                });
                section("the first answer afterwards ends that", [&node] {
                    node.store = StoreBehaviour();
                    node.timeIn(PolicyTrust::Unconfirmed, kPauseAfterFailure + milliseconds(100));
                    CPPUNIT_ASSERT(node.trust() == PolicyTrust::Confirmed);
                });
            }
        }
    }

    void testPause()
    {
        section("a process that was paused does not decide until it has read the store, whenever the pause began", [] {
            for (Duration before = Duration::zero(); before < seconds(2); before += kTick) {
                FollowerNode node;
                node.timeIn(PolicyTrust::Confirmed, before);
                node.now += seconds(3);
                CPPUNIT_ASSERT_MESSAGE(describe(before), node.trust() == PolicyTrust::Unconfirmed);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(describe(before), Duration::zero().count(), node.timeIn(PolicyTrust::Unreachable, seconds(3)).count());
                CPPUNIT_ASSERT(node.trust() == PolicyTrust::Confirmed);
            }
        });
        section("an outage from before the pause says nothing about the store after it", [] {
            FollowerNode node;
            node.store.delay.reset();
            node.timeIn(PolicyTrust::Unreachable, seconds(5));
            node.now += seconds(20);
            CPPUNIT_ASSERT(node.trust() == PolicyTrust::Unconfirmed);
        });
        section("if the store does not answer afterwards either, the node goes on with what it has", [] {
            FollowerNode node;
            node.timeIn(PolicyTrust::Confirmed, seconds(1));
            node.store.delay.reset();
            node.now += seconds(3);
            const Duration refused = node.timeIn(PolicyTrust::Unconfirmed, seconds(10));
            CPPUNIT_ASSERT_MESSAGE(describe(refused), refused < seconds(1));
        });
    }

    void testNewerPolicy()
    {
        const TimePoint confirmedAt = TimePoint() + seconds(10);
        const TimePoint now = confirmedAt + seconds(4);
        StoreContact contact;
        observeStoreRead(contact, milliseconds(400), now - milliseconds(20));
        beginStoreRead(contact, milliseconds(400), now - milliseconds(10));
        endStoreRead(contact, false, now);
        section("a node that the store does not answer goes on, unless another node has just named a newer configuration", [&] {
            CPPUNIT_ASSERT(policyTrust(confirmedAt, contact, std::nullopt, seconds(2), now) == PolicyTrust::Unreachable);
            CPPUNIT_ASSERT(policyTrust(confirmedAt, contact, now - milliseconds(100), seconds(2), now) == PolicyTrust::Unconfirmed);
        });
        section("a newer one that nobody confirms any more does not stop it for ever", [&] {
            CPPUNIT_ASSERT(policyTrust(confirmedAt, contact, now - seconds(3), seconds(2), now) == PolicyTrust::Unreachable);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PolicyFreshnessTest);

} // namespace snipestream
