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

constexpr uint64_t kRate = 50;
constexpr uint64_t kBurst = 20;

/// One admitted request; its token was spent between the two times.
struct Admitted {
    TimePoint sent;
    TimePoint answered;
};

/// Returns a description of the first time window in which more than rate x time + burst requests were admitted; empty
/// if there is none.
auto findExcess(const std::vector<Admitted> &admitted) -> std::string
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
            if (static_cast<double>(i + 1) > static_cast<double>(kRate) * time + static_cast<double>(kBurst)) {
                return std::to_string(i + 1) + " admitted within " + std::to_string(time) + " s";
            }
        }
    }
    return {};
}

} // namespace

/// A team that sends far more than its rate. Guards I6: no team gets more than rate x time + burst over all nodes, also
/// when the holder of its tokens is paused past its lease and goes on with an old state.
class RateProcessTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RateProcessTest);
    CPPUNIT_TEST(testRateHoldsAcrossAPausedHolder);
    CPPUNIT_TEST_SUITE_END();

public:
    void testRateHoldsAcrossAPausedHolder()
    {
        Cluster cluster(4, 1, {{"catalogue", 0, 0, 150}});
        const std::string key = cluster.addTeam("eager", kRate, kBurst);
        const auto holder = cluster.holderOf("d0", rangeOf("eager"));
        CPPUNIT_ASSERT(holder.has_value());
        std::mutex mutex;
        std::vector<Admitted> admitted;
        std::vector<std::string> odd;
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
                    odd.push_back(std::to_string(reply.status) + reply.body);
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
        CPPUNIT_ASSERT_EQUAL(std::string(), odd.empty() ? std::string() : odd.front());
        // Without this the check above would also pass if nothing were admitted.
        CPPUNIT_ASSERT(admitted.size() > kBurst);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RateProcessTest);

} // namespace snipestream::testing
