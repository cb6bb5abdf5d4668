#include "idempotency/attempt_state.h"
#include "idempotency/claim_table.h"
#include "tests/support/section.h"

namespace snipestream
{

using testing::section;

namespace
{

const ClaimKey kKey{TeamName("studio"), "deposit-1"};

/// One owner and a log that takes every append at once.
struct Bench {
    ClaimSettings settings;
    TimePoint now{seconds(100)};
    OwnerView view{true, 1, false, false};
    std::vector<ClaimsRecord> log;
    ClaimTable table;
    size_t appends = 0;

    void take(const std::string &domain, uint64_t homeRevision)
    {
        table = makeClaimTable(settings, DomainName(domain), 0);
        step(homeRevision);
        step(homeRevision);
        step(homeRevision);
    }
    void step(uint64_t homeRevision = 1)
    {
        auto outputs = tickClaims(table, view, homeRevision, now);
        if (outputs.readRequested) {
            const LogRead read{outputs.readId, log, 0, log.size(), true};
            auto after = onLogRecords(table, read, view, now);
            if (after.append) {
                outputs.append = after.append;
            }
        }
        if (outputs.append) {
            ++appends;
            log.push_back(*outputs.append);
            onAppendResult(table, view.epoch, outputs.append->sequence, AppendResult::Acknowledged, log.size() - 1, view, now);
        }
    }
    auto begin(uint64_t attempt, uint64_t fingerprint = 1, const ClaimKey &key = kKey) -> ClaimDecision
    {
        const BeginRequest request{key, fingerprint, RequestId{0, attempt}, static_cast<uint32_t>(attempt), NodeName("e"), seconds(10)};
        beginClaim(table, request, view, now);
        now += milliseconds(200);
        step();
        return beginClaim(table, request, view, now);
    }
    void end(uint64_t attempt, OutcomeKind kind, const std::optional<RecordedResponse> &response = std::nullopt)
    {
        CPPUNIT_ASSERT(endClaim(table, kKey, RequestId{0, attempt}, {kind, response}, view, now));
    }
};

auto reasonOf(const ClaimDecision &verdict) -> std::string
{
    if (const auto *refused = std::get_if<Refused>(&verdict)) {
        return std::string(refusalReasonName(refused->refusal.reason)) + " " + std::string(runStateName(refused->refusal.run));
    }
    return std::holds_alternative<Granted>(verdict) ? "granted" : std::holds_alternative<Replay>(verdict) ? "replay" : "wait";
}

} // namespace

/// Guards against verdicts that differ from the page, and against limits that are not kept.
class ClaimTableTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ClaimTableTest);
    CPPUNIT_TEST(testVerdicts);
    CPPUNIT_TEST(testLimits);
    CPPUNIT_TEST(testHandover);
    CPPUNIT_TEST(testPlannedStopLeavesNoQuarantine);
    CPPUNIT_TEST(testRunStates);
    CPPUNIT_TEST_SUITE_END();

