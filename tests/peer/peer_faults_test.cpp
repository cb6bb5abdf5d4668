#include "peer/peer_network.h"

#include "tests/peer/peer_pair.h"
#include "tests/peer/tcp_proxy.h"

#include <algorithm>

namespace snipestream
{

using nlohmann::json;
using namespace snipestream::testing; // NOLINT(google-build-using-namespace)

namespace
{

constexpr size_t kLargeBody = 30U << 20U;
constexpr size_t kPiece = 64U << 10U;

/// Bound on what both ends may hold of one body: one window unread or under way and one message being built.
constexpr size_t kHeldBound = (256U + 256U) << 10U;

/// Writes a body of zeros piece by piece; returns what was written before an error.
auto writeBody(const BodyWriter &writer, size_t bytes, size_t &written) -> Result<void>
{
    while (written < bytes) {
        BOOST_OUTCOME_TRY(writer.write(std::string(kPiece, '\0')));
        written += kPiece;
    }
    return writer.finish();
}

/// Reads to the end with a pause after each MiB; returns the bytes.
auto readSlowly(FiberRuntime &runtime, const BodyReader &reader) -> Result<size_t>
{
    size_t bytes = 0;
    size_t nextPause = 1U << 20U;
    while (true) {
        BOOST_OUTCOME_TRY(const BodyChunk chunk, reader.read());
        bytes += chunk.bytes.size();
        if (chunk.last) {
            return bytes;
        }
        if (bytes >= nextPause) {
            nextPause += 1U << 20U;
            runtime.sleepFor(milliseconds(1));
        }
    }
}

} // namespace

/// Guards against slow, broken or hostile peers that hold memory, end bodies early or disturb other links.
class PeerFaultsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PeerFaultsTest);
    CPPUNIT_TEST(testSlowReader);
    CPPUNIT_TEST(testCutLink);
    CPPUNIT_TEST(testAborts);
    CPPUNIT_TEST(testRefusedLinks);
    CPPUNIT_TEST(testInvalidFrames);
    CPPUNIT_TEST(testFrozenPeer);
    CPPUNIT_TEST(testShutdown);
    CPPUNIT_TEST(testIdleLink);
    CPPUNIT_TEST_SUITE_END();

