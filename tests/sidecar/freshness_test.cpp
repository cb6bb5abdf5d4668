#include "mesh/store_readers.h"
#include "sidecar/sidecar.h"

#include "tests/sidecar/fleet.h"
#include "tests/support/section.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace snipestream
{

using testing::configuration;
using testing::section;
using testing::StoreStandin;

namespace
{

constexpr int kFirstNode = 2;
constexpr int kNodes = 6;

auto addressOf(int number) -> std::string
{
    return "127.0.0." + std::to_string(number);
}

/// Six nodes in two failure domains. Each has an endpoint of the store of its own.
struct TwoDomains {
    explicit TwoDomains(FiberRuntime &fiberRuntime)
        : runtime(fiberRuntime)
        , store(fiberRuntime)
        , callers(fiberRuntime, CallPoolOptions())
    {
        publish("\"k1\",\"k2\"");
        for (int number = kFirstNode; number < kFirstNode + kNodes; ++number) {
            storeEndpoints[number] = store.openEndpoint();
            SidecarSettings settings = testing::makeSettings(number, "diary", storeEndpoints[number]);
            settings.domain = DomainName(number < kFirstNode + kNodes / 2 ? "east" : "west");
            policyApply = settings.policyApply;
            members.push_back(ownMember(settings));
            nodes.push_back(std::make_unique<Sidecar>(runtime, settings));
            CPPUNIT_ASSERT(nodes.back()->start().has_value());
        }
        runtime.sleepFor(milliseconds(2500));
    }

    /// Publishes a configuration with these keys.
    void publish(const std::string &keys)
    {
        std::string digits = std::to_string(++version);
        digits.insert(0, 8 - digits.size(), '0');
        store.put("keyed.op", "config", configuration(digits, keys));
    }

    [[nodiscard]] auto isStoreReader(int number) const -> bool
    {
        PeerTable peers;
        peers.ownAddress = addressOf(number);
        peers.ownDomain = members[number - kFirstNode].domain;
        for (const auto &member : members) {
            addMember(peers, member);
        }
        return isReader(peers, ReaderSettings());
    }

    void setReaderAccess(const StoreStandin::Access &access)
    {
        for (const auto &[number, endpoint] : storeEndpoints) {
            if (isStoreReader(number)) {
                store.setAccess(endpoint, access);
            }
        }
    }

    /// Returns the status of a request with the key at the node, or 0 without an answer.
    auto statusOf(int number, const std::string &key) -> int
    {
        RequestMessage request;
        request.method = "GET";
        request.target = "/stock/1";
        request.headers = {{"Host", "studio.example"}, {"X-Snipestream-Request-Id", "request-" + std::to_string(++requestCount)}, {"Api-Key", key}};
        CancelSignal cancel;
        const CallResult result = callers.call({addressOf(number), testing::kCallerPort}, request, cancel, BootClock::now() + seconds(3));
        return result.status == CallStatus::Answered ? result.response.status : 0;
    }

    /// Checks that after the time within which a configuration must be in force, the nodes that the store serves do not accept
    /// the key any more.
    void checkIsWithdrawn(const std::string &key)
    {
        runtime.sleepFor(policyApply);
        for (int number = kFirstNode; number < kFirstNode + kNodes; ++number) {
            if (!isStoreReader(number)) {
                CPPUNIT_ASSERT_EQUAL_MESSAGE(addressOf(number), 401, statusOf(number, key));
            }
        }
    }

    FiberRuntime &runtime;
    StoreStandin store;
    CallPool callers;
    std::map<int, Endpoint> storeEndpoints;
    std::vector<Member> members;
    std::vector<std::unique_ptr<Sidecar>> nodes;
    Duration policyApply{};
    int version = 0;
    int requestCount = 0;
};

} // namespace

/// A configuration must be in force in time on every node that the store serves.
class FreshnessTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FreshnessTest);
    CPPUNIT_TEST(testUnconfirmedReaders);
    CPPUNIT_TEST(testPausedProcess);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against nodes that rely on readers whose own configuration is not confirmed.
    void testUnconfirmedReaders()
    {
        FiberRuntime runtime;
        runtime.runToEnd([&] {
            auto fleet = std::make_unique<TwoDomains>(runtime);
            const auto reset = [&] {
                fleet->setReaderAccess({});
                fleet->publish("\"k1\",\"k2\",\"k3\",\"k4\"");
                runtime.sleepFor(milliseconds(3000));
                for (int number = kFirstNode; number < kFirstNode + kNodes; ++number) {
                    CPPUNIT_ASSERT_EQUAL(503, fleet->statusOf(number, "k2"));
                }
            };
            const std::map<std::string, StoreStandin::Access> cases = {
                {"refuses", {503, Duration::zero()}},
                {"does not answer", {std::nullopt, seconds(20)}},
                {"answers slowly", {std::nullopt, milliseconds(1500)}},
            };
            for (const auto &[name, access] : cases) {
                section("the store " + name + " all readers, which ask each other", [&, access = access] {
                    reset();
                    fleet->setReaderAccess(access);
                    runtime.sleepFor(milliseconds(700));
                    fleet->publish("\"k1\",\"k3\",\"k4\"");
                    fleet->checkIsWithdrawn("k2");
                    section("a change that follows is in force in time as well", [&] {
                        fleet->publish("\"k1\",\"k4\"");
                        fleet->checkIsWithdrawn("k3");
                    });
                });
            }
            section("the store refuses the readers from the moment of a series of changes on", [&] {
                reset();
                fleet->setReaderAccess({503, Duration::zero()});
                for (const std::string &keys : {"\"k1\",\"k3\",\"k4\"", "\"k1\",\"k4\"", "\"k1\""}) {
                    fleet->publish(keys);
                    runtime.sleepFor(milliseconds(330));
                }
                fleet->checkIsWithdrawn("k4");
            });
            section("the readers end without notice", [&] {
                reset();
                for (int number = kFirstNode; number < kFirstNode + kNodes; ++number) {
                    if (fleet->isStoreReader(number)) {
                        fleet->nodes[number - kFirstNode]->end();
                    }
                }
                fleet->publish("\"k1\"");
                fleet->checkIsWithdrawn("k2");
            });
            for (const auto &node : fleet->nodes) {
                node->end();
            }
            runtime.sleepFor(milliseconds(2500));
        });
    }

    /// Guards against a node that got no processor time and acts on the configuration from before until it has read the store.
    void testPausedProcess()
    {
        testing::withFleet([](testing::Fleet &fleet) {
            section("after a pause, no node serves a key that was withdrawn during it, and all serve the others again", [&fleet] {
                const std::vector<std::string> entries = {"127.0.0.2", "127.0.0.3", "127.0.0.4"};
                for (const auto &entry : entries) {
                    CPPUNIT_ASSERT_EQUAL(200, fleet.sendRequest("GET", "/stock/1", "k2", entry).response.status);
                }
                fleet.store.put("keyed.op", "config", configuration("00000002", "\"k1\""));
                // The nodes and the store share this thread, so that nothing of the change arrives before the end of the pause.
                std::this_thread::sleep_for(SidecarSettings().policyApply + milliseconds(200));
                std::map<std::string, int> statuses;
                for (const auto &entry : entries) {
                    fleet.runtime.spawn([&fleet, &statuses, entry] {
                        const CallResult result = fleet.sendRequest("GET", "/stock/1", "k2", entry);
                        statuses[entry] = result.status == CallStatus::Answered ? result.response.status : 0;
                    });
                }
                fleet.waitUntil([&statuses, &entries] {
                    return statuses.size() == entries.size();
                });
                for (const auto &[entry, status] : statuses) {
                    CPPUNIT_ASSERT_MESSAGE(entry + " answered " + std::to_string(status), status == 503 || status == 401);
                }
                for (const auto &entry : entries) {
                    fleet.waitUntil([&fleet, &entry] {
                        return fleet.sendRequest("GET", "/stock/1", "k1", entry).response.status == 200;
                    });
                }
            });
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FreshnessTest);

} // namespace snipestream
