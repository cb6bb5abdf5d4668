#include "tests/lease/lease_world.h"

#include "tests/support/section.h"

#include <iostream>

#include <rapidcheck.h>

namespace rc
{

using snipestream::Duration;
using snipestream::milliseconds;
using snipestream::testing::LeaseCommand;

template<>
struct Arbitrary<LeaseCommand> {
    static auto arbitrary() -> Gen<LeaseCommand>
    {
        const auto ms = [](int low, int high) {
            return gen::map(gen::inRange(low, high), [](int value) {
                return Duration(milliseconds(value));
            });
        };
        return gen::build<LeaseCommand>(gen::set(&LeaseCommand::kind, gen::inRange<int>(0, LeaseCommand::KindCount)),
                                        gen::set(&LeaseCommand::a, gen::inRange(0, 5)), gen::set(&LeaseCommand::b, gen::inRange(0, 5)),
                                        gen::set(&LeaseCommand::length, ms(100, 9000)), gen::set(&LeaseCommand::wait, ms(50, 1500)));
    }
};

} // namespace rc

namespace snipestream
{

using testing::LeaseCommand;
using testing::LeaseWorld;
using testing::section;

namespace
{

/// Candidates append earlier than with the default parameters, so that takeovers depend more on the rules of the
/// witnesses.
auto fastTakeoverParams() -> LeaseParams
{
    LeaseParams params;
    params.takeoverAfter = milliseconds(500);
    params.candidateDelay = milliseconds(200);
    return params;
}

auto runCommands(uint64_t seed, const LeaseParams &params, const std::vector<LeaseCommand> &commands) -> std::optional<std::string>
{
    LeaseWorld world(seed, params);
    world.run(seconds(8));
    for (const auto &command : commands) {
        world.apply(command);
        world.run(command.wait);
        if (world.violation()) {
            break;
        }
    }
    world.run(seconds(5));
    return world.violation();
}

/// Returns the number of runs up to the first one with two valid holders, or -1 if there is none.
auto runsUntilViolation(const LeaseParams &params, int runs) -> int
{
    const auto commands = rc::gen::container<std::vector<LeaseCommand>>(40, rc::gen::arbitrary<LeaseCommand>());
    for (int run = 1; run <= runs; ++run) {
        const auto seed = static_cast<uint64_t>(run);
        if (runCommands(seed, params, commands(rc::Random(seed), 100).value())) {
            return run;
        }
    }
    return -1;
}

constexpr int kFaultRuns = 40;

} // namespace

/// Guards against two valid holders of one lease under any sequence of faults. Also checks that the oracle detects each
/// of the known faults in the protocol parameters.
class LeaseFuzzTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LeaseFuzzTest);
    CPPUNIT_TEST(testAtMostOneHolder);
    CPPUNIT_TEST(testCorrectParametersPassTheFaultRuns);
    CPPUNIT_TEST(testCatchesVouchDelayEqualToLifetime);
    CPPUNIT_TEST(testCatchesMissingRestartDelay);
    CPPUNIT_TEST(testCatchesAgeFromReceipt);
    CPPUNIT_TEST(testCatchesMissingVouchDelay);
    CPPUNIT_TEST_SUITE_END();

public:
    void testAtMostOneHolder()
    {
        CPPUNIT_ASSERT(rc::check("a lease never has two valid holders", [] {
            const auto seed = *rc::gen::arbitrary<uint64_t>();
            const auto commands = *rc::gen::arbitrary<std::vector<LeaseCommand>>();
            const auto violation = runCommands(seed, fastTakeoverParams(), commands);
            if (violation) {
                RC_FAIL(*violation);
            }
        }));
    }

    void testCorrectParametersPassTheFaultRuns()
    {
        CPPUNIT_ASSERT_EQUAL(-1, runsUntilViolation(fastTakeoverParams(), kFaultRuns));
    }

    void testCatchesVouchDelayEqualToLifetime()
    {
        auto params = fastTakeoverParams();
        params.vouchDelay = params.confirmationLifetime;
        expectCaught("vouchDelay equals confirmationLifetime", params);
    }

    void testCatchesMissingRestartDelay()
    {
        auto params = fastTakeoverParams();
        params.restartDelay = Duration::zero();
        expectCaught("no delay after a restart", params);
    }

    void testCatchesAgeFromReceipt()
    {
        auto params = fastTakeoverParams();
        params.ageFromReceipt = true;
        expectCaught("the age of a confirmation is counted from the receipt of the response", params);
    }

    void testCatchesMissingVouchDelay()
    {
        auto params = fastTakeoverParams();
        params.vouchDelay = Duration::zero();
        expectCaught("no delay before another holder is confirmed", params);
    }

private:
    static void expectCaught(const std::string &fault, const LeaseParams &params)
    {
        section(fault, [&] {
            const int runs = runsUntilViolation(params, kFaultRuns);
            std::cout << "fault '" << fault << "' is caught in run " << runs << std::endl;
            CPPUNIT_ASSERT(runs > 0);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeaseFuzzTest);

} // namespace snipestream
