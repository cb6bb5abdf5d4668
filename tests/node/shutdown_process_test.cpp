#include "tests/node/cluster.h"
#include "tests/support/section.h"

#include <atomic>
#include <map>
#include <mutex>
#include <thread>

#include <cppunit/extensions/HelperMacros.h>

namespace snipestream::testing
{

namespace
{

/// Callers that send requests continuously. Each node has one caller that sends lookups and optionally one that sends
/// bookings, each with a new idempotency key. If a node refuses connections, its callers use the next one.
class BackgroundLoad
{
public:
    BackgroundLoad(const Cluster &cluster, bool sendsBookings)
        : cluster_(cluster)
    {
        for (size_t i = 0; i < cluster.nodes.size(); ++i) {
            threads_.emplace_back([this, i] {
                run(i, false);
            });
            if (sendsBookings) {
                threads_.emplace_back([this, i] {
                    run(i, true);
                });
            }
        }
    }
    ~BackgroundLoad()
    {
        stop();
    }
    BackgroundLoad(const BackgroundLoad &) = delete;
    auto operator=(const BackgroundLoad &) -> BackgroundLoad & = delete;

    void stop()
    {
        isEnding_ = true;
        for (auto &thread : threads_) {
            thread.join();
        }
        threads_.clear();
    }

    /// Returns the number of requests that were answered with status 200.
    auto answered() const -> int
    {
        return answered_;
    }

    /// Returns the requests that were interrupted, or refused for other reasons than a lack of tokens.
    auto failures() -> std::vector<std::string>
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return failures_;
    }

private:
    auto nextRequest(size_t firstNode, bool sendsBookings) -> CallerRequest
    {
        if (!sendsBookings) {
            return {"GET", "/stock/7", {{"Authorization", cluster_.studio}}, ""};
        }
        const std::string key = "load-" + std::to_string(firstNode) + "-" + std::to_string(++bookings_);
        return {"POST", "/bookings", {{"Authorization", cluster_.studio}, {"Idempotency-Key", key}}, "chair"};
    }

    void run(size_t firstNode, bool sendsBookings)
    {
        while (!isEnding_) {
            for (size_t i = 0; i < cluster_.nodes.size() && !isEnding_; ++i) {
                const size_t node = (firstNode + i) % cluster_.nodes.size();
                HttpCaller caller(cluster_.nodes[node].callerPort);
                Reply reply = caller.send(nextRequest(firstNode, sendsBookings));
                // Uses the same connection until the node announces that it will close it.
                while (recordReply(reply, node) && !reply.closes && !isEnding_) {
                    reply = caller.send(nextRequest(firstNode, sendsBookings));
                }
                if (!reply.isRefusedConnection) {
                    break;
                }
            }
        }
    }

    auto recordReply(const Reply &reply, size_t node) -> bool
    {
        if (reply.isRefusedConnection) {
            return false;
        }
        if (reply.status == 200) {
            ++answered_;
            return true;
        }
        // A new quota holder starts without tokens, so status 429 is allowed after a handover; the request was neither
        // interrupted nor answered with a 5xx status.
        if (reply.status == 429) {
            return true;
        }
        const std::lock_guard<std::mutex> lock(mutex_);
        failures_.push_back("node " + std::to_string(node) + ": " + std::to_string(reply.status) + " " + reply.error + reply.body);
        return reply.status != 0;
    }

