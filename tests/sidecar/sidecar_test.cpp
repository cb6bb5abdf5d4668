#include "tests/sidecar/fleet.h"
#include "tests/support/section.h"

#include <memory>

namespace snipestream
{

using testing::configuration;
using testing::Fleet;
using testing::kKeyWithdrawal;
using testing::kTargetPort;
using testing::makeSettings;
using testing::section;

class SidecarTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SidecarTest);
    CPPUNIT_TEST(testFleet);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Covers routing, lost and mismatched responses, refusals, deadlines, draining, withdrawn keys and an unavailable store.
    /// All sections use one fleet, since its nodes need fixed ports and a second to find each other.
    void testFleet()
    {
        FiberRuntime runtime;
        runtime.runToEnd([&] {
            auto fleet = std::make_unique<Fleet>(runtime);
            section("a request reaches a target of another node with the fields of the system", [&] {
                const CallResult result = fleet->sendRequest("GET", "/stock/7", "k1");
                CPPUNIT_ASSERT_EQUAL(200, result.response.status);
                const HeaderList &seen = fleet->firstTarget.runs.empty() ? fleet->secondTarget.latestHeaders : fleet->firstTarget.latestHeaders;
                CPPUNIT_ASSERT(*findHeader(seen, "X-Snipestream-Caller-Service") == "diary");
                CPPUNIT_ASSERT(*findHeader(seen, "X-Snipestream-Tenant") == "studio");
                CPPUNIT_ASSERT(!findHeader(seen, "Api-Key"));
                CPPUNIT_ASSERT(findHeader(result.response.headers, "X-Snipestream-Response-Signature"));
                for (const auto &[name, value] : seen) {
                    CPPUNIT_ASSERT_MESSAGE(name, name.rfind("Sns-", 0) != 0);
                }
            });
            section("an unknown key is refused with 401, an unknown path with 404", [&] {
                CPPUNIT_ASSERT_EQUAL(401, fleet->sendRequest("GET", "/stock/7", "k9").response.status);
                CPPUNIT_ASSERT_EQUAL(404, fleet->sendRequest("GET", "/other/7", "k1").response.status);
            });
            section("a non-idempotent request whose response is lost runs once and is not reported as not run", [&] {
                const size_t before = fleet->runs();
                fleet->forEachTarget([](auto &behaviour) {
                    behaviour.dropsResponses = true;
                });
                CPPUNIT_ASSERT_EQUAL(502, fleet->sendRequest("POST", "/deposit/7", "k1").response.status);
                CPPUNIT_ASSERT_EQUAL(before + 1, fleet->runs());
            });
            section("a response to another request is not returned to the caller", [&] {
                fleet->forEachTarget([](auto &behaviour) {
                    behaviour = testing::TargetBehaviour();
                    behaviour.returnsWrongRequestId = true;
                });
                CPPUNIT_ASSERT_EQUAL(502, fleet->sendRequest("POST", "/deposit/8", "k1").response.status);
            });
            section("a refusal without an id on a kept connection may be an earlier one, so it does not say that the request has not run", [&] {
                fleet->forEachTarget([](auto &behaviour) {
                    behaviour = testing::TargetBehaviour();
                });
                for (int i = 0; i < 20; ++i) {
                    CPPUNIT_ASSERT_EQUAL(200, fleet->sendRequest("GET", "/stock/7", "k1").response.status);
                }
                fleet->forEachTarget([](auto &behaviour) {
                    behaviour.repeatsRefusal = true;
                });
                const size_t before = fleet->runs();
                CPPUNIT_ASSERT_EQUAL(502, fleet->sendRequest("POST", "/deposit/8", "k1").response.status);
                CPPUNIT_ASSERT_EQUAL(before + 1, fleet->runs());
            });
            section("a request that no target runs is refused with Retry-After", [&] {
                fleet->forEachTarget([](auto &behaviour) {
                    behaviour = testing::TargetBehaviour();
                    behaviour.notExecuted = 503;
                });
                const size_t before = fleet->runs();
                const CallResult result = fleet->sendRequest("POST", "/deposit/9", "k1");
                CPPUNIT_ASSERT_EQUAL(503, result.response.status);
                CPPUNIT_ASSERT(findHeader(result.response.headers, "Retry-After"));
                CPPUNIT_ASSERT_EQUAL(before, fleet->runs());
                fleet->forEachTarget([](auto &behaviour) {
                    behaviour = testing::TargetBehaviour();
                });
            });
            section("a request whose deadline passes fails at once", [&] {
                fleet->forEachTarget([](auto &behaviour) {
                    behaviour.runTime = seconds(3);
                });
                const TimePoint start = BootClock::now();
                CPPUNIT_ASSERT_EQUAL(504, fleet->sendRequest("POST", "/deposit/10", "k1").response.status);
                CPPUNIT_ASSERT(BootClock::now() - start < milliseconds(1800));
                fleet->forEachTarget([](auto &behaviour) {
                    behaviour.runTime = milliseconds(5);
                });
            });
            section("a draining target gets no more requests, and the other target serves them", [&] {
                fleet->waitUntil([&] {
                    return fleet->sendRequest("GET", "/stock/7", "k1").response.status == 200;
                });
                CPPUNIT_ASSERT_EQUAL(200, fleet->firstTarget.announce({"127.0.0.3", kTargetPort}, "catalogue", "draining"));
                const size_t before = fleet->firstTarget.runs.size();
                for (int i = 0; i < 20; ++i) {
                    CPPUNIT_ASSERT_EQUAL(200, fleet->sendRequest("GET", "/stock/7", "k1").response.status);
                }
                CPPUNIT_ASSERT_EQUAL(before, fleet->firstTarget.runs.size());
            });
            section("a withdrawn key stops working, and the other key still works", [&] {
                fleet->store.put("keyed.op", "config", configuration("00000002", "\"k1\""));
                fleet->waitUntil([&] {
                    return fleet->sendRequest("GET", "/stock/7", "k2").response.status == 401;
                });
                CPPUNIT_ASSERT_EQUAL(200, fleet->sendRequest("GET", "/stock/7", "k1").response.status);
            });
            section("a configuration that cannot be read leaves the current one in force", [&] {
                fleet->store.put("keyed.op", "config", "{\"Version\":\"00000003\"}");
                runtime.sleepFor(milliseconds(200));
                CPPUNIT_ASSERT_EQUAL(200, fleet->sendRequest("GET", "/stock/7", "k1").response.status);
            });
            section("a node that starts while the store is away gets the members and the policy from other nodes", [&] {
                fleet->store.failWith(503);
                fleet->nodes.front()->end();
                fleet->nodes.front() = std::make_unique<Sidecar>(runtime, makeSettings(2, "diary", fleet->store.endpoint()));
                CPPUNIT_ASSERT(fleet->nodes.front()->start().has_value());
                fleet->waitUntil([&] {
                    return fleet->sendRequest("GET", "/stock/7", "k1").response.status == 200;
                });
                CPPUNIT_ASSERT_EQUAL(401, fleet->sendRequest("GET", "/stock/7", "k2").response.status);
                fleet->store.failWith(std::nullopt);
                runtime.sleepFor(milliseconds(1000));
            });
            section("a node that the store refuses rejects keyed requests before a withdrawn key could work too long", [&] {
                fleet->store.failWith(503);
                const TimePoint start = BootClock::now();
                runtime.sleepFor(kKeyWithdrawal + milliseconds(100));
                CPPUNIT_ASSERT_EQUAL(503, fleet->sendRequest("GET", "/stock/7", "k1").response.status);
                CPPUNIT_ASSERT(BootClock::now() - start < kKeyWithdrawal + seconds(1));
                section("it serves keyed requests again once the store is available", [&] {
                    fleet->store.failWith(std::nullopt);
                    fleet->waitUntil([&] {
                        return fleet->sendRequest("GET", "/stock/7", "k1").response.status == 200;
                    });
                });
            });
            fleet->end();
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SidecarTest);

} // namespace snipestream
