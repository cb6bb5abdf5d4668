#include "platform/log_client.h"

#include "platform/blocking_transport.h"
#include "platform/http_log_client.h"
#include "tests/standins/log_standin.h"
#include "tests/support/section.h"

#include <nlohmann/json.hpp>
#include <rapidcheck.h>

namespace snipestream
{

using testing::FakeLog;
using testing::section;
using testing::serveLogRequest;
using testing::StandinServer;

namespace
{

/// Serves a fake log over HTTP on loopback.
struct ServedLog {
    explicit ServedLog(size_t retain = 0)
        : log(retain)
        , server(
              [this](const std::string &method, const std::string &target, const std::string &body) {
                  return serveLogRequest(log, method, target, body);
              },
              0)
        , client(makeHttpLogClient(makeBlockingTransport(server.endpoint()), milliseconds(300)))
    {
    }

    void setFaults(const std::string &json)
    {
        const auto response = makeBlockingTransport(server.endpoint())("PUT", "/faults", json, seconds(2));
        CPPUNIT_ASSERT_EQUAL(200, response.value().status);
    }

    FakeLog log;
    StandinServer server;
    LogClient client;
};

} // namespace

/// Guards against a log client that hides lost appends, returns wrong error codes or accepts pages with gaps.
class LogClientTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LogClientTest);
    CPPUNIT_TEST(testAppendAndRead);
    CPPUNIT_TEST(testFaults);
    CPPUNIT_TEST(testPagesAreChecked);
    CPPUNIT_TEST(testDecoderSurvivesAnyBody);
    CPPUNIT_TEST_SUITE_END();

public:
    void testAppendAndRead()
    {
        ServedLog served(3);
        const std::string payload = "{\"text\":\"f\u00fcnf \\\" \\n\"}";
        section("each stream has its own increasing offsets", [&] {
            CPPUNIT_ASSERT_EQUAL(uint64_t{0}, served.client.append("config", payload).value());
            CPPUNIT_ASSERT_EQUAL(uint64_t{1}, served.client.append("config", "b").value());
            CPPUNIT_ASSERT_EQUAL(uint64_t{0}, served.client.append(claimsStream(31), "c").value());
        });
        section("a read returns the payload unchanged and respects the limit", [&] {
            const auto page = served.client.read("config", 0, 1).value();
            CPPUNIT_ASSERT_EQUAL(size_t{1}, page.records.size());
            CPPUNIT_ASSERT_EQUAL(payload, page.records.front().payload);
            CPPUNIT_ASSERT_EQUAL(uint64_t{2}, page.head);
        });
        section("a read at the head succeeds and is empty", [&] {
            CPPUNIT_ASSERT(served.client.read("config", 2, 10).value().records.empty());
        });
        section("a read below the retained records returns the earliest retained offset", [&] {
            CPPUNIT_ASSERT(served.client.append("config", "c"));
            CPPUNIT_ASSERT(served.client.append("config", "d"));
            const auto page = served.client.read("config", 0, 10);
            CPPUNIT_ASSERT(page.error().code == ErrorCode::Expired);
            CPPUNIT_ASSERT(earliestOfExpired(page.error()) == uint64_t{1});
        });
    }

    void testFaults()
    {
        ServedLog served;
        section("a lost response is an error although the record was appended", [&] {
            served.setFaults(R"({"loseAnswers":1,"delayMs":0})");
            CPPUNIT_ASSERT(served.client.append("config", "a").has_error());
            CPPUNIT_ASSERT_EQUAL(size_t{1}, served.client.read("config", 0, 10).value().records.size());
        });
        section("a slow log causes a timeout", [&] {
            served.setFaults(R"({"delayMs":600})");
            CPPUNIT_ASSERT(served.client.append("config", "b").error().code == ErrorCode::Timeout);
        });
        section("a log that is down is reported as unavailable", [&] {
            served.setFaults(R"({"down":true})");
            CPPUNIT_ASSERT(served.client.read("config", 0, 10).error().code == ErrorCode::Unavailable);
        });
        section("expired records are reported", [&] {
            served.setFaults(R"({"expireBefore":{"config":1}})");
            CPPUNIT_ASSERT(served.client.read("config", 0, 10).error().code == ErrorCode::Expired);
        });
        section("without a listener nothing is sent and the log is reported as unavailable", [&] {
            const Endpoint unusedEndpoint{"127.0.0.1", 1};
            const auto client = makeHttpLogClient(makeBlockingTransport(unusedEndpoint), milliseconds(300));
            CPPUNIT_ASSERT(client.append("config", "a").error().code == ErrorCode::Unavailable);
        });
    }

    void testPagesAreChecked()
    {
        const std::vector<std::pair<std::string, std::string>> bad = {
            {"not JSON", "<html>"},
            {"no head", R"({"earliest":0,"records":[]})"},
            {"head below earliest", R"({"earliest":4,"head":3,"records":[]})"},
            {"a gap", R"({"earliest":0,"head":9,"records":[{"offset":2,"payload":"a"},{"offset":4,"payload":"b"}]})"},
            {"not from the requested offset", R"({"earliest":0,"head":9,"records":[{"offset":3,"payload":"a"}]})"},
            {"beyond the head", R"({"earliest":0,"head":2,"records":[{"offset":2,"payload":"a"}]})"},
            {"a payload of the wrong type", R"({"earliest":0,"head":9,"records":[{"offset":2,"payload":{}}]})"},
        };
        for (const auto &[title, body] : bad) {
            section(title, [&, text = body] {
                CPPUNIT_ASSERT(decodeLogPage(text, 2).error().code == ErrorCode::ProtocolViolation);
            });
        }
    }

    void testDecoderSurvivesAnyBody()
    {
        const LogPage page{{{0, "a"}, {1, "b"}}, 0, 2};
        const std::string valid = encodeLogPage(page);
        CPPUNIT_ASSERT(rc::check("a damaged page is an error or a page, never a crash", [&] {
            std::string body = valid;
            const auto count = *rc::gen::inRange(1, 4);
            for (int i = 0; i < count; ++i) {
                body[*rc::gen::inRange<size_t>(0, body.size())] = *rc::gen::arbitrary<char>();
            }
            body.resize(*rc::gen::inRange<size_t>(0, body.size() + 1));
            const auto decoded = decodeLogPage(body, 0);
            if (decoded.has_error()) {
                RC_ASSERT(!decoded.error().message.empty());
            }
        }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogClientTest);

} // namespace snipestream
