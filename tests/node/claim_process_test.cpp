#include "tests/node/cluster.h"
#include "tests/support/section.h"

#include <csignal>
#include <thread>

#include <cppunit/extensions/HelperMacros.h>

namespace snipestream::testing
{

namespace
{

/// Returns a key whose claim owner is (or is not) one of the nodes.
auto keyOwnedBy(const Cluster &cluster, const std::string &stem, const std::function<bool(size_t)> &isWanted) -> std::string
{
    for (int i = 0; i < 200; ++i) {
        std::string key = stem + "-" + std::to_string(i);
        const auto owner = cluster.claimOwnerOf("studio", key);
        if (owner && isWanted(*owner)) {
            return key;
        }
    }
    CPPUNIT_FAIL("no key has a wanted owner");
    return {};
}

/// Checks a reply to a repeat of a key that has run: a recorded answer, or a refusal that does not deny the run.
void assertTruthful(const Reply &reply)
{
    if (reply.status != 200 && reply.status != 0) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(reply.body, std::string("unknown"), textOf(reply, "run"));
    }
}

/// Repeats a booking at all nodes that live until `limit` has passed; none may run it again or say that it never ran.
void repeatEverywhere(const Cluster &cluster, const std::string &key, Duration limit)
{
    const TimePoint end = BootClock::now() + limit;
    int attempt = 1;
    while (BootClock::now() < end) {
        ++attempt;
        for (size_t node = 0; node < cluster.nodes.size(); ++node) {
            if (cluster.nodes[node].pid > 0) {
                assertTruthful(cluster.book(node, key, attempt));
            }
        }
        CPPUNIT_ASSERT_EQUAL(1, cluster.runs(key));
        std::this_thread::sleep_for(milliseconds(100));
    }
}

void awaitRun(const Cluster &cluster, const std::string &key)
{
    eventually("the booking runs at a target", seconds(10), [&] {
        return cluster.runs(key) == 1;
    });
}

} // namespace

/// Bookings while processes die. Guards I9 (a booking runs at most once) and I8 (a refusal that says not-run is true
/// for every attempt of the idempotency key).
class ClaimProcessTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ClaimProcessTest);
    CPPUNIT_TEST(testRepeatsAndDeadOwner);
    CPPUNIT_TEST(testEntryNodeDiesDuringTheRun);
    CPPUNIT_TEST(testHomeNodeDiesDuringTheRun);
    CPPUNIT_TEST_SUITE_END();

public:
    void testRepeatsAndDeadOwner()
    {
        Cluster cluster(4, 1, {{"catalogue", 0}, {"bookings", 0}});
        section("a repeat at every node gets the first answer", [&] {
            const Reply first = cluster.bookUntilAnswered(0, "repeat");
            for (size_t node = 0; node < cluster.nodes.size(); ++node) {
                eventually("the outcome is known to the owner", seconds(5), [&] {
                    const Reply again = cluster.book(node, "repeat", 2);
                    assertTruthful(again);
                    return again.status == 200 && again.body == first.body;
                });
            }
            CPPUNIT_ASSERT_EQUAL(1, cluster.runs("repeat"));
        });
        section("the claim owner dies between two attempts", [&] {
            // The node beside the target stays, so that a second run would be possible.
            const std::string key = keyOwnedBy(cluster, "owner", [](size_t owner) {
                return owner != 0;
            });
            const auto owner = cluster.claimOwnerOf("studio", key);
            cluster.bookUntilAnswered(0, key);
            cluster.killNode(*owner);
            repeatEverywhere(cluster, key, seconds(8));
        });
    }

    void testEntryNodeDiesDuringTheRun()
    {
        Cluster cluster(3, 1, {{"catalogue", 0}, {"bookings", 0}});
        const std::string key = keyOwnedBy(cluster, "entry", [](size_t owner) {
            return owner != 1;
        });
        cluster.setServiceTime(1, 1500);
        Reply cut;
        std::thread caller([&] {
            cut = cluster.book(1, key);
        });
        awaitRun(cluster, key);
        cluster.killNode(1);
        caller.join();
        CPPUNIT_ASSERT_EQUAL_MESSAGE("the caller sees a cut connection", 0, cut.status);
        repeatEverywhere(cluster, key, seconds(5));
    }

    void testHomeNodeDiesDuringTheRun()
    {
        Cluster cluster(3, 1, {{"catalogue", 1}, {"bookings", 0}, {"bookings", 1}});
        cluster.setServiceTime(1, 1500);
        cluster.setServiceTime(2, 1500);
        const std::string key = keyOwnedBy(cluster, "home", [](size_t owner) {
            return owner == 2;
        });
        Reply reply;
        std::thread caller([&] {
            reply = cluster.book(2, key);
        });
        awaitRun(cluster, key);
        cluster.killNode(cluster.runsAt(1, key) == 1 ? 0 : 1);
        caller.join();
        assertTruthful(reply);
        CPPUNIT_ASSERT_MESSAGE("no complete answer can have arrived", reply.status != 200);
        repeatEverywhere(cluster, key, seconds(5));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClaimProcessTest);

} // namespace snipestream::testing
