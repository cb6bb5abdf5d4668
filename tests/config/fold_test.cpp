#include "config/fold.h"

#include "config/catch_up.h"
#include "config/relay.h"
#include "config/rules_parser.h"
#include "config/snapshot.h"
#include "tests/standins/fake_log.h"
#include "tests/support/section.h"

#include <nlohmann/json.hpp>

namespace snipestream
{

using testing::FakeLog;
using testing::section;

namespace
{

auto rule(const std::string &line) -> Rule
{
    return parseRuleLine(line + " # asked by ops: test").value();
}

auto change(const std::string &id, uint64_t base, std::vector<Rule> upserts, std::vector<std::string> removals = {}) -> std::string
{
    return encodeChange(ChangeRecord{id, base, "ann", std::move(upserts), std::move(removals)});
}

auto fold(ConfigFold &node, const std::string &payload) -> FoldOutcome
{
    return applyRecord(node, LogRecord{node.state.nextOffset, payload}, 1000);
}

auto verdictOf(ConfigFold &node, const std::string &payload) -> std::string
{
    return std::string(verdictName(fold(node, payload).verdict));
}

/// Returns a section that appends the field "value" of each record to `numbers` and rejects records without a number or
/// with a negative one.
auto numbersSection(std::vector<int> &numbers) -> FoldSection
{
    FoldSection section;
    section.name = "number";
    section.apply = [&numbers](uint64_t offset, const nlohmann::json &record) -> Result<void> {
        if (!record.contains("value") || !record["value"].is_number_unsigned()) {
            return failure(ErrorCode::InvalidInput, "value is missing");
        }
        numbers.push_back(record["value"].get<int>());
        return success();
    };
    section.dump = [&numbers] {
        return nlohmann::json(numbers);
    };
    section.load = [&numbers](const nlohmann::json &dumped) -> Result<void> {
        if (!dumped.is_array()) {
            return failure(ErrorCode::InvalidInput, "not an array");
        }
        numbers = dumped.get<std::vector<int>>();
        return success();
    };
    return section;
}

} // namespace

/// Guards against verdicts that differ from section 9 of the design, and against snapshots that lose state.
class FoldTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FoldTest);
    CPPUNIT_TEST(testVerdicts);
    CPPUNIT_TEST(testKeysStayWithdrawn);
    CPPUNIT_TEST(testRoutesMayMoveInOneChange);
    CPPUNIT_TEST(testBoundsKeepRejecting);
    CPPUNIT_TEST(testSections);
    CPPUNIT_TEST(testExpiredRecordsNeedSnapshot);
    CPPUNIT_TEST(testLargeSnapshot);
    CPPUNIT_TEST(testSnapshotDue);
    CPPUNIT_TEST(testNewNodesAlwaysCatchUp);
    CPPUNIT_TEST_SUITE_END();

