#include "routing/directory.h"
#include "routing/local_targets.h"
#include "routing/node_table.h"

#include "tests/support/section.h"

#include <algorithm>
#include <functional>

#include <nlohmann/json.hpp>
#include <rapidcheck.h>

namespace snipestream
{

using testing::section;

namespace
{

auto nodeRecord(int name, bool join, uint64_t incarnation) -> NodeRecord
{
    const std::string text = std::to_string(name);
    return NodeRecord{NodeName("n" + text), join, DomainName("d" + std::to_string(name % 2)), Endpoint{"127.0.0.1", static_cast<uint16_t>(7000 + name)},
                      incarnation};
}

/// Replaces one field of a message with a value of another type or out of range, or removes it.
auto damage(nlohmann::json message, size_t field, int kind) -> nlohmann::json
{
    auto entry = message.begin();
    std::advance(entry, static_cast<std::ptrdiff_t>(field % message.size()));
    const std::vector<nlohmann::json> values = {nullptr,   -1, 1e300, "", std::string(300, 'x'), nlohmann::json::array({1}), nlohmann::json::object(),
                                                UINT64_MAX};
    if (kind == static_cast<int>(values.size())) {
        message.erase(entry);
        return message;
    }
    *entry = values[static_cast<size_t>(kind)];
    return message;
}

/// Name, join flag and incarnation of a node record.
using LogEntry = std::tuple<int, bool, int>;
using Fold = std::function<bool(NodeTable &, const NodeRecord &)>;

/// Applies the log once from the start and once from a snapshot taken at `cut`. The oracle keeps the highest
/// incarnation of each node, and a leave is final within its incarnation.
auto foldsAsExpected(const std::vector<LogEntry> &log, size_t cut, const Fold &fold) -> bool
{
    NodeTable whole;
    NodeTable resumed;
    std::map<int, std::pair<int, bool>> oracle;
    for (size_t i = 0; i < log.size(); ++i) {
        if (i == cut) {
            resumed = loadNodeTable(dumpNodeTable(whole)).value();
        }
        const auto [name, join, incarnation] = log[i];
        const auto record = nodeRecordFromJson(toJson(nodeRecord(name, join, static_cast<uint64_t>(incarnation))));
        fold(whole, record.value());
        fold(resumed, record.value());
        const std::pair<int, bool> entry{incarnation, !join};
        const auto newest = oracle.find(name);
        if (newest == oracle.end() || entry > newest->second) {
            oracle[name] = entry;
        }
    }
    bool same = (cut >= log.size() || whole.nodes == resumed.nodes) && whole.nodes.size() == oracle.size();
    for (const auto &[name, entry] : oracle) {
        const auto row = whole.nodes.find(NodeName("n" + std::to_string(name)));
        same = same && row != whole.nodes.end() && row->second.incarnation == static_cast<uint64_t>(entry.first) && row->second.isMember == !entry.second;
    }
    return same;
}

template<typename T>
auto reads(Result<T> (*reader)(const nlohmann::json &)) -> std::function<bool(const nlohmann::json &)>
{
    return [reader](const nlohmann::json &json) {
        return reader(json).has_value();
    };
}

} // namespace

/// Guards against messages that change in a round trip, against malformed messages that end the process, and against
/// node tables that differ between nodes with the same log.
class MessagesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MessagesTest);
    CPPUNIT_TEST(testRoundTrips);
    CPPUNIT_TEST(testMalformedInput);
    CPPUNIT_TEST(testNodeTable);
    CPPUNIT_TEST(testDirectoryNodes);
    CPPUNIT_TEST_SUITE_END();

