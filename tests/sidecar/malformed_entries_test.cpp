#include "tests/sidecar/fleet.h"
#include "tests/support/section.h"

#include <memory>
#include <string>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/udp.hpp>

namespace snipestream
{

using testing::Fleet;
using testing::kReportPort;
using testing::section;

namespace
{

const std::string kInvalidUtf8 = "\xff\xfe\x80";
const std::string kDeepJson = std::string(100000, '[') + std::string(100000, ']');
const std::string kDeepCbor = std::string(60000, '\x81');
const std::string kDeepText = std::string(60000, '\x7f');

void sendDatagram(Fleet &fleet, const std::string &address, char kind, const std::string &payload)
{
    boost::asio::ip::udp::socket socket(fleet.runtime.context(), boost::asio::ip::udp::v4());
    const std::string bytes = kind + payload;
    socket.send_to(boost::asio::buffer(bytes), {boost::asio::ip::make_address(address), kReportPort});
    fleet.runtime.sleepFor(milliseconds(5));
}

/// Checks that the nodes serve and that a node which is added after the malformed entries becomes known to the others.
void checkFollows(Fleet &fleet, int newNode)
{
    fleet.nodes.push_back(std::make_unique<Sidecar>(fleet.runtime, testing::makeSettings(newNode, "diary", fleet.store.endpoint())));
    CPPUNIT_ASSERT(fleet.nodes.back()->start().has_value());
    fleet.runtime.sleepFor(milliseconds(1000));
    for (const std::string &node : {std::string("127.0.0.2"), std::string("127.0.0.3"), std::string("127.0.0.4"), "127.0.0." + std::to_string(newNode)}) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(node, 200, fleet.sendRequest("GET", "/stock/7", "k1", node).response.status);
        RequestMessage request;
        request.method = "GET";
        request.target = "/-/members?after=0";
        CancelSignal cancel;
        const CallResult members = fleet.callers.call({node, testing::kPeerPort}, request, cancel, BootClock::now() + seconds(1));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(node, 200, members.response.status);
        CPPUNIT_ASSERT_MESSAGE(node, members.response.body.find("127.0.0." + std::to_string(newNode)) != std::string::npos);
    }
}

} // namespace

/// One malformed entry must not end the nodes that read it, or keep them from following the others.
class MalformedEntriesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MalformedEntriesTest);
    CPPUNIT_TEST(testMalformedEntries);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against nodes that end, or no longer learn of new members, after a malformed entry of the store or datagram.
    void testMalformedEntries()
    {
        FiberRuntime runtime;
        runtime.runToEnd([&] {
            auto fleet = std::make_unique<Fleet>(runtime);
            const std::vector<std::string> malformedValues = {
                kDeepJson,
                kInvalidUtf8,
                "",
                "7",
                R"({"node":"n","domain":"east","service":1e999})",
                R"({"node":"n","domain":"east","service":"x","departed":[{"instance":"i","start":99999999999999999999}]})",
            };
            section("malformed values among the members", [&] {
                for (size_t i = 0; i < malformedValues.size(); ++i) {
                    fleet->store.put("keyed.nodes", "127.0.9." + std::to_string(i + 1), malformedValues[i]);
                }
                checkFollows(*fleet, 5);
            });
            section("malformed keys among the members", [&] {
                const std::string member = R"({"node":"n","domain":"east","service":"catalogue"})";
                for (const std::string &key :
                     {std::string(), std::string("10.0.0.1:99999"), std::string("999.0.0.1"), kInvalidUtf8, std::string(255, 'k'), std::string("::1")}) {
                    fleet->store.put("keyed.nodes", key, member);
                }
                checkFollows(*fleet, 6);
            });
            section("a malformed value under the address of a member", [&] {
                for (const auto &value : malformedValues) {
                    fleet->store.put("keyed.nodes", "127.0.0.3", value);
                    fleet->store.put("keyed.nodes", "127.0.0.4", value);
                    runtime.sleepFor(milliseconds(50));
                }
                checkFollows(*fleet, 7);
            });
            section("a malformed configuration and malformed records of work, also at a start", [&] {
                for (const std::string &value :
                     {kDeepJson, kInvalidUtf8, kDeepCbor, std::string(R"({"Version":"ffffffffffffffffffffffff","Resources":[]})"),
                      std::string(R"({"Version":"00000009","Resources":[{"Type":"Routes","Metadata":{"Name":"r"},"Spec":{"TimeoutMs":1e300}}]})")}) {
                    fleet->store.put("keyed.op", "config", value);
                    fleet->store.put("keyed.work", "catalogue", value);
                    fleet->store.put("keyed.work", "diary", value);
                }
                fleet->store.put("keyed.work", "catalogue", std::string("\xa1\x61k\x81\x84\x62\xff\xfe\x01\x01\x80"));
                fleet->store.put("keyed.op", "config", testing::configuration("00000002", "\"k1\""));
                fleet->restartNode(1, 3, "catalogue");
                CPPUNIT_ASSERT_EQUAL(200, fleet->firstTarget.announce({"127.0.0.3", testing::kTargetPort}, "catalogue", "ready"));
                checkFollows(*fleet, 8);
            });
            section("limits of a configuration that are too large for a clock", [&] {
                std::string document = testing::configuration("00000003", "\"k1\"");
                document.replace(document.find("15000"), 5, R"(1e300,"HeaderTimeoutMs":1e18,"MaxHeaderBytes":1e300,"MaxBodyBytes":1e300)");
                fleet->store.put("keyed.op", "config", document);
                runtime.sleepFor(milliseconds(500));
                CPPUNIT_ASSERT_EQUAL(200, fleet->sendRequest("GET", "/stock/7", "k1").response.status);
            });
            section("malformed datagrams", [&] {
                for (char kind = 0; kind < 12; ++kind) {
                    for (const std::string &payload :
                         {kDeepCbor, kDeepText, kInvalidUtf8, std::string(), std::string("\xa1\x61r\x81\x62\xff\xfe"),
                          std::string("\xa1\x61k\x81\x84\x62\xff\xfe\x01\x01\x80"), std::string("\x9b\xff\xff\xff\xff\xff\xff\xff\xff")}) {
                        sendDatagram(*fleet, "127.0.0.3", kind, payload);
                    }
                }
                checkFollows(*fleet, 9);
            });
            section("malformed announcements of a target", [&] {
                for (const std::string &fields :
                     {std::string(R"("Address":"127.0.0.3:99999")"), std::string(R"("Address":"127.0.0.3:-1")"), std::string(R"("Slots":1e999)"),
                      std::string(R"("Seq":99999999999999999999)"), std::string(R"("born":1e300)"), R"("State":)" + kDeepJson}) {
                    RequestMessage request;
                    request.method = "POST";
                    request.target = "/-/Instances.Heartbeat/i-1";
                    request.body = "{" + fields + "}";
                    CancelSignal cancel;
                    const CallResult result = fleet->callers.call({"127.0.0.3", testing::kTargetPort}, request, cancel, BootClock::now() + seconds(1));
                    CPPUNIT_ASSERT_EQUAL(400, result.response.status);
                }
                checkFollows(*fleet, 10);
            });
            fleet->end();
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MalformedEntriesTest);

} // namespace snipestream
