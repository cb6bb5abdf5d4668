#include "tests/config/fold_world.h"

#include "config/change_check.h"
#include "tests/support/section.h"

#include <map>
#include <random>
#include <set>

#include <nlohmann/json.hpp>
#include <rapidcheck.h>

namespace snipestream
{

using testing::FoldWorld;
using testing::productHooks;
using testing::section;
using testing::WorldHooks;
using testing::WorldStep;

namespace
{

auto generateSteps(int length) -> rc::Gen<std::vector<WorldStep>>
{
    const auto number = rc::gen::inRange<uint32_t>(0, 1000);
    return rc::gen::container<std::vector<WorldStep>>(static_cast<size_t>(length),
                                                      rc::gen::build<WorldStep>(rc::gen::set(&WorldStep::kind, rc::gen::inRange<uint8_t>(0, 14)),
                                                                                rc::gen::set(&WorldStep::a, number), rc::gen::set(&WorldStep::b, number),
                                                                                rc::gen::set(&WorldStep::c, number)));
}

auto randomSteps(uint32_t seed) -> std::vector<WorldStep>
{
    std::mt19937 random(seed);
    std::vector<WorldStep> steps(60);
    for (WorldStep &step : steps) {
        step.kind = static_cast<uint8_t>(random() % 14);
        step.a = static_cast<uint32_t>(random() % 1000);
        step.b = static_cast<uint32_t>(random() % 1000);
        step.c = static_cast<uint32_t>(random() % 1000);
    }
    return steps;
}

/// Returns whether the check fails in one of 200 random runs with the hooks.
auto findFailure(const WorldHooks &hooks, const char *check) -> bool
{
    for (uint32_t seed = 1; seed <= 200; ++seed) {
        if (FoldWorld(hooks, {check}).run(randomSteps(seed))) {
            return true;
        }
    }
    return false;
}

/// Returns the payload of a change after the edit; other payloads are returned unchanged.
auto rewritten(const std::string &payload, const std::function<void(nlohmann::json &)> &edit) -> std::string
{
    auto document = nlohmann::json::parse(payload, nullptr, false);
    if (!document.is_object() || document["type"] != "change") {
        return payload;
    }
    edit(document);
    return document.dump();
}

} // namespace

/// Guards against nodes whose states differ at the same offset, whose offset or revisions decrease, which apply both of
/// two concurrent changes of a rule, or which accept a withdrawn key. Each check is verified with a test double that
/// has the fault it must detect.
class FoldFuzzTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FoldFuzzTest);
    CPPUNIT_TEST(testNodesAgree);
    CPPUNIT_TEST(testRunsReachAllSituations);
    CPPUNIT_TEST(testDoublesAreCaught);
    CPPUNIT_TEST_SUITE_END();

public:
    void testNodesAgree()
    {
        CPPUNIT_ASSERT(rc::check("nodes agree with the oracle and with each other", [] {
            const auto steps = *generateSteps(80);
            const auto failed = FoldWorld(productHooks(), {}).run(steps);
            if (failed) {
                RC_FAIL(*failed);
            }
        }));
    }

    /// Guards against runs that pass because the situations under test never occur in them.
    void testRunsReachAllSituations()
    {
        std::map<std::string, uint64_t> seen;
        for (uint32_t seed = 1; seed <= 200; ++seed) {
            FoldWorld world(productHooks(), {});
            const auto failed = world.run(randomSteps(seed));
            CPPUNIT_ASSERT_MESSAGE(failed.value_or(""), !failed);
            for (const auto &[name, count] : world.situations()) {
                seen[name] += count;
            }
        }
        for (const char *name : {"change applied", "change duplicate", "change conflict", "change invalid", " unreadable", "number applied", "snapshot applied",
                                 "snapshot from the log", "records from a peer", "newer state from a peer", "stale state from a peer"}) {
            section(name, [&] {
                CPPUNIT_ASSERT_MESSAGE(std::to_string(seen[name]), seen[name] >= 20);
            });
        }
    }

    void testDoublesAreCaught()
    {
        section("a fold that ignores the base revision is detected by the state and race checks", [&] {
            WorldHooks hooks = productHooks();
            hooks.apply = [](ConfigFold &fold, const LogRecord &record) {
                const uint64_t revision = fold.state.revision;
                const auto payload = rewritten(record.payload, [revision](nlohmann::json &document) {
                    document["base"] = revision;
                });
                return applyRecord(fold, LogRecord{record.offset, payload}, 0);
            };
            CPPUNIT_ASSERT(findFailure(hooks, testing::kStateCheck));
            CPPUNIT_ASSERT(findFailure(hooks, testing::kRaceCheck));
        });
        section("a fold that does not recognize duplicate change ids is detected", [&] {
            WorldHooks hooks = productHooks();
            hooks.apply = [](ConfigFold &fold, const LogRecord &record) {
                const auto payload = rewritten(record.payload, [&](nlohmann::json &document) {
                    document["id"] = "unique-" + std::to_string(record.offset);
                });
                return applyRecord(fold, LogRecord{record.offset, payload}, 0);
            };
            CPPUNIT_ASSERT(findFailure(hooks, testing::kStateCheck));
        });
        section("a node that adopts older snapshots is detected", [&] {
            WorldHooks hooks = productHooks();
            hooks.adopt = [](ConfigFold &fold, const Snapshot &snapshot) {
                fold.state.nextOffset = 0;
                (void)adoptSnapshot(fold, snapshot, 0);
            };
            CPPUNIT_ASSERT(findFailure(hooks, testing::kForwardCheck));
        });
        section("a node that folds records after a gap is detected", [&] {
            WorldHooks hooks = productHooks();
            hooks.plan = [](uint64_t nextOffset, const RecordsResponse &response) {
                CatchUp plan{CatchUpStep::ApplyRecords, response.records};
                return plan;
            };
            CPPUNIT_ASSERT(findFailure(hooks, testing::kStateCheck));
        });
        section("a snapshot without the audit trail is detected", [&] {
            WorldHooks hooks = productHooks();
            hooks.adopt = [](ConfigFold &fold, const Snapshot &snapshot) {
                auto document = nlohmann::json::parse(snapshot.text);
                document["audit"] = nlohmann::json::array();
                (void)adoptSnapshot(fold, Snapshot{snapshot.nextOffset, document.dump()}, 0);
            };
            CPPUNIT_ASSERT(findFailure(hooks, testing::kSameTextCheck));
        });
        section("a key cache that is consulted before the rules is detected", [&] {
            WorldHooks hooks = productHooks();
            auto accepted = std::make_shared<std::map<std::pair<ConfigFold *, std::string>, TeamName>>();
            hooks.authenticate = [accepted](ConfigFold &fold, const std::string &header) -> Result<TeamName> {
                const auto cached = accepted->find({&fold, header});
                if (cached != accepted->end()) {
                    return cached->second;
                }
                auto team = authenticate(fold.state, fold.keyCache, header);
                if (team) {
                    accepted->emplace(std::make_pair(&fold, header), team.value());
                }
                return team;
            };
            CPPUNIT_ASSERT(findFailure(hooks, testing::kWithdrawnCheck));
        });
        section("a fold that drops withdrawn keys is detected", [&] {
            WorldHooks hooks = productHooks();
            hooks.apply = [](ConfigFold &fold, const LogRecord &record) {
                auto outcome = applyRecord(fold, record, 0);
                fold.state.removedKeys.revisions.clear();
                return outcome;
            };
            CPPUNIT_ASSERT(findFailure(hooks, testing::kWithdrawnCheck));
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FoldFuzzTest);

} // namespace snipestream
