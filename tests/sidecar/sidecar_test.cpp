#include "sidecar/sidecar.h"

#include "http/call_pool.h"
#include "tests/sidecar/platform_standin.h"
#include "tests/support/section.h"

#include <functional>
#include <memory>

namespace snipestream
{

using testing::section;
using testing::StoreStandin;
using testing::TargetStandin;

namespace
{

/// Ports of the nodes. All nodes use the same ports, each at its own loopback address.
constexpr uint16_t kCallerPort = 18548;
constexpr uint16_t kPeerPort = 18543;
constexpr uint16_t kReadyPort = 18546;
constexpr uint16_t kTargetPort = 18540;
constexpr uint16_t kAppPort = 18547;
constexpr uint16_t kReportPort = 18000;
constexpr Duration kKeyWithdrawal = milliseconds(4000);

auto configuration(const std::string &version, const std::string &keys) -> std::string
{
    return R"({"Version":")" + version + R"(","Resources":[
{"Type":"Routes","Metadata":{"Name":"r-stock"},"Spec":{"Authority":"studio.example","PathPrefix":"/stock/","Kind":"idempotent","TimeoutMs":2000,
 "TargetLatencyMs":1000,"Priority":2,"Service":"catalogue","MaxAttempts":2,"Public":false}},
{"Type":"Routes","Metadata":{"Name":"r-deposit"},"Spec":{"Authority":"studio.example","PathPrefix":"/deposit/","Kind":"non_idempotent","TimeoutMs":2000,
 "TargetLatencyMs":1000,"Priority":0,"Service":"catalogue","MaxAttempts":2,"Public":false}},
{"Type":"Tenants","Metadata":{"Name":"studio"},"Spec":{"ApiKeys":[)"
        + keys + R"(]}},{"Type":"Limits","Metadata":{},"Spec":{"IdleTimeoutMs":15000}}]})";
}

auto makeSettings(int number, const std::string &service, const Endpoint &store) -> SidecarSettings
{
    SidecarSettings settings;
    settings.address = "127.0.0." + std::to_string(number);
    settings.node = NodeName("node" + std::to_string(number));
    settings.domain = DomainName("east");
    settings.service = ServiceName(service);
    settings.target = {settings.address, kAppPort};
    settings.callerListen = {settings.address, kCallerPort};
    settings.peerListen = {settings.address, kPeerPort};
    settings.readyListen = {settings.address, kReadyPort};
    settings.targetListen = {settings.address, kTargetPort};
    settings.store = store;
    settings.reportPort = kReportPort;
    settings.keyWithdrawal = kKeyWithdrawal;
    return settings;
}

/// An entry node of another service and two nodes beside targets of the service `catalogue`.
struct Fleet {
    explicit Fleet(FiberRuntime &fiberRuntime)
        : runtime(fiberRuntime)
        , store(fiberRuntime)
        , firstTarget(fiberRuntime, "i-1", {"127.0.0.3", kAppPort})
        , secondTarget(fiberRuntime, "i-2", {"127.0.0.4", kAppPort})
        , callers(fiberRuntime, CallPoolOptions())
    {
        store.put("keyed.op", "config", configuration("00000001", "\"k1\",\"k2\""));
        for (const auto &[number, service] : std::map<int, std::string>{{2, "diary"}, {3, "catalogue"}, {4, "catalogue"}}) {
            nodes.push_back(std::make_unique<Sidecar>(runtime, makeSettings(number, service, store.endpoint())));
            CPPUNIT_ASSERT(nodes.back()->start().has_value());
        }
        CPPUNIT_ASSERT_EQUAL(200, firstTarget.announce({"127.0.0.3", kTargetPort}, "catalogue", "ready"));
        CPPUNIT_ASSERT_EQUAL(200, secondTarget.announce({"127.0.0.4", kTargetPort}, "catalogue", "ready"));
        waitUntil([this] {
            return sendRequest("GET", "/stock/0", "k1").response.status == 200;
        });
        runtime.sleepFor(milliseconds(700));
        firstTarget.runs.clear();
        secondTarget.runs.clear();
    }

    void waitUntil(const std::function<bool()> &condition)
    {
        for (int i = 0; i < 100 && !condition(); ++i) {
            runtime.sleepFor(milliseconds(50));
        }
        CPPUNIT_ASSERT(condition());
    }

    auto sendRequest(const std::string &method, const std::string &path, const std::string &key) -> CallResult
    {
        RequestMessage request;
        request.method = method;
        request.target = path;
        request.headers = {{"Host", "studio.example"},
                           {"X-Snipestream-Request-Id", "request-" + std::to_string(++requestCount)},
                           {"X-Snipestream-Deadline-Ms", "1500"},
                           {"X-Snipestream-Caller-Service", "forged"},
                           {"Api-Key", key}};
        CancelSignal cancel;
        return callers.call({"127.0.0.2", kCallerPort}, request, cancel, BootClock::now() + seconds(3));
    }

    [[nodiscard]] auto runs() const -> size_t
    {
        return firstTarget.runs.size() + secondTarget.runs.size();
    }

    void forEachTarget(const std::function<void(testing::TargetBehaviour &)> &change)
    {
        change(firstTarget.behaviour);
        change(secondTarget.behaviour);
    }

    FiberRuntime &runtime;
    StoreStandin store;
    TargetStandin firstTarget;
    TargetStandin secondTarget;
    CallPool callers;
    std::vector<std::unique_ptr<Sidecar>> nodes;
    int requestCount = 0;
};

} // namespace

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
            for (const auto &node : fleet->nodes) {
                node->end();
            }
            // Reads of the store that wait for a change must end before the nodes are destroyed.
            runtime.sleepFor(milliseconds(2500));
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SidecarTest);

} // namespace snipestream
