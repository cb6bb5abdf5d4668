#include "http/message_server.h"

#include "tests/support/loopback.h"
#include "tests/support/section.h"

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

namespace snipestream
{

using testing::section;

namespace
{

auto get(const std::string &target) -> std::string
{
    return "GET " + target + " HTTP/1.1\r\nHost: studio\r\n\r\n";
}

auto post(const std::string &target, const std::string &body) -> std::string
{
    return "POST " + target + " HTTP/1.1\r\nHost: studio\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

constexpr size_t kLargeBytes = size_t{3} * 1024 * 1024;

/// A server whose GET requests run concurrently. The number in the path, as in /250, is the time in ms that a request takes.
/// Once it refuses, the handler responds with 503 at once. The response to /large is long.
struct ClosingServer {
    explicit ClosingServer(FiberRuntime &fiberRuntime)
        : runtime(fiberRuntime)
    {
        MessageServerOptions options;
        options.name = "test";
        options.listen = {"127.0.0.1", 0};
        options.mayRunConcurrently = [](const RequestMessage &request) {
            return request.method == "GET";
        };
        server = std::make_unique<MessageServer>(runtime, options, [this](RequestMessage &request, CancelSignal &) {
            return handle(request);
        });
        port = server->listen().value();
    }

    ~ClosingServer()
    {
        server->closeIdle();
        runtime.sleepFor(milliseconds(50));
    }

    auto handle(const RequestMessage &request) -> std::optional<ResponseMessage>
    {
        ResponseMessage response;
        response.body = "[" + request.target + "]";
        if (refuses) {
            response.status = 503;
            return response;
        }
        started.push_back(request.target);
        runtime.sleepFor(milliseconds(std::atoi(request.target.c_str() + 1)));
        if (request.target == "/large") {
            response.body = std::string(kLargeBytes, 'x');
        }
        return response;
    }

    FiberRuntime &runtime;
    std::unique_ptr<MessageServer> server;
    uint16_t port = 0;
    bool refuses = false;
    std::vector<std::string> started;
};

/// Returns the status and body of each response, such as "200 /250, 503 /1".
auto responsesOf(const std::string &bytes) -> std::string
{
    std::string responses;
    const std::string version = "HTTP/1.1 ";
    for (size_t at = bytes.find(version); at != std::string::npos; at = bytes.find(version, at + 1)) {
        const size_t body = bytes.find('[', at) + 1;
        responses.append(responses.empty() ? "" : ", ").append(bytes.substr(at + version.size(), 4));
        responses.append(bytes.substr(body, bytes.find(']', body) - body));
    }
    return responses;
}

/// Returns how many responses tell the caller that the connection closes.
auto closesIn(const std::string &bytes) -> int
{
    const std::string field = "Connection: close";
    int count = 0;
    for (size_t at = bytes.find(field); at != std::string::npos; at = bytes.find(field, at + 1)) {
        ++count;
    }
    return count;
}

void withServer(const std::function<void(ClosingServer &)> &body)
{
    FiberRuntime runtime;
    runtime.runToEnd([&] {
        ClosingServer server(runtime);
        body(server);
    });
}

} // namespace

/// Guards against planned closes that end a connection without the responses to requests that have been received.
class PlannedCloseTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlannedCloseTest);
    CPPUNIT_TEST(testWaitingRequest);
    CPPUNIT_TEST(testUnparsedRequests);
    CPPUNIT_TEST(testPartOfRequest);
    CPPUNIT_TEST(testResponseOnItsWay);
    CPPUNIT_TEST(testBodyThatArrives);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a caller that never learns what became of a request that was received but stood behind another.
    void testWaitingRequest()
    {
        withServer([](ClosingServer &server) {
            section("a request that waits for the one in front is served, and the last response announces the close", [&] {
                testing::RawClient client(server.runtime, server.port);
                client.send(get("/300") + post("/10", "waits"));
                server.runtime.sleepFor(milliseconds(60));
                server.server->announceClose();
                const std::string bytes = client.readAll();
                CPPUNIT_ASSERT_EQUAL(std::string("200 /300, 200 /10"), responsesOf(bytes));
                CPPUNIT_ASSERT_EQUAL(1, closesIn(bytes));
                CPPUNIT_ASSERT(bytes.find("Connection: close") > bytes.find("[/300]"));
            });
        });
    }

