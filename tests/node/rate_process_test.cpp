#include "core/hash.h"
#include "tests/node/cluster.h"
#include "tests/support/section.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <mutex>
#include <thread>

#include <cppunit/extensions/HelperMacros.h>

namespace snipestream::testing
{

namespace
{

constexpr uint64_t kRatePerSecond = 50;
constexpr uint64_t kBurst = 20;

/// An admitted request. Its token was spent between the two times.
struct AdmittedRequest {
    TimePoint sent;
    TimePoint answered;
};

/// Returns a description of a time window in which more than rate x time + burst requests were admitted, or an empty
/// string if there is none.
auto findExcess(const std::vector<AdmittedRequest> &admitted) -> std::string
{
    for (const auto &first : admitted) {
        std::vector<TimePoint> ends;
        for (const auto &request : admitted) {
            if (request.sent >= first.sent) {
                ends.push_back(request.answered);
            }
        }
        std::sort(ends.begin(), ends.end());
        for (size_t i = 0; i < ends.size(); ++i) {
            const double time = std::chrono::duration<double>(ends[i] - first.sent).count();
            if (static_cast<double>(i + 1) > static_cast<double>(kRatePerSecond) * time + static_cast<double>(kBurst)) {
                return std::to_string(i + 1) + " admitted within " + std::to_string(time) + " s";
            }
        }
    }
    return {};
}

} // namespace

/// Sends far more requests of one team than its rate allows. Guards I6: no team gets more than rate x time + burst over
/// all nodes, even if the holder of its tokens is paused for longer than its lease and resumes with an outdated state.
class RateProcessTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RateProcessTest);
    CPPUNIT_TEST(testRateHoldsAcrossAPausedHolder);
    CPPUNIT_TEST_SUITE_END();

public:
    void testRateHoldsAcrossAPausedHolder()
    {
        Cluster cluster(4, 1, {{"catalogue", 0, 0, 150}});
        const std::string key = cluster.addTeam("eager", kRatePerSecond, kBurst);
        const auto holder = cluster.holderOf("d0", rangeOf("eager"));
        CPPUNIT_ASSERT(holder.has_value());
        std::mutex mutex;
        std::vector<AdmittedRequest> admitted;
        std::vector<std::string> unexpectedReplies;
        std::atomic<bool> isEnding{false};
        const auto send = [&](size_t node) {
            HttpCaller caller(cluster.nodes[node].callerPort);
            const CallerRequest request{"GET", "/stock/7", {{"Authorization", key}}, ""};
            while (!isEnding) {
                const TimePoint sent = BootClock::now();
                const Reply reply = caller.send(request, seconds(6));
                const std::lock_guard<std::mutex> lock(mutex);
                if (reply.status == 200) {
                    admitted.push_back({sent, BootClock::now()});
                } else if (reply.status != 429 && reply.status != 503 && reply.status != 0) {
                    unexpectedReplies.push_back(std::to_string(reply.status) + reply.body);
                }
            }
        };
        std::vector<std::thread> threads;
        for (size_t i = 0; i < 2 * cluster.nodes.size(); ++i) {
            threads.emplace_back(send, i % cluster.nodes.size());
        }
        std::this_thread::sleep_for(seconds(2));
        cluster.signalNode(*holder, SIGSTOP);
        std::this_thread::sleep_for(seconds(4));
        cluster.signalNode(*holder, SIGCONT);
        std::this_thread::sleep_for(seconds(2));
        isEnding = true;
        for (auto &thread : threads) {
            thread.join();
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), findExcess(admitted));
        CPPUNIT_ASSERT_EQUAL(std::string(), unexpectedReplies.empty() ? std::string() : unexpectedReplies.front());
        // The check of the rate would also pass if nothing were admitted.
        CPPUNIT_ASSERT(admitted.size() > kBurst);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RateProcessTest);

} // namespace snipestream::testing