public:
    const EndpointRecord record{EndpointId{NodeName("n"), TargetName("t")}, ServiceName("s"), DomainName("d"), 7, EndpointState::Draining, true, UINT64_MAX, 3};

    void testRoundTrips()
    {
        CPPUNIT_ASSERT(endpointRecordFromJson(toJson(record)).value() == record);
        const UpdateMessage update{ServiceName("s"), NodeName("n"), 4, 5, 6, true, {record}};
        const auto read = updateMessageFromJson(nlohmann::json::from_cbor(nlohmann::json::to_cbor(toJson(update))));
        CPPUNIT_ASSERT(toJson(read.value()) == toJson(update));
        const SubscribeMessage subscription{ServiceName("s"), NodeName("n"), 4, 5};
        CPPUNIT_ASSERT(toJson(subscribeMessageFromJson(toJson(subscription)).value()) == toJson(subscription));
        const auto brief = nlohmann::json::parse(R"({"target":"t","service":"s","address":"127.0.0.1","port":80,"slots":3,"connections":9})");
        CPPUNIT_ASSERT(targetAnnouncementFromJson(brief).value().state == EndpointState::Active);
    }

    void testMalformedInput()
    {
        using Reader = std::function<bool(const nlohmann::json &)>;
        const std::vector<std::pair<nlohmann::json, Reader>> messages = {
            {toJson(AnnounceMessage{{record}}), reads(announceMessageFromJson)},
            {toJson(SubscribeMessage{ServiceName("s"), NodeName("n"), 4, 5}), reads(subscribeMessageFromJson)},
            {toJson(UpdateMessage{ServiceName("s"), NodeName("n"), 4, 5, 6, true, {record}}), reads(updateMessageFromJson)},
            {toJson(nodeRecord(1, true, 1)), reads(nodeRecordFromJson)},
            {toJson(TargetAnnouncement{TargetName("t"), ServiceName("s"), {"127.0.0.1", 1}, 1, 1, true, EndpointState::Left, 2}),
             reads(targetAnnouncementFromJson)},
            {toJson(record), reads(endpointRecordFromJson)},
            {dumpNodeTable(NodeTable{}), reads(loadNodeTable)},
        };
        for (const auto &[message, reader] : messages) {
            section(message.dump(), [&, &message = message, &reader = reader] {
                CPPUNIT_ASSERT(reader(message));
                for (size_t field = 0; field < message.size(); ++field) {
                    for (int kind = 0; kind <= 8; ++kind) {
                        // Optional fields may be missing and unsigned numbers may be large.
                        const bool read = reader(damage(message, field, kind));
                        CPPUNIT_ASSERT(!read || kind >= 7);
                    }
                }
                for (const auto &json : {nlohmann::json(), nlohmann::json(1), nlohmann::json::array(), nlohmann::json("text"), nlohmann::json::object()}) {
                    CPPUNIT_ASSERT(!reader(json));
                }
            });
        }
    }

    void testNodeTable()
    {
        CPPUNIT_ASSERT(rc::check("every node folds the log to the table that the oracle expects", [] {
            const auto log =
                *rc::gen::container<std::vector<LogEntry>>(rc::gen::tuple(rc::gen::inRange(0, 3), rc::gen::arbitrary<bool>(), rc::gen::inRange(0, 4)));
            const auto cut = *rc::gen::inRange<size_t>(0, log.size() + 1);
            RC_ASSERT(foldsAsExpected(log, cut, applyNodeRecord));
        }));
        section("the oracle finds a fold that accepts outdated records", [] {
            const auto acceptsAll = [](NodeTable &table, const NodeRecord &record) {
                table.nodes.erase(record.name);
                return applyNodeRecord(table, record);
            };
            CPPUNIT_ASSERT(!foldsAsExpected({{0, true, 2}, {0, false, 1}}, 0, acceptsAll));
            CPPUNIT_ASSERT(!foldsAsExpected({{0, false, 1}, {0, true, 1}}, 0, acceptsAll));
        });
    }

    void testDirectoryNodes()
    {
        NodeTable table;
        DirectoryCache cache;
        section("without nodes there are no directory nodes", [&] {
            CPPUNIT_ASSERT(directoryNodes(table, cache, ServiceName("s")).empty());
        });
        for (int i = 0; i < 10; ++i) {
            applyNodeRecord(table, nodeRecord(i, true, 1));
        }
        const auto before = directoryNodes(table, cache, ServiceName("s"));
        section("two nodes in each failure domain", [&] {
            CPPUNIT_ASSERT_EQUAL(size_t{2}, before.size());
            CPPUNIT_ASSERT_EQUAL(size_t{2}, before.at(DomainName("d0")).size());
        });
        section("after the first node leaves, the second becomes the first", [&] {
            const auto &nodes = before.at(DomainName("d0"));
            auto leave = nodeRecord(std::stoi(nodes[0].value.substr(1)), false, 1);
            applyNodeRecord(table, leave);
            const auto after = directoryNodes(table, cache, ServiceName("s"));
            CPPUNIT_ASSERT(after.at(DomainName("d0"))[0] == nodes[1]);
            CPPUNIT_ASSERT(after.at(DomainName("d1")) == before.at(DomainName("d1")));
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MessagesTest);

} // namespace snipestream
