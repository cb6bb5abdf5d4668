#include "config/fold.h"
#include "config/relay.h"
#include "config/snapshot.h"

#include "config/rules_parser.h"
#include "config/settings.h"
#include "core/random.h"
#include "tests/support/section.h"

#include <functional>
#include <set>
#include <string>

#include <rapidcheck.h>

namespace snipestream
{

using testing::section;

namespace
{

auto validChange() -> std::string
{
    ChangeRecord change;
    change.id = "c1";
    change.by = "ann";
    change.upserts.push_back(parseRuleLine("team a rate=5/s burst=5 # asked by ops: test").value());
    change.removals.emplace_back("team b");
    return encodeChange(change);
}

/// Overwrites, removes, duplicates or inserts characters in a valid text.
auto damage(std::string text) -> std::string
{
    const auto count = *rc::gen::inRange(1, 8);
    for (int i = 0; i < count && !text.empty(); ++i) {
        const auto at = *rc::gen::inRange<size_t>(0, text.size());
        switch (*rc::gen::inRange(0, 4)) {
        case 0:
            text[at] = *rc::gen::arbitrary<char>();
            break;
        case 1:
            text.erase(at, *rc::gen::inRange<size_t>(0, 20));
            break;
        case 2:
            text.insert(at, text.substr(*rc::gen::inRange<size_t>(0, text.size()), 20));
            break;
        default:
            text.insert(at, *rc::gen::element<std::string>("0", "-1", "1e9", "null", "{}", "[", "\"", "\\u0000", "99999999999999999999"));
        }
    }
    return text;
}

template<typename Decode>
void fuzz(const std::string &title, const std::string &valid, Decode decode)
{
    section(title, [&] {
        CPPUNIT_ASSERT_MESSAGE("the undamaged text decodes", decode(valid).has_value());
        CPPUNIT_ASSERT(rc::check(title + ": a damaged text is decoded or gives an InvalidInput error with a message", [&] {
            const auto decoded = decode(damage(valid));
            if (decoded.has_error()) {
                RC_ASSERT(decoded.error().code == ErrorCode::InvalidInput);
                RC_ASSERT(decoded.error().message.size() > 5);
            }
        }));
    });
}

} // namespace

/// Guards against damaged or hostile records, snapshots and peer responses that crash a node or change only a part of
/// its state.
class DecodersTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DecodersTest);
    CPPUNIT_TEST(testDamagedTexts);
    CPPUNIT_TEST(testDamagedRecordsInTheFold);
    CPPUNIT_TEST(testDamagedSnapshots);
    CPPUNIT_TEST(testHostilePayloads);
    CPPUNIT_TEST(testRelays);
    CPPUNIT_TEST_SUITE_END();

