#include "http/http_client.h"
#include "http/http_server.h"

#include "tests/support/loopback.h"
#include "tests/support/section.h"

#include <algorithm>

namespace snipestream
{

using testing::makeRequest;
using testing::RawClient;
using testing::section;

namespace
{

/// Echoes the request body. "/slow" responds after 50 ms, "/cut" aborts in the middle of its response, and "/none" does
/// not respond.
void echo(FiberRuntime &runtime, Exchange &exchange, int &cancelled)
{
    exchange.onCancel([&cancelled] {
        ++cancelled;
    });
    const std::string path = exchange.head.path;
    if (path == "/none") {
        return;
    }
    if (path == "/slow") {
        runtime.sleepFor(milliseconds(50));
    }
    ResponseHead head;
    head.headers = {{"X-Method", exchange.head.method}};
    if (path == "/cut") {
        head.bodyLength = 100;
        static_cast<void>(exchange.respond(head));
        static_cast<void>(exchange.responseBody.write("only a part"));
        exchange.responseBody.abort();
        return;
    }
    head.bodyLength = exchange.head.bodyLength;
    bool started = false;
    while (true) {
        const auto chunk = exchange.requestBody.read();
        if (!chunk) {
            return;
        }
        if (!started) {
            started = true;
            static_cast<void>(exchange.respond(head));
        }
        if (!exchange.responseBody.write(chunk.value().bytes)) {
            return;
        }
        if (chunk.value().last) {
            static_cast<void>(exchange.responseBody.finish());
            return;
        }
    }
}

/// A server on a free port and a client for it, on one runtime.
struct Fixture {
    explicit Fixture(HttpServerOptions options = {})
        : server(runtime, withAddress(std::move(options)), metrics,
                 [this](Exchange &exchange) {
                     echo(runtime, exchange, cancelled);
                 })
        , port(server.listen().value())
        , client(runtime, HttpClientOptions{{"127.0.0.1", port}, 2})
    {
    }

    static auto withAddress(HttpServerOptions options) -> HttpServerOptions
    {
        options.name = "test";
        options.listen = {"127.0.0.1", 0};
        return options;
    }

    void run(const std::function<void()> &body)
    {
        runtime.runToEnd([&] {
            body();
            server.stopAccepting();
            server.closeAll();
        });
    }

    FiberRuntime runtime;
    MetricsRegistry metrics;
    int cancelled = 0;
    HttpServer server;
    uint16_t port;
    HttpClient client;
};

} // namespace

/// Guards against truncated bodies that are taken as complete, requests that keep running after their caller has
/// disconnected, and malformed input that makes the server stop responding.
class HttpTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HttpTest);
    CPPUNIT_TEST(testRoundTrips);
    CPPUNIT_TEST(testLargeBodyIsStreamed);
    CPPUNIT_TEST(testTruncatedBodiesAreErrors);
    CPPUNIT_TEST(testMalformedRequests);
    CPPUNIT_TEST(testCallerDisconnects);
    CPPUNIT_TEST(testGracefulStop);
    CPPUNIT_TEST(testFirstRequestDuringStop);
    CPPUNIT_TEST(testDeadline);
    CPPUNIT_TEST_SUITE_END();

