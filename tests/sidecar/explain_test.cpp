#include "tests/sidecar/fleet.h"
#include "tests/support/section.h"

#include <string>

#include <nlohmann/json.hpp>

namespace snipestream
{

using nlohmann::json;
using testing::Fleet;
using testing::section;

namespace
{

struct Explanation {
    int status = 0;
    json document;
};

auto explain(Fleet &fleet, const std::string &query) -> Explanation
{
    RequestMessage request;
    request.method = "GET";
    request.target = "/explain?" + query;
    CancelSignal cancel;
    const CallResult result = fleet.callers.call({"127.0.0.2", testing::kMetricsPort}, request, cancel, BootClock::now() + seconds(2));
    return {result.response.status, json::parse(result.response.body, nullptr, false)};
}

} // namespace

/// Guards against explanations that differ from what the node does, change something, or show keys.
class ExplainTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ExplainTest);
    CPPUNIT_TEST(testExplanation);
    CPPUNIT_TEST_SUITE_END();

public:
    void testExplanation()
    {
        testing::withFleet(
            [](Fleet &fleet) {
                section("the first target is the one that gets the requests, and nothing is sent", [&fleet] {
                    const size_t before = fleet.runs();
                    const Explanation explained = explain(fleet, "host=studio.example&path=%2Fstock%2F1&team=studio");
                    CPPUNIT_ASSERT_EQUAL(200, explained.status);
                    CPPUNIT_ASSERT_EQUAL(std::string("r-stock"), explained.document["route"]["name"].get<std::string>());
                    const json &targets = explained.document["services"][0]["targets"];
                    CPPUNIT_ASSERT_EQUAL(size_t{2}, targets.size());
                    CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.3"), targets[0]["address"].get<std::string>());
                    CPPUNIT_ASSERT(targets[0]["total"].get<double>() < targets[1]["total"].get<double>());
                    CPPUNIT_ASSERT_EQUAL(before, fleet.runs());
                    CPPUNIT_ASSERT_EQUAL(200, fleet.sendRequest("GET", "/stock/1", "k1").response.status);
                    CPPUNIT_ASSERT_EQUAL(before + 1, fleet.firstTarget.runs.size() + fleet.secondTarget.runs.size());
                });
                section("no key is shown", [&fleet] {
                    const std::string text = explain(fleet, "host=studio.example&path=/stock/1&team=studio").document.dump();
                    CPPUNIT_ASSERT(text.find("k1") == std::string::npos && text.find("k2") == std::string::npos);
                });
                section("a path without a route and a malformed question get an answer that says so", [&fleet] {
                    CPPUNIT_ASSERT_EQUAL(404, explain(fleet, "host=studio.example&path=/nothing/").status);
                    CPPUNIT_ASSERT_EQUAL(404, explain(fleet, "host=other.example&path=/stock/1").status);
                    CPPUNIT_ASSERT_EQUAL(400, explain(fleet, "host=studio.example&path=stock").status);
                    CPPUNIT_ASSERT_EQUAL(400, explain(fleet, "").status);
                });
                section("an evacuated target says why it is not chosen", [&fleet] {
                    fleet.store.put("keyed.op", "evacuate/east", "{}");
                    fleet.waitUntil([&fleet] {
                        const json targets = explain(fleet, "host=studio.example&path=/stock/1").document["services"][0]["targets"];
                        return targets[1].value("excluded", "") == "domain-evacuated" && targets[0]["address"] == "127.0.0.4";
                    });
                });
            },
            {{4, "west"}});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExplainTest);

} // namespace snipestream
