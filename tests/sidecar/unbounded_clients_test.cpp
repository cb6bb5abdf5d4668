#include "tests/sidecar/crowd.h"
#include "tests/sidecar/fleet.h"
#include "tests/sidecar/sidecar_process.h"
#include "tests/support/section.h"

#include <array>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace snipestream
{

using nlohmann::json;
using testing::Crowd;
using testing::CrowdPlan;
using testing::section;

namespace
{

/// Limits of the node. They are small, so that a small crowd shows whether the node keeps to them.
constexpr uint64_t kMemoryMb = 24;
constexpr uint64_t kMaxDescriptors = 700;
/// Limit of the operator's configuration for the head of a request.
constexpr size_t kMaxHeaderBytes = size_t{128} * 1024;
/// Connections of a crowd at the port for callers. The node accepts 225 there.
constexpr size_t kCallers = 200;
/// Time after which something that does not happen is taken for a hang.
constexpr Duration kHangTime = seconds(30);

const std::string kNode = "127.0.0.2";
const std::string kHead = "GET /stock/1 HTTP/1.1\r\nHost: studio.example\r\n";

auto at(uint16_t port) -> Endpoint
{
    return {kNode, port};
}

auto operatorConfiguration() -> std::string
{
    json document = json::parse(testing::configuration("00000001", "\"k1\""));
    for (auto &entry : document["Resources"]) {
        if (entry["Type"] == "Limits") {
            entry["Spec"] = {{"IdleTimeoutMs", 60000}, {"HeaderTimeoutMs", 60000}, {"MaxHeaderBytes", kMaxHeaderBytes}, {"MaxBodyBytes", 1048576}};
        }
    }
    return document.dump();
}

/// A node in a process of its own, with stand-ins for the store and the target in this one.
struct NodeUnderTest {
    explicit NodeUnderTest(FiberRuntime &fiberRuntime)
        : runtime(fiberRuntime)
        , store(withConfiguration(fiberRuntime))
        , process({kNode, store->endpoint(), kMemoryMb, kMaxDescriptors})
        , target(fiberRuntime, "i-1", {kNode, testing::kAppPort})
        , callers(fiberRuntime, CallPoolOptions())
    {
        // A target that announces itself before the node listens gets no answer.
        require("the target is announced", [this] {
            return target.announce(at(testing::kTargetPort), "catalogue", "ready") == 200;
        });
        requireAnswer("before the crowd");
    }

    static auto withConfiguration(FiberRuntime &runtime) -> std::unique_ptr<testing::StoreStandin>
    {
        auto store = std::make_unique<testing::StoreStandin>(runtime);
        store->put("keyed.op", "config", operatorConfiguration());
        return store;
    }

    void require(const std::string &what, const std::function<bool()> &condition)
    {
        const TimePoint end = BootClock::now() + kHangTime;
        while (!condition()) {
            int status = 0;
            CPPUNIT_ASSERT_MESSAGE(what + ": the node has ended", waitpid(process.pid(), &status, WNOHANG) == 0);
            CPPUNIT_ASSERT_MESSAGE(what, BootClock::now() < end);
            runtime.sleepFor(milliseconds(20));
        }
    }

    /// Sends an ordinary request until one is answered by the target.
    void requireAnswer(const std::string &when)
    {
        require("an ordinary request is answered " + when, [this] {
            RequestMessage request;
            request.method = "GET";
            request.target = "/stock/1";
            request.headers = {{"Host", "studio.example"}, {"X-Snipestream-Request-Id", "ordinary-" + std::to_string(++requests)}, {"Api-Key", "k1"}};
            request.keepAlive = false;
            CancelSignal cancel;
            const CallResult result = callers.call(at(testing::kCallerPort), request, cancel, BootClock::now() + seconds(5));
            return result.status == CallStatus::Answered && result.response.status == 200;
        });
    }

    void requireReady()
    {
        require("the node answers the platform's probe", [this] {
            RequestMessage request;
            request.method = "GET";
            request.target = "/-/readyz";
            CancelSignal cancel;
            return callers.call(at(testing::kReadyPort), request, cancel, BootClock::now() + seconds(5)).response.status == 200;
        });
    }

    /// Checks the process's own figures.
    void checkBounds() const
    {
        CPPUNIT_ASSERT_EQUAL_MESSAGE("the node has ended", 0, kill(process.pid(), 0));
        const long peakKb = testing::peakResidentKb(process.pid());
        CPPUNIT_ASSERT_MESSAGE("peak of the resident memory: " + std::to_string(peakKb) + " KiB", peakKb > 0 && peakKb <= static_cast<long>(kMemoryMb) * 1024);
        const size_t descriptors = testing::openDescriptors(process.pid());
        CPPUNIT_ASSERT_MESSAGE("open descriptors: " + std::to_string(descriptors), descriptors > 0 && descriptors < kMaxDescriptors);
    }

    FiberRuntime &runtime;
    std::unique_ptr<testing::StoreStandin> store;
    testing::SidecarProcess process;
    testing::TargetStandin target;
    CallPool callers;
    int requests = 0;
};

void withNode(const std::function<void(NodeUnderTest &)> &body)
{
    testing::runWithNode<NodeUnderTest>(body);
}

/// Runs the crowds until their bytes have arrived or been refused for a while, and `calm` after them. Checks that the node bears it.
void bear(NodeUnderTest &node, const std::vector<CrowdPlan> &plans, const std::function<void()> &calm = {})
{
    {
        std::vector<std::unique_ptr<Crowd>> crowds;
        crowds.reserve(plans.size());
        for (const CrowdPlan &plan : plans) {
            crowds.push_back(std::make_unique<Crowd>(plan));
        }
        uint64_t before = 0;
        uint64_t sent = 1;
        // Senders that never stop are observed for a while; the others until nothing more is accepted.
        for (int round = 0; round < 10 && sent != before; ++round) {
            before = sent;
            node.runtime.sleepFor(milliseconds(300));
            sent = 1;
            for (const auto &crowd : crowds) {
                sent += crowd->sentBytes();
            }
        }
        node.requireReady();
        node.checkBounds();
    }
    if (calm) {
        calm();
    }
    node.requireAnswer("after the crowd");
    node.checkBounds();
}

} // namespace

/// Guards against clients that send what no limit allows and so end or stop a node.
class UnboundedClientsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UnboundedClientsTest);
    CPPUNIT_TEST(testHeadsThatStop);
    CPPUNIT_TEST(testHeadsWithoutEnd);
    CPPUNIT_TEST(testFieldsWithoutEnd);
    CPPUNIT_TEST(testEmptyLinesWithoutEnd);
    CPPUNIT_TEST(testSendersThatGoOn);
    CPPUNIT_TEST(testAllPorts);
    CPPUNIT_TEST(testIdleConnections);
    CPPUNIT_TEST(testTargetWithoutAnswers);
    CPPUNIT_TEST_SUITE_END();

