#include "tests/lease/vote_world.h"

#include "tests/support/section.h"

#include <algorithm>
#include <iostream>

#include <rapidcheck.h>

namespace rc
{

using snipestream::Duration;
using snipestream::milliseconds;
using snipestream::testing::VoteCommand;

template<>
struct Arbitrary<VoteCommand> {
    static auto arbitrary() -> Gen<VoteCommand>
    {
        const auto ms = [](int low, int high) {
            return gen::map(gen::inRange(low, high), [](int value) {
                return Duration(milliseconds(value));
            });
        };
        return gen::build<VoteCommand>(gen::set(&VoteCommand::kind, gen::inRange<int>(0, VoteCommand::KindCount)),
                                       gen::set(&VoteCommand::a, gen::inRange(0, 6)), gen::set(&VoteCommand::b, gen::inRange(0, 6)),
                                       gen::set(&VoteCommand::length, ms(20, 2500)), gen::set(&VoteCommand::wait, ms(10, 600)));
    }
};

} // namespace rc

namespace snipestream
{

using testing::section;
using testing::VoteCommand;
using testing::VoteWorld;

namespace
{

auto runCommands(uint64_t seed, const VoteParams &params, const std::vector<VoteCommand> &commands) -> std::optional<std::string>
{
    VoteWorld world(seed, params);
    world.run(seconds(2));
    for (const auto &command : commands) {
        world.apply(command);
        if (world.violation()) {
            break;
        }
    }
    world.run(seconds(3));
    return world.violation();
}

/// Returns the number of runs up to the first one with too many votes, or -1 if there is none.
auto runsUntilViolation(const VoteParams &params, int runs) -> int
{
    const auto commands = rc::gen::container<std::vector<VoteCommand>>(40, rc::gen::arbitrary<VoteCommand>());
    for (int run = 1; run <= runs; ++run) {
        const auto seed = static_cast<uint64_t>(run);
        if (runCommands(seed, params, commands(rc::Random(seed), 100).value())) {
            return run;
        }
    }
    return -1;
}

/// Returns the nodes that have votes for the range.
auto holdersOf(const VoteWorld &world, uint32_t range) -> std::vector<size_t>
{
    std::vector<size_t> holders;
    for (size_t node = 0; node < VoteWorld::kNodes; ++node) {
        if (world.votesOf(node, range).votes > 0) {
            holders.push_back(node);
        }
    }
    return holders;
}

} // namespace

/// Guards against two nodes that both use a member's part of a rate, which would let a team exceed its rate.
class VotesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(VotesTest);
    CPPUNIT_TEST(testSuccession);
    CPPUNIT_TEST(testIsolatedHolder);
    CPPUNIT_TEST(testLateRelease);
    CPPUNIT_TEST(testNeverMoreVotesThanMembers);
    CPPUNIT_TEST(testCatchesFaults);
    CPPUNIT_TEST_SUITE_END();

public:
    void testSuccession()
    {
        VoteWorld world(1, VoteParams());
        const uint32_t range = VoteWorld::ranges().front();
        const size_t first = world.firstCandidate(range);
        section("the first candidate has all votes soon after the start", [&] {
            world.run(milliseconds(900));
            CPPUNIT_ASSERT(holdersOf(world, range) == std::vector<size_t>({first}));
            CPPUNIT_ASSERT_EQUAL(size_t{6}, world.votesOf(first, range).votes);
        });
        section("another candidate has the votes of the others within 1.5 s after the first one ends", [&] {
            world.apply({VoteCommand::Restart, static_cast<int>(first), 0, seconds(4), milliseconds(1500)});
            const auto holders = holdersOf(world, range);
            CPPUNIT_ASSERT_EQUAL(size_t{1}, holders.size());
            CPPUNIT_ASSERT_EQUAL(size_t{5}, world.votesOf(holders.front(), range).votes);
        });
        section("the first candidate has them again after its restart", [&] {
            world.run(milliseconds(4000));
            CPPUNIT_ASSERT(holdersOf(world, range) == std::vector<size_t>({first}));
        });
        section("a few messages a second are enough for a range", [&] {
            const uint64_t before = world.messageCount();
            world.run(seconds(10));
            const uint64_t messagesPerSecond = (world.messageCount() - before) / 10;
            CPPUNIT_ASSERT_MESSAGE(std::to_string(messagesPerSecond), messagesPerSecond <= 3 * 2 * 5 * 7);
        });
    }

