#include "tests/idempotency/world.h"
#include "tests/support/section.h"

#include <fstream>
#include <iostream>
#include <sstream>

namespace snipestream
{

using testing::Defect;
using testing::Fault;
using testing::section;
using testing::Step;
using testing::World;

namespace
{

struct CellResult {
    std::string text;
    std::vector<std::string> violations;
};

/// Returns one letter for what the caller got for this attempt.
auto letterOf(const testing::Oracle &oracle, const std::string &key, unsigned number) -> std::string
{
    for (const auto &answer : oracle.answers) {
        if (answer.key == key && answer.number == number) {
            // The target's own answer belongs to the attempt that ran; any other one is a replay.
            const bool isOwn = oracle.runs.front().number == number;
            return isOwn ? "A" : "R";
        }
    }
    for (const auto &refusal : oracle.refusals) {
        if (refusal.key == key && refusal.number == number) {
            return refusal.notRun ? "N" : "U";
        }
    }
    return "-";
}

/// A fault that follows on the first one.
struct SecondFault {
    Fault fault;
    Duration delay;
};

/// Lets one request meet the fault when it reaches the step. The caller repeats the request every 3 s at the other
/// entry node until it is answered, and once more after all faults have ended.
auto playCell(Defect defect, Step step, Fault fault, const std::optional<SecondFault> &second, Duration requestTime) -> CellResult
{
    World world(defect);
    world.requestTime = requestTime;

    bool isStruck = false;
    world.onStep = [&](Step reached) {
        if (reached == step && !isStruck) {
            isStruck = true;
            world.strike(fault);
            if (second && second->delay == Duration::zero()) {
                world.strike(second->fault);
            }
        }
    };
    world.request("key", 0);
    world.advance(milliseconds(500));
    if (second && second->delay > Duration::zero()) {
        world.strike(second->fault);
    }
    world.advance(milliseconds(2500));
    unsigned attempts = 1;
    for (; attempts < 6 && world.oracle.answers.empty(); ++attempts) {
        world.request("key", attempts % 2);
        world.advance(seconds(3));
    }
    world.heal();
    world.request("key", 0);
    world.advance(seconds(3));
    ++attempts;
    CellResult result;
    result.text = letterOf(world.oracle, "key", 1) + "→" + letterOf(world.oracle, "key", attempts) + " " + std::to_string(world.oracle.runsOf("key"));
    result.violations = world.oracle.violations();
    return result;
}

auto matrixMarkdown(std::vector<std::string> &violations) -> std::string
{
    std::ostringstream table;
    table << "| fault |";
    for (int step = 0; step < testing::kStepCount; ++step) {
        table << " " << testing::stepName(static_cast<Step>(step)) << " |";
    }
    table << "\n|";
    for (int column = 0; column <= testing::kStepCount; ++column) {
        table << " --- |";
    }
    table << "\n";
    for (int fault = 0; fault < testing::kFaultCount; ++fault) {
        table << "| " << testing::faultName(static_cast<Fault>(fault)) << " |";
        for (int step = 0; step < testing::kStepCount; ++step) {
            const auto cell = playCell(Defect::None, static_cast<Step>(step), static_cast<Fault>(fault), std::nullopt, seconds(2));
            table << " " << cell.text << " |";
            violations.insert(violations.end(), cell.violations.begin(), cell.violations.end());
        }
        table << "\n";
    }
    return table.str();
}

/// Plays every step with every fault alone and followed by every other one, until the first violation. Requests with a
/// long deadline are still waiting when a successor has taken over.
auto firstViolation(Defect defect) -> std::string
{
    std::vector<std::optional<SecondFault>> followers = {std::nullopt};
    for (int fault = 0; fault < testing::kFaultCount; ++fault) {
        for (const Duration delay : {Duration::zero(), Duration(milliseconds(500))}) {
            followers.emplace_back(SecondFault{static_cast<Fault>(fault), delay});
        }
    }
    for (int cell = 0; cell < testing::kStepCount * testing::kFaultCount * 2; ++cell) {
        const auto step = static_cast<Step>(cell / 2 % testing::kStepCount);
        const auto fault = static_cast<Fault>(cell / 2 / testing::kStepCount);
        const Duration requestTime = cell % 2 == 0 ? seconds(2) : seconds(10);
        for (const auto &second : followers) {
            const auto played = playCell(defect, step, fault, second, requestTime);
            if (!played.violations.empty()) {
                return played.violations.front() + " (" + testing::faultName(fault) + " at " + testing::stepName(step)
                    + (second ? ", then " + testing::faultName(second->fault) : std::string()) + ")";
            }
        }
    }
    return {};
}

/// A release is stored 6 s late, after the next owner has run the request: three owners, and a record of the first one
/// that would undo what the second one wrote. Returns the first violation.
auto playLateRelease(Defect defect) -> std::string
{
    World world(defect);
    bool isEnded = false;
    world.onStep = [&](Step step) {
        isEnded = isEnded || step == Step::EndSent;
    };
    world.strike(Fault::AdmissionRefused);
    world.request("key", 0);
    while (!isEnded) {
        world.advance(milliseconds(10));
    }
    world.strike(Fault::AppendDelayed);
    world.strike(Fault::MessageLost);
    world.advance(milliseconds(200));
    world.strike(Fault::OwnerKilled);
    world.advance(seconds(4));
    world.request("key", 1);
    world.advance(seconds(4));
    world.strike(Fault::OwnerKilled);
    world.advance(seconds(4));
    world.request("key", 0);
    world.advance(seconds(4));
    CPPUNIT_ASSERT(world.oracle.runsOf("key") > 0);
    const auto violations = world.oracle.violations();
    return violations.empty() ? std::string() : violations.front();
}

} // namespace

/// Guards against a fault at any step of a request that lets it run twice or makes a refusal or an answer untrue.
class FaultMatrixTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FaultMatrixTest);
    CPPUNIT_TEST(testFaultMatrix);
    CPPUNIT_TEST(testPairsOfFaults);
    CPPUNIT_TEST(testOraclesNoticeEveryDefect);
    CPPUNIT_TEST_SUITE_END();

