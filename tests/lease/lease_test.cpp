#include "tests/lease/lease_world.h"

#include "core/hash.h"
#include "tests/support/section.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace snipestream
{

using testing::LeaseCommand;
using testing::LeaseWorld;
using testing::section;

namespace
{

const LeaseKey kKey{DomainName("d"), 3};

auto at(int64_t ms) -> TimePoint
{
    return TimePoint(milliseconds(ms));
}

auto makeRecord(uint64_t epoch, const std::string &holder, std::vector<std::string> witnesses) -> LeaseRecord
{
    LeaseRecord record{kKey, epoch, NodeName(holder), 1, {}, false};
    for (auto &witness : witnesses) {
        record.witnesses.emplace_back(std::move(witness));
    }
    return record;
}

auto nodesNamed(std::initializer_list<const char *> names) -> LiveNodes
{
    LiveNodes live;
    for (const auto *name : names) {
        live[NodeName(name)] = 1;
    }
    return live;
}

/// Two lease nodes and three witnesses that exchange messages without delay.
struct SmallWorld {
    LeaseTable table;
    LeaseNode a = makeLeaseNode(NodeName("a"), kKey.domain, 1, at(0));
    LeaseNode b = makeLeaseNode(NodeName("b"), kKey.domain, 1, at(0));
    std::map<NodeName, WitnessTable> witnesses;

    SmallWorld()
    {
        for (const char *name : {"x", "y", "z"}) {
            start(name, 1, 0);
        }
        applyLeaseRecord(table, makeRecord(1, "a", {"x", "y", "z"}));
    }

    void start(const std::string &name, uint64_t incarnation, int64_t ms)
    {
        WitnessTable witness;
        witness.self = NodeName(name);
        witness.incarnation = incarnation;
        witness.startedAt = at(ms);
        markLogRead(witness, table);
        witnesses[witness.self] = witness;
    }

    void exchange(LeaseNode &node, int64_t ms)
    {
        for (const auto &[to, ping] : tickLease(node, table, at(ms), {}).pings) {
            const auto pong = answerPing(witnesses[to], table, node.params, ping, at(ms));
            applyPong(node.holder, node.params, pong, at(ms));
        }
    }
};

} // namespace

/// Guards the behaviour that operators rely on: who takes over a lease and when, renewals, hand-over at shutdown, the
/// unlogged bit, and the table folded from the log.
class LeaseTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LeaseTest);
    CPPUNIT_TEST(testFold);
    CPPUNIT_TEST(testMessages);
    CPPUNIT_TEST(testTakeoverAndHandOver);
    CPPUNIT_TEST(testLogOutage);
    CPPUNIT_TEST(testWitnessSets);
    CPPUNIT_TEST(testUnloggedBit);
    CPPUNIT_TEST_SUITE_END();

