#include "http/message_server.h"
#include "http/request_pipeline.h"

#include "tests/support/loopback.h"
#include "tests/support/section.h"

#include <algorithm>
#include <map>
#include <memory>
#include <vector>

namespace snipestream
{

using testing::section;

namespace
{

auto get(const std::string &target, const std::string &fields = {}) -> std::string
{
    return "GET " + target + " HTTP/1.1\r\nHost: studio\r\n" + fields + "\r\n";
}

auto post(const std::string &target, const std::string &body) -> std::string
{
    return "POST " + target + " HTTP/1.1\r\nHost: studio\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

constexpr const char *kClose = "Connection: close\r\n";

/// A server whose GET requests run concurrently. The number in the path, as in /250, is the time in ms that a request takes;
/// /drop gets no response. The body of each response is the path of its request.
struct PipelineServer {
    explicit PipelineServer(FiberRuntime &fiberRuntime, PipelineLimits limits = PipelineLimits())
        : runtime(fiberRuntime)
    {
        MessageServerOptions options;
        options.name = "test";
        options.listen = {"127.0.0.1", 0};
        options.headTimeout = milliseconds(400);
        options.pipeline = limits;
        options.mayRunConcurrently = [](const RequestMessage &request) {
            return request.method == "GET";
        };
        server = std::make_unique<MessageServer>(runtime, options, [this](RequestMessage &request, CancelSignal &cancel) {
            return handle(request, cancel);
        });
        port = server->listen().value();
    }

    ~PipelineServer()
    {
        server->closeIdle();
        runtime.sleepFor(milliseconds(50));
    }

    auto handle(const RequestMessage &request, CancelSignal &cancel) -> std::optional<ResponseMessage>
    {
        started.push_back(request.target);
        maxRunning = std::max(maxRunning, ++running);
        const TimePoint end = BootClock::now() + milliseconds(std::atoi(request.target.c_str() + 1));
        while (BootClock::now() < end && !cancel.isCancelled()) {
            runtime.sleepFor(milliseconds(5));
        }
        --running;
        if (cancel.isCancelled()) {
            cancelled.push_back(request.target);
            return std::nullopt;
        }
        if (request.target == "/drop") {
            return std::nullopt;
        }
        ResponseMessage response;
        response.body = "[" + request.target + "]";
        return response;
    }

    auto exchangeBytes(const std::string &bytes) -> std::string
    {
        testing::RawClient client(runtime, port);
        client.send(bytes);
        return client.readAll();
    }

    FiberRuntime &runtime;
    std::unique_ptr<MessageServer> server;
    uint16_t port = 0;
    std::vector<std::string> started;
    std::vector<std::string> cancelled;
    int running = 0;
    int maxRunning = 0;
};

/// Returns the bodies of the responses in the order of their arrival, such as "/250 /1".
auto bodiesOf(const std::string &bytes) -> std::string
{
    std::string bodies;
    for (size_t at = bytes.find('['); at != std::string::npos; at = bytes.find('[', at + 1)) {
        bodies.append(bodies.empty() ? "" : " ").append(bytes.substr(at + 1, bytes.find(']', at) - at - 1));
    }
    return bodies;
}

void withServer(const std::function<void(PipelineServer &)> &body, PipelineLimits limits = PipelineLimits())
{
    FiberRuntime runtime;
    runtime.runToEnd([&] {
        PipelineServer server(runtime, limits);
        body(server);
    });
}

} // namespace

/// Guards against responses that are sent in another order than their requests, and against a request that must not run
/// beside others doing so.
class RequestPipelineTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RequestPipelineTest);
    CPPUNIT_TEST(testOrder);
    CPPUNIT_TEST(testExclusiveRequest);
    CPPUNIT_TEST(testLimits);
    CPPUNIT_TEST_SUITE_END();

public:
    void testOrder()
    {
        RequestPipeline pipeline;
        const auto first = addRequest(pipeline, 0, true);
        const auto second = addRequest(pipeline, 0, true);
        section("concurrent requests start together", [&] {
            CPPUNIT_ASSERT(startRequests(pipeline) == std::vector<PipelinedRequestId>({first, second}));
            CPPUNIT_ASSERT(startRequests(pipeline).empty());
        });
        section("a response that is complete early waits for those before it", [&] {
            finishRequest(pipeline, second, 10);
            CPPUNIT_ASSERT(!takeFinished(pipeline));
            finishRequest(pipeline, first, 10);
            CPPUNIT_ASSERT(takeFinished(pipeline) == first);
            CPPUNIT_ASSERT(takeFinished(pipeline) == second);
        });
    }