public:
    void testFaultMatrix()
    {
        std::vector<std::string> violations;
        const std::string table = matrixMarkdown(violations);
        std::cout << table;
        CPPUNIT_ASSERT_MESSAGE(violations.empty() ? "" : violations.front(), violations.empty());
        std::ifstream file("docs/idempotency.md");
        std::stringstream page;
        page << file.rdbuf();
        CPPUNIT_ASSERT_MESSAGE("docs/idempotency.md lacks the table printed above", page.str().find(table) != std::string::npos);
    }

    void testPairsOfFaults()
    {
        CPPUNIT_ASSERT_EQUAL(std::string(), firstViolation(Defect::None));
        CPPUNIT_ASSERT_EQUAL(std::string(), playLateRelease(Defect::None));
    }

    void testOraclesNoticeEveryDefect()
    {
        const std::vector<std::pair<Defect, std::string>> expected = {
            {Defect::RunBeforeAcknowledged, "I9"}, {Defect::GrantWithoutLease, "I9"},        {Defect::NoFence, "I9"},
            {Defect::ForgetOnTakeover, "I9"},      {Defect::ResendAfterByte, "I9"},          {Defect::NotRunWhileUnknown, "I8"},
            {Defect::QuarantineSkipped, "I9"},     {Defect::UnloggedWithoutWitnesses, "I9"}, {Defect::ReplayCut, "I7"},
        };
        for (const auto &[defect, invariant] : expected) {
            section(testing::defectName(defect), [defect = defect, invariant = invariant] {
                const std::string violation = defect == Defect::NoFence ? playLateRelease(defect) : firstViolation(defect);
                std::cout << testing::defectName(defect) << ": " << violation << "\n";
                CPPUNIT_ASSERT_EQUAL(invariant, violation.substr(0, 2));
            });
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FaultMatrixTest);

} // namespace snipestream
