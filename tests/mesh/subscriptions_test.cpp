#include "mesh/subscriptions.h"

#include "mesh/admission_control.h"
#include "mesh/report_codec.h"
#include "tests/support/section.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <numeric>

namespace snipestream
{

using testing::section;

namespace
{

const ServiceName kService("diary");
constexpr double kSlots = 20;
constexpr Duration kStep = milliseconds(25);

/// Simulates nodes that subscribe to each other's targets, in virtual time. Every node is an entry, and one in four has a
/// target of the service.
struct SubscriptionFleet {
    struct Node {
        PeerTable peers;
        SubscriptionTable subscriptions;
        SubscriberTable subscribers;
        uint64_t incarnation = 1;
        uint64_t sequence = 0;
        bool isDown = false;
        double demand = 0;
        TimePoint homesUpdatedAt;
    };

    SubscriptionFleet(size_t nodes, size_t domains)
        : machines(nodes)
    {
        for (size_t i = 0; i < nodes; ++i) {
            auto &node = machines[i];
            node.peers.ownAddress = addressOf(i);
            node.peers.ownDomain = domainOf(i, domains);
            for (size_t peer = 0; peer < nodes; ++peer) {
                addMember(node.peers, {addressOf(peer), NodeName(addressOf(peer)), domainOf(peer, domains), serviceOf(peer)});
            }
        }
    }

    static auto addressOf(size_t i) -> std::string
    {
        return "10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250);
    }

    static auto domainOf(size_t i, size_t domains) -> DomainName
    {
        return DomainName("d" + std::to_string(i / 4 % domains));
    }

    static auto serviceOf(size_t i) -> ServiceName
    {
        return i % 4 == 0 ? kService : ServiceName("other");
    }

    auto nodeAt(const std::string &address) -> Node &
    {
        const auto found = std::find_if(machines.begin(), machines.end(), [&](const Node &node) {
            return node.peers.ownAddress == address;
        });
        return *found;
    }

    void step(size_t i)
    {
        auto &node = machines[i];
        if (node.isDown) {
            return;
        }
        if (now - node.homesUpdatedAt >= milliseconds(500)) {
            node.homesUpdatedAt = now;
            updateSubscriptions(node.subscriptions, node.peers, {kService}, now);
        }
        for (const auto &[home, subscription] : dueSubscriptions(node.subscriptions, node.peers, {{kService, {node.demand}}}, node.incarnation, now)) {
            ++messages;
            auto &to = nodeAt(home);
            if (!to.isDown && !isCut(node, to)) {
                applySubscription(to.subscribers, kService, subscription, now);
            }
        }
        if (serviceOf(i) != kService) {
            return;
        }
        expireSubscribers(node.subscribers, now);
        NodeReport report;
        report.address = node.peers.ownAddress;
        report.incarnation = node.incarnation;
        report.target.service = serviceOf(i);
        report.serving = true;
        report.load.limit = static_cast<int>(kSlots);
        report.demand = totalDemand(node.subscribers);
        for (const auto &due : dueReports(node.subscribers, false, now)) {
            ++messages;
            report.sequence = ++node.sequence;
            report.interval = due.interval;
            auto &to = nodeAt(due.address);
            if (!to.isDown && !isCut(node, to)) {
                applyReport(to.peers, report, now);
            }
        }
    }

    void run(Duration span)
    {
        for (const TimePoint end = now + span; now < end; now += kStep) {
            for (size_t i = 0; i < machines.size(); ++i) {
                step(i);
            }
        }
    }

    /// Returns the ratio of demand to slots that a node sees.
    auto seenLoad(size_t i) -> double
    {
        const ServiceCapacity capacity = serviceCapacity(machines[i].peers, kService, now);
        return std::accumulate(capacity.demand.begin(), capacity.demand.end(), 0.0) / std::max(capacity.slots, 1.0);
    }

    std::vector<Node> machines;
    TimePoint now = TimePoint() + seconds(100);
    uint64_t messages = 0;
    std::function<bool(const Node &, const Node &)> isCut = [](const Node &, const Node &) {
        return false;
    };
};

auto countIn(const SubscriptionFleet::Node &node, const std::string &domain) -> size_t
{
    const auto &homes = node.peers.homes.at(kService);
    return static_cast<size_t>(std::count_if(homes.begin(), homes.end(), [&](const std::string &address) {
        return node.peers.rows.at(address).member.domain.value == domain;
    }));
}

} // namespace

/// Guards against messages that grow with the size of the fleet, against nodes that see another demand than there is, and
/// against homes that a node relies on although they are gone.
class SubscriptionsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SubscriptionsTest);
    CPPUNIT_TEST(testBoundedMessages);
    CPPUNIT_TEST(testDemand);
    CPPUNIT_TEST(testSilentHomes);
    CPPUNIT_TEST(testPartition);
    CPPUNIT_TEST(testMessages);
    CPPUNIT_TEST(testManySubscribers);
    CPPUNIT_TEST_SUITE_END();