    /// Guards against the same for requests that were received but not parsed.
    void testUnparsedRequests()
    {
        withServer([](ClosingServer &server) {
            section("requests that were received behind one that runs alone get true refusals, in their order", [&] {
                testing::RawClient client(server.runtime, server.port);
                client.send(post("/300", "runs") + post("/10", "received") + get("/20"));
                server.runtime.sleepFor(milliseconds(60));
                server.server->announceClose();
                server.refuses = true;
                const std::string bytes = client.readAll();
                CPPUNIT_ASSERT_EQUAL(std::string("200 /300, 503 /10, 503 /20"), responsesOf(bytes));
                CPPUNIT_ASSERT_EQUAL(1, closesIn(bytes));
                CPPUNIT_ASSERT(server.started == std::vector<std::string>({"/300"}));
            });
        });
    }

    /// Guards against a close while the rest of a request is on its way.
    void testPartOfRequest()
    {
        withServer([](ClosingServer &server) {
            section("a request of which a part was received is answered when the rest has arrived", [&] {
                testing::RawClient client(server.runtime, server.port);
                client.send(post("/200", "runs") + "POST /10 HTTP/1.1\r\nHost: studio\r\nContent-Length: 8\r\n\r\npart");
                server.runtime.sleepFor(milliseconds(60));
                server.server->announceClose();
                server.refuses = true;
                server.runtime.sleepFor(milliseconds(300));
                client.send("rest");
                const std::string bytes = client.readAll();
                CPPUNIT_ASSERT_EQUAL(std::string("200 /200, 503 /10"), responsesOf(bytes));
                CPPUNIT_ASSERT_EQUAL(1, closesIn(bytes));
            });
        });
    }

    /// Guards against a reset that discards a response because bytes of the caller arrive after it was sent.
    void testResponseOnItsWay()
    {
        withServer([](ClosingServer &server) {
            section("a response that the caller has not read yet arrives in full when the server stops accepting", [&] {
                testing::RawClient client(server.runtime, server.port);
                client.send(get("/large"));
                server.server->announceClose();
                server.runtime.sleepFor(milliseconds(200));
                CPPUNIT_ASSERT_EQUAL(size_t{0}, server.server->activeRequests());
                CPPUNIT_ASSERT_EQUAL(size_t{1}, server.server->busyConnections());
                server.server->stopAccepting();
                client.send(get("/1"));
                server.runtime.sleepFor(milliseconds(50));
                CPPUNIT_ASSERT(client.readAll().size() > kLargeBytes);
            });
        });
    }

    /// Guards against a process that ends while the last bytes of a request arrive.
    void testBodyThatArrives()
    {
        withServer([](ClosingServer &server) {
            testing::RawClient client(server.runtime, server.port);
            client.send("POST /1 HTTP/1.1\r\nHost: studio\r\nContent-Length: 8\r\n\r\npart");
            server.runtime.sleepFor(milliseconds(50));
            server.server->announceClose();
            server.refuses = true;
            server.server->stopAccepting();
            section("a connection on which a request arrives is busy, and it and the one behind it are answered", [&] {
                CPPUNIT_ASSERT_EQUAL(size_t{1}, server.server->busyConnections());
                client.send("rest" + post("/10", "next"));
                CPPUNIT_ASSERT_EQUAL(std::string("503 /1, 503 /10"), responsesOf(client.readAll()));
            });
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlannedCloseTest);

} // namespace snipestream
