#include "http/call_pool.h"
#include "http/message_server.h"

#include "tests/support/loopback.h"
#include "tests/support/section.h"

#include <functional>
#include <memory>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>

namespace snipestream
{

using testing::section;

namespace
{

namespace asio = boost::asio;

/// A server that sends fixed bytes for each request, so that tests can send responses that an HTTP library would not.
class ByteServer
{
public:
    ByteServer(FiberRuntime &runtime, std::string bytes, bool closes)
        : runtime_(runtime)
        , bytes_(std::move(bytes))
        , closes_(closes)
        , acceptor_(runtime.context(), asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    {
        accept();
    }

    [[nodiscard]] auto endpoint() const -> Endpoint
    {
        return {"127.0.0.1", acceptor_.local_endpoint().port()};
    }

    void stop()
    {
        boost::system::error_code ignored;
        acceptor_.close(ignored);
        for (const auto &socket : sockets_) {
            socket->close(ignored);
        }
    }

private:
    void accept()
    {
        acceptor_.async_accept([this](const boost::system::error_code &error, asio::ip::tcp::socket socket) {
            if (error) {
                return;
            }
            sockets_.push_back(std::make_shared<asio::ip::tcp::socket>(std::move(socket)));
            runtime_.spawn([this, socket = sockets_.back()] {
                respond(*socket);
            });
            accept();
        });
    }

    void respond(asio::ip::tcp::socket &socket)
    {
        std::string request;
        while (!awaitIo([&](auto done) {
                    asio::async_read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", done);
                }).error) {
            request.clear();
            awaitIo([&](auto done) {
                asio::async_write(socket, asio::buffer(bytes_), done);
            });
            if (closes_) {
                boost::system::error_code ignored;
                socket.close(ignored);
                return;
            }
        }
    }

    FiberRuntime &runtime_;
    std::string bytes_;
    bool closes_;
    asio::ip::tcp::acceptor acceptor_;
    std::vector<std::shared_ptr<asio::ip::tcp::socket>> sockets_;
};

/// Calls a server that sends these response bytes `times` times. Returns the results and the number of connections
/// opened.
auto callByteServer(const std::string &bytes, bool closes, int times, const std::string &body = {}) -> std::pair<std::vector<CallResult>, uint64_t>
{
    std::vector<CallResult> results;
    uint64_t opened = 0;
    FiberRuntime runtime;
    runtime.runToEnd([&] {
        ByteServer server(runtime, bytes, closes);
        CallPool pool(runtime, CallPoolOptions());
        for (int i = 0; i < times; ++i) {
            RequestMessage request;
            request.method = body.empty() ? "GET" : "POST";
            request.target = "/stock/7";
            request.body = body;
            CancelSignal cancel;
            results.push_back(pool.call(server.endpoint(), request, cancel, BootClock::now() + milliseconds(800)));
            runtime.sleepFor(milliseconds(20));
        }
        opened = pool.openedConnections();
        server.stop();
    });
    return {results, opened};
}

} // namespace

class MessageTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MessageTest);
    CPPUNIT_TEST(testAnswers);
    CPPUNIT_TEST(testBrokenAnswers);
    CPPUNIT_TEST(testEarlyAnswer);
    CPPUNIT_TEST(testServer);
    CPPUNIT_TEST(testBrokenHeads);
    CPPUNIT_TEST(testSlowReader);
    CPPUNIT_TEST_SUITE_END();

public:
    void testAnswers()
    {
        section("the connection is reused after a complete response", [] {
            const auto [results, opened] = callByteServer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false, 3);
            CPPUNIT_ASSERT(results[2].status == CallStatus::Answered && results[2].response.body == "ok");
            CPPUNIT_ASSERT_EQUAL(uint64_t{1}, opened);
        });
        section("a response without a length ends when its connection closes", [] {
            const auto [results, opened] = callByteServer("HTTP/1.1 200 OK\r\n\r\nwhole", true, 1);
            CPPUNIT_ASSERT(results[0].status == CallStatus::Answered && results[0].response.body == "whole");
        });
    }

    /// Guards against bytes of one response being read as the response to another request.
    void testBrokenAnswers()
    {
        section("a connection with extra bytes after the response is not reused", [] {
            const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
            const auto [results, opened] = callByteServer(response + response, false, 2);
            CPPUNIT_ASSERT(results[0].status == CallStatus::Answered && results[1].status == CallStatus::Answered);
            CPPUNIT_ASSERT_EQUAL(uint64_t{2}, opened);
        });
        section("a truncated response body is reported as Broken, as the request may have run", [] {
            const auto [results, opened] = callByteServer("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhalf", true, 1);
            CPPUNIT_ASSERT(results[0].status == CallStatus::Broken);
        });
        section("bytes that are not HTTP are distinguished from a closed connection", [] {
            CPPUNIT_ASSERT(callByteServer("%%%% none\r\n\r\n", false, 1).first[0].status == CallStatus::Malformed);
            CPPUNIT_ASSERT(callByteServer("", true, 1).first[0].status == CallStatus::Broken);
        });
        section("a call to a server that never responds ends at the deadline", [] {
            const TimePoint start = BootClock::now();
            CPPUNIT_ASSERT(callByteServer("", false, 1).first[0].status == CallStatus::TimedOut);
            CPPUNIT_ASSERT(BootClock::now() - start < milliseconds(1500));
        });
        section("a call to a port without a listener is reported as NotSent", [] {
            FiberRuntime runtime;
            runtime.runToEnd([&] {
                CallPool pool(runtime, CallPoolOptions());
                CancelSignal cancel;
                CPPUNIT_ASSERT(pool.call({"127.0.0.1", 1}, {"GET", "/", {}, {}, true}, cancel, BootClock::now() + seconds(1)).status == CallStatus::NotSent);
            });
        });
    }

    /// Guards against the rest of a request body being read as the next request when the server responds before it has read
    /// the whole body.
    void testEarlyAnswer()
    {
        section("a response that arrives before the whole request was sent is delivered, and the connection is closed", [] {
            const auto [results, opened] = callByteServer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false, 2, std::string(8 * 1024 * 1024, 'x'));
            CPPUNIT_ASSERT(results[0].status == CallStatus::Answered);
            CPPUNIT_ASSERT_EQUAL(uint64_t{2}, opened);
        });
    }

    void testServer()
    {
        FiberRuntime runtime;
        runtime.runToEnd([&] {
            MessageServerOptions options;
            options.name = "test";
            options.listen = {"127.0.0.1", 0};
            options.maxBodyBytes = 100;
            bool wasCancelled = false;
            MessageServer server(runtime, options, [&](RequestMessage &request, CancelSignal &cancel) -> std::optional<ResponseMessage> {
                if (request.target == "/slow") {
                    runtime.sleepFor(milliseconds(200));
                    wasCancelled = cancel.isCancelled();
                }
                ResponseMessage response;
                response.body = request.method + " " + request.body;
                return response;
            });
            const uint16_t port = server.listen().value();
            const auto exchangeBytes = [&](const std::string &bytes) {
                testing::RawClient client(runtime, port);
                client.send(bytes);
                return client.readAll();
            };
            section("request bodies with a Content-Length and chunked request bodies are read", [&] {
                CPPUNIT_ASSERT(exchangeBytes("POST / HTTP/1.1\r\nConnection: close\r\nContent-Length: 3\r\n\r\nabc").find("POST abc") != std::string::npos);
                const std::string chunkedRequest = "POST / HTTP/1.1\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n";
                CPPUNIT_ASSERT(exchangeBytes(chunkedRequest).find("POST abc") != std::string::npos);
            });
            section("a request with both Content-Length and Transfer-Encoding is refused, since a target could read a second request in it", [&] {
                CPPUNIT_ASSERT(exchangeBytes("POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n").find(" 400 ")
                               != std::string::npos);
            });
            section("a request body over the limit is refused", [&] {
                CPPUNIT_ASSERT(exchangeBytes("POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n").find(" 413 ") != std::string::npos);
            });
            section("a caller that disconnects cancels its request", [&] {
                testing::RawClient client(runtime, port);
                client.send("GET /slow HTTP/1.1\r\n\r\n");
                runtime.sleepFor(milliseconds(50));
                client.close();
                runtime.sleepFor(milliseconds(300));
                CPPUNIT_ASSERT(wasCancelled);
            });
            server.closeIdle();
            runtime.sleepFor(milliseconds(50));
        });
    }

    /// Guards against a response that breaks off in its head and reaches the caller as a whole one with an empty or short body.
    void testBrokenHeads()
    {
        FiberRuntime runtime;
        runtime.runToEnd([&] {
            const std::string head = "HTTP/1.1 200 OK\r\nX-Signature: s\r\n";
            for (const std::string &bytes :
                 {head + "Content-Length: 4\r\n\r\nbody", head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", head + "\r\n"}) {
                for (size_t size = 0; size <= bytes.size(); ++size) {
                    ByteServer server(runtime, bytes.substr(0, size), true);
                    CallPool pool(runtime, CallPoolOptions());
                    CancelSignal cancel;
                    const CallResult result = pool.call(server.endpoint(), RequestMessage{"GET", "/", {}, {}, true}, cancel, BootClock::now() + seconds(1));
                    CPPUNIT_ASSERT_MESSAGE(bytes.substr(0, size), (result.status == CallStatus::Answered) == (size == bytes.size()));
                    server.stop();
                }
            }
            runtime.sleepFor(milliseconds(20));
        });
    }

    /// Guards against a stop that ends the process while a response is still being sent to a slow reader.
    void testSlowReader()
    {
        FiberRuntime runtime;
        runtime.runToEnd([&] {
            const size_t size = size_t{32} * 1024 * 1024;
            MessageServerOptions options;
            options.listen = {"127.0.0.1", 0};
            MessageServer server(runtime, options, [size](RequestMessage &, CancelSignal &) {
                ResponseMessage response;
                response.body = std::string(size, 'x');
                return response;
            });
            testing::RawClient client(runtime, server.listen().value());
            client.send("GET / HTTP/1.1\r\n\r\n");
            runtime.sleepFor(milliseconds(200));
            section("a request counts until its response has been sent", [&] {
                CPPUNIT_ASSERT_EQUAL(size_t{1}, server.activeRequests());
                CPPUNIT_ASSERT_EQUAL(size_t{1}, server.busyConnections());
            });
            section("a server that no longer accepts sends the rest and then closes the connection", [&] {
                server.stopAccepting();
                CPPUNIT_ASSERT(client.readAll().size() > size);
                runtime.sleepFor(milliseconds(50));
                CPPUNIT_ASSERT_EQUAL(size_t{0}, server.activeRequests());
            });
            client.close();
            runtime.sleepFor(milliseconds(50));
            CPPUNIT_ASSERT_EQUAL(size_t{0}, server.busyConnections());
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MessageTest);

} // namespace snipestream
