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

/// Returns one letter for the result of an attempt: A for the response of the target, R for a replay, N for a refusal with
/// not-run, U for a refusal with unknown, - if the caller received nothing.
auto outcomeLetter(const testing::Oracle &oracle, const std::string &key, unsigned number) -> std::string
{
    for (const auto &response : oracle.responses) {
        if (response.key == key && response.number == number) {
            // The attempt that ran received the response of the target; any other attempt received a replay.
            const bool isTargetResponse = oracle.runs.front().number == number;
            return isTargetResponse ? "A" : "R";
        }
    }
    for (const auto &refusal : oracle.refusals) {
        if (refusal.key == key && refusal.number == number) {
            return refusal.notRun ? "N" : "U";
        }
    }
    return "-";
}

/// A fault injected `delay` after the start of the request, or together with the first fault if `delay` is zero.
struct SecondFault {
    Fault fault;
    Duration delay;
};

/// Sends a request and injects the fault when it first reaches the step. The caller retries every 3 s, alternating between
/// the entry nodes, until it receives a response, and once more after all faults have ended.
auto runCell(Defect defect, Step step, Fault fault, const std::optional<SecondFault> &second, Duration requestTime) -> CellResult
{
    World world(defect);
    world.requestTime = requestTime;

    bool isInjected = false;
    world.onStep = [&](Step reached) {
        if (reached == step && !isInjected) {
            isInjected = true;
            world.inject(fault);
            if (second && second->delay == Duration::zero()) {
                world.inject(second->fault);
            }
        }
    };
    world.request("key", 0);
    world.advanceTime(milliseconds(500));
    if (second && second->delay > Duration::zero()) {
        world.inject(second->fault);
    }
    world.advanceTime(milliseconds(2500));
    unsigned attempts = 1;
    for (; attempts < 6 && world.oracle.responses.empty(); ++attempts) {
        world.request("key", attempts % 2);
        world.advanceTime(seconds(3));
    }
    world.clearFaults();
    world.request("key", 0);
    world.advanceTime(seconds(3));
    ++attempts;
    CellResult result;
    result.text = outcomeLetter(world.oracle, "key", 1) + "→" + outcomeLetter(world.oracle, "key", attempts) + " " + std::to_string(world.oracle.runsOf("key"));
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
            const auto cell = runCell(Defect::None, static_cast<Step>(step), static_cast<Fault>(fault), std::nullopt, seconds(2));
            table << " " << cell.text << " |";
            violations.insert(violations.end(), cell.violations.begin(), cell.violations.end());
        }
        table << "\n";
    }
    return table.str();
}

/// Runs every step with every fault alone and combined with every second fault, until the first violation. Requests with
/// a long deadline are still waiting when a successor has taken over.
auto firstViolation(Defect defect) -> std::string
{
    std::vector<std::optional<SecondFault>> secondFaults = {std::nullopt};
    for (int fault = 0; fault < testing::kFaultCount; ++fault) {
        for (const Duration delay : {Duration::zero(), Duration(milliseconds(500))}) {
            secondFaults.emplace_back(SecondFault{static_cast<Fault>(fault), delay});
        }
    }
    for (int cell = 0; cell < testing::kStepCount * testing::kFaultCount * 2; ++cell) {
        const auto step = static_cast<Step>(cell / 2 % testing::kStepCount);
        const auto fault = static_cast<Fault>(cell / 2 / testing::kStepCount);
        const Duration requestTime = cell % 2 == 0 ? seconds(2) : seconds(10);
        for (const auto &second : secondFaults) {
            const auto result = runCell(defect, step, fault, second, requestTime);
            if (!result.violations.empty()) {
                return result.violations.front() + " (" + testing::faultName(fault) + " at " + testing::stepName(step)
                    + (second ? ", then " + testing::faultName(second->fault) : std::string()) + ")";
            }
        }
    }
    return {};
}

/// A release by the first owner is stored 6 s late, after the request has run under the second owner. Without fencing the
/// third owner would apply it and let the request run again. Returns the first violation.
auto runLateRelease(Defect defect) -> std::string
{
    World world(defect);
    bool isEnded = false;
    world.onStep = [&](Step step) {
        isEnded = isEnded || step == Step::EndSent;
    };
    world.inject(Fault::AdmissionRefused);
    world.request("key", 0);
    while (!isEnded) {
        world.advanceTime(milliseconds(10));
    }
    world.inject(Fault::AppendLostThenStored);
    world.inject(Fault::MessageLost);
    world.advanceTime(milliseconds(200));
    world.inject(Fault::OwnerKilled);
    world.advanceTime(seconds(4));
    world.request("key", 1);
    world.advanceTime(seconds(4));
    world.inject(Fault::OwnerKilled);
    world.advanceTime(seconds(4));
    world.request("key", 0);
    world.advanceTime(seconds(4));
    CPPUNIT_ASSERT(world.oracle.runsOf("key") > 0);
    const auto violations = world.oracle.violations();
    return violations.empty() ? std::string() : violations.front();
}

} // namespace

/// Guards against a fault at any step of a request that lets it run twice, or causes a false refusal or a wrong response.
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
        CPPUNIT_ASSERT_EQUAL(std::string(), runLateRelease(Defect::None));
    }

    void testOraclesNoticeEveryDefect()
    {
        const std::vector<std::pair<Defect, std::string>> expected = {
            {Defect::RunBeforeAcknowledged, "I9"},   {Defect::GrantWithoutLease, "I9"},        {Defect::NoFence, "I9"},
            {Defect::ClaimsDroppedOnTakeover, "I9"}, {Defect::ResendAfterByte, "I9"},          {Defect::NotRunWhileUnknown, "I8"},
            {Defect::QuarantineSkipped, "I9"},       {Defect::UnloggedWithoutWitnesses, "I9"}, {Defect::ReplayTruncated, "I7"},
        };
        for (const auto &[defect, invariant] : expected) {
            section(testing::defectName(defect), [defect = defect, invariant = invariant] {
                const std::string violation = defect == Defect::NoFence ? runLateRelease(defect) : firstViolation(defect);
                std::cout << testing::defectName(defect) << ": " << violation << "\n";
                CPPUNIT_ASSERT_EQUAL(invariant, violation.substr(0, 2));
            });
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FaultMatrixTest);

} // namespace snipestream