public:
    void testRoundTrips()
    {
        Fixture fixture;
        fixture.run([&] {
            section("a connection is reused", [&] {
                for (int i = 0; i < 5; ++i) {
                    const auto response = fetch(fixture.client, makeRequest("POST", "/"), "hello");
                    CPPUNIT_ASSERT(response.has_value());
                    CPPUNIT_ASSERT_EQUAL(std::string("hello"), response.value().body);
                }
                CPPUNIT_ASSERT_EQUAL(size_t{1}, fixture.server.connectionCount());
            });
            section("calls over the connection limit wait for a free one", [&] {
                int done = 0;
                for (int i = 0; i < 6; ++i) {
                    fixture.runtime.spawn([&] {
                        done += fetch(fixture.client, makeRequest("POST", "/slow"), "x").has_value() ? 1 : 0;
                    });
                }
                fixture.runtime.sleepFor(milliseconds(400));
                CPPUNIT_ASSERT_EQUAL(6, done);
                CPPUNIT_ASSERT(fixture.server.connectionCount() <= 2);
            });
            section("a handler that does not respond results in status 500", [&] {
                CPPUNIT_ASSERT_EQUAL(500, fetch(fixture.client, makeRequest("GET", "/none"), "").value().status);
            });
            section("an idle connection that the server closed is not reused", [&] {
                fixture.server.closeAll();
                fixture.runtime.sleepFor(milliseconds(5));
                CPPUNIT_ASSERT(fetch(fixture.client, makeRequest("POST", "/"), "again").has_value());
            });
        });
    }

    void testLargeBodyIsStreamed()
    {
        Fixture fixture;
        fixture.run([&] {
            RequestHead head = makeRequest("PUT", "/");
            head.bodyLength.reset();
            auto call = fixture.client.open(head).value();
            constexpr int kChunks = 480;
            fixture.runtime.spawn([&] {
                for (int i = 0; i < kChunks; ++i) {
                    CPPUNIT_ASSERT(call.requestBody.write(std::string(kMaxChunkBytes, static_cast<char>('a' + i % 26))));
                }
                CPPUNIT_ASSERT(call.requestBody.finish());
            });
            CPPUNIT_ASSERT(call.awaitHead().has_value());
            uint64_t total = 0;
            bool inOrder = true;
            while (true) {
                const auto chunk = call.responseBody.read();
                CPPUNIT_ASSERT(chunk.has_value());
                for (const char c : chunk.value().bytes) {
                    inOrder = inOrder && c == static_cast<char>('a' + (total / kMaxChunkBytes) % 26);
                    ++total;
                }
                if (chunk.value().last) {
                    break;
                }
            }
            CPPUNIT_ASSERT_EQUAL(uint64_t{kChunks} * kMaxChunkBytes, total);
            CPPUNIT_ASSERT(inOrder);
        });
    }

    void testTruncatedBodiesAreErrors()
    {
        Fixture fixture;
        fixture.run([&] {
            section("a truncated response", [&] {
                CPPUNIT_ASSERT(fetch(fixture.client, makeRequest("GET", "/cut"), "").has_error());
            });
            section("a truncated request", [&] {
                RawClient raw(fixture.runtime, fixture.port);
                raw.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nhalf");
                fixture.runtime.sleepFor(milliseconds(5));
                raw.close();
                fixture.runtime.sleepFor(milliseconds(20));
                CPPUNIT_ASSERT_EQUAL(1, fixture.cancelled);
                CPPUNIT_ASSERT_EQUAL(size_t{0}, fixture.server.activeRequestCount());
            });
        });
    }

    void testMalformedRequests()
    {
        HttpServerOptions options;
        options.maxHeaderBytes = 1024;
        options.maxBodyBytes = 2048;
        Fixture fixture(options);
        const auto responseTo = [&](const std::string &text) {
            RawClient raw(fixture.runtime, fixture.port);
            raw.send(text);
            return raw.readAll().substr(0, 12);
        };
        fixture.run([&] {
            section("bytes that are not HTTP", [&] {
                CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 400"), responseTo("\x16\x03\x01 garbage\r\n\r\n"));
            });
            section("a request head over the limit", [&] {
                const std::string text = "GET / HTTP/1.1\r\nX: " + std::string(2000, 'x') + "\r\n\r\n";
                CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 431"), responseTo(text));
            });
            section("a request body over the limit", [&] {
                const std::string text = "POST / HTTP/1.1\r\nContent-Length: 9999\r\n\r\n";
                CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 413"), responseTo(text));
            });
            section("two different Content-Length fields", [&] {
                const std::string text = "POST / HTTP/1.1\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nabcde";
                CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 400"), responseTo(text));
            });
            section("the server still serves valid requests", [&] {
                CPPUNIT_ASSERT(fetch(fixture.client, makeRequest("POST", "/"), "x").has_value());
            });
        });
    }

    void testCallerDisconnects()
    {
        Fixture fixture;
        fixture.run([&] {
            RawClient raw(fixture.runtime, fixture.port);
            raw.send("GET /slow HTTP/1.1\r\nHost: a\r\n\r\n");
            fixture.runtime.sleepFor(milliseconds(10));
            raw.close();
            fixture.runtime.sleepFor(milliseconds(10));
            CPPUNIT_ASSERT_EQUAL(1, fixture.cancelled);
        });
    }

    void testGracefulStop()
    {
        Fixture fixture;
        fixture.run([&] {
            Result<HttpResponse> response = failure(ErrorCode::Internal, "no response");
            fixture.runtime.spawn([&] {
                response = fetch(fixture.client, makeRequest("POST", "/slow"), "whole");
            });
            fixture.runtime.sleepFor(milliseconds(10));
            fixture.server.stopAccepting();
            fixture.runtime.sleepFor(milliseconds(100));
            section("the running request gets its whole response", [&] {
                CPPUNIT_ASSERT(response.has_value());
                CPPUNIT_ASSERT_EQUAL(std::string("whole"), response.value().body);
            });
            section("new connections are not accepted", [&] {
                CPPUNIT_ASSERT(fetch(fixture.client, makeRequest("POST", "/"), "x").has_error());
            });
        });
    }

    /// Guards against a shutdown that closes a new connection while its first request is on its way, which happened in a
    /// rolling replacement.
    void testFirstRequestDuringStop()
    {
        Fixture fixture;
        fixture.run([&] {
            RawClient raw(fixture.runtime, fixture.port);
            RawClient silent(fixture.runtime, fixture.port);
            fixture.server.stopAccepting();
            section("a connection that has not carried a request is still served", [&] {
                raw.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
                const std::string response = raw.readAll();
                CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 200"), response.substr(0, 12));
                CPPUNIT_ASSERT(response.find("Connection: close") != std::string::npos);
            });
            section("a connection that never carries a request is closed by closeIdle", [&] {
                raw.close();
                while (fixture.server.connectionCount() > 1) {
                    fixture.runtime.sleepFor(milliseconds(1));
                }
                fixture.server.closeIdle();
                CPPUNIT_ASSERT_EQUAL(size_t{0}, fixture.server.connectionCount());
            });
        });
    }

    void testDeadline()
    {
        Fixture fixture;
        fixture.run([&] {
            RequestHead head = makeRequest("POST", "/slow");
            head.timeLeft = milliseconds(10);
            const auto response = fetch(fixture.client, head, "x");
            CPPUNIT_ASSERT(response.has_error());
            CPPUNIT_ASSERT(response.error().code == ErrorCode::Timeout);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpTest);

} // namespace snipestream
