#pragma once

#include "core/metrics.h"
#include "net/fiber_runtime.h"
#include "peer/peer_network.h"
#include "tests/support/section.h"

#include <functional>
#include <memory>
#include <string>

namespace snipestream::testing
{

/// Returns options with short timeouts, so that tests do not wait long for a dead or idle link.
inline auto testOptions(const std::string &node) -> PeerOptions
{
    PeerOptions options;
    options.listen = {"127.0.0.1", 0};
    options.self = {NodeName(node), 7, DomainName("caerdydd")};
    options.fleetSecret = "fleet secret of the tests";
    options.connectTimeout = milliseconds(300);
    options.pingInterval = milliseconds(40);
    options.deadAfter = milliseconds(200);
    options.shutdownTimeout = milliseconds(300);
    return options;
}

/// Two networks on one runtime; `server` listens and `client` calls it.
struct PeerPair {
    explicit PeerPair(PeerOptions clientOptions = testOptions("client"), PeerOptions serverOptions = testOptions("server"))
        : client(runtime, std::move(clientOptions), clientMetrics)
        , server(runtime, std::move(serverOptions), serverMetrics)
    {
    }

    /// Listens, runs `test` in a fiber, shuts down both networks and checks that no fiber or link remains.
    void run(const std::function<void()> &test)
    {
        runtime.runToEnd([&] {
            const auto port = server.listen();
            CPPUNIT_ASSERT(port.has_value());
            endpoint = {"127.0.0.1", port.value()};
            try {
                test();
            } catch (...) {
                failure_ = std::current_exception();
            }
            client.shutdown();
            server.shutdown();
        });
        if (failure_) {
            std::rethrow_exception(failure_);
        }
        CPPUNIT_ASSERT_EQUAL(size_t{0}, runtime.fiberCount());
        CPPUNIT_ASSERT_EQUAL(size_t{0}, client.linkCount() + server.linkCount());
    }

    /// Blocks the fiber until the condition holds, for at most five seconds; returns whether it holds.
    auto eventually(const std::function<bool()> &condition) -> bool
    {
        const TimePoint deadline = BootClock::now() + seconds(5);
        while (!condition() && BootClock::now() < deadline) {
            runtime.sleepFor(milliseconds(1));
        }
        return condition();
    }

    static auto count(MetricsRegistry &metrics, const std::string &name) -> uint64_t
    {
        return metrics.counter("snipestream_peer_" + name + "_total", "").value();
    }

    FiberRuntime runtime;
    MetricsRegistry clientMetrics;
    MetricsRegistry serverMetrics;
    PeerNetwork client;
    PeerNetwork server;
    Endpoint endpoint;

private:
    std::exception_ptr failure_;
};

/// Reads a body to its end or to the first error.
inline auto readAll(const BodyReader &reader) -> Result<std::string>
{
    std::string body;
    while (true) {
        BOOST_OUTCOME_TRY(const BodyChunk chunk, reader.read());
        body += chunk.bytes;
        if (chunk.last) {
            return body;
        }
    }
}

/// Returns a body whose bytes depend on their position, which reveals missing or duplicate pieces.
inline auto patternBody(size_t bytes, uint64_t seed = 1) -> std::string
{
    std::string body(bytes, '\0');
    uint64_t state = seed;
    for (char &byte : body) {
        state = state * 6364136223846793005ULL + 1442695040888963407ULL;
        byte = static_cast<char>(state >> 56U);
    }
    return body;
}

/// Returns a head with every field set.
inline auto sampleHead() -> RequestHead
{
    RequestHead head;
    head.id = {1, 2};
    head.method = "POST";
    head.path = "/chairs/3?day=monday";
    head.headers = {{"Content-Type", "application/json"}, {"Accept", "*/*"}, {"X-Name", "Si\xe2n \xff"}};
    head.bodyLength = 100;
    head.route = RouteName("chairs");
    head.service = ServiceName("diary");
    head.team = TeamName("studio");
    head.priority = Priority::High;
    head.idempotent = false;
    head.timeLeft = milliseconds(750);
    head.attemptsLeft = 3;
    head.depth = 2;
    return head;
}

} // namespace snipestream::testing