public:
    void testFold()
    {
        LeaseTable table;
        section("the first record of an epoch is applied and later ones are ignored", [&] {
            CPPUNIT_ASSERT(applyLeaseRecord(table, makeRecord(1, "a", {"x", "y", "z"})));
            CPPUNIT_ASSERT(!applyLeaseRecord(table, makeRecord(1, "b", {"x", "y", "z"})));
            CPPUNIT_ASSERT(!applyLeaseRecord(table, makeRecord(3, "b", {"x", "y", "z"})));
            CPPUNIT_ASSERT(applyLeaseRecord(table, makeRecord(2, "b", {"x", "y", "w"})));
            CPPUNIT_ASSERT(applyLeaseRecord(table, makeRecord(3, "c", {"x", "w", "v"})));
            CPPUNIT_ASSERT_EQUAL(size_t{3}, findLease(table, kKey)->sets.size());
        });
        section("a settled record drops all earlier witness sets except that of the previous epoch", [&] {
            auto settled = makeRecord(4, "c", {"v", "w", "u"});
            settled.settled = true;
            CPPUNIT_ASSERT(applyLeaseRecord(table, settled));
            CPPUNIT_ASSERT_EQUAL(size_t{2}, findLease(table, kKey)->sets.size());
        });
        section("a snapshot restores the same table", [&] {
            const auto loaded = loadLeaseTable(dumpLeaseTable(table));
            CPPUNIT_ASSERT(loaded && loaded.value() == table);
            CPPUNIT_ASSERT(!loadLeaseTable(nlohmann::json::parse(R"([{"sets":[[]],"record":{}}])")));
            CPPUNIT_ASSERT(!loadLeaseTable(nlohmann::json::parse(R"([1])")));
        });
    }

    void testMessages()
    {
        const auto record = makeRecord(7, "a", {"x", "y"});
        CPPUNIT_ASSERT(leaseRecordFromJson(toJson(record)).value() == record);
        LeasePing ping{kKey, 7, NodeName("a"), 1, 5000, 4, 2, true, true};
        CPPUNIT_ASSERT(toJson(leasePingFromJson(toJson(ping)).value()) == toJson(ping));
        LeasePong pong{kKey, 7, 1, 5000, NodeName("x"), 4, true, 2, true, UnloggedBit::Set};
        CPPUNIT_ASSERT(toJson(leasePongFromJson(toJson(pong)).value()) == toJson(pong));
        LeaseRelease release{kKey, 7, NodeName("a"), 1};
        CPPUNIT_ASSERT(toJson(leaseReleaseFromJson(toJson(release)).value()) == toJson(release));
        section("every missing or mistyped field is an error", [&] {
            const auto whole = toJson(record);
            for (const auto &item : whole.items()) {
                auto broken = toJson(record);
                broken.erase(item.key());
                CPPUNIT_ASSERT(!leaseRecordFromJson(broken));
                broken[item.key()] = nlohmann::json::object();
                CPPUNIT_ASSERT(!leaseRecordFromJson(broken));
            }
            auto negative = toJson(ping);
            negative["epoch"] = -1;
            CPPUNIT_ASSERT(!leasePingFromJson(negative));
            auto outside = toJson(pong);
            outside["prior"] = 3;
            CPPUNIT_ASSERT(!leasePongFromJson(outside));
            CPPUNIT_ASSERT(!leaseReleaseFromJson(nlohmann::json::array()));
        });
    }

    void testTakeoverAndHandOver()
    {
        LeaseWorld world(1, {});
        section("every range gets a holder after the start", [&] {
            world.run(seconds(15));
            CPPUNIT_ASSERT_EQUAL(size_t{kRangeCount}, world.heldRanges());
            CPPUNIT_ASSERT_MESSAGE("several candidates appended records for the same lease", world.appended() <= size_t{kRangeCount} + 4);
        });
        section("a killed holder is replaced", [&] {
            const auto dead = world.validHolder(0);
            world.apply(LeaseCommand{LeaseCommand::Kill, static_cast<int>(*dead), 0, seconds(60), {}});
            world.run(seconds(12));
            CPPUNIT_ASSERT_EQUAL(size_t{kRangeCount}, world.heldRanges());
            CPPUNIT_ASSERT(world.validHolder(0) != dead);
        });
        section("the successor of a holder that shuts down does not wait for vouchDelay", [&] {
            const auto leaving = world.validHolder(0);
            world.apply(LeaseCommand{LeaseCommand::ShutDown, static_cast<int>(*leaving), 0, {}, {}});
            world.run(milliseconds(1900));
            CPPUNIT_ASSERT(world.validHolder(0) && world.validHolder(0) != leaving);
        });
        CPPUNIT_ASSERT(!world.violation());
    }

    void testLogOutage()
    {
        LeaseWorld world(2, {});
        world.run(seconds(15));
        world.apply(LeaseCommand{LeaseCommand::LogDown, 0, 0, seconds(600), {}});
        section("holders keep their leases while the log is unavailable", [&] {
            world.run(seconds(120));
            CPPUNIT_ASSERT_EQUAL(size_t{kRangeCount}, world.heldRanges());
        });
        section("a holder that restarts is not replaced while the log is unavailable", [&] {
            const auto before = world.appended();
            const auto holder = world.validHolder(0);
            world.apply(LeaseCommand{LeaseCommand::Restart, static_cast<int>(*holder), 0, {}, {}});
            world.run(seconds(20));
            CPPUNIT_ASSERT(!world.validHolder(0));
            CPPUNIT_ASSERT_EQUAL(before, world.appended());
        });
    }

    void testWitnessSets()
    {
        section("five witnesses in a large domain and three in a small one, without the holder", [&] {
            const auto large = nodesNamed({"a", "b", "c", "d", "e", "f", "g"});
            const auto five = chooseWitnesses(kKey, NodeName("a"), large, {NodeName("b"), NodeName("gone")});
            CPPUNIT_ASSERT_EQUAL(size_t{5}, five.size());
            CPPUNIT_ASSERT(std::count(five.begin(), five.end(), NodeName("a")) == 0);
            CPPUNIT_ASSERT(std::count(five.begin(), five.end(), NodeName("b")) == 1);
            const auto small = nodesNamed({"a", "b", "c", "d"});
            CPPUNIT_ASSERT_EQUAL(size_t{3}, chooseWitnesses(kKey, NodeName("a"), small, {}).size());
        });
        section("the witness sets of all epochs that were never valid have to confirm the holder", [&] {
            SmallWorld world;
            applyLeaseRecord(world.table, makeRecord(2, "b", {"u", "v", "w"}));
            applyLeaseRecord(world.table, makeRecord(3, "b", {"u", "v", "w"}));
            for (const char *name : {"u", "v", "w"}) {
                world.start(name, 1, 0);
            }
            for (const char *name : {"x", "y", "z"}) {
                world.start(name, 2, 3500);
            }
            world.exchange(world.b, 4000);
            CPPUNIT_ASSERT(!isLeaseValid(world.b.holder, kKey, at(4000)));
            world.exchange(world.b, 7000);
            CPPUNIT_ASSERT(isLeaseValid(world.b.holder, kKey, at(7000)));
        });
        section("a holder replaces a witness that does not respond, and stays valid", [&] {
            SmallWorld world;
            const LeaseInputs inputs{true, nodesNamed({"a", "b", "x", "y", "z"})};
            std::vector<LeaseRecord> renewals;
            for (int64_t ms = 3000; ms < 20000 && renewals.empty(); ms += 100) {
                world.exchange(world.a, ms);
                world.witnesses.erase(NodeName("z"));
                renewals = tickLease(world.a, world.table, at(ms), inputs).appends;
                renewals.erase(std::remove_if(renewals.begin(), renewals.end(),
                                              [](const LeaseRecord &record) {
                                                  return !(record.key == kKey);
                                              }),
                               renewals.end());
                CPPUNIT_ASSERT(ms < 4000 || isLeaseValid(world.a.holder, kKey, at(ms)));
            }
            CPPUNIT_ASSERT_EQUAL(size_t{1}, renewals.size());
            CPPUNIT_ASSERT_EQUAL(uint64_t{2}, renewals[0].epoch);
            CPPUNIT_ASSERT(std::count(renewals[0].witnesses.begin(), renewals[0].witnesses.end(), NodeName("z")) == 0);
        });
    }

    void testUnloggedBit()
    {
        SmallWorld world;
        world.exchange(world.a, 4000);
        CPPUNIT_ASSERT(isLeaseValid(world.a.holder, kKey, at(4000)));
        section("the bit is in effect only once a majority stores it", [&] {
            CPPUNIT_ASSERT(setUnlogged(world.a.holder, kKey, true, at(4100)));
            CPPUNIT_ASSERT(!isUnloggedStored(world.a.holder, kKey));
            world.exchange(world.a, 4100);
            CPPUNIT_ASSERT(isUnloggedStored(world.a.holder, kKey));
        });
        section("the successor sees the bit even if one witness has restarted", [&] {
            world.start("x", 2, 4200);
            applyLeaseRecord(world.table, makeRecord(2, "b", {"x", "y", "z"}));
            world.exchange(world.b, 8000);
            CPPUNIT_ASSERT(isLeaseValid(world.b.holder, kKey, at(8000)));
            CPPUNIT_ASSERT(priorUnlogged(world.b.holder, world.b.params, kKey, at(8000)) == UnloggedBit::Set);
        });
        section("a bit that arrives after the successor was confirmed is not stored", [&] {
            LeasePing late{kKey, 1, NodeName("a"), 1, 0, 1, 9, true, false};
            CPPUNIT_ASSERT(!answerPing(world.witnesses[NodeName("y")], {}, world.a.params, late, at(8100)).stored);
        });
        section("if all witnesses have restarted, the bit is unknown until the holder has marked it as resolved", [&] {
            for (const char *name : {"x", "y", "z"}) {
                world.start(name, 3, 8200);
            }
            applyLeaseRecord(world.table, makeRecord(3, "a", {"x", "y", "z"}));
            world.exchange(world.a, 12000);
            CPPUNIT_ASSERT(priorUnlogged(world.a.holder, world.a.params, kKey, at(12000)) == UnloggedBit::Unknown);
            markPriorResolved(world.a.holder, kKey);
            world.exchange(world.a, 12600);
            CPPUNIT_ASSERT(priorUnlogged(world.a.holder, world.a.params, kKey, at(12600)) == UnloggedBit::Clear);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeaseTest);

} // namespace snipestream
