#include "http/call_pool.h"
#include "http/http_client.h"
#include "http/message_server.h"

#include "tests/standins/endless_server.h"
#include "tests/support/loopback.h"
#include "tests/support/section.h"

#include <fstream>
#include <memory>
#include <unistd.h>

namespace snipestream
{

using testing::EndlessServer;
using testing::section;

namespace
{

constexpr uint64_t kMebibyte = 1024 * 1024;

auto residentBytes() -> uint64_t
{
    std::ifstream file("/proc/self/statm");
    uint64_t total = 0;
    uint64_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<uint64_t>(sysconf(_SC_PAGESIZE));
}

auto callOnce(CallPool &pool, const Endpoint &server, Duration timeout, const std::string &path = "/stock/7") -> CallResult
{
    CancelSignal cancel;
    return pool.call(server, {"GET", path, {}, {}, true}, cancel, BootClock::now() + timeout);
}

/// Calls a server that sends `repeated` without end after `prefix`. Checks that the call ends before its deadline and that
/// its connection is closed.
auto callEndless(const std::string &prefix, const std::string &repeated, Duration closesWithin = milliseconds(50)) -> CallResult
{
    CallResult result;
    Duration elapsed{};
    int openConnections = -1;
    FiberRuntime runtime;
    runtime.runToEnd([&] {
        EndlessServer server(runtime, prefix, repeated);
        CallPoolOptions options;
        options.maxResponseBytes = kMebibyte;
        CallPool pool(runtime, options);
        const TimePoint start = BootClock::now();
        result = callOnce(pool, server.endpoint(), seconds(5));
        elapsed = BootClock::now() - start;
        runtime.sleepFor(closesWithin);
        openConnections = server.openConnections();
    });
    CPPUNIT_ASSERT_MESSAGE(prefix + repeated + ": " + callStatusName(result.status) + " " + result.detail, elapsed < seconds(3));
    CPPUNIT_ASSERT_EQUAL(0, openConnections);
    return result;
}

} // namespace

/// Guards against a peer that sends bytes without end and so takes all memory or occupies a call until its deadline.
class EndlessTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EndlessTest);
    CPPUNIT_TEST(testResponses);
    CPPUNIT_TEST(testStreamingClient);
    CPPUNIT_TEST(testManyServers);
    CPPUNIT_TEST(testSlowCallers);
    CPPUNIT_TEST(testKeptResponse);
    CPPUNIT_TEST(testSmallChunks);
    CPPUNIT_TEST(testManyIdleConnections);
    CPPUNIT_TEST(testRequests);
    CPPUNIT_TEST(testBodiesBehindRequests);
    CPPUNIT_TEST(testSingleHolder);
    CPPUNIT_TEST_SUITE_END();

