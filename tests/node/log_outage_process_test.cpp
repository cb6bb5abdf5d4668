#include "tests/node/cluster.h"
#include "tests/support/section.h"

#include <thread>

#include <cppunit/extensions/HelperMacros.h>

namespace snipestream::testing
{

namespace
{

const RequestedBy kRequestedBy{"test", "process test"};

} // namespace

/// The log is down, or its responses are lost. Guards against requests, claims or quota that stop during an outage of
/// the log, against a request with an idempotency key that runs twice, and against a change that is applied twice or
/// gets different verdicts at different nodes.
class LogOutageProcessTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LogOutageProcessTest);
    CPPUNIT_TEST(testOutageAndLostAnswers);
    CPPUNIT_TEST_SUITE_END();

public:
    void testOutageAndLostAnswers()
    {
        Cluster cluster(3, 1, {{"catalogue", 0}, {"bookings", 1}});
        section("responses to appends are lost: a change is applied once and a claim allows one run", [&] {
            loseAnswers(cluster);
        });
        std::vector<Reply> responses;
        section("the log is down: lookups, bookings and quota continue to work", [&] {
            cluster.setLogFaults({{"down", true}});
            // Longer than LeaseParams::confirmationLifetime and vouchDelay together.
            const TimePoint end = BootClock::now() + seconds(6);
            for (int i = 0; BootClock::now() < end; ++i) {
                const size_t node = static_cast<size_t>(i) % cluster.nodes.size();
                const Reply lookup = cluster.lookUp(node);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(lookup.body, 200, lookup.status);
                responses.push_back(cluster.bookUntilAnswered(node, keyOf(responses.size()), seconds(10)));
                std::this_thread::sleep_for(milliseconds(100));
            }
        });
        section("the log is up again: retries get the first response and changes are applied", [&] {
            cluster.setLogFaults(nlohmann::json::object());
            for (size_t i = 0; i < responses.size(); ++i) {
                const Reply again = cluster.bookUntilAnswered((i + 1) % cluster.nodes.size(), keyOf(i), seconds(10));
                CPPUNIT_ASSERT_EQUAL(responses[i].body, again.body);
                CPPUNIT_ASSERT_EQUAL(1, cluster.runs(keyOf(i)));
            }
            const ChangeRecord change = cluster.publish({TeamRule{TeamName("after"), 1, 1, kRequestedBy}});
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
        change.upserts = {TeamRule{TeamName("twice"), 1, 1, kRequestedBy}};
        // Nodes also append records, such as snapshots, so the log drops all responses until that to this append is
        // lost.
        cluster.setLogFaults({{"loseAnswers", 1000}});
        const auto appendResult = cluster.appendToLog(encodeChange(change));
        CPPUNIT_ASSERT_MESSAGE("the response to the append is lost", !appendResult.has_value());
        cluster.setLogFaults(nlohmann::json::object());
        CPPUNIT_ASSERT(cluster.appendToLog(encodeChange(change)).has_value());
        const ChangeRecord marker = cluster.publish({TeamRule{TeamName("marker"), 1, 1, kRequestedBy}}, {}, base);
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