    void testExclusiveRequest()
    {
        RequestPipeline pipeline;
        const auto read = addRequest(pipeline, 0, true);
        const auto write = addRequest(pipeline, 0, false);
        section("a request that is not idempotent waits until it is the first, and nothing behind it is read", [&] {
            CPPUNIT_ASSERT(startRequests(pipeline) == std::vector<PipelinedRequestId>({read}));
            CPPUNIT_ASSERT(!mayReadRequest(pipeline));
            finishRequest(pipeline, read, 0);
            CPPUNIT_ASSERT(takeFinished(pipeline) == read);
            CPPUNIT_ASSERT(startRequests(pipeline) == std::vector<PipelinedRequestId>({write}));
            CPPUNIT_ASSERT(!mayReadRequest(pipeline));
        });
        section("requests that have not started can be dropped, running ones stay", [&] {
            CPPUNIT_ASSERT(dropWaiting(pipeline).empty());
            finishRequest(pipeline, write, 0);
            takeFinished(pipeline);
            addRequest(pipeline, 0, true);
            startRequests(pipeline);
            const auto waiting = addRequest(pipeline, 0, false);
            CPPUNIT_ASSERT(dropWaiting(pipeline) == std::vector<PipelinedRequestId>({waiting}));
            CPPUNIT_ASSERT_EQUAL(size_t{1}, pipeline.requests.size());
        });
    }

    void testLimits()
    {
        RequestPipeline pipeline;
        pipeline.limits = {2, 100};
        section("no more requests than allowed are read", [&] {
            const auto first = addRequest(pipeline, 10, true);
            CPPUNIT_ASSERT(mayReadRequest(pipeline));
            addRequest(pipeline, 10, true);
            CPPUNIT_ASSERT(!mayReadRequest(pipeline));
            finishRequest(pipeline, first, 0);
            takeFinished(pipeline);
            CPPUNIT_ASSERT(mayReadRequest(pipeline));
        });
        section("large responses that wait for earlier ones hold back further requests", [&] {
            pipeline.limits.maxRequests = 10;
            const auto last = addRequest(pipeline, 10, true);
            finishRequest(pipeline, last, 1000);
            CPPUNIT_ASSERT(!mayReadRequest(pipeline));
        });
    }
};

/// Guards against pipelined requests that wait for a slow one in front of them, get another request's response, run beside a
/// request that must run alone, or are cut off when the connection closes.
class PipelinedConnectionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PipelinedConnectionTest);
    CPPUNIT_TEST(testConcurrentRequests);
    CPPUNIT_TEST(testExclusiveRequests);
    CPPUNIT_TEST(testLimits);
    CPPUNIT_TEST(testPlannedClose);
    CPPUNIT_TEST(testCallerLeaves);
    CPPUNIT_TEST(testInvalidRequests);
    CPPUNIT_TEST_SUITE_END();

