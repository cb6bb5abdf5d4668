#include "peer/peer_network.h"

#include "tests/peer/peer_pair.h"

namespace snipestream
{

using nlohmann::json;
using namespace snipestream::testing; // NOLINT(google-build-using-namespace)

/// Guards against calls, notices and streams that reach the wrong peer or caller or are changed in transit.
class PeerNetworkTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PeerNetworkTest);
    CPPUNIT_TEST(testCalls);
    CPPUNIT_TEST(testNotices);
    CPPUNIT_TEST(testStreams);
    CPPUNIT_TEST_SUITE_END();

public:
    void testCalls()
    {
        PeerPair pair;
        PeerIdentity seen;
        pair.server.onCall("echo", [&](const PeerIdentity &from, const json &payload) -> Result<json> {
            seen = from;
            return payload;
        });
        pair.server.onCall("slow", [&](const PeerIdentity &, const json &payload) -> Result<json> {
            pair.runtime.sleepFor(milliseconds(payload.get<int>()));
            return payload;
        });
        pair.server.onCall("fail", [&](const PeerIdentity &, const json &) -> Result<json> {
            return failure(ErrorCode::Conflict, "taken");
        });
        pair.run([&] {
            section("a call connects and gets its reply", [&] {
                const json payload = {{"amount", 12}, {"who", "studio"}, {"list", {1, -2, 3.5, nullptr}}};
                const auto reply = pair.client.call(pair.endpoint, "echo", payload);
                CPPUNIT_ASSERT_MESSAGE(reply ? "" : reply.error().message, reply.has_value());
                CPPUNIT_ASSERT(payload == reply.value());
                CPPUNIT_ASSERT_EQUAL(std::string("client"), seen.node.value);
                CPPUNIT_ASSERT_EQUAL(uint64_t{7}, seen.incarnation);
                CPPUNIT_ASSERT(pair.client.isConnected(pair.endpoint));
            });
            section("the error of the peer's handler is returned", [&] {
                const auto reply = pair.client.call(pair.endpoint, "fail", {});
                CPPUNIT_ASSERT(reply.has_error());
                CPPUNIT_ASSERT(reply.error() == (Error{ErrorCode::Conflict, "taken"}));
            });
            section("an unknown method is not found", [&] {
                CPPUNIT_ASSERT(pair.client.call(pair.endpoint, "nothing", {}).error().code == ErrorCode::NotFound);
            });
            section("replies that arrive out of order reach their own callers", [&] {
                int correct = 0;
                for (int i = 0; i < 20; ++i) {
                    pair.runtime.spawn([&, i] {
                        const auto reply = pair.client.call(pair.endpoint, "slow", 20 - i);
                        correct += reply && reply.value() == 20 - i ? 1 : 0;
                    });
                }
                CPPUNIT_ASSERT(pair.eventually([&] {
                    return correct == 20;
                }));
            });
            section("a late reply is dropped, not given to another call", [&] {
                const auto late = pair.client.call(pair.endpoint, "slow", 30, milliseconds(10));
                CPPUNIT_ASSERT(late.error().code == ErrorCode::Timeout);
                CPPUNIT_ASSERT(pair.client.call(pair.endpoint, "slow", 40).value() == 40);
                CPPUNIT_ASSERT_EQUAL(uint64_t{1}, PeerPair::count(pair.clientMetrics, "frames_dropped"));
            });
            section("a payload beyond the frame limit fails at its sender only", [&] {
                const auto reply = pair.client.call(pair.endpoint, "echo", std::string(300 * 1024, 'x'));
                CPPUNIT_ASSERT(reply.error().code == ErrorCode::TooLarge);
                CPPUNIT_ASSERT(pair.client.call(pair.endpoint, "echo", 1).has_value());
            });
            section("an endpoint without a listener is unavailable, also during the backoff", [&] {
                const Endpoint unreachable{"127.0.0.1", 1};
                CPPUNIT_ASSERT(pair.client.call(unreachable, "echo", 1).error().code == ErrorCode::Unavailable);
                CPPUNIT_ASSERT(pair.client.call(unreachable, "echo", 1).error().code == ErrorCode::Unavailable);
            });
        });
    }

    void testNotices()
    {
        PeerPair pair;
        std::vector<int> seen;
        pair.server.onNotice("tell", [&](const PeerIdentity &, const json &payload) {
            seen.push_back(payload.get<int>());
        });
        pair.run([&] {
            section("without a link a notice is dropped and the link is connected", [&] {
                CPPUNIT_ASSERT(!pair.client.notify(pair.endpoint, "tell", 1));
                CPPUNIT_ASSERT_EQUAL(uint64_t{1}, PeerPair::count(pair.clientMetrics, "notices_dropped"));
                CPPUNIT_ASSERT(pair.eventually([&] {
                    return pair.client.isConnected(pair.endpoint);
                }));
            });
            section("notices arrive in order", [&] {
                for (int i = 2; i < 100; ++i) {
                    CPPUNIT_ASSERT(pair.client.notify(pair.endpoint, "tell", i));
                }
                CPPUNIT_ASSERT(pair.eventually([&] {
                    return seen.size() == 98;
                }));
                CPPUNIT_ASSERT_EQUAL(2, seen.front());
                CPPUNIT_ASSERT(std::is_sorted(seen.begin(), seen.end()));
            });
        });
    }

    void testStreams()
    {
        PeerPair pair;
        RequestHead seen;
        pair.server.onStream([&](Exchange &exchange) {
            seen = exchange.head;
            const auto body = readAll(exchange.requestBody);
            ResponseHead head;
            head.status = body ? 201 : 500;
            head.headers = {{"X-Echo", "yes"}};
            head.refusal = Refusal{RefusalReason::Overloaded, RunState::NotRun, milliseconds(5), "busy"};
            head.sheddingLevel = 17;
            CPPUNIT_ASSERT(exchange.respond(head).has_value());
            CPPUNIT_ASSERT(exchange.responseBody.write(body ? body.value() : "").has_value());
            CPPUNIT_ASSERT(exchange.responseBody.finish().has_value());
        });
        pair.run([&] {
            section("heads and bodies arrive as they were sent", [&] {
                const RequestHead head = sampleHead();
                const auto opened = pair.client.openStream(pair.endpoint, head);
                CPPUNIT_ASSERT(opened.has_value());
                const OutboundCall &call = opened.value();
                CPPUNIT_ASSERT(call.mayHaveBeenSent());
                const std::string body = patternBody(1000);
                CPPUNIT_ASSERT(call.requestBody.write(body).has_value());
                CPPUNIT_ASSERT(call.requestBody.finish().has_value());
                const auto response = call.awaitHead();
                CPPUNIT_ASSERT(response.has_value());
                CPPUNIT_ASSERT_EQUAL(201, response.value().status);
                CPPUNIT_ASSERT_EQUAL(17, *response.value().sheddingLevel);
                CPPUNIT_ASSERT_EQUAL(std::string("busy"), response.value().refusal->detail);
                CPPUNIT_ASSERT(readAll(call.responseBody).value() == body);
                CPPUNIT_ASSERT(head.headers == seen.headers);
                CPPUNIT_ASSERT(head.id == seen.id && head.path == seen.path && head.team == seen.team);
                CPPUNIT_ASSERT(head.timeLeft == seen.timeLeft && head.priority == seen.priority);
            });
            section("concurrent streams get their own responses", [&] {
                int correct = 0;
                for (int i = 0; i < 50; ++i) {
                    pair.runtime.spawn([&, i] {
                        const auto call = pair.client.openStream(pair.endpoint, sampleHead());
                        const std::string body = patternBody(static_cast<size_t>(i) * 3000, i);
                        const bool sent = call.value().requestBody.write(body).has_value() && call.value().requestBody.finish().has_value();
                        const auto head = call.value().awaitHead();
                        const auto response = readAll(call.value().responseBody);
                        correct += sent && head && response && response.value() == body ? 1 : 0;
                    });
                }
                CPPUNIT_ASSERT(pair.eventually([&] {
                    return correct == 50;
                }));
            });
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerNetworkTest);

} // namespace snipestream