public:
    void testVerdicts()
    {
        Bench bench;
        bench.take("a", 1);
        CPPUNIT_ASSERT_EQUAL(std::string("granted"), reasonOf(bench.begin(2)));
        CPPUNIT_ASSERT_EQUAL(std::string("in-progress unknown"), reasonOf(bench.begin(3)));
        section("a released key may be claimed again, but not by an earlier attempt or for another request", [&] {
            bench.end(2, OutcomeKind::NotRun);
            CPPUNIT_ASSERT_EQUAL(std::string("claim-unavailable unknown"), reasonOf(bench.begin(1)));
            CPPUNIT_ASSERT_EQUAL(std::string("bad-request not-run"), reasonOf(bench.begin(3, 9)));
            CPPUNIT_ASSERT(peekClaim(bench.table, kKey, 3, bench.view, bench.now) == RunState::NotRun);
            CPPUNIT_ASSERT(peekClaim(bench.table, kKey, 4, bench.view, bench.now) == RunState::Unknown);
            CPPUNIT_ASSERT_EQUAL(std::string("granted"), reasonOf(bench.begin(4)));
        });
        section("an entry node that dies leaves the claim unknown after the deadline", [&] {
            bench.now += seconds(11);
            CPPUNIT_ASSERT_EQUAL(std::string("already-run unknown"), reasonOf(bench.begin(5)));
        });
        section("a late outcome is still recorded, and the first one stays", [&] {
            bench.end(4, OutcomeKind::Done, RecordedResponse{201, {}, "receipt"});
            bench.end(4, OutcomeKind::NotRun);
            CPPUNIT_ASSERT_EQUAL(std::string("receipt"), std::get<Replay>(bench.begin(6)).response.body);
            CPPUNIT_ASSERT_EQUAL(std::string("bad-request unknown"), reasonOf(bench.begin(6, 9)));
        });
        section("the claim is forgotten after its retention and not before", [&] {
            bench.now += std::chrono::hours(23);
            CPPUNIT_ASSERT_EQUAL(std::string("replay"), reasonOf(bench.begin(7)));
            bench.now += std::chrono::hours(2);
            bench.step();
            CPPUNIT_ASSERT_EQUAL(std::string("granted"), reasonOf(bench.begin(8)));
        });
    }

    void testLimits()
    {
        Bench bench;
        bench.settings.maxClaims = 2;
        bench.take("a", 1);
        section("a full table refuses new keys and keeps the old ones", [&] {
            for (const char *name : {"x", "y"}) {
                CPPUNIT_ASSERT_EQUAL(std::string("granted"), reasonOf(bench.begin(1, 1, {kKey.team, name})));
            }
            CPPUNIT_ASSERT_EQUAL(std::string("claim-unavailable not-run"), reasonOf(bench.begin(1)));
            CPPUNIT_ASSERT_EQUAL(std::string("claim-unavailable unknown"), reasonOf(bench.begin(2)));
            CPPUNIT_ASSERT_EQUAL(std::string("in-progress unknown"), reasonOf(bench.begin(2, 1, {kKey.team, "x"})));
        });
        section("appends stay within the budget", [&] {
            Bench busy;
            busy.take("a", 1);
            for (int i = 0; i < 1000; ++i) {
                const BeginRequest request{{kKey.team, std::to_string(i)}, 1, RequestId{1, 1}, 1, {}, seconds(9)};
                beginClaim(busy.table, request, busy.view, busy.now);
                busy.now += milliseconds(10);
                busy.step();
            }
            CPPUNIT_ASSERT(busy.appends <= 66 && busy.appends >= 60);
        });
        section("a response over the limit is not recorded", [&] {
            const ClaimSettings settings;
            CPPUNIT_ASSERT(recordableResponse({200, {{"Connection", "close"}}, std::string(4096, 'x')}, settings)->headers.empty());
            CPPUNIT_ASSERT(!recordableResponse({200, {}, std::string(4097, 'x')}, settings));
        });
    }

    void testHandover()
    {
        for (const bool isHandedOver : {true, false}) {
            section(isHandedOver ? "the old home hands over" : "the old home is partitioned", [&] {
                Bench bench;
                bench.take("a", 1);
                bench.begin(1);
                if (isHandedOver) {
                    setHome(bench.table, false);
                    bench.now += seconds(1);
                    bench.step();
                    CPPUNIT_ASSERT(bench.table.phase == OwnerPhase::HandedOver);
                }
                bench.take("b", 2);
                CPPUNIT_ASSERT_EQUAL(isHandedOver, bench.table.phase == OwnerPhase::Serving);
                bench.now += seconds(31);
                bench.step(2);
                bench.step(2);
                CPPUNIT_ASSERT(bench.table.phase == OwnerPhase::Serving);
                CPPUNIT_ASSERT_EQUAL(std::string("already-run unknown"), reasonOf(bench.begin(2)));
                CPPUNIT_ASSERT_EQUAL(std::string(isHandedOver ? "granted" : "claim-unavailable unknown"), reasonOf(bench.begin(1, 1, {kKey.team, "other"})));
            });
        }
    }

    /// A rolling replacement restarts witnesses, which then no longer know the predecessor's bit. The range was once
    /// quarantined for a day although its owner had stopped as planned.
    void testPlannedStopLeavesNoQuarantine()
    {
        for (const bool isPlanned : {true, false}) {
            section(isPlanned ? "the owner stops as planned" : "the owner dies", [&] {
                Bench bench;
                bench.take("a", 1);
                bench.begin(1);
                if (isPlanned) {
                    setHome(bench.table, false);
                    bench.now += seconds(1);
                    bench.step();
                    CPPUNIT_ASSERT(bench.table.phase == OwnerPhase::HandedOver);
                }
                bench.view = OwnerView{true, 2, true, false};
                bench.take("a", 1);
                bench.now += seconds(1);
                bench.step();
                bench.step();
                CPPUNIT_ASSERT(bench.table.phase == OwnerPhase::Serving);
                CPPUNIT_ASSERT_EQUAL(std::string("already-run unknown"), reasonOf(bench.begin(2)));
                CPPUNIT_ASSERT_EQUAL(std::string(isPlanned ? "granted" : "claim-unavailable unknown"), reasonOf(bench.begin(1, 1, {kKey.team, "other"})));
            });
        }
    }

    void testRunStates()
    {
        section("only a claim or a peek allows not-run, and only until the dispatch", [] {
            for (int step = 0; step <= static_cast<int>(AttemptStep::Answered); ++step) {
                AttemptState trace;
                trace.step = static_cast<AttemptStep>(step);
                const bool isClaimed = trace.step == AttemptStep::Claimed;
                const bool isBefore = trace.step < AttemptStep::Claimed;
                CPPUNIT_ASSERT_EQUAL(isClaimed, truthfulRunState(trace, PeekResult::NotRequested) == RunState::NotRun);
                CPPUNIT_ASSERT_EQUAL(isClaimed || isBefore, truthfulRunState(trace, PeekResult::NoOtherAttempt) == RunState::NotRun);
            }
        });
        section("a grant after the attempt was given up is returned, and a second one starts nothing", [] {
            AttemptState trace;
            onClaimRequested(trace);
            CPPUNIT_ASSERT(onClaimCallFailed(trace).refusal->run == RunState::Unknown);
            const auto action = onClaimDecision(trace, Granted{});
            CPPUNIT_ASSERT(action.kind == EntryActionKind::Ignore && action.outcome->kind == OutcomeKind::NotRun);
            CPPUNIT_ASSERT(!mayDispatch(trace));
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClaimTableTest);

} // namespace snipestream
