#include "tests/node/cluster.h"
#include "tests/support/section.h"

#include <csignal>
#include <thread>

#include <cppunit/extensions/HelperMacros.h>

namespace snipestream::testing
{

namespace
{

/// Returns an idempotency key whose claim owner satisfies the condition. The condition gets the index of the owner's node.
auto keyOwnedBy(const Cluster &cluster, const std::string &stem, const std::function<bool(size_t)> &isAccepted) -> std::string
{
    for (int i = 0; i < 200; ++i) {
        std::string key = stem + "-" + std::to_string(i);
        const auto owner = cluster.claimOwnerOf("studio", key);
        if (owner && isAccepted(*owner)) {
            return key;
        }
    }
    CPPUNIT_FAIL("no idempotency key with a matching claim owner was found");
    return {};
}

/// Checks a reply to a retry of a key that has run: it must be the recorded response or a refusal that does not claim that
/// the request has not run. A connection error (status 0) is allowed.
void assertRunNotDenied(const Reply &reply)
{
    if (reply.status != 200 && reply.status != 0) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(reply.body, std::string("unknown"), textOf(reply, "run"));
    }
}

/// Retries a booking at all running nodes until `limit` has passed. No node may run it again or claim that it has not run.
void retryAtAllNodes(const Cluster &cluster, const std::string &key, Duration limit)
{
    const TimePoint end = BootClock::now() + limit;
    int attempt = 1;
    while (BootClock::now() < end) {
        ++attempt;
        for (size_t node = 0; node < cluster.nodes.size(); ++node) {
            if (cluster.nodes[node].pid > 0) {
                assertRunNotDenied(cluster.book(node, key, attempt));
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

/// Makes bookings while node processes are killed. Guards I9 (a booking runs at most once) and I8 (a refusal with not-run
/// is true for every attempt of the idempotency key).
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
        section("a retry at any node gets the recorded response", [&] {
            const Reply first = cluster.bookUntilAnswered(0, "repeat");
            for (size_t node = 0; node < cluster.nodes.size(); ++node) {
                eventually("the outcome has reached the claim owner", seconds(5), [&] {
                    const Reply again = cluster.book(node, "repeat", 2);
                    assertRunNotDenied(again);
                    return again.status == 200 && again.body == first.body;
                });
            }
            CPPUNIT_ASSERT_EQUAL(1, cluster.runs("repeat"));
        });
        section("no second run if the claim owner is killed between two attempts", [&] {
            // The target's node keeps running, so that a second run would be possible.
            const std::string key = keyOwnedBy(cluster, "owner", [](size_t owner) {
                return owner != 0;
            });
            const auto owner = cluster.claimOwnerOf("studio", key);
            cluster.bookUntilAnswered(0, key);
            cluster.killNode(*owner);
            retryAtAllNodes(cluster, key, seconds(8));
        });
    }

    void testEntryNodeDiesDuringTheRun()
    {
        Cluster cluster(3, 1, {{"catalogue", 0}, {"bookings", 0}});
        const std::string key = keyOwnedBy(cluster, "entry", [](size_t owner) {
            return owner != 1;
        });
        cluster.setServiceTime(1, 1500);
        Reply reply;
        std::thread caller([&] {
            reply = cluster.book(1, key);
        });
        awaitRun(cluster, key);
        cluster.killNode(1);
        caller.join();
        CPPUNIT_ASSERT_EQUAL_MESSAGE("the caller's connection is lost", 0, reply.status);
        retryAtAllNodes(cluster, key, seconds(5));
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
        assertRunNotDenied(reply);
        CPPUNIT_ASSERT_MESSAGE("no complete response can have arrived", reply.status != 200);
        retryAtAllNodes(cluster, key, seconds(5));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClaimProcessTest);

} // namespace snipestream::testing
