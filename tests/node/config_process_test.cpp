#include "tests/node/cluster.h"
#include "tests/support/section.h"

#include <algorithm>
#include <memory>
#include <thread>

#include <cppunit/extensions/HelperMacros.h>

namespace snipestream::testing
{

namespace
{

const RequestedBy kRequestedBy{"test", "process test"};

/// Returns "offset change id verdict revision" of every audit entry of a node.
auto verdictsAt(const Cluster &cluster, size_t node) -> std::vector<std::string>
{
    std::vector<std::string> lines;
    const nlohmann::json audit = cluster.audit(node);
    for (const auto &entry : audit.value("entries", nlohmann::json::array())) {
        lines.push_back(entry["offset"].dump() + " " + entry["change"].get<std::string>() + " " + entry["verdict"].get<std::string>() + " "
                        + entry["revision"].dump());
    }
    return lines;
}

} // namespace

/// Changes the configuration while callers are connected. Guards against a withdrawn key that still works after 7 s, in
/// particular on open connections, and against a change that is not in force at every node within 7 s or gets different
/// verdicts at different nodes.
class ConfigProcessTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConfigProcessTest);
    CPPUNIT_TEST(testWithdrawnKeyAndRacingChanges);
    CPPUNIT_TEST_SUITE_END();

public:
    void testWithdrawnKeyAndRacingChanges()
    {
        Cluster cluster(6, 2, {{"catalogue", 0}});
        const std::string key = cluster.addTeam("visitor", 100'000, 100'000);
        section("a withdrawn key is refused on open connections at every node within 7 s", [&] {
            withdraw(cluster, key);
        });
        section("of two concurrent changes every node applies the one that is first on the log", [&] {
            publishConcurrently(cluster);
        });
    }

private:
    static void withdraw(Cluster &cluster, const std::string &key)
    {
        const CallerRequest request{"GET", "/stock/7", {{"Authorization", key}}, ""};
        std::vector<std::unique_ptr<HttpCaller>> callers;
        for (const auto &node : cluster.nodes) {
            callers.push_back(std::make_unique<HttpCaller>(node.callerPort));
            CPPUNIT_ASSERT_EQUAL(200, callers.back()->send(request).status);
            CPPUNIT_ASSERT(callers.back()->isOpen());
        }
        const TimePoint published = BootClock::now();
        cluster.publish({}, {"key visitor-key"});
        std::vector<bool> refused(callers.size(), false);
        while (std::count(refused.begin(), refused.end(), true) < static_cast<std::ptrdiff_t>(callers.size())) {
            for (size_t i = 0; i < callers.size(); ++i) {
                const TimePoint sent = BootClock::now();
                const Reply reply = callers[i]->send(request);
                CPPUNIT_ASSERT_MESSAGE(reply.error, reply.status != 0);
                if (reply.status == 200) {
                    CPPUNIT_ASSERT_MESSAGE("a node that refused the key accepts it again", !refused[i]);
                    CPPUNIT_ASSERT_MESSAGE("the key still works at " + cluster.nodes[i].name, sent - published < seconds(7));
                    continue;
                }
                CPPUNIT_ASSERT_EQUAL(401, reply.status);
                CPPUNIT_ASSERT_EQUAL(std::string("withdrawn-key"), textOf(reply, "reason"));
                refused[i] = true;
            }
            std::this_thread::sleep_for(milliseconds(10));
        }
    }

    static void publishConcurrently(Cluster &cluster)
    {
        const auto base = cluster.status(0)["revision"].get<uint64_t>();
        cluster.awaitRevision(base);
        const TimePoint start = BootClock::now();
        std::thread other([&] {
            cluster.publish({TeamRule{TeamName("visitor"), 7, 7, kRequestedBy}}, {}, base);
        });
        cluster.publish({TeamRule{TeamName("visitor"), 9, 9, kRequestedBy}}, {}, base);
        other.join();
        cluster.publish({TeamRule{TeamName("later"), 1, 1, kRequestedBy}}, {}, base);
        cluster.awaitRevision(base + 2, seconds(7) - (BootClock::now() - start));
        const auto expected = verdictsAt(cluster, 0);
        int rejected = 0;
        for (const auto &line : expected) {
            rejected += line.find(" applied ") == std::string::npos ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(1, rejected);
        for (size_t i = 0; i < cluster.nodes.size(); ++i) {
            CPPUNIT_ASSERT(expected == verdictsAt(cluster, i));
            CPPUNIT_ASSERT_EQUAL(base + 2, cluster.status(i)["revision"].get<uint64_t>());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigProcessTest);

} // namespace snipestream::testing