public:
    void testBoundedMessages()
    {
        double perNode = 0;
        for (const size_t nodes : {200, 400}) {
            section("the messages of a node do not grow with the fleet", [&] {
                SubscriptionFleet fleet(nodes, 6);
                fleet.run(seconds(2));
                fleet.messages = 0;
                fleet.run(seconds(4));
                const double messagesPerNode = static_cast<double>(fleet.messages) / 4 / static_cast<double>(nodes);
                CPPUNIT_ASSERT_MESSAGE(std::to_string(messagesPerNode), messagesPerNode < 130);
                CPPUNIT_ASSERT(perNode == 0 || messagesPerNode < 1.1 * perNode);
                perNode = messagesPerNode;
                section("most homes are in the node's own failure domain", [&] {
                    CPPUNIT_ASSERT(countIn(fleet.machines[1], fleet.machines[1].peers.ownDomain.value) >= 8);
                    CPPUNIT_ASSERT(fleet.machines[1].peers.homes.at(kService).size() <= 12);
                });
            });
        }
    }

    /// Answers an overload that arrives at few entry nodes: every entry has to see it, although each knows few homes.
    void testDemand()
    {
        SubscriptionFleet fleet(240, 6);
        const double totalSlots = 60 * kSlots;
        for (size_t i = 0; i < fleet.machines.size(); ++i) {
            fleet.machines[i].demand = totalSlots * 1.5 / 240;
        }
        fleet.run(seconds(3));
        section("all nodes see the ratio of demand to slots to within a quarter", [&] {
            double sum = 0;
            for (size_t i = 0; i < fleet.machines.size(); ++i) {
                CPPUNIT_ASSERT_DOUBLES_EQUAL(1.5, fleet.seenLoad(i), 0.375);
                sum += fleet.seenLoad(i);
            }
            CPPUNIT_ASSERT_DOUBLES_EQUAL(1.5, sum / 240, 0.05);
        });
        section("a surge is seen everywhere within a second and a half", [&] {
            for (auto &node : fleet.machines) {
                node.demand *= 2;
            }
            fleet.run(milliseconds(1500));
            for (size_t i = 0; i < fleet.machines.size(); ++i) {
                CPPUNIT_ASSERT(fleet.seenLoad(i) > 2.2);
            }
        });
        section("demand that is no longer renewed is forgotten", [&] {
            for (size_t i = 0; i < fleet.machines.size(); ++i) {
                fleet.machines[i].demand = 0;
                fleet.machines[i].isDown = i % 2 == 1;
            }
            fleet.run(seconds(10));
            CPPUNIT_ASSERT(fleet.seenLoad(0) < 0.01);
        });
    }

    void testSilentHomes()
    {
        SubscriptionFleet fleet(240, 6);
        fleet.run(seconds(3));
        auto &node = fleet.machines[1];
        const auto before = node.peers.homes.at(kService);
        section("homes that are silent are replaced, so that as many as before respond", [&] {
            for (size_t i = 0; i < 4; ++i) {
                fleet.nodeAt(before[i]).isDown = true;
            }
            fleet.run(seconds(8));
            const auto &homes = node.peers.homes.at(kService);
            const auto alive = std::count_if(homes.begin(), homes.end(), [&](const std::string &address) {
                return isAlive(node.peers.rows.at(address), fleet.now);
            });
            CPPUNIT_ASSERT(static_cast<size_t>(alive) >= before.size());
        });
        section("their return is noticed, and their replacements are given up", [&] {
            for (auto &other : fleet.machines) {
                other.isDown = false;
            }
            fleet.run(seconds(4));
            CPPUNIT_ASSERT(node.peers.homes.at(kService) == before);
            CPPUNIT_ASSERT(isAlive(node.peers.rows.at(before[0]), fleet.now));
        });
        section("a home whose target takes no requests is replaced as well", [&] {
            NodeReport report = *node.peers.rows.at(before[0]).report;
            report.serving = false;
            report.sequence += 100;
            report.interval = seconds(10);
            applyReport(node.peers, report, fleet.now);
            updateSubscriptions(node.subscriptions, node.peers, {kService}, fleet.now);
            CPPUNIT_ASSERT_EQUAL(before.size() + 1, node.peers.homes.at(kService).size());
        });
    }

    void testPartition()
    {
        SubscriptionFleet fleet(240, 4);
        fleet.run(seconds(3));
        fleet.isCut = [](const SubscriptionFleet::Node &a, const SubscriptionFleet::Node &b) {
            return (a.peers.ownDomain.value == "d0") != (b.peers.ownDomain.value == "d0");
        };
        fleet.run(seconds(8));
        section("a failure domain that is cut off knows its own homes only", [&] {
            const auto &node = fleet.machines[1];
            CPPUNIT_ASSERT_EQUAL(std::string("d0"), node.peers.ownDomain.value);
            for (const PeerRow *const row : homesOf(node.peers, kService)) {
                CPPUNIT_ASSERT_EQUAL(row->member.domain.value == "d0", isAlive(*row, fleet.now));
            }
            CPPUNIT_ASSERT(serviceCapacity(node.peers, kService, fleet.now).slots >= 8 * kSlots);
        });
    }

    void testMessages()
    {
        const Subscription subscription{"10.0.0.1", kService, 7, 9, {0.5, 0, 2.25}, milliseconds(600), true};
        const auto bytes = encodeSubscription(subscription);
        const std::string_view view(reinterpret_cast<const char *>(bytes.data()), bytes.size());
        section("a subscription is decoded as it was encoded", [&] {
            CPPUNIT_ASSERT(decodeSubscription(view).value() == subscription);
        });
        section("truncated bytes are an error", [&] {
            for (size_t length = 0; length < view.size(); ++length) {
                CPPUNIT_ASSERT(!decodeSubscription(view.substr(0, length)).has_value());
            }
        });
        section("a delayed message of the current or the previous incarnation changes nothing", [&] {
            SubscriberTable table;
            const TimePoint now = TimePoint() + seconds(1);
            Subscription current = subscription;
            current.ends = false;
            applySubscription(table, kService, current, now);
            Subscription old = current;
            --old.sequence;
            old.demand = {9};
            applySubscription(table, kService, old, now);
            CPPUNIT_ASSERT(table.rows.at("10.0.0.1").latest == current);
            Subscription restarted = current;
            restarted.incarnation = 8;
            restarted.sequence = 1;
            applySubscription(table, kService, restarted, now);
            old.sequence = 50;
            applySubscription(table, kService, old, now);
            CPPUNIT_ASSERT(table.rows.at("10.0.0.1").latest == restarted);
        });
        section("a subscription to a service that had the address before is ignored, and so is its end", [&] {
            SubscriberTable table;
            const TimePoint now = TimePoint() + seconds(1);
            Subscription current = subscription;
            current.ends = false;
            const ServiceName other("other");
            applySubscription(table, other, current, now);
            CPPUNIT_ASSERT(table.rows.empty());
            applySubscription(table, kService, current, now);
            Subscription end = current;
            end.service = other;
            end.ends = true;
            ++end.sequence;
            applySubscription(table, kService, end, now);
            CPPUNIT_ASSERT(table.rows.at("10.0.0.1").latest == current);
        });
    }

    /// Guards against a home of a service that the whole fleet uses, whose reports all subscribers reject: with more than 7,200
    /// subscribers, the interval between two reports was longer than messages may say.
    void testManySubscribers()
    {
        constexpr int kNodes = 10000;
        SubscriberTable table;
        const TimePoint now = TimePoint() + seconds(1);
        for (int i = 0; i < kNodes; ++i) {
            const std::string address = SubscriptionFleet::addressOf(static_cast<size_t>(i));
            applySubscription(table, kService, {address, kService, 1, 1, {0.5}, milliseconds(800), false}, now);
        }
        NodeReport report;
        report.address = "10.1.0.1";
        report.target.service = kService;
        report.load.limit = 1;
        report.demand = totalDemand(table);
        const auto due = dueReports(table, true, now);
        CPPUNIT_ASSERT_EQUAL(size_t{kNodes}, due.size());
        for (const auto &[address, interval, withKinds] : due) {
            report.interval = interval;
            const auto bytes = encodeReport(report);
            const auto decoded = decodeReport({reinterpret_cast<const char *>(bytes.data()), bytes.size()});
            CPPUNIT_ASSERT_MESSAGE(decoded ? "changed" : decoded.error().message, decoded && decoded.value() == report);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SubscriptionsTest);

} // namespace snipestream
