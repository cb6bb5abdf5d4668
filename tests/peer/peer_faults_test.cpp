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

constexpr size_t kLargeBodyBytes = 30U << 20U;
constexpr size_t kPieceBytes = 64U << 10U;

/// Maximum bytes of one body that both ends may buffer: one window unread or in flight, and one message being built.
constexpr size_t kMaxBufferedBytes = (256U + 256U) << 10U;

/// Writes a body of zeros piece by piece, and adds the bytes written before the end or an error to `written`.
auto writeBody(const BodyWriter &writer, size_t bytes, size_t &written) -> Result<void>
{
    while (written < bytes) {
        BOOST_OUTCOME_TRY(writer.write(std::string(kPieceBytes, '\0')));
        written += kPieceBytes;
    }
    return writer.finish();
}

/// Reads to the end with a pause after each MiB; returns the number of bytes.
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

/// Guards against slow, faulty or hostile peers that make a node hold memory, end bodies early or disturb other links.
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
        size_t maxBufferedBytes = 0;
        const auto measure = [&] {
            maxBufferedBytes =
                std::max(maxBufferedBytes, pair.client.queuedBytes() + pair.client.unreadBytes() + pair.server.queuedBytes() + pair.server.unreadBytes());
        };
        size_t uploaded = 0;
        size_t written = 0;
        pair.server.onStream([&](Exchange &exchange) {
            const auto read = readSlowly(pair.runtime, exchange.requestBody);
            uploaded = read ? read.value() : 0;
            // A failure here aborts the response, which its reader checks.
            static_cast<void>(exchange.respond({}));
            while (written < kLargeBodyBytes && exchange.responseBody.write(std::string(kPieceBytes, '\0'))) {
                measure();
                written += kPieceBytes;
            }
            static_cast<void>(exchange.responseBody.finish());
        });
        pair.run([&] {
            const auto call = pair.client.openStream(pair.endpoint, sampleHead()).value();
            section("an upload to a slow reader is complete and buffers stay bounded", [&] {
                for (size_t sent = 0; sent < kLargeBodyBytes; sent += kPieceBytes) {
                    CPPUNIT_ASSERT(call.requestBody.write(std::string(kPieceBytes, '\0')).has_value());
                    measure();
                }
                CPPUNIT_ASSERT(call.requestBody.finish().has_value());
                CPPUNIT_ASSERT(call.awaitHead().has_value());
                CPPUNIT_ASSERT_EQUAL(kLargeBodyBytes, uploaded);
                CPPUNIT_ASSERT_MESSAGE(std::to_string(maxBufferedBytes), maxBufferedBytes <= kMaxBufferedBytes);
            });
            section("the writer blocks while the reader does not read", [&] {
                pair.runtime.sleepFor(milliseconds(20));
                CPPUNIT_ASSERT_MESSAGE(std::to_string(written), written <= kMaxBufferedBytes);
            });
            section("a download to a slow reader is complete and buffers stay bounded", [&] {
                const auto downloaded = readSlowly(pair.runtime, call.responseBody);
                CPPUNIT_ASSERT(downloaded.has_value());
                CPPUNIT_ASSERT_EQUAL(kLargeBodyBytes, downloaded.value());
                CPPUNIT_ASSERT_MESSAGE(std::to_string(maxBufferedBytes), maxBufferedBytes <= kMaxBufferedBytes);
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
            writerFailed = writeBody(exchange.responseBody, kLargeBodyBytes, written).has_error();
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
            proxy.closeConnections();
            section("the reader gets an error, never a regular end", [&] {
                const auto rest = readAll(call.responseBody);
                CPPUNIT_ASSERT(rest.has_error());
                CPPUNIT_ASSERT(rest.error().code == ErrorCode::Closed);
                CPPUNIT_ASSERT(call.requestBody.write("x").has_error());
                CPPUNIT_ASSERT(call.mayHaveBeenSent());
            });
            section("a call that waits for its reply fails", [&] {
                CPPUNIT_ASSERT(pair.eventually([&] {
                    return reply.has_value();
                }));
                CPPUNIT_ASSERT(reply->error().code == ErrorCode::Closed);
            });
            section("the writer fails and the cancel function runs once", [&] {
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
            section("a response before the end of the request is complete, and writing the rest of the request fails", [&] {
                const auto call = open("finish early");
                CPPUNIT_ASSERT(call.awaitHead().has_value());
                CPPUNIT_ASSERT(readAll(call.responseBody).value() == "part");
                size_t written = 0;
                CPPUNIT_ASSERT(writeBody(call.requestBody, kLargeBodyBytes, written).has_error());
            });
            const auto checkServerCancelled = [&](int calls) {
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
                checkServerCancelled(1);
                CPPUNIT_ASSERT(call.awaitHead().has_error());
            });
            section("the client cancels", [&] {
                const auto call = open("read");
                call.cancel();
                call.cancel();
                checkServerCancelled(2);
            });
            section("the client drops the call", [&] {
                static_cast<void>(open("read"));
                checkServerCancelled(3);
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
            section("a dialler with a wrong proof", [&] {
                RawPeer dialler(pair.runtime, pair.endpoint);
                dialler.completeHandshake("guess");
                dialler.send(CallFrame{1, "run", 1});
                dialler.wait(dialler.closed);
                CPPUNIT_ASSERT(dialler.closed);
            });
            section("a dialler that skips the handshake", [&] {
                RawPeer dialler(pair.runtime, pair.endpoint);
                dialler.send(CallFrame{1, "run", 1});
                dialler.wait(dialler.closed);
                CPPUNIT_ASSERT(dialler.closed);
            });
            section("a dialler that sends nothing is closed when the handshake times out", [&] {
                RawPeer dialler(pair.runtime, pair.endpoint);
                dialler.wait(dialler.closed);
                CPPUNIT_ASSERT(dialler.closed);
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
            const auto otherStream = pair.client.openStream(pair.endpoint, sampleHead()).value();
            CPPUNIT_ASSERT(otherStream.requestBody.write("before ").has_value());
            uint64_t violations = 0;
            const auto expectClosed = [&](const std::string &title, const std::function<void(RawPeer &)> &send) {
                section(title, [&] {
                    RawPeer raw(pair.runtime, pair.endpoint);
                    raw.completeHandshake(testOptions("").fleetSecret);
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
            expectClosed("a chunk at the wrong offset", [](RawPeer &raw) {
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
            section("a stream of another link continues", [&] {
                CPPUNIT_ASSERT(otherStream.requestBody.write("after").has_value());
                CPPUNIT_ASSERT(otherStream.requestBody.finish().has_value());
                CPPUNIT_ASSERT(otherStream.awaitHead().has_value());
                CPPUNIT_ASSERT(readAll(otherStream.responseBody).value() == "before after");
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
            section("a call to a frozen peer fails when the link is closed as dead", [&] {
                proxy.freeze();
                const TimePoint start = BootClock::now();
                const auto reply = pair.client.call(proxy.endpoint(), "run", 1, seconds(5));
                CPPUNIT_ASSERT(reply.error().code == ErrorCode::Closed);
                CPPUNIT_ASSERT(BootClock::now() - start < seconds(3));
            });
            section("the other side closes the link as well", [&] {
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
            // The stream below is opened before the goodbye can have arrived, so the server itself must refuse it.
            bool isDown = false;
            pair.runtime.spawn([&] {
                pair.server.shutdown();
                isDown = true;
            });
            // A failed assertion in a separate fiber would terminate the process, so the outcome is checked below.
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
            section("a new call is unavailable", [&] {
                CPPUNIT_ASSERT(pair.client.call(pair.endpoint, "run", 1).error().code == ErrorCode::Unavailable);
            });
            section("a stream that does not end is aborted at the deadline", [&] {
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
            section("a link with a running call stays open", [&] {
                CPPUNIT_ASSERT(pair.client.call(pair.endpoint, "run", 150).has_value());
            });
            section("an unused link is closed on both sides", [&] {
                CPPUNIT_ASSERT(pair.eventually([&] {
                    return pair.client.linkCount() + pair.server.linkCount() == 0;
                }));
            });
            section("a later call connects again", [&] {
                CPPUNIT_ASSERT(pair.client.call(pair.endpoint, "run", 1).has_value());
            });
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerFaultsTest);

} // namespace snipestream