public:
    void testResponses()
    {
        const std::string ok = "HTTP/1.1 200 OK\r\n";
        section("a head without end is cut at its limit, whether one field does not end or fields keep coming", [&] {
            CPPUNIT_ASSERT(callEndless(ok + "X-Field: ", "a").status == CallStatus::TooLarge);
            CPPUNIT_ASSERT(callEndless(ok, "X-Field: 1\r\n").status == CallStatus::TooLarge);
        });
        section("too many short fields are refused although they fit into the limit in bytes", [&] {
            std::string fields;
            for (int i = 0; i < 300; ++i) {
                fields += "A: 1\r\n";
            }
            CPPUNIT_ASSERT(callEndless(ok + fields + "Content-Length: 4\r\n\r\n", "body").status == CallStatus::TooLarge);
        });
        section("interim responses without end are cut at their number", [&] {
            CPPUNIT_ASSERT(callEndless("", "HTTP/1.1 100 Continue\r\n\r\n").status == CallStatus::TooLarge);
        });
        section("a body without end is cut at its limit, with and without chunks", [&] {
            CPPUNIT_ASSERT(callEndless(ok + "\r\n", "a").status == CallStatus::TooLarge);
            CPPUNIT_ASSERT(callEndless(ok + "Transfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n").status == CallStatus::TooLarge);
        });
        section("the head of a chunk without end is cut as well", [&] {
            CPPUNIT_ASSERT(callEndless(ok + "Transfer-Encoding: chunked\r\n\r\n1;x=", "a").status == CallStatus::TooLarge);
        });
        section("a declared length over the limit is refused", [&] {
            CPPUNIT_ASSERT(callEndless(ok + "Content-Length: 99999999999\r\n\r\n", "a").status == CallStatus::TooLarge);
        });
        section("bytes that are no response are refused at once", [&] {
            CPPUNIT_ASSERT(callEndless("", "%%%%").status == CallStatus::Malformed);
        });
        section("a response with a length is delivered, and what follows it closes the connection", [&] {
            // Idle connections are checked once a second.
            const CallResult result = callEndless(ok + "Content-Length: 2\r\n\r\nok", "a", milliseconds(1200));
            CPPUNIT_ASSERT(result.status == CallStatus::Answered && result.response.body == "ok");
        });
    }

    void testStreamingClient()
    {
        const std::string ok = "HTTP/1.1 200 OK\r\n";
        const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
        const auto fetchEndless = [](const std::string &prefix, const std::string &repeated) {
            FiberRuntime runtime;
            runtime.runToEnd([&] {
                EndlessServer server(runtime, prefix, repeated);
                HttpClient client(runtime, HttpClientOptions{server.endpoint(), 2});
                const uint64_t before = residentBytes();
                const TimePoint start = BootClock::now();
                const auto result = fetch(client, testing::makeRequest("GET", "/stock/7"), {});
                const uint64_t growth = residentBytes() - std::min(before, residentBytes());
                CPPUNIT_ASSERT_MESSAGE(prefix + repeated, !result);
                CPPUNIT_ASSERT_MESSAGE(prefix + repeated + ": " + result.error().message, BootClock::now() - start < seconds(3));
                CPPUNIT_ASSERT_MESSAGE(prefix + repeated + ": " + std::to_string(growth), growth < 64 * kMebibyte);
                runtime.sleepFor(milliseconds(50));
                CPPUNIT_ASSERT_EQUAL(0, server.openConnections());
            });
        };
        section("the client of the streaming node cuts endless heads, interim responses and heads of chunks as well", [&] {
            fetchEndless(ok + "X-Field: ", "a");
            fetchEndless(ok, "X-Field: 1\r\n");
            fetchEndless("", "HTTP/1.1 100 Continue\r\n\r\n");
            fetchEndless(chunked + "1;x=", "a");
        });
        section("a body without end is not kept whole", [&] {
            fetchEndless(ok + "\r\n", "a");
        });
    }

    void testManyServers()
    {
        section("fifty endless bodies at once take no more memory than allowed, and a usual response still arrives", [] {
            FiberRuntime runtime;
            runtime.runToEnd([&] {
                constexpr int kServers = 50;
                CallPoolOptions options;
                options.memory = std::make_shared<MemoryBudget>();
                options.memory->maxBytes = 16 * kMebibyte;
                CallPool pool(runtime, options);
                EndlessServer endless(runtime, "HTTP/1.1 200 OK\r\n\r\n", "a");
                MessageServerOptions serverOptions;
                serverOptions.listen = {"127.0.0.1", 0};
                MessageServer usual(runtime, serverOptions, [](RequestMessage &, CancelSignal &) -> std::optional<ResponseMessage> {
                    ResponseMessage response;
                    response.body = std::string(50000, 'u');
                    return response;
                });
                const Endpoint usualEndpoint{"127.0.0.1", usual.listen().value()};
                const uint64_t before = residentBytes();
                uint64_t peak = before;
                int finished = 0;
                int tooLarge = 0;
                for (int i = 0; i < kServers; ++i) {
                    runtime.spawn([&] {
                        tooLarge += callOnce(pool, endless.endpoint(), seconds(20)).status == CallStatus::TooLarge ? 1 : 0;
                        ++finished;
                    });
                }
                int answered = 0;
                while (finished < kServers) {
                    answered += callOnce(pool, usualEndpoint, seconds(2)).status == CallStatus::Answered ? 1 : 0;
                    CPPUNIT_ASSERT(options.memory->totalBytes <= 17 * kMebibyte);
                    peak = std::max(peak, residentBytes());
                    runtime.sleepFor(milliseconds(2));
                }
                CPPUNIT_ASSERT_EQUAL(kServers, tooLarge);
                CPPUNIT_ASSERT(answered > 0);
                // A growing buffer takes up to three times its contents while it is copied.
                CPPUNIT_ASSERT_MESSAGE(std::to_string((peak - before) / kMebibyte) + " MiB", peak - before < 3 * 16 * kMebibyte);
                CPPUNIT_ASSERT_EQUAL(uint64_t{0}, options.memory->totalBytes);
                usual.closeIdle();
                runtime.sleepFor(milliseconds(50));
            });
        });
    }

    void testSlowCallers()
    {
        section("callers that do not read their responses take no more memory than allowed, and others are answered", [] {
            FiberRuntime runtime;
            runtime.runToEnd([&] {
                constexpr int kCallers = 40;
                constexpr size_t kBodyBytes = 12 * kMebibyte;
                CallPoolOptions options;
                options.memory = std::make_shared<MemoryBudget>();
                options.memory->maxBytes = 32 * kMebibyte;
                CallPool pool(runtime, options);
                MessageServerOptions targetOptions;
                targetOptions.listen = {"127.0.0.1", 0};
                MessageServer target(runtime, targetOptions, [](RequestMessage &, CancelSignal &) -> std::optional<ResponseMessage> {
                    ResponseMessage response;
                    response.body = std::string(5000, 'b');
                    return response;
                });
                const Endpoint usualEndpoint{"127.0.0.1", target.listen().value()};
                EndlessServer large(runtime, "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kBodyBytes) + "\r\n\r\n", "a");
                MessageServerOptions nodeOptions;
                nodeOptions.name = "caller";
                nodeOptions.listen = {"127.0.0.1", 0};
                int received = 0;
                MessageServer node(runtime, nodeOptions, [&](RequestMessage &request, CancelSignal &cancel) -> std::optional<ResponseMessage> {
                    CallResult result =
                        pool.call(request.target == "/large" ? large.endpoint() : usualEndpoint, request, cancel, BootClock::now() + seconds(5));
                    received += request.target == "/large" ? 1 : 0;
                    return std::move(result.response);
                });
                const uint16_t port = node.listen().value();
                const uint64_t before = residentBytes();
                uint64_t peak = before;
                std::vector<std::unique_ptr<testing::RawClient>> callers;
                for (int i = 0; i < kCallers; ++i) {
                    callers.push_back(std::make_unique<testing::RawClient>(runtime, port, 16 * 1024));
                    callers.back()->send("GET /large HTTP/1.1\r\nHost: node\r\n\r\n");
                    // Together they would be bounded while they are received.
                    for (int wait = 0; wait < 500 && received <= i; ++wait) {
                        runtime.sleepFor(milliseconds(2));
                    }
                    peak = std::max(peak, residentBytes());
                }
                CallPool usualCallers(runtime, CallPoolOptions());
                int answered = 0;
                for (int i = 0; i < 60; ++i) {
                    const CallResult result = callOnce(usualCallers, {"127.0.0.1", port}, seconds(2));
                    answered += result.status == CallStatus::Answered && result.response.body.size() == 5000 ? 1 : 0;
                    peak = std::max(peak, residentBytes());
                    runtime.sleepFor(milliseconds(20));
                }
                CPPUNIT_ASSERT_EQUAL(kCallers, received);
                CPPUNIT_ASSERT_EQUAL(60, answered);
                CPPUNIT_ASSERT_MESSAGE(std::to_string((peak - before) / kMebibyte) + " MiB", peak - before < 3 * 32 * kMebibyte);
                section("a caller that reads its response gets all of it meanwhile", [&] {
                    const CallResult result = callOnce(usualCallers, {"127.0.0.1", port}, seconds(2), "/large");
                    CPPUNIT_ASSERT(result.status == CallStatus::Answered);
                    CPPUNIT_ASSERT_EQUAL(kBodyBytes, result.response.body.size());
                });
                for (const auto &caller : callers) {
                    caller->close();
                }
                runtime.sleepFor(milliseconds(100));
                CPPUNIT_ASSERT_EQUAL(uint64_t{0}, options.memory->totalBytes);
                node.closeIdle();
                target.closeIdle();
                runtime.sleepFor(milliseconds(50));
            });
        });
    }

    void testKeptResponse()
    {
        section("a response that is kept, for example while its request is retried, still counts", [] {
            FiberRuntime runtime;
            runtime.runToEnd([&] {
                MessageServerOptions serverOptions;
                serverOptions.listen = {"127.0.0.1", 0};
                MessageServer server(runtime, serverOptions, [](RequestMessage &, CancelSignal &) -> std::optional<ResponseMessage> {
                    ResponseMessage response;
                    response.status = 500;
                    response.body = std::string(kMebibyte, 'f');
                    return response;
                });
                CallPoolOptions options;
                options.memory = std::make_shared<MemoryBudget>();
                options.memory->maxBytes = 3 * kMebibyte;
                CallPool pool(runtime, options);
                const Endpoint endpoint{"127.0.0.1", server.listen().value()};
                std::vector<CallResult> kept;
                for (int i = 0; i < 3; ++i) {
                    kept.push_back(callOnce(pool, endpoint, seconds(2)));
                    CPPUNIT_ASSERT(kept.back().status == CallStatus::Answered);
                }
                CPPUNIT_ASSERT_EQUAL(3 * kMebibyte, options.memory->totalBytes);
                CPPUNIT_ASSERT(callOnce(pool, endpoint, seconds(2)).status == CallStatus::TooLarge);
                kept.clear();
                CPPUNIT_ASSERT_EQUAL(uint64_t{0}, options.memory->totalBytes);
                CPPUNIT_ASSERT(callOnce(pool, endpoint, seconds(2)).status == CallStatus::Answered);
                server.closeIdle();
                runtime.sleepFor(milliseconds(50));
            });
        });
    }

    void testSmallChunks()
    {
        section("a response of many small chunks is received whole, and one that does not end is cut at the limit of the body", [] {
            constexpr size_t kChunks = 200000;
            std::string chunks;
            for (size_t i = 0; i < kChunks; ++i) {
                chunks += "1\r\na\r\n";
            }
            FiberRuntime runtime;
            runtime.runToEnd([&] {
                const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                EndlessServer server(runtime, head + chunks + "0\r\n\r\n", "a");
                CallPool pool(runtime, CallPoolOptions());
                const CallResult whole = callOnce(pool, server.endpoint(), seconds(5));
                CPPUNIT_ASSERT_MESSAGE(std::string(callStatusName(whole.status)) + " " + whole.detail, whole.status == CallStatus::Answered);
                CPPUNIT_ASSERT_EQUAL(kChunks, whole.response.body.size());
            });
            const CallResult endless = callEndless("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n");
            CPPUNIT_ASSERT_EQUAL(std::string("body limit exceeded"), endless.detail);
        });
    }

    void testManyIdleConnections()
    {
        section("two hundred connections on which bytes follow the response are closed, and take no memory until then", [] {
            FiberRuntime runtime;
            runtime.runToEnd([&] {
                constexpr int kConnections = 200;
                EndlessServer server(runtime, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "a");
                CallPool pool(runtime, CallPoolOptions());
                const uint64_t before = residentBytes();
                int answered = 0;
                for (int i = 0; i < kConnections; ++i) {
                    runtime.spawn([&] {
                        answered += callOnce(pool, server.endpoint(), seconds(5)).status == CallStatus::Answered ? 1 : 0;
                    });
                }
                uint64_t peak = before;
                for (int i = 0; i < 60; ++i) {
                    peak = std::max(peak, residentBytes());
                    runtime.sleepFor(milliseconds(20));
                }
                CPPUNIT_ASSERT_EQUAL(kConnections, answered);
                CPPUNIT_ASSERT_EQUAL(0, server.openConnections());
                CPPUNIT_ASSERT_MESSAGE(std::to_string((peak - before) / kMebibyte) + " MiB", peak - before < 48 * kMebibyte);
            });
        });
    }

    void testRequests()
    {
        FiberRuntime runtime;
        runtime.runToEnd([&] {
            MessageServerOptions options;
            options.name = "test";
            options.listen = {"127.0.0.1", 0};
            options.maxBodyBytes = kMebibyte;
            options.memory = std::make_shared<MemoryBudget>();
            options.memory->maxBytes = 4 * kMebibyte;
            options.headTimeout = milliseconds(300);
            int handled = 0;
            MessageServer server(runtime, options, [&](RequestMessage &, CancelSignal &) -> std::optional<ResponseMessage> {
                ++handled;
                return ResponseMessage();
            });
            const uint16_t port = server.listen().value();
            const auto sendAndRead = [&](const std::string &bytes) {
                testing::RawClient client(runtime, port);
                client.send(bytes);
                return client.readAll();
            };
            const std::string chunkedHead = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
            section("a request head without end gets 431 at the limit", [&] {
                CPPUNIT_ASSERT(sendAndRead("GET / HTTP/1.1\r\nX: " + std::string(20000, 'a')).find(" 431 ") != std::string::npos);
            });
            section("too many fields get 431", [&] {
                std::string fields;
                for (int i = 0; i < 300; ++i) {
                    fields += "A: 1\r\n";
                }
                CPPUNIT_ASSERT(sendAndRead("GET / HTTP/1.1\r\n" + fields + "\r\n").find(" 431 ") != std::string::npos);
            });
            section("a body without end gets 413 at the limit", [&] {
                std::string body;
                for (int i = 0; i < 20; ++i) {
                    body += "10000\r\n" + std::string(65536, 'a') + "\r\n";
                }
                CPPUNIT_ASSERT(sendAndRead(chunkedHead + body).find(" 413 ") != std::string::npos);
            });
            section("the head of a chunk without end gets 400", [&] {
                CPPUNIT_ASSERT(sendAndRead(chunkedHead + "1;x=" + std::string(100000, 'a')).find(" 400 ") != std::string::npos);
            });
            section("a head that does not end in time closes the connection", [&] {
                const TimePoint start = BootClock::now();
                sendAndRead("GET / HTTP/1.1\r\nX: ");
                CPPUNIT_ASSERT(BootClock::now() - start < seconds(2));
            });
            section("many bodies that do not end share a limit, and get 503 since their requests have not run", [&] {
                std::vector<std::unique_ptr<testing::RawClient>> clients;
                int refused = 0;
                int ended = 0;
                for (int i = 0; i < 12; ++i) {
                    clients.push_back(std::make_unique<testing::RawClient>(runtime, port));
                    runtime.spawn([&, client = clients.back().get()] {
                        for (int part = 0; part < 15; ++part) {
                            client->send(part == 0 ? chunkedHead : "10000\r\n" + std::string(65536, 'a') + "\r\n");
                            runtime.sleepFor(milliseconds(5));
                        }
                        refused += client->readAll().find(" 503 ") != std::string::npos ? 1 : 0;
                        ++ended;
                    });
                }
                for (int i = 0; i < 40; ++i) {
                    runtime.sleepFor(milliseconds(25));
                }
                for (const auto &client : clients) {
                    client->close();
                }
                while (ended < 12) {
                    runtime.sleepFor(milliseconds(10));
                }
                CPPUNIT_ASSERT(refused >= 6);
            });
            CPPUNIT_ASSERT_EQUAL(0, handled);
            server.closeIdle();
            runtime.sleepFor(milliseconds(50));
        });
    }

    void testBodiesBehindRequests()
    {
        FiberRuntime runtime;
        runtime.runToEnd([&] {
            MessageServerOptions options;
            options.name = "test";
            options.listen = {"127.0.0.1", 0};
            options.memory = std::make_shared<MemoryBudget>();
            options.memory->maxBytes = kMebibyte;
            options.mayRunConcurrently = [](const RequestMessage &) {
                return true;
            };
            MessageServer server(runtime, options, [&runtime](RequestMessage &, CancelSignal &) -> std::optional<ResponseMessage> {
                runtime.sleepFor(milliseconds(500));
                return ResponseMessage();
            });
            const uint16_t port = server.listen().value();
            section("a body without end behind a request in progress gets 503 after that request's answer", [&] {
                testing::RawClient client(runtime, port);
                client.send("GET /slow HTTP/1.1\r\n\r\nPOST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
                for (int part = 0; part < 40 && options.memory->totalBytes <= 2 * kMebibyte; ++part) {
                    client.send("10000\r\n" + std::string(65536, 'a') + "\r\n");
                    runtime.sleepFor(milliseconds(2));
                }
                CPPUNIT_ASSERT_MESSAGE(std::to_string(options.memory->totalBytes), options.memory->totalBytes <= 2 * kMebibyte);
                const std::string answers = client.readAll();
                const size_t first = answers.find(" 200 ");
                CPPUNIT_ASSERT_MESSAGE(answers, first != std::string::npos && answers.find(" 503 ", first) != std::string::npos);
            });
            server.closeIdle();
            runtime.sleepFor(milliseconds(50));
        });
    }

    void testSingleHolder()
    {
        const auto budget = std::make_shared<MemoryBudget>();
        budget->maxBytes = 100;
        budget->maxSingleBytes = 300;
        MemoryHold large(budget);
        MemoryHold small(budget);
        int ended = 0;
        large.setAbort([&ended] {
            ++ended;
        });
        section("a large holder may exceed the limit while the others take little", [&] {
            small.setBytes(50);
            large.setBytes(300);
            CPPUNIT_ASSERT_EQUAL(0, ended);
        });
        section("it is ended once they take more", [&] {
            small.setBytes(51);
            CPPUNIT_ASSERT_EQUAL(1, ended);
        });
        section("or once it exceeds its own limit", [&] {
            small.setBytes(0);
            large.setAbort([&ended] {
                ++ended;
            });
            large.setBytes(301);
            CPPUNIT_ASSERT_EQUAL(2, ended);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndlessTest);

} // namespace snipestream
