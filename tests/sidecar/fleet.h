#pragma once

#include "http/call_pool.h"
#include "sidecar/sidecar.h"

#include "tests/sidecar/platform_standin.h"

#include <algorithm>
#include <exception>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <cppunit/TestAssert.h>

namespace snipestream::testing
{

/// Ports of the nodes. All nodes use the same ports, each at its own loopback address.
inline constexpr uint16_t kCallerPort = 18548;
inline constexpr uint16_t kPeerPort = 18543;
inline constexpr uint16_t kReadyPort = 18546;
inline constexpr uint16_t kTargetPort = 18540;
inline constexpr uint16_t kAppPort = 18547;
inline constexpr uint16_t kReportPort = 18000;
inline constexpr uint16_t kMetricsPort = 18464;
inline constexpr Duration kKeyWithdrawal = milliseconds(4000);

inline auto configuration(const std::string &version, const std::string &keys, int timeoutMs = 2000, double coldPerSecond = 0) -> std::string
{
    return R"({"Version":")" + version + R"(","Resources":[
{"Type":"Routes","Metadata":{"Name":"r-stock"},"Spec":{"Authority":"studio.example","PathPrefix":"/stock/","Kind":"idempotent","TimeoutMs":)"
        + std::to_string(timeoutMs) + R"(,
 "TargetLatencyMs":1000,"Priority":2,"Service":"catalogue","MaxAttempts":2,"Public":false}},
{"Type":"Routes","Metadata":{"Name":"r-deposit"},"Spec":{"Authority":"studio.example","PathPrefix":"/deposit/","Kind":"non_idempotent","TimeoutMs":)"
        + std::to_string(timeoutMs) + R"(,
 "TargetLatencyMs":1000,"Priority":0,"Service":"catalogue","MaxAttempts":2,"Public":false}},
{"Type":"Routes","Metadata":{"Name":"r-call"},"Spec":{"Authority":"studio.example","PathPrefix":"/call/","Kind":"idempotent","TimeoutMs":2000,
 "TargetLatencyMs":1000,"Priority":0,"Service":"catalogue","MaxAttempts":2,"Public":true}},
{"Type":"Services","Metadata":{"Name":"catalogue"},"Spec":{"HealthPath":"/healthz","ColdPerS":)"
        + std::to_string(coldPerSecond) + R"(}},
{"Type":"Tenants","Metadata":{"Name":"studio"},"Spec":{"ApiKeys":[)"
        + keys + R"(]}},{"Type":"Limits","Metadata":{},"Spec":{"IdleTimeoutMs":15000}}]})";
}

inline auto makeSettings(int number, const std::string &service, const Endpoint &store) -> SidecarSettings
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
    settings.metricsPort = kMetricsPort;
    settings.keyWithdrawal = kKeyWithdrawal;
    return settings;
}

/// An entry node of another service and two nodes beside targets of the service `catalogue`.
struct Fleet {
    /// `domains` holds the failure domains of nodes by number; the others are in "east".
    explicit Fleet(FiberRuntime &fiberRuntime, const std::map<int, std::string> &domains = {})
        : runtime(fiberRuntime)
        , store(fiberRuntime)
        , firstTarget(fiberRuntime, "i-1", {"127.0.0.3", kAppPort})
        , secondTarget(fiberRuntime, "i-2", {"127.0.0.4", kAppPort})
        , callers(fiberRuntime, CallPoolOptions())
    {
        store.put("keyed.op", "config", configuration("00000001", "\"k1\",\"k2\""));
        for (const auto &[number, service] : std::map<int, std::string>{{2, "diary"}, {3, "catalogue"}, {4, "catalogue"}}) {
            SidecarSettings settings = makeSettings(number, service, store.endpoint());
            settings.domain = DomainName(domains.count(number) != 0 ? domains.at(number) : "east");
            nodes.push_back(std::make_unique<Sidecar>(runtime, settings));
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

    /// Sends a request to the entry node, or to another one.
    auto sendRequest(const std::string &method, const std::string &path, const std::string &key, const std::string &node = "127.0.0.2",
                     Duration timeLeft = milliseconds(1500)) -> CallResult
    {
        RequestMessage request;
        request.method = method;
        request.target = path;
        request.headers = {{"Host", "studio.example"},
                           {"X-Snipestream-Request-Id", "request-" + std::to_string(++requestCount)},
                           {"X-Snipestream-Deadline-Ms", std::to_string(duration_cast<milliseconds>(timeLeft).count())},
                           {"X-Snipestream-Caller-Service", "forged"},
                           {"Api-Key", key}};
        CancelSignal cancel;
        return callers.call({node, kCallerPort}, request, cancel, BootClock::now() + timeLeft + milliseconds(1500));
    }

    [[nodiscard]] auto runs() const -> size_t
    {
        return firstTarget.runs.size() + secondTarget.runs.size();
    }

    /// Returns how often the targets ran the request with the id.
    [[nodiscard]] auto runsOf(const std::string &id) const -> size_t
    {
        return static_cast<size_t>(std::count(firstTarget.runs.begin(), firstTarget.runs.end(), id)
                                   + std::count(secondTarget.runs.begin(), secondTarget.runs.end(), id));
    }

    void forEachTarget(const std::function<void(TargetBehaviour &)> &change)
    {
        change(firstTarget.behaviour);
        change(secondTarget.behaviour);
    }

    /// Replaces a node by one that knows nothing of before, like a process that was killed and started again.
    void restartNode(size_t index, int number, const std::string &service)
    {
        nodes[index]->end();
        endedNodes.push_back(std::move(nodes[index]));
        runtime.sleepFor(milliseconds(200));
        nodes[index] = std::make_unique<Sidecar>(runtime, makeSettings(number, service, store.endpoint()));
        CPPUNIT_ASSERT(nodes[index]->start().has_value());
    }

    /// Ends the nodes. Reads of the store that wait for a change must end before the nodes are destroyed.
    void end()
    {
        for (const auto &node : nodes) {
            node->end();
        }
        runtime.sleepFor(milliseconds(2500));
    }

    FiberRuntime &runtime;
    StoreStandin store;
    TargetStandin firstTarget;
    TargetStandin secondTarget;
    CallPool callers;
    std::vector<std::unique_ptr<Sidecar>> nodes;
    /// Nodes that were replaced; their fibers end later.
    std::vector<std::unique_ptr<Sidecar>> endedNodes;
    int requestCount = 0;
};

/// Runs the body with a fleet and ends its nodes afterwards, also if a check in the body fails.
inline void withFleet(const std::function<void(Fleet &)> &body, const std::map<int, std::string> &domains = {})
{
    std::exception_ptr failed;
    FiberRuntime runtime;
    runtime.runToEnd([&] {
        const auto fleet = std::make_unique<Fleet>(runtime, domains);
        try {
            body(*fleet);
        } catch (...) {
            failed = std::current_exception();
        }
        fleet->end();
    });
    if (failed) {
        std::rethrow_exception(failed);
    }
}

} // namespace snipestream::testing