    void testIsolatedHolder()
    {
        VoteWorld world(2, VoteParams());
        const uint32_t range = VoteWorld::ranges().front();
        const size_t first = world.firstCandidate(range);
        world.run(seconds(2));
        section("a holder that is cut off keeps only its own vote, and the others vote for the next candidate", [&] {
            world.apply({VoteCommand::Isolate, static_cast<int>(first), 0, seconds(3), milliseconds(1500)});
            CPPUNIT_ASSERT_EQUAL(size_t{1}, world.votesOf(first, range).votes);
            CPPUNIT_ASSERT_EQUAL(size_t{2}, holdersOf(world, range).size());
        });
        section("a holder that was paused has no votes when it goes on", [&] {
            world.run(seconds(3));
            world.apply({VoteCommand::Pause, static_cast<int>(first), 0, seconds(1), milliseconds(900)});
            CPPUNIT_ASSERT_EQUAL(size_t{0}, world.votesOf(first, range).votes);
        });
        CPPUNIT_ASSERT(!world.violation());
    }

    /// Guards against a release that arrives after its sender has asked for the vote again, which would free the voter to
    /// vote for another candidate at the same time.
    void testLateRelease()
    {
        const VoteParams params;
        const std::vector<NodeName> members = {NodeName("a"), NodeName("b"), NodeName("c")};
        const auto committee = committeeOf(1, members, params);
        const TimePoint start(seconds(10));
        VoteTable voter = makeVoteTable(committee[2], start);
        setMembers(voter, params, members, {1}, start);
        const TimePoint now = start + seconds(1);
        const auto claimOf = [](const NodeName &from, int64_t sentAtNs) {
            return VoteClaim{from, sentAtNs, {1}, {}};
        };
        CPPUNIT_ASSERT_EQUAL(size_t{1}, handleClaim(voter, params, claimOf(committee[1], 100), now).votes.size());
        section("while the vote is promised, another candidate does not get it", [&] {
            CPPUNIT_ASSERT(handleClaim(voter, params, claimOf(committee[0], 5), now).votes.empty());
        });
        section("a release from before the claim changes nothing", [&] {
            handleClaim(voter, params, VoteClaim{committee[1], 90, {}, {1}}, now);
            CPPUNIT_ASSERT(handleClaim(voter, params, claimOf(committee[0], 6), now).votes.empty());
        });
        section("a later release frees the vote at once", [&] {
            handleClaim(voter, params, VoteClaim{committee[1], 110, {}, {1}}, now);
            CPPUNIT_ASSERT_EQUAL(size_t{1}, handleClaim(voter, params, claimOf(committee[0], 7), now).votes.size());
        });
        section("a candidate does not count a vote for a claim from before it released the range", [&] {
            VoteTable candidate = makeVoteTable(committee[1], start);
            setMembers(candidate, params, members, {1}, start);
            tickVotes(candidate, params, now);
            CPPUNIT_ASSERT(candidate.ranges.at(1).isClaiming);
            const Vote early{committee[2], (now - milliseconds(10)).time_since_epoch().count(), {1}};
            handleVote(candidate, params, early, now + milliseconds(5));
            CPPUNIT_ASSERT_EQUAL(size_t{1}, countVotes(candidate, 1, now + milliseconds(5)).votes);
            handleVote(candidate, params, Vote{committee[2], now.time_since_epoch().count(), {1}}, now + milliseconds(5));
            CPPUNIT_ASSERT_EQUAL(size_t{2}, countVotes(candidate, 1, now + milliseconds(5)).votes);
        });
    }

    void testNeverMoreVotesThanMembers()
    {
        CPPUNIT_ASSERT(rc::check("no committee gives more votes than it has members", [] {
            const auto seed = *rc::gen::arbitrary<uint64_t>();
            const auto commands = *rc::gen::arbitrary<std::vector<VoteCommand>>();
            const auto violation = runCommands(seed, VoteParams(), commands);
            if (violation) {
                std::cerr << *violation << "\n";
            }
            RC_ASSERT(!violation);
        }));
    }

    /// Shows that the check of the world notices faults of the protocol.
    void testCatchesFaults()
    {
        section("votes of a member that forgets its promise in a restart", [] {
            VoteParams params;
            params.votesAtOnceAfterStart = true;
            CPPUNIT_ASSERT(runsUntilViolation(params, 300) > 0);
        });
        section("votes whose lifetime is counted from their receipt", [] {
            VoteParams params;
            params.lifetimeFromReceipt = true;
            CPPUNIT_ASSERT(runsUntilViolation(params, 300) > 0);
        });
        section("votes that last longer than the promise", [] {
            VoteParams params;
            params.promiseLifetime = milliseconds(300);
            CPPUNIT_ASSERT(runsUntilViolation(params, 300) > 0);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(VotesTest);

} // namespace snipestream