public:
    void testVerdicts()
    {
        ConfigFold node;
        const Rule team = rule("team a rate=5/s burst=5");
        section("the first change is applied", [&] {
            CPPUNIT_ASSERT_EQUAL(std::string("applied"), verdictOf(node, change("c1", 0, {team})));
            CPPUNIT_ASSERT_EQUAL(uint64_t{1}, node.state.revision);
            CPPUNIT_ASSERT_EQUAL(uint64_t{5}, findTeam(node.state, TeamName("a"))->rate);
        });
        section("a second record with the same change id is a duplicate", [&] {
            CPPUNIT_ASSERT_EQUAL(std::string("duplicate"), verdictOf(node, change("c1", 0, {team})));
            CPPUNIT_ASSERT_EQUAL(uint64_t{1}, node.state.revision);
        });
        section("a change of the same rule with an older base is a conflict and names the winner", [&] {
            const auto lost = fold(node, change("c2", 0, {rule("team a rate=9/s burst=5")}));
            CPPUNIT_ASSERT(lost.verdict == ChangeVerdict::Conflict);
            CPPUNIT_ASSERT_EQUAL(std::string("rule \"team a\" was changed at revision 1 by ann, after base revision 0"), lost.detail);
        });
        section("a change of another rule with the same base is applied", [&] {
            CPPUNIT_ASSERT_EQUAL(std::string("applied"), verdictOf(node, change("c3", 0, {rule("team b rate=1/s burst=1")})));
        });
        section("invalid changes leave the revision unchanged", [&] {
            const std::vector<std::string> invalid = {
                change("i1", 9, {rule("team c rate=1/s burst=1")}),
                change("i2", 2, {}),
                change("i3", 2, {}, {"team zzz"}),
                change("i4", 2, {team}, {"team a"}),
                change("i5", 2, {rule("key zzz k1 hash=" + std::string(32, '0') + ":" + std::string(64, '0'))}),
                R"({"type":"change","id":"i6","base":2,"by":"ann","upserts":["team a rate=0/s"],"removals":[]})",
            };
            for (const std::string &payload : invalid) {
                CPPUNIT_ASSERT_EQUAL_MESSAGE(payload, std::string("invalid"), verdictOf(node, payload));
            }
            CPPUNIT_ASSERT_EQUAL(uint64_t{2}, node.state.revision);
        });
        section("unreadable records are counted", [&] {
            CPPUNIT_ASSERT_EQUAL(std::string("unreadable"), verdictOf(node, "{"));
            CPPUNIT_ASSERT_EQUAL(std::string("unreadable"), verdictOf(node, R"({"type":"change"})"));
            CPPUNIT_ASSERT_EQUAL(std::string("unreadable"), verdictOf(node, std::string(kMaxRecordBytes + 1, ' ')));
            CPPUNIT_ASSERT_EQUAL(uint64_t{3}, node.state.unreadableRecords);
        });
        section("the audit trail has an entry for every record", [&] {
            CPPUNIT_ASSERT_EQUAL(size_t{13}, node.state.audit.size());
            CPPUNIT_ASSERT_EQUAL(std::string("ann"), node.state.audit.front().by);
            CPPUNIT_ASSERT(findVerdict(node.state, "c2")->verdict == ChangeVerdict::Conflict);
            CPPUNIT_ASSERT(findVerdict(node.state, "c1")->verdict == ChangeVerdict::Applied);
        });
    }

    void testKeysStayWithdrawn()
    {
        ConfigFold node;
        const NewKey key = createKey(TeamName("a"), KeyId("k1"), RequestedBy{"ops", "test"});
        const NewKey other = createKey(TeamName("a"), KeyId("k1"), RequestedBy{"ops", "test"});
        const std::string header = "Bearer " + key.bearer;
        fold(node, change("c1", 0, {rule("team a rate=5/s burst=5"), key.rule}));
        section("the key authenticates, both with and without its cache entry", [&] {
            CPPUNIT_ASSERT(authenticate(node.state, node.keyCache, header).value() == TeamName("a"));
            CPPUNIT_ASSERT(authenticate(node.state, node.keyCache, header).value() == TeamName("a"));
            CPPUNIT_ASSERT_EQUAL(size_t{1}, node.keyCache.entries.size());
        });
        section("the secret of a key id cannot be replaced", [&] {
            CPPUNIT_ASSERT_EQUAL(std::string("invalid"), verdictOf(node, change("c2", 1, {other.rule})));
        });
        section("a withdrawal removes the cache entry and is reported", [&] {
            const auto outcome = fold(node, change("c3", 1, {}, {"key k1"}));
            CPPUNIT_ASSERT(outcome.withdrawnKeys == std::vector<KeyId>{KeyId("k1")});
            CPPUNIT_ASSERT(node.keyCache.entries.empty());
            CPPUNIT_ASSERT(authenticate(node.state, node.keyCache, header).error().code == ErrorCode::Expired);
        });
        section("an old rules file cannot add the withdrawn key again", [&] {
            const auto outcome = fold(node, change("c4", 2, {key.rule}));
            CPPUNIT_ASSERT(outcome.verdict == ChangeVerdict::Invalid);
            CPPUNIT_ASSERT(outcome.detail.find("withdrawn at revision 2") != std::string::npos);
        });
        section("the withdrawn key cannot be added again after a snapshot was adopted", [&] {
            ConfigFold fresh;
            CPPUNIT_ASSERT(adoptSnapshot(fresh, takeSnapshot(node), 0).value().adopted);
            CPPUNIT_ASSERT_EQUAL(std::string("invalid"), verdictOf(fresh, change("c5", 2, {key.rule})));
        });
    }

    void testRoutesMayMoveInOneChange()
    {
        ConfigFold node;
        const std::string fields = " service=s priority=high idempotent=yes open=no";
        fold(node, change("c1", 0, {rule("route a GET /a" + fields), rule("route b GET /b" + fields)}));
        section("two routes on one path are invalid", [&] {
            CPPUNIT_ASSERT_EQUAL(std::string("invalid"), verdictOf(node, change("c2", 1, {rule("route c GET /a/" + fields)})));
        });
        section("two routes swap their paths in one change", [&] {
            CPPUNIT_ASSERT_EQUAL(std::string("applied"), verdictOf(node, change("c3", 1, {rule("route a GET /b" + fields), rule("route b GET /a" + fields)})));
            CPPUNIT_ASSERT(matchRoute(node.state, "GET", "/a/1").value()->name == RouteName("b"));
            CPPUNIT_ASSERT(matchRoute(node.state, "GET", "/b").value()->name == RouteName("a"));
        });
        section("a removed route no longer matches", [&] {
            fold(node, change("c4", 2, {}, {"route b"}));
            CPPUNIT_ASSERT(matchRoute(node.state, "GET", "/a").error().code == ErrorCode::NotFound);
        });
    }

    void testBoundsKeepRejecting()
    {
        ConfigFold node;
        fold(node, change("first", 0, {rule("team old rate=1/s burst=1")}));
        fold(node, change("second", 1, {}, {"team old"}));
        const size_t turns = std::max(kMaxAuditEntries, kMaxRemovedRules) + 10;
        for (size_t i = 0; i < turns; ++i) {
            const std::string name = "team t" + std::to_string(i);
            const uint64_t base = node.state.revision;
            fold(node, change("a" + std::to_string(i), base, {rule(name + " rate=1/s burst=1")}));
            fold(node, change("b" + std::to_string(i), base + 1, {}, {name}));
        }
        section("audit trail and removals are bounded", [&] {
            CPPUNIT_ASSERT_EQUAL(kMaxAuditEntries, node.state.audit.size());
            CPPUNIT_ASSERT_EQUAL(kMaxAuditEntries, node.state.changeOffsets.size());
            CPPUNIT_ASSERT_EQUAL(kMaxRemovedRules, node.state.removedRules.revisions.size());
        });
        section("a duplicate whose id was dropped from the audit trail is a conflict", [&] {
            CPPUNIT_ASSERT_EQUAL(std::string("conflict"), verdictOf(node, change("first", 0, {rule("team old rate=1/s burst=1")})));
        });
    }

    void testSections()
    {
        std::vector<int> numbers;
        ConfigFold node;
        node.sections.push_back(numbersSection(numbers));
        section("records are folded into their section", [&] {
            CPPUNIT_ASSERT_EQUAL(std::string("applied"), verdictOf(node, R"({"type":"number","value":7})"));
            CPPUNIT_ASSERT_EQUAL(std::string("invalid"), verdictOf(node, R"({"type":"number"})"));
            CPPUNIT_ASSERT_EQUAL(std::string("unreadable"), verdictOf(node, R"({"type":"else"})"));
            CPPUNIT_ASSERT_EQUAL(uint64_t{3}, node.state.nextOffset);
        });
        const Snapshot snapshot = takeSnapshot(node);
        section("a snapshot contains the section", [&] {
            std::vector<int> copy = {1};
            ConfigFold fresh;
            fresh.sections.push_back(numbersSection(copy));
            CPPUNIT_ASSERT(adoptSnapshot(fresh, snapshot, 0).value().adopted);
            CPPUNIT_ASSERT(copy == numbers);
            CPPUNIT_ASSERT_EQUAL(snapshot.text, takeSnapshot(fresh).text);
        });
        section("a snapshot that fails to load changes nothing", [&] {
            std::vector<int> copy = {1};
            ConfigFold fresh;
            fresh.sections.push_back(numbersSection(copy));
            Snapshot damaged = snapshot;
            damaged.text.replace(damaged.text.find("[7]"), 3, "{}");
            CPPUNIT_ASSERT(adoptSnapshot(fresh, damaged, 0).has_error());
            CPPUNIT_ASSERT(copy == std::vector<int>{1});
            CPPUNIT_ASSERT_EQUAL(uint64_t{0}, fresh.state.nextOffset);
        });
        section("a snapshot of the same offset is not adopted", [&] {
            CPPUNIT_ASSERT(!adoptSnapshot(node, snapshot, 0).value().adopted);
        });
    }

    void testExpiredRecordsNeedSnapshot()
    {
        FakeLog log;
        const LogClient client = log.client();
        ConfigFold writer;
        for (int i = 0; i < 5; ++i) {
            CPPUNIT_ASSERT(client.append(kConfigStream, change("c" + std::to_string(i), i, {rule("team a rate=" + std::to_string(i + 1) + "/s burst=1")})));
        }
        CPPUNIT_ASSERT(catchUpFromLog(writer, client, 2, 0));
        section("without a snapshot a new node reports an error and folds nothing", [&] {
            log.expireBefore(kConfigStream, 3);
            ConfigFold fresh;
            CPPUNIT_ASSERT(catchUpFromLog(fresh, client, 2, 0).error().code == ErrorCode::Unavailable);
            CPPUNIT_ASSERT_EQUAL(uint64_t{0}, fresh.state.nextOffset);
        });
        section("with a snapshot a new node reaches the same state", [&] {
            CPPUNIT_ASSERT(publishSnapshot(writer, client, "s1", 5000));
            CPPUNIT_ASSERT(client.append(kConfigStream, change("c9", 5, {rule("team b rate=1/s burst=1")})));
            CPPUNIT_ASSERT(catchUpFromLog(writer, client, 2, 0));
            ConfigFold fresh;
            CPPUNIT_ASSERT(catchUpFromLog(fresh, client, 2, 0).value().snapshotAdopted);
            CPPUNIT_ASSERT_EQUAL(takeSnapshot(writer).text, takeSnapshot(fresh).text);
        });
        section("a log that lost records is reported", [&] {
            FakeLog empty;
            CPPUNIT_ASSERT(catchUpFromLog(writer, empty.client(), 2, 0).error().code == ErrorCode::ProtocolViolation);
        });
    }

    void testLargeSnapshot()
    {
        ConfigFold node;
        for (int batch = 0; batch < 40; ++batch) {
            std::vector<Rule> rules;
            rules.reserve(100);
            for (int i = 0; i < 100; ++i) {
                rules.push_back(
                    parseRuleLine("team b" + std::to_string(batch) + "-" + std::to_string(i) + " rate=1/s burst=1 # asked by \"f\u00fcnf\": \\ \"quotes\"")
                        .value());
            }
            fold(node, change("c" + std::to_string(batch), batch, rules));
        }
        const Snapshot snapshot = takeSnapshot(node);
        auto parts = splitSnapshot(snapshot, "s", 1);
        CPPUNIT_ASSERT(parts.size() > 3);
        section("every part fits into a record", [&] {
            for (const SnapshotPart &part : parts) {
                CPPUNIT_ASSERT(encodeSnapshotPart(part).size() <= kMaxRecordBytes);
            }
        });
        section("parts may arrive in any order and twice", [&] {
            SnapshotAssembly assembly;
            std::optional<Snapshot> joined;
            CPPUNIT_ASSERT(!addSnapshotPart(assembly, parts.front()));
            for (auto part = parts.rbegin(); part != parts.rend(); ++part) {
                auto complete = addSnapshotPart(assembly, decodeSnapshotPart(encodeSnapshotPart(*part)).value());
                joined = complete ? std::move(complete) : joined;
            }
            CPPUNIT_ASSERT(joined.has_value());
            CPPUNIT_ASSERT_EQUAL(snapshot.text, joined->text);
        });
        section("a snapshot with a damaged part is rejected", [&] {
            SnapshotAssembly assembly;
            parts.back().text.back() = '?';
            for (const SnapshotPart &part : parts) {
                CPPUNIT_ASSERT(!addSnapshotPart(assembly, part));
            }
        });
    }

    void testSnapshotDue()
    {
        ConfigFold node;
        const Retention retention{seconds(100), 200};
        CPPUNIT_ASSERT(!isSnapshotDue(node.state, retention, 1000));
        fold(node, change("c1", 0, {rule("team a rate=5/s burst=5")}));
        CPPUNIT_ASSERT(isSnapshotDue(node.state, retention, 1000));
        for (const SnapshotPart &part : splitSnapshot(takeSnapshot(node), "s", 100000)) {
            fold(node, encodeSnapshotPart(part));
        }
        CPPUNIT_ASSERT(!isSnapshotDue(node.state, retention, 149999));
        CPPUNIT_ASSERT(isSnapshotDue(node.state, retention, 150000));
        section("a snapshot time far in the future makes a new snapshot due", [&] {
            CPPUNIT_ASSERT(isSnapshotDue(node.state, retention, 30000));
        });
        section("a snapshot is due after half of the records that the log keeps", [&] {
            for (int i = 0; i < 99; ++i) {
                fold(node, "x");
            }
            CPPUNIT_ASSERT(!isSnapshotDue(node.state, retention, 100001));
            fold(node, "x");
            CPPUNIT_ASSERT(isSnapshotDue(node.state, retention, 100001));
        });
    }

    /// Guards against snapshots that are published too late for a log that keeps few records, so that a new node cannot
    /// catch up.
    void testNewNodesAlwaysCatchUp()
    {
        constexpr size_t kRetainedRecords = 100;
        FakeLog log(kRetainedRecords);
        const LogClient client = log.client();
        ConfigFold relay;
        size_t snapshots = 0;
        for (int i = 0; i < 1000; ++i) {
            CPPUNIT_ASSERT(client.append(
                kConfigStream, change("c" + std::to_string(i), relay.state.revision, {rule("team t" + std::to_string(i % 50) + " rate=1/s burst=1")})));
            if (i % 10 == 0) {
                CPPUNIT_ASSERT(catchUpFromLog(relay, client, 7, 0));
                if (isSnapshotDue(relay.state, Retention{std::chrono::hours(1), kRetainedRecords}, 1000)) {
                    CPPUNIT_ASSERT(publishSnapshot(relay, client, "s" + std::to_string(i), 1000));
                    ++snapshots;
                }
            }
            ConfigFold fresh;
            const auto caughtUp = catchUpFromLog(fresh, client, 7, 0);
            CPPUNIT_ASSERT_MESSAGE(caughtUp ? "" : caughtUp.error().message, caughtUp.has_value());
        }
        CPPUNIT_ASSERT(catchUpFromLog(relay, client, 7, 0));
        ConfigFold fresh;
        CPPUNIT_ASSERT(catchUpFromLog(fresh, client, 7, 0));
        CPPUNIT_ASSERT_EQUAL(takeSnapshot(relay).text, takeSnapshot(fresh).text);
        CPPUNIT_ASSERT(snapshots > 10 && snapshots < 40);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FoldTest);

} // namespace snipestream
