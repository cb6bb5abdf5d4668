#include "tests/node/cluster.h"
#include "tests/support/section.h"

#include <thread>

#include <cppunit/extensions/HelperMacros.h>

namespace snipestream::testing
{

namespace
{

const RequestedBy kAsked{"test", "process test"};

} // namespace

/// The log is down or its answers are lost. Guards I9 and I12, and the promise of section 12 that requests, claims and
/// quota go on during an outage.
class LogOutageProcessTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LogOutageProcessTest);
    CPPUNIT_TEST(testOutageAndLostAnswers);
    CPPUNIT_TEST_SUITE_END();

public:
    void testOutageAndLostAnswers()
    {
        Cluster cluster(3, 1, {{"catalogue", 0}, {"bookings", 1}});
        section("append answers are lost: a change counts once and a claim allows one run", [&] {
            loseAnswers(cluster);
        });
        std::vector<Reply> answers;
        section("the log is down: lookups, bookings and quota go on", [&] {
            cluster.setLogFaults({{"down", true}});
            // Longer than the lease parameters F and W together.
            const TimePoint end = BootClock::now() + seconds(6);
            for (int i = 0; BootClock::now() < end; ++i) {
                const size_t node = static_cast<size_t>(i) % cluster.nodes.size();
                const Reply lookup = cluster.lookUp(node);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(lookup.body, 200, lookup.status);
                answers.push_back(cluster.bookUntilAnswered(node, keyOf(answers.size()), seconds(10)));
                std::this_thread::sleep_for(milliseconds(100));
            }
        });
        section("the log is up again: repeats get the first answers and changes are taken", [&] {
            cluster.setLogFaults(nlohmann::json::object());
            for (size_t i = 0; i < answers.size(); ++i) {
                const Reply again = cluster.bookUntilAnswered((i + 1) % cluster.nodes.size(), keyOf(i), seconds(10));
                CPPUNIT_ASSERT_EQUAL(answers[i].body, again.body);
                CPPUNIT_ASSERT_EQUAL(1, cluster.runs(keyOf(i)));
            }
            const ChangeRecord change = cluster.publish({TeamRule{TeamName("after"), 1, 1, kAsked}});
            cluster.awaitRevision(change.baseRevision + 1);
        });
    }

private:
    static auto keyOf(size_t index) -> std::string
    {
        return "outage-" + std::to_string(index);
    }

    static void loseAnswers(Cluster &cluster)
    {
        const auto base = cluster.status(0)["revision"].get<uint64_t>();
        ChangeRecord change;
        change.id = newChangeId();
        change.by = "test";
        change.baseRevision = base;
        change.upserts = {TeamRule{TeamName("twice"), 1, 1, kAsked}};
        // Nodes append records of their own, such as snapshots, so every answer is lost until this append has lost its.
        cluster.setLogFaults({{"loseAnswers", 1000}});
        const auto lost = cluster.appendToLog(encodeChange(change));
        CPPUNIT_ASSERT_MESSAGE("the answer is lost", !lost.has_value());
        cluster.setLogFaults(nlohmann::json::object());
        CPPUNIT_ASSERT(cluster.appendToLog(encodeChange(change)).has_value());
        const ChangeRecord marker = cluster.publish({TeamRule{TeamName("marker"), 1, 1, kAsked}}, {}, base);
        eventually("the marker is in the audit trail of every node", seconds(7), [&] {
            for (size_t i = 0; i < cluster.nodes.size(); ++i) {
                if (cluster.audit(i).dump().find(marker.id) == std::string::npos) {
                    return false;
                }
            }
            return true;
        });
        for (size_t i = 0; i < cluster.nodes.size(); ++i) {
            CPPUNIT_ASSERT_EQUAL(base + 2, cluster.status(i)["revision"].get<uint64_t>());
        }
        for (size_t node = 0; node < cluster.nodes.size(); ++node) {
            const std::string key = "lost-" + std::to_string(node);
            cluster.setLogFaults({{"loseAnswers", 2}});
            const Reply first = cluster.bookUntilAnswered(node, key);
            CPPUNIT_ASSERT_EQUAL(first.body, cluster.bookUntilAnswered(0, key).body);
            CPPUNIT_ASSERT_EQUAL(1, cluster.runs(key));
        }
        cluster.setLogFaults(nlohmann::json::object());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogOutageProcessTest);

} // namespace snipestream::testing