public:
    void testHeadsThatStop()
    {
        withNode([](NodeUnderTest &node) {
            section("many heads that stop just below the limit for one", [&node] {
                CrowdPlan plan{at(testing::kCallerPort), kCallers, kHead + "X-Field: ", "a"};
                plan.maxBytes = kMaxHeaderBytes - 1024;
                bear(node, {plan});
            });
        });
    }

    void testHeadsWithoutEnd()
    {
        withNode([](NodeUnderTest &node) {
            section("heads that exceed the limit, again and again", [&node] {
                bear(node, {{at(testing::kCallerPort), kCallers, kHead + "X-Field: ", "a"}});
            });
        });
    }

    void testFieldsWithoutEnd()
    {
        withNode([](NodeUnderTest &node) {
            section("short fields without end", [&node] {
                bear(node, {{at(testing::kCallerPort), kCallers, kHead, "A: 1\r\n"}});
            });
        });
    }

    void testEmptyLinesWithoutEnd()
    {
        withNode([](NodeUnderTest &node) {
            section("empty lines in place of a request, in both forms of a line end", [&node] {
                bear(node, {{at(testing::kCallerPort), kCallers / 2, "", "\r\n"}, {at(testing::kCallerPort), kCallers / 2, "", "\n"}});
            });
        });
    }

    void testSendersThatGoOn()
    {
        withNode([](NodeUnderTest &node) {
            section("an ordinary request is answered while a few clients send on after they were refused", [&node] {
                // Each sender has a thread of its own, so that there is always something to read.
                const CrowdPlan sender{at(testing::kCallerPort), 1, "BAD\r\n\r\n", "a"};
                const std::array<Crowd, 4> senders{Crowd(sender), Crowd(sender), Crowd(sender), Crowd(sender)};
                node.runtime.sleepFor(milliseconds(500));
                for (int i = 0; i < 5; ++i) {
                    node.requireAnswer("beside the senders");
                    node.requireReady();
                }
                node.checkBounds();
            });
        });
    }

    void testAllPorts()
    {
        withNode([](NodeUnderTest &node) {
            section("all ports at once", [&node] {
                const std::string head = kHead + "X-Field: ";
                CrowdPlan peers{at(testing::kPeerPort), 100, head, "a"};
                peers.maxBytes = kMaxHeaderBytes - 1024;
                CrowdPlan callers{at(testing::kCallerPort), kCallers / 2, head, "a"};
                callers.maxBytes = peers.maxBytes;
                // The platform's probe and the target need a connection beside these.
                bear(node, {peers, callers, {at(testing::kTargetPort), 40, "", "\r\n"}, {at(testing::kReadyPort), 40, head, "a"}});
            });
        });
    }

    void testIdleConnections()
    {
        withNode([](NodeUnderTest &node) {
            section("more idle connections than the node accepts, at the ports for callers and for the platform's probe", [&node] {
                bear(node, {{at(testing::kCallerPort), 300, "", ""}, {at(testing::kReadyPort), 100, "", ""}});
            });
            section("an ordinary request is answered beside them", [&node] {
                const Crowd callers({at(testing::kCallerPort), 300, "", ""});
                node.runtime.sleepFor(milliseconds(500));
                node.requireAnswer("beside idle connections");
                node.checkBounds();
            });
        });
    }

    void testTargetWithoutAnswers()
    {
        withNode([](NodeUnderTest &node) {
            section("a target that accepts and never answers, while callers go on sending", [&node] {
                node.target.slots = 100;
                CPPUNIT_ASSERT_EQUAL(200, node.target.announce(at(testing::kTargetPort), "catalogue", "ready"));
                node.target.behaviour.runTime = seconds(5);
                const std::string upload =
                    "POST /deposit/1 HTTP/1.1\r\nHost: studio.example\r\nApi-Key: k1\r\nX-Snipestream-Request-Id: u\r\n"
                    "X-Snipestream-Deadline-Ms: 1500\r\nContent-Length: 65536\r\n\r\n"
                    + std::string(65536, 'u');
                bear(node, {{at(testing::kCallerPort), kCallers, "", upload}}, [&node] {
                    node.target.behaviour.runTime = milliseconds(5);
                });
            });
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UnboundedClientsTest);

} // namespace snipestream