public:
    void testConcurrentRequests()
    {
        withServer([](PipelineServer &server) {
            section("a slow first request holds up the responses but not the runs behind it", [&] {
                const TimePoint start = BootClock::now();
                CPPUNIT_ASSERT_EQUAL(std::string("/300 /200 /100"), bodiesOf(server.exchangeBytes(get("/300") + get("/200") + get("/100", kClose))));
                CPPUNIT_ASSERT(BootClock::now() - start < milliseconds(500));
                CPPUNIT_ASSERT_EQUAL(3, server.maxRunning);
                CPPUNIT_ASSERT_EQUAL(uint64_t{2}, server.server->pipelineCounts().pipelined);
            });
            section("requests that arrive in pieces while an earlier one runs are read", [&] {
                testing::RawClient client(server.runtime, server.port);
                client.send(get("/200") + "GET /1 HT");
                server.runtime.sleepFor(milliseconds(50));
                client.send("TP/1.1\r\nHost: studio\r\nConnection: close\r\n\r\n");
                CPPUNIT_ASSERT_EQUAL(std::string("/200 /1"), bodiesOf(client.readAll()));
            });
            section("without a response of the handler the connection closes, and the requests behind are cancelled", [&] {
                server.cancelled.clear();
                CPPUNIT_ASSERT_EQUAL(std::string("/1"), bodiesOf(server.exchangeBytes(get("/1") + get("/drop") + get("/900"))));
                server.runtime.sleepFor(milliseconds(50));
                CPPUNIT_ASSERT(server.cancelled == std::vector<std::string>({"/900"}));
            });
        });
    }

    void testExclusiveRequests()
    {
        withServer([](PipelineServer &server) {
            section("a request that is not idempotent runs alone, in its place", [&] {
                const std::string bytes = server.exchangeBytes(get("/100") + post("/80", "b") + get("/60", kClose));
                CPPUNIT_ASSERT_EQUAL(std::string("/100 /80 /60"), bodiesOf(bytes));
                CPPUNIT_ASSERT_EQUAL(1, server.maxRunning);
            });
            section("it is not run when the response before it closes the connection", [&] {
                server.started.clear();
                CPPUNIT_ASSERT_EQUAL(std::string("/50"), bodiesOf(server.exchangeBytes(get("/50", kClose) + post("/10", "b"))));
                CPPUNIT_ASSERT(server.started == std::vector<std::string>({"/50"}));
            });
        });
    }

    void testLimits()
    {
        withServer(
            [](PipelineServer &server) {
                std::string bytes;
                std::string expected;
                for (int i = 0; i < 20; ++i) {
                    bytes += get("/" + std::to_string(20 + i), i == 19 ? kClose : "");
                    expected.append(i == 0 ? "/" : " /").append(std::to_string(20 + i));
                }
                section("one connection occupies no more than its number of requests, and all are answered", [&] {
                    CPPUNIT_ASSERT_EQUAL(expected, bodiesOf(server.exchangeBytes(bytes)));
                    CPPUNIT_ASSERT(server.maxRunning <= 4);
                });
                section("a request of another caller does not wait for a long pipeline", [&] {
                    testing::RawClient busy(server.runtime, server.port);
                    std::string slow;
                    for (int i = 0; i < 12; ++i) {
                        slow += get("/200");
                    }
                    busy.send(slow);
                    server.runtime.sleepFor(milliseconds(20));
                    const TimePoint start = BootClock::now();
                    CPPUNIT_ASSERT_EQUAL(std::string("/1"), bodiesOf(server.exchangeBytes(get("/1", kClose))));
                    CPPUNIT_ASSERT(BootClock::now() - start < milliseconds(150));
                });
            },
            PipelineLimits{4, 1024});
    }

    void testPlannedClose()
    {
        withServer([](PipelineServer &server) {
            section("a server that closes answers all that it has received, in order, and says so in the last response only", [&] {
                testing::RawClient client(server.runtime, server.port);
                client.send(get("/1") + get("/150") + get("/250") + post("/10", "waits"));
                server.runtime.sleepFor(milliseconds(60));
                server.server->announceClose();
                const std::string bytes = client.readAll();
                CPPUNIT_ASSERT_EQUAL(std::string("/1 /150 /250 /10"), bodiesOf(bytes));
                CPPUNIT_ASSERT(bytes.find("Connection: close") > bytes.find("[/250]"));
                CPPUNIT_ASSERT(bytes.find("Connection: close") < bytes.find("[/10]"));
                CPPUNIT_ASSERT(server.started == std::vector<std::string>({"/1", "/150", "/250", "/10"}));
                CPPUNIT_ASSERT_EQUAL(uint64_t{0}, server.server->pipelineCounts().dropped);
                CPPUNIT_ASSERT_EQUAL(size_t{0}, server.server->activeRequests());
            });
        });
    }

    void testCallerLeaves()
    {
        withServer([](PipelineServer &server) {
            section("a caller that leaves cancels its running requests, although others are behind them", [&] {
                testing::RawClient client(server.runtime, server.port);
                client.send(get("/1") + get("/900") + get("/800") + post("/700", "unread") + get("/600"));
                server.runtime.sleepFor(milliseconds(100));
                client.close();
                server.runtime.sleepFor(milliseconds(100));
                CPPUNIT_ASSERT_EQUAL(0, server.running);
                CPPUNIT_ASSERT_EQUAL(size_t{2}, server.cancelled.size());
                CPPUNIT_ASSERT(server.started == std::vector<std::string>({"/1", "/900", "/800"}));
                CPPUNIT_ASSERT_EQUAL(size_t{0}, server.server->activeRequests());
                CPPUNIT_ASSERT_EQUAL(uint64_t{0}, server.server->activeRequestBytes());
            });
            section("it is noticed behind a request that runs alone as well", [&] {
                server.cancelled.clear();
                testing::RawClient client(server.runtime, server.port);
                client.send(post("/900", "b") + get("/800"));
                server.runtime.sleepFor(milliseconds(50));
                client.close();
                server.runtime.sleepFor(milliseconds(100));
                CPPUNIT_ASSERT(server.cancelled == std::vector<std::string>({"/900"}));
            });
        });
    }

    void testInvalidRequests()
    {
        withServer([](PipelineServer &server) {
            section("an invalid request gets its error response after the responses before it", [&] {
                const std::string bytes = server.exchangeBytes(get("/100") + "nonsense\r\n\r\n");
                CPPUNIT_ASSERT_EQUAL(std::string("/100"), bodiesOf(bytes));
                CPPUNIT_ASSERT(bytes.find(" 400 ") > bytes.find("[/100]") && bytes.find(" 400 ") != std::string::npos);
            });
            section("a head that is never completed closes the connection after the responses before it", [&] {
                const std::string bytes = server.exchangeBytes(get("/800") + "GET /1 HT");
                CPPUNIT_ASSERT_EQUAL(std::string("/800"), bodiesOf(bytes));
                CPPUNIT_ASSERT(bytes.find("Connection: close") != std::string::npos);
            });
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestPipelineTest);
CPPUNIT_TEST_SUITE_REGISTRATION(PipelinedConnectionTest);

} // namespace snipestream