public:
    void testDamagedTexts()
    {
        fuzz("change", validChange(), decodeChange);
        fuzz("snapshot part", encodeSnapshotPart(splitSnapshot(Snapshot{3, "{}"}, "s", 5).front()), decodeSnapshotPart);
        fuzz("records of a peer", encodeRecordsResponse(RecordsResponse{{{1, "a"}, {2, "b"}}, 3}), decodeRecordsResponse);
        fuzz("rule line", "route r GET /a service=s priority=high idempotent=yes open=no # asked by a: b", parseRuleLine);
    }

    void testDamagedRecordsInTheFold()
    {
        const std::string valid = validChange();
        CPPUNIT_ASSERT(rc::check("a record that is not applied leaves the rules unchanged and has a detail", [&] {
            ConfigFold node;
            const auto outcome = applyRecord(node, LogRecord{0, damage(valid)}, 0);
            RC_ASSERT(node.state.nextOffset == 1U);
            if (outcome.verdict != ChangeVerdict::Applied) {
                RC_ASSERT(node.state.rules.empty() && node.state.revision == 0U);
                RC_ASSERT(!outcome.detail.empty());
            }
        }));
    }

    void testDamagedSnapshots()
    {
        ConfigFold writer;
        ChangeRecord change{"c1", 0, "ann", {}, {}};
        change.upserts.push_back(parseRuleLine("team a rate=5/s burst=5 # asked by ops: test").value());
        applyRecord(writer, LogRecord{0, encodeChange(change)}, 0);
        applyRecord(writer, LogRecord{1, encodeChange(ChangeRecord{"c2", 1, "ann", {}, {"team a"}})}, 0);
        applyRecord(writer, LogRecord{2, encodeChange(ChangeRecord{"c3", 2, "ann", change.upserts, {}})}, 0);
        const Snapshot valid = takeSnapshot(writer);
        CPPUNIT_ASSERT(rc::check("a snapshot that is not adopted changes nothing", [&] {
            ConfigFold node;
            const auto adopted = adoptSnapshot(node, Snapshot{3, damage(valid.text)}, 0);
            if (!adopted) {
                RC_ASSERT(!adopted.error().message.empty());
                RC_ASSERT(node.state.nextOffset == 0U && node.state.rules.empty());
            } else {
                RC_ASSERT(node.state.nextOffset == 3U);
            }
        }));
    }

    void testHostilePayloads()
    {
        ConfigFold node;
        const std::vector<std::pair<std::string, std::string>> payloads = {
            {"deep nesting", std::string(100000, '[')},
            {"deep nesting of objects", "{\"kind\":" + std::string(50000, '{')},
            {"invalid UTF-8", "{\"kind\":\"change\",\"id\":\"\xff\xfe\"}"},
            {"type is a number", R"({"type":7})"},
            {"empty", ""},
            {"a huge number", R"({"type":"change","id":"a","base":1e400,"by":"b","upserts":[],"removals":[]})"},
        };
        for (const auto &[title, payload] : payloads) {
            section(title, [&, text = payload] {
                const auto outcome = applyRecord(node, LogRecord{node.state.nextOffset, text}, 0);
                CPPUNIT_ASSERT(outcome.verdict != ChangeVerdict::Applied);
                CPPUNIT_ASSERT(!outcome.detail.empty());
            });
        }
        section("a number out of range is an error of every decoder", [&] {
            const std::string huge = R"({"type":"snapshot","id":"s","nextOffset":1e999,"records":[]})";
            CPPUNIT_ASSERT(decodeSnapshotPart(huge).has_error());
            CPPUNIT_ASSERT(decodeChange(huge).has_error());
            CPPUNIT_ASSERT(decodeRecordsResponse(huge).has_error());
            CPPUNIT_ASSERT(adoptSnapshot(node, Snapshot{1000, huge}, 0).has_error());
            CPPUNIT_ASSERT(!parseSettings(huge).errors.empty());
        });
        section("deeply nested valid JSON is rejected without exhausting the stack", [&] {
            const std::string deep = "{\"kind\":\"change\",\"id\":" + std::string(50000, '[') + std::string(50000, ']') + "}";
            CPPUNIT_ASSERT(applyRecord(node, LogRecord{node.state.nextOffset, deep}, 0).verdict != ChangeVerdict::Applied);
        });
    }

    void testRelays()
    {
        std::vector<NodeName> nodes;
        nodes.reserve(10);
        for (int i = 0; i < 10; ++i) {
            nodes.emplace_back("n" + std::to_string(i));
        }
        const auto relays = relaysOf(DomainName("a"), nodes);
        section("there are three relays, independent of the order of the node list", [&] {
            std::reverse(nodes.begin(), nodes.end());
            CPPUNIT_ASSERT_EQUAL(size_t{3}, relays.size());
            CPPUNIT_ASSERT(relaysOf(DomainName("a"), nodes) == relays);
        });
        section("five nodes publish snapshots, each with a different delay", [&] {
            std::set<Duration> turns;
            for (const NodeName &node : nodes) {
                const auto turn = snapshotPublishDelay(node, nodes);
                CPPUNIT_ASSERT(!turn || turns.insert(*turn).second);
            }
            CPPUNIT_ASSERT_EQUAL(size_t{5}, turns.size());
            CPPUNIT_ASSERT(*turns.begin() == Duration::zero());
        });
        section("the history is bounded and returns records from any offset that it contains", [&] {
            RecordHistory history;
            history.maxBytes = 50;
            for (uint64_t offset = 10; offset < 30; ++offset) {
                appendToHistory(history, LogRecord{offset, "0123456789"});
            }
            CPPUNIT_ASSERT_EQUAL(size_t{5}, history.records.size());
            CPPUNIT_ASSERT(recordsSince(history, 30, 10, 1000).records.empty());
            CPPUNIT_ASSERT(planCatchUp(10, recordsSince(history, 30, 10, 1000)).step == CatchUpStep::FetchState);
            CPPUNIT_ASSERT_EQUAL(size_t{2}, recordsSince(history, 30, 26, 25).records.size());
            CPPUNIT_ASSERT_EQUAL(size_t{1}, recordsSince(history, 30, 26, 1).records.size());
            CPPUNIT_ASSERT(recordsSince(history, 30, 30, 1000).records.empty());
            CPPUNIT_ASSERT(planCatchUp(30, recordsSince(history, 30, 30, 1000)).step == CatchUpStep::Nothing);
            CPPUNIT_ASSERT(planCatchUp(40, recordsSince(history, 30, 26, 1000)).step == CatchUpStep::Nothing);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DecodersTest);

} // namespace snipestream
