#include "net/fiber_runtime.h"

#include "net/await.h"
#include "tests/support/section.h"

#include <ctime>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

namespace snipestream
{

using testing::section;

namespace
{

auto threadCpuTime() -> Duration
{
    timespec value{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &value);
    return seconds(value.tv_sec) + Duration(value.tv_nsec);
}

} // namespace

/// Guards against a main loop that loses wake-ups, starves handlers, or uses CPU time while every fiber waits.
class FiberRuntimeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FiberRuntimeTest);
    CPPUNIT_TEST(testFibersAndHandlers);
    CPPUNIT_TEST(testIdleCostsNoProcessorTime);
    CPPUNIT_TEST(testTimeout);
    CPPUNIT_TEST_SUITE_END();

public:
    void testFibersAndHandlers()
    {
        FiberRuntime runtime;
        int steps = 0;
        runtime.runToEnd([&] {
            section("a notification before the wait is kept", [&] {
                FiberEvent event;
                event.notify();
                event.wait();
                ++steps;
            });
            section("a handler wakes a fiber", [&] {
                FiberEvent event;
                boost::asio::post(runtime.context(), [&] {
                    event.notify();
                });
                event.wait();
                ++steps;
            });
            section("many fibers sleep at once", [&] {
                for (int i = 0; i < 500; ++i) {
                    runtime.spawn([&] {
                        runtime.sleepFor(milliseconds(5));
                        ++steps;
                    });
                }
            });
        });
        CPPUNIT_ASSERT_EQUAL(502, steps);
        CPPUNIT_ASSERT_EQUAL(size_t{0}, runtime.fiberCount());
    }

    void testIdleCostsNoProcessorTime()
    {
        FiberRuntime runtime;
        const Duration before = threadCpuTime();
        runtime.runToEnd([&] {
            runtime.sleepFor(milliseconds(100));
        });
        CPPUNIT_ASSERT(threadCpuTime() - before < milliseconds(50));
    }

    void testTimeout()
    {
        FiberRuntime runtime;
        runtime.runToEnd([&] {
            boost::asio::ip::tcp::acceptor acceptor(runtime.context(), {boost::asio::ip::make_address("127.0.0.1"), 0});
            boost::asio::ip::tcp::socket socket(runtime.context());
            const IoResult result = awaitIoFor(
                runtime.context(), milliseconds(5),
                [&](auto handler) {
                    acceptor.async_accept(socket, handler);
                },
                [&] {
                    acceptor.cancel();
                });
            CPPUNIT_ASSERT(result.error == boost::asio::error::timed_out);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FiberRuntimeTest);

} // namespace snipestream