public:
    void testSlowReader()
    {
        PeerPair pair;
        size_t held = 0;
        const auto measure = [&] {
            held = std::max(held, pair.client.queuedBytes() + pair.client.unreadBytes() + pair.server.queuedBytes() + pair.server.unreadBytes());
        };
        size_t uploaded = 0;
        size_t written = 0;
        pair.server.onStream([&](Exchange &exchange) {
            const auto read = readSlowly(pair.runtime, exchange.requestBody);
            uploaded = read ? read.value() : 0;
            // A failure here cuts the response, which its reader reports.
            static_cast<void>(exchange.respond({}));
            while (written < kLargeBody && exchange.responseBody.write(std::string(kPiece, '\0'))) {
                measure();
                written += kPiece;
            }
            static_cast<void>(exchange.responseBody.finish());
        });
        pair.run([&] {
            const auto call = pair.client.openStream(pair.endpoint, sampleHead()).value();
            section("an upload arrives whole with little of it held", [&] {
                for (size_t sent = 0; sent < kLargeBody; sent += kPiece) {
                    CPPUNIT_ASSERT(call.requestBody.write(std::string(kPiece, '\0')).has_value());
                    measure();
                }
                CPPUNIT_ASSERT(call.requestBody.finish().has_value());
                CPPUNIT_ASSERT(call.awaitHead().has_value());
                CPPUNIT_ASSERT_EQUAL(kLargeBody, uploaded);
                CPPUNIT_ASSERT_MESSAGE(std::to_string(held), held <= kHeldBound);
            });
            section("a reader that stops stops the writer", [&] {
                pair.runtime.sleepFor(milliseconds(20));
                CPPUNIT_ASSERT_MESSAGE(std::to_string(written), written <= kHeldBound);
            });
            section("a download arrives whole with little of it held", [&] {
                const auto downloaded = readSlowly(pair.runtime, call.responseBody);
                CPPUNIT_ASSERT(downloaded.has_value());
                CPPUNIT_ASSERT_EQUAL(kLargeBody, downloaded.value());
                CPPUNIT_ASSERT_MESSAGE(std::to_string(held), held <= kHeldBound);
            });
        });
    }

    void testCutLink()
    {
        PeerPair pair;
        bool isCancelled = false;
        int cancelCalls = 0;
        bool writerFailed = false;
        pair.server.onStream([&](Exchange &exchange) {
            exchange.onCancel([&] {
                ++cancelCalls;
            });
            static_cast<void>(exchange.respond({}));
            size_t written = 0;
            writerFailed = writeBody(exchange.responseBody, kLargeBody, written).has_error();
            isCancelled = exchange.isCancelled();
        });
        pair.server.onCall("hang", [&](const PeerIdentity &, const json &) -> Result<json> {
            pair.runtime.sleepFor(milliseconds(100));
            return json(1);
        });
        pair.run([&] {
            TcpProxy proxy(pair.runtime, pair.endpoint);
            std::optional<Result<json>> reply;
            const auto call = pair.client.openStream(proxy.endpoint(), sampleHead()).value();
            pair.runtime.spawn([&] {
                reply = pair.client.call(proxy.endpoint(), "hang", 1, seconds(3));
            });
            CPPUNIT_ASSERT(call.awaitHead().has_value());
            CPPUNIT_ASSERT(call.responseBody.read().has_value());
            pair.runtime.sleepFor(milliseconds(5));
            proxy.cut();
            section("the reader gets an error, never a regular end", [&] {
                const auto rest = readAll(call.responseBody);
                CPPUNIT_ASSERT(rest.has_error());
                CPPUNIT_ASSERT(rest.error().code == ErrorCode::Closed);
                CPPUNIT_ASSERT(call.requestBody.write("x").has_error());
                CPPUNIT_ASSERT(call.mayHaveBeenSent());
            });
            section("a call that waits on the link fails", [&] {
                CPPUNIT_ASSERT(pair.eventually([&] {
                    return reply.has_value();
                }));
                CPPUNIT_ASSERT(reply->error().code == ErrorCode::Closed);
            });
            section("the writer fails and its handler is told once", [&] {
                CPPUNIT_ASSERT(pair.eventually([&] {
                    return writerFailed;
                }));
                CPPUNIT_ASSERT(isCancelled);
                CPPUNIT_ASSERT_EQUAL(1, cancelCalls);
            });
            section("the next call connects again", [&] {
                CPPUNIT_ASSERT(pair.client.call(proxy.endpoint(), "hang", 1).has_value());
            });
            proxy.stop();
        });
    }

    void testAborts()
    {
        PeerPair pair;
        std::string mode;
        int cancelCalls = 0;
        std::optional<Result<std::string>> requestBody;
        pair.server.onStream([&](Exchange &exchange) {
            exchange.onCancel([&] {
                ++cancelCalls;
            });
            if (mode == "read") {
                requestBody = readAll(exchange.requestBody);
                return;
            }
            static_cast<void>(exchange.respond({}));
            static_cast<void>(exchange.responseBody.write("part"));
            if (mode == "abort") {
                exchange.responseBody.abort();
            } else if (mode == "finish early") {
                static_cast<void>(exchange.responseBody.finish());
            }
        });
        pair.run([&] {
            const auto open = [&](const std::string &how) {
                mode = how;
                return pair.client.openStream(pair.endpoint, sampleHead()).value();
            };
            for (const char *how : {"abort", "return"}) {
                section(std::string("the server's handler ends with ") + how, [&] {
                    const auto call = open(how);
                    CPPUNIT_ASSERT(call.awaitHead().has_value());
                    CPPUNIT_ASSERT(readAll(call.responseBody).has_error());
                    CPPUNIT_ASSERT_EQUAL(0, cancelCalls);
                });
            }
            section("an answer before the end of the request is complete, and the rest of the request stops", [&] {
                const auto call = open("finish early");
                CPPUNIT_ASSERT(call.awaitHead().has_value());
                CPPUNIT_ASSERT(readAll(call.responseBody).value() == "part");
                size_t written = 0;
                CPPUNIT_ASSERT(writeBody(call.requestBody, kLargeBody, written).has_error());
            });
            const auto checkServerSaw = [&](int calls) {
                CPPUNIT_ASSERT(pair.eventually([&] {
                    return requestBody.has_value();
                }));
                CPPUNIT_ASSERT(requestBody->has_error());
                CPPUNIT_ASSERT_EQUAL(calls, cancelCalls);
                requestBody.reset();
            };
            section("the client aborts its body", [&] {
                const auto call = open("read");
                CPPUNIT_ASSERT(call.requestBody.write("part").has_value());
                call.requestBody.abort();
                checkServerSaw(1);
                CPPUNIT_ASSERT(call.awaitHead().has_error());
            });
            section("the client cancels", [&] {
                const auto call = open("read");
                call.cancel();
                call.cancel();
                checkServerSaw(2);
            });
            section("the client drops the call", [&] {
                static_cast<void>(open("read"));
                checkServerSaw(3);
            });
        });
    }

    void testRefusedLinks()
    {
        const auto refusedCall = [](PeerOptions client, const std::string &reason) {
            PeerPair pair(std::move(client));
            int calls = 0;
            pair.server.onCall("run", [&](const PeerIdentity &, const json &) -> Result<json> {
                ++calls;
                return json(1);
            });
            pair.run([&] {
                const auto reply = pair.client.call(pair.endpoint, "run", 1);
                CPPUNIT_ASSERT(reply.error().code == ErrorCode::Unavailable);
                CPPUNIT_ASSERT_MESSAGE(reply.error().message, reply.error().message.find(reason) != std::string::npos);
                CPPUNIT_ASSERT_EQUAL(size_t{0}, pair.server.linkCount());
            });
            CPPUNIT_ASSERT_EQUAL(0, calls);
            CPPUNIT_ASSERT_EQUAL(uint64_t{1}, PeerPair::count(pair.clientMetrics, "links_refused"));
        };
        section("another protocol version", [&] {
            PeerOptions options = testOptions("client");
            options.version = 2;
            refusedCall(options, "version 2 instead of 1");
        });
        section("another secret", [&] {
            PeerOptions options = testOptions("client");
            options.fleetSecret = "wrong";
            refusedCall(options, "secret");
        });
        PeerPair pair;
        int calls = 0;
        pair.server.onCall("run", [&](const PeerIdentity &, const json &) -> Result<json> {
            ++calls;
            return json(1);
        });
        pair.run([&] {
            section("a dialler that cannot answer the challenge", [&] {
                RawPeer stray(pair.runtime, pair.endpoint);
                stray.greet("guess");
                stray.send(CallFrame{1, "run", 1});
                stray.wait(stray.closed);
                CPPUNIT_ASSERT(stray.closed);
            });
            section("a dialler that skips the handshake", [&] {
                RawPeer stray(pair.runtime, pair.endpoint);
                stray.send(CallFrame{1, "run", 1});
                stray.wait(stray.closed);
                CPPUNIT_ASSERT(stray.closed);
            });
            section("a dialler that says nothing is closed when the handshake times out", [&] {
                RawPeer stray(pair.runtime, pair.endpoint);
                stray.wait(stray.closed);
                CPPUNIT_ASSERT(stray.closed);
            });
            CPPUNIT_ASSERT_EQUAL(0, calls);
            CPPUNIT_ASSERT_EQUAL(uint64_t{2}, PeerPair::count(pair.serverMetrics, "links_refused"));
        });
    }

    void testInvalidFrames()
    {
        PeerPair pair;
        int streams = 0;
        pair.server.onStream([&](Exchange &exchange) {
            ++streams;
            static_cast<void>(exchange.respond({}));
            const auto body = readAll(exchange.requestBody);
            if (body) {
                static_cast<void>(exchange.responseBody.write(body.value()));
                static_cast<void>(exchange.responseBody.finish());
            }
        });
        pair.run([&] {
            const auto other = pair.client.openStream(pair.endpoint, sampleHead()).value();
            CPPUNIT_ASSERT(other.requestBody.write("before ").has_value());
            uint64_t violations = 0;
            const auto expectClosed = [&](const std::string &title, const std::function<void(RawPeer &)> &send) {
                section(title, [&] {
                    RawPeer raw(pair.runtime, pair.endpoint);
                    raw.greet(testOptions("").fleetSecret);
                    send(raw);
                    raw.wait(raw.closed);
                    CPPUNIT_ASSERT(raw.closed);
                    ++violations;
                    CPPUNIT_ASSERT_EQUAL(violations, PeerPair::count(pair.serverMetrics, "violations"));
                });
            };
            expectClosed("bytes that are not CBOR", [](RawPeer &raw) {
                raw.sendBytes("\xff garbage");
            });
            expectClosed("an unknown frame type", [](RawPeer &raw) {
                std::string bytes;
                json::to_cbor(json::array({77, 1, nullptr}), bytes);
                raw.sendBytes(bytes);
            });
            expectClosed("a message above the limit", [](RawPeer &raw) {
                raw.sendBytes(std::string(257U << 10U, '\0'));
            });
            expectClosed("a chunk without a stream", [](RawPeer &raw) {
                raw.send(ChunkFrame{1, 0, "x"});
            });
            expectClosed("a stream opened twice", [](RawPeer &raw) {
                raw.send(OpenFrame{1, sampleHead()});
                raw.send(OpenFrame{1, sampleHead()});
            });
            expectClosed("a chunk at the wrong place", [](RawPeer &raw) {
                raw.send(OpenFrame{1, sampleHead()});
                raw.send(ChunkFrame{1, 5, "x"});
            });
            expectClosed("a frame for the other role", [](RawPeer &raw) {
                raw.send(ReplyFrame{1, 1});
            });
            expectClosed("a second hello", [](RawPeer &raw) {
                raw.send(HelloFrame{1, "raw", 1, "caerdydd", 1, std::string(32, 'a'), {}});
            });
            CPPUNIT_ASSERT_EQUAL(3, streams);
            section("a stream of another link goes on", [&] {
                CPPUNIT_ASSERT(other.requestBody.write("after").has_value());
                CPPUNIT_ASSERT(other.requestBody.finish().has_value());
                CPPUNIT_ASSERT(other.awaitHead().has_value());
                CPPUNIT_ASSERT(readAll(other.responseBody).value() == "before after");
            });
        });
    }

    void testFrozenPeer()
    {
        PeerPair pair;
        pair.server.onCall("run", [&](const PeerIdentity &, const json &payload) -> Result<json> {
            return payload;
        });
        pair.run([&] {
            TcpProxy proxy(pair.runtime, pair.endpoint);
            CPPUNIT_ASSERT(pair.client.call(proxy.endpoint(), "run", 1).has_value());
            section("pings keep a silent link open", [&] {
                pair.runtime.sleepFor(milliseconds(400));
                CPPUNIT_ASSERT(pair.client.isConnected(proxy.endpoint()));
                CPPUNIT_ASSERT_EQUAL(size_t{1}, pair.server.linkCount());
            });
            section("a call to a frozen peer fails when the link is given up", [&] {
                proxy.freeze();
                const TimePoint start = BootClock::now();
                const auto reply = pair.client.call(proxy.endpoint(), "run", 1, seconds(5));
                CPPUNIT_ASSERT(reply.error().code == ErrorCode::Closed);
                CPPUNIT_ASSERT(BootClock::now() - start < seconds(3));
            });
            section("the other side notices as well", [&] {
                CPPUNIT_ASSERT(pair.eventually([&] {
                    return pair.server.linkCount() == 0;
                }));
            });
            proxy.stop();
        });
    }

    void testShutdown()
    {
        PeerPair pair;
        bool mayFinish = false;
        std::optional<Result<std::string>> stuck;
        pair.server.onStream([&](Exchange &exchange) {
            static_cast<void>(exchange.respond({}));
            if (exchange.head.path == "/stuck") {
                stuck = readAll(exchange.requestBody);
                return;
            }
            while (!mayFinish) {
                pair.runtime.sleepFor(milliseconds(1));
            }
            static_cast<void>(exchange.responseBody.write("whole"));
            static_cast<void>(exchange.responseBody.finish());
        });
        pair.run([&] {
            const auto running = pair.client.openStream(pair.endpoint, sampleHead()).value();
            RequestHead stuckHead = sampleHead();
            stuckHead.path = "/stuck";
            const auto endless = pair.client.openStream(pair.endpoint, stuckHead).value();
            CPPUNIT_ASSERT(running.awaitHead().has_value());
            CPPUNIT_ASSERT(endless.awaitHead().has_value());
            // Opened before the goodbye can have arrived, so that the server itself must refuse it.
            bool isDown = false;
            pair.runtime.spawn([&] {
                pair.server.shutdown();
                isDown = true;
            });
            // An assertion that fails in a fiber of its own would end the process, so the outcome is checked below.
            bool wasQueued = false;
            bool wasSent = true;
            std::optional<Result<ResponseHead>> refused;
            pair.runtime.spawn([&] {
                const auto crossed = pair.client.openStream(pair.endpoint, sampleHead());
                wasQueued = crossed && crossed.value().mayHaveBeenSent();
                if (wasQueued) {
                    refused = crossed.value().awaitHead();
                    wasSent = crossed.value().mayHaveBeenSent();
                }
                mayFinish = true;
            });
            section("a running stream finishes", [&] {
                const auto body = readAll(running.responseBody);
                CPPUNIT_ASSERT(body && body.value() == "whole");
                CPPUNIT_ASSERT(!isDown);
            });
            section("a stream that crossed the goodbye is refused as not started", [&] {
                CPPUNIT_ASSERT(wasQueued);
                CPPUNIT_ASSERT(refused && refused->has_error());
                CPPUNIT_ASSERT(refused->error().code == ErrorCode::Unavailable);
                CPPUNIT_ASSERT(!wasSent);
            });
            section("a new call finds no link", [&] {
                CPPUNIT_ASSERT(pair.client.call(pair.endpoint, "run", 1).error().code == ErrorCode::Unavailable);
            });
            section("a stream that does not end is cut at the deadline", [&] {
                CPPUNIT_ASSERT(readAll(endless.responseBody).has_error());
                CPPUNIT_ASSERT(pair.eventually([&] {
                    return isDown;
                }));
                CPPUNIT_ASSERT(stuck && stuck->has_error());
                CPPUNIT_ASSERT_EQUAL(size_t{0}, pair.server.linkCount());
            });
        });
    }

    void testIdleLink()
    {
        PeerOptions options = testOptions("client");
        options.idleTimeout = milliseconds(60);
        PeerPair pair(options);
        pair.server.onCall("run", [&](const PeerIdentity &, const json &payload) -> Result<json> {
            pair.runtime.sleepFor(milliseconds(payload.get<int>()));
            return payload;
        });
        pair.run([&] {
            section("a link with a running call stays", [&] {
                CPPUNIT_ASSERT(pair.client.call(pair.endpoint, "run", 150).has_value());
            });
            section("an unused link is closed on both sides", [&] {
                CPPUNIT_ASSERT(pair.eventually([&] {
                    return pair.client.linkCount() + pair.server.linkCount() == 0;
                }));
            });
            section("and made again when it is needed", [&] {
                CPPUNIT_ASSERT(pair.client.call(pair.endpoint, "run", 1).has_value());
            });
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerFaultsTest);

} // namespace snipestream
