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

/// Candidates that append early put more strain on the witness rules than the real pace would.
auto hastyParams() -> LeaseParams
{
    LeaseParams params;
    params.takeoverAfter = milliseconds(500);
    params.candidateStep = milliseconds(200);
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

/// Returns the number of runs after which the oracle reports two valid holders, or -1 if it never does.
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

/// Guards against two valid holders of one lease under any sequence of faults, and against an oracle that would not
/// notice them.
class LeaseFuzzTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LeaseFuzzTest);
    CPPUNIT_TEST(testAtMostOneHolder);
    CPPUNIT_TEST(testCorrectParametersPassTheFaultRuns);
    CPPUNIT_TEST(testCatchesGapEqualToFreshness);
    CPPUNIT_TEST(testCatchesMissingRestartWait);
    CPPUNIT_TEST(testCatchesAgeFromReceipt);
    CPPUNIT_TEST(testCatchesMissingGap);
    CPPUNIT_TEST_SUITE_END();

public:
    void testAtMostOneHolder()
    {
        CPPUNIT_ASSERT(rc::check("a lease never has two valid holders", [] {
            const auto seed = *rc::gen::arbitrary<uint64_t>();
            const auto commands = *rc::gen::arbitrary<std::vector<LeaseCommand>>();
            const auto violation = runCommands(seed, hastyParams(), commands);
            if (violation) {
                RC_FAIL(*violation);
            }
        }));
    }

    void testCorrectParametersPassTheFaultRuns()
    {
        CPPUNIT_ASSERT_EQUAL(-1, runsUntilViolation(hastyParams(), kFaultRuns));
    }

    void testCatchesGapEqualToFreshness()
    {
        auto params = hastyParams();
        params.vouchGap = params.freshFor;
        expectCaught("W equals F", params);
    }

    void testCatchesMissingRestartWait()
    {
        auto params = hastyParams();
        params.restartWait = Duration::zero();
        expectCaught("no wait after a restart", params);
    }

    void testCatchesAgeFromReceipt()
    {
        auto params = hastyParams();
        params.ageFromReceipt = true;
        expectCaught("age counted from receipt", params);
    }

    void testCatchesMissingGap()
    {
        auto params = hastyParams();
        params.vouchGap = Duration::zero();
        expectCaught("no gap between epochs", params);
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
