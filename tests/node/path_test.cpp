#include "tests/node/cluster.h"
#include "tests/support/section.h"

#include <cppunit/extensions/HelperMacros.h>

namespace snipestream::testing
{

namespace
{

/// Returns the request headers that the target stand-in received and put into its response.
auto receivedHeaders(const Reply &reply) -> nlohmann::json
{
    const auto json = nlohmann::json::parse(reply.body, nullptr, false);
    return json.is_object() && json.contains("headers") ? json["headers"] : nlohmann::json::object();
}

auto callWithContext(const Cluster &cluster, size_t node, const std::string &handle) -> Reply
{
    return sendOnce(cluster.nodes.at(node).targetPort, {"GET", "/stock/7", {{"Snipestream-Context", handle}}, ""});
}

} // namespace

/// Sends requests over two nodes. Guards I3 (a request runs only for the team whose key came with it) and I4 (no target
/// sees a caller's key).
class PathTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PathTest);
    CPPUNIT_TEST(testPathOverTwoNodes);
    CPPUNIT_TEST_SUITE_END();

public:
    void testPathOverTwoNodes()
    {
        const Cluster cluster(2, 1, {{"catalogue", 1}});
        std::string finishedHandle;
        section("the target receives neither the key nor a Snipestream header of the caller", [&] {
            const Reply reply =
                sendOnce(cluster.nodes[0].callerPort,
                         {"GET",
                          "/stock/7",
                          {{"Authorization", cluster.studio}, {"Snipestream-Context", "forged"}, {"snipestream-team", "other"}, {"X-Plain", "kept"}},
                          ""});
            CPPUNIT_ASSERT_EQUAL(200, reply.status);
            CPPUNIT_ASSERT(!headerOf(reply, "Snipestream-Request-Id").empty());
            const auto received = receivedHeaders(reply);
            int contexts = 0;
            for (const auto &[name, value] : received.items()) {
                std::string lower = name;
                for (char &c : lower) {
                    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
                }
                CPPUNIT_ASSERT(lower != "authorization" && lower != "snipestream-team");
                if (lower == "snipestream-context") {
                    ++contexts;
                    finishedHandle = value.get<std::string>();
                }
                CPPUNIT_ASSERT_MESSAGE(name, value.dump().find(cluster.studio.substr(7)) == std::string::npos);
            }
            CPPUNIT_ASSERT_EQUAL(1, contexts);
            CPPUNIT_ASSERT_EQUAL(std::string("kept"), received.value("X-Plain", ""));
            CPPUNIT_ASSERT(finishedHandle != "forged" && finishedHandle.size() == 32);
        });
        section("both nodes refuse the context handle of a finished request and invalid handles", [&] {
            for (size_t node = 0; node < 2; ++node) {
                for (const std::string &handle : {finishedHandle, std::string(32, 'a'), std::string()}) {
                    const Reply reply = callWithContext(cluster, node, handle);
                    CPPUNIT_ASSERT_EQUAL(std::string("unknown-context"), textOf(reply, "reason"));
                    CPPUNIT_ASSERT(reply.status >= 400 && reply.status < 500);
                }
            }
        });
        section("a request without a key or with a wrong key does not reach the target", [&] {
            const uint64_t before = cluster.totalAt(0);
            const Reply missing = sendOnce(cluster.nodes[0].callerPort, {"GET", "/stock/7", {}, ""});
            CPPUNIT_ASSERT_EQUAL(std::string("missing-key"), textOf(missing, "reason"));
            const Reply wrong = sendOnce(cluster.nodes[0].callerPort, {"GET", "/stock/7", {{"Authorization", cluster.studio + "x"}}, ""});
            CPPUNIT_ASSERT_EQUAL(std::string("unknown-key"), textOf(wrong, "reason"));
            CPPUNIT_ASSERT_EQUAL(before, cluster.totalAt(0));
        });
        section("an open route needs no key", [&] {
            CPPUNIT_ASSERT_EQUAL(200, sendOnce(cluster.nodes[0].callerPort, {"GET", "/open/1", {}, ""}).status);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PathTest);

} // namespace snipestream::testing