    const Cluster &cluster_;
    std::vector<std::thread> threads_;
    std::atomic<bool> isEnding_{false};
    std::atomic<int> answered_{0};
    std::atomic<int> bookings_{0};
    std::mutex mutex_;
    std::vector<std::string> failures_;
};

/// Returns how often each kind of failure occurred, with one example.
auto describe(const std::vector<std::string> &failures) -> std::string
{
    std::map<std::string, std::pair<int, std::string>> kinds;
    for (const auto &message : failures) {
        const size_t reason = message.find("\"reason\"");
        const std::string kind = reason == std::string::npos ? message : message.substr(reason, message.find(',', reason) - reason);
        kinds[kind] = {kinds[kind].first + 1, message};
    }
    std::string text;
    for (const auto &[kind, example] : kinds) {
        text += "\n" + std::to_string(example.first) + " times " + example.second;
    }
    return text;
}

void assertNoFailures(BackgroundLoad &load)
{
    const auto failures = load.failures();
    CPPUNIT_ASSERT_MESSAGE(std::to_string(failures.size()) + " requests failed beside " + std::to_string(load.answered()) + ", by kind:" + describe(failures),
                           failures.empty());
    CPPUNIT_ASSERT(load.answered() > 0);
}

auto announcementOf(const TargetProcess &target, const std::string &state) -> std::string
{
    return nlohmann::json{{"target", target.name},  {"service", target.plan.service},
                          {"address", "127.0.0.1"}, {"port", target.port},
                          {"instance", 1},          {"slots", 50},
                          {"connections", 100},     {"state", state}}
        .dump();
}

} // namespace

/// Planned stops of nodes and targets. Guards against a draining target that still gets new requests after 3 s, and
/// against a graceful stop of a node that interrupts requests.
class ShutdownProcessTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ShutdownProcessTest);
    CPPUNIT_TEST(testRollingReplacement);
    CPPUNIT_TEST(testDrainingTargetGetsNoNewWork);
    CPPUNIT_TEST_SUITE_END();

public:
    void testRollingReplacement()
    {
        std::vector<TargetPlan> plans;
        for (size_t i = 0; i < 4; ++i) {
            plans.push_back({"catalogue", i, 10});
            plans.push_back({"bookings", i, 10});
        }
        Cluster cluster(4, 1, plans);
        BackgroundLoad load(cluster, true);
        for (size_t i = 0; i < cluster.nodes.size(); ++i) {
            section("node " + std::to_string(i) + " is stopped and started again", [&] {
                CPPUNIT_ASSERT_EQUAL(0, cluster.stopNode(i));
                assertNoFailures(load);
                cluster.startNode(i);
                eventually("the node and its target are back", seconds(15), [&] {
                    const auto seen = cluster.status(i);
                    return seen.contains("targets") && seen["targets"].size() == 2 && cluster.lookUp(i).status == 200;
                });
            });
        }
        load.stop();
        assertNoFailures(load);
    }

    void testDrainingTargetGetsNoNewWork()
    {
        Cluster cluster(2, 1, {{"catalogue", 1, 5}, {"catalogue", 0, 5, 50, false}});
        const TargetProcess &drainingTarget = cluster.targets[1];
        std::atomic<bool> isEnding{false};
        std::atomic<bool> isDraining{false};
        std::thread renewal([&] {
            while (!isEnding) {
                sendOnce(cluster.nodes[0].targetPort,
                         {"POST", "/snipestream/v1/targets", {}, announcementOf(drainingTarget, isDraining ? "draining" : "active")});
                std::this_thread::sleep_for(milliseconds(500));
            }
        });
        BackgroundLoad load(cluster, false);
        try {
            eventually("the target gets work", seconds(10), [&] {
                return cluster.totalAt(1) > 20;
            });
            const TimePoint drained = BootClock::now();
            isDraining = true;
            std::this_thread::sleep_for(seconds(3) - (BootClock::now() - drained));
            const uint64_t before = cluster.totalAt(1);
            const int answered = load.answered();
            std::this_thread::sleep_for(seconds(2));
            CPPUNIT_ASSERT_EQUAL(before, cluster.totalAt(1));
            CPPUNIT_ASSERT(load.answered() > answered);
            assertNoFailures(load);
        } catch (...) {
            isEnding = true;
            renewal.join();
            throw;
        }
        isEnding = true;
        renewal.join();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ShutdownProcessTest);

} // namespace snipestream::testing
