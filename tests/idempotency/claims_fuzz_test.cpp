#include "tests/idempotency/world.h"
#include "tests/support/section.h"

#include <iostream>
#include <set>
#include <sstream>

#include <rapidcheck.h>

namespace snipestream
{

using testing::Defect;
using testing::Fault;
using testing::section;
using testing::World;

namespace
{

/// One step of a simulation. `kind` selects a request (0, 1), a wait (2), a refusal after a peek (3) or a fault (other
/// values); `value` selects its parameters.
struct Command {
    int kind;
    int value;
};

auto operator<<(std::ostream &out, const Command &command) -> std::ostream &
{
    switch (command.kind) {
    case 0:
    case 1:
        return out << "request key" << command.value % 3 << " at entry " << command.value % 2;
    case 2:
        return out << "wait " << (command.value % 8 + 1) * (command.value % 3 == 0 ? 1000 : 50) << " ms";
    case 3:
        return out << "peek key" << command.value % 3;
    default:
        return out << testing::faultName(static_cast<Fault>(command.value % testing::kFaultCount));
    }
}

void runCommand(World &world, const Command &command)
{
    switch (command.kind) {
    case 0:
    case 1:
        world.requestTime = seconds(command.value % 4 == 0 ? 10 : 2);
        world.request("key" + std::to_string(command.value % 3), static_cast<size_t>(command.value) % 2);
        world.advanceTime(milliseconds(command.value % 5 * 40));
        break;
    case 2:
        world.advanceTime(milliseconds((command.value % 8 + 1) * (command.value % 3 == 0 ? 1000 : 50)));
        break;
    case 3:
        world.refuseAfterPeek("key" + std::to_string(command.value % 3));
        break;
    default:
        if (world.activeFaults() < 2) {
            world.inject(static_cast<Fault>(command.value % testing::kFaultCount));
        }
        break;
    }
}

/// Runs the commands, ends all faults and sends two more requests for each key.
void runCommands(World &world, const std::vector<Command> &commands)
{
    for (const auto &command : commands) {
        runCommand(world, command);
    }
    world.clearFaults();
    for (int i = 0; i < 6; ++i) {
        world.request("key" + std::to_string(i % 3), static_cast<size_t>(i) % 2);
        world.advanceTime(seconds(3));
    }
}

} // namespace

/// Guards against requests that run twice, false not-run refusals and wrong responses under random combinations of faults.
class ClaimsFuzzTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ClaimsFuzzTest);
    CPPUNIT_TEST(testInvariantsHoldUnderFaults);
    CPPUNIT_TEST_SUITE_END();

public:
    void testInvariantsHoldUnderFaults()
    {
        size_t runs = 0;
        size_t responses = 0;
        size_t notRun = 0;
        size_t quarantines = 0;
        size_t unlogged = 0;
        size_t takeovers = 0;
        // inRange() narrows its range at small sizes, so the commands are generated at the nominal size.
        const auto command = rc::gen::resize(rc::kNominalSize, rc::gen::construct<Command>(rc::gen::inRange(0, 6), rc::gen::inRange(0, 16 * 24)));
        const auto commands = rc::gen::container<std::vector<Command>>(command);
        const bool holds = rc::check("claims", [&] {
            const auto sequence = *rc::gen::resize(60, commands);
            World world(Defect::None);
            runCommands(world, sequence);
            runs += world.oracle.runs.size();
            responses += world.oracle.responses.size();
            for (const auto &refusal : world.oracle.refusals) {
                notRun += refusal.notRun ? 1 : 0;
            }
            quarantines += world.quarantines;
            unlogged += world.unloggedModes;
            takeovers += world.takeovers;
            const auto violations = world.oracle.violations();
            if (!violations.empty()) {
                RC_FAIL(violations.front());
            }
        });
        CPPUNIT_ASSERT(holds);
        std::cout << "runs " << runs << ", responses " << responses << ", not-run refusals " << notRun << ", takeovers " << takeovers << ", quarantines "
                  << quarantines << ", unlogged modes " << unlogged << "\n";
        section("the simulations include not-run refusals, takeovers, quarantines and unlogged modes", [&] {
            CPPUNIT_ASSERT(runs > 50 && responses > runs && notRun > 10);
            CPPUNIT_ASSERT(takeovers > 20 && quarantines > 5 && unlogged > 5);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClaimsFuzzTest);

} // namespace snipestream
