#include "retry/retry.h"

#include "tests/support/section.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <iostream>

#include <rapidcheck.h>

namespace snipestream
{

using testing::section;

namespace
{

/// Functions of the budget, which a test can replace by faulty ones.
struct BudgetApi {
    std::function<AttemptBudget(int)> received = receivedBudget;
    std::function<int(AttemptBudget &)> share = takeCallShare;
    std::function<bool(AttemptBudget &)> retry = takeRetry;
};

/// Returns the number of retries in a whole call tree, in which `fails` decides whether an attempt fails.
auto retriesOfTree(const BudgetApi &api, int attemptsLeft, int depth, int fanOut, const std::function<bool()> &fails) -> int
{
    auto budget = api.received(attemptsLeft);
    int retries = 0;
    for (int call = 0; depth > 0 && call < fanOut; ++call) {
        for (bool again = true; again;) {
            retries += retriesOfTree(api, api.share(budget), depth - 1, fanOut, fails);
            again = fails() && api.retry(budget) && retries < 1000;
            retries += again ? 1 : 0;
        }
    }
    return retries;
}

/// Returns the number of calls that the last service of a chain receives for one original request if each of them fails.
auto callsAtEndOfChain(const BudgetApi &api, int attemptsLeft, int depth) -> int
{
    if (depth == 0) {
        return 1;
    }
    auto budget = api.received(attemptsLeft);
    int calls = 0;
    do {
        calls += callsAtEndOfChain(api, api.share(budget), depth - 1);
    } while (api.retry(budget));
    return calls;
}

auto maxRetries(const BudgetApi &api) -> int
{
    int max = 0;
    for (uint64_t seed = 0; seed < 300; ++seed) {
        Random random(seed);
        const auto fails = [&random] {
            return drawBelow(random, 2) == 0;
        };
        max = std::max(max, retriesOfTree(api, kMaxRetriesPerRequest, 1 + static_cast<int>(seed % 6), 2, fails));
    }
    return max;
}

/// Returns whether the retries stay within the ratio, by an oracle that stores every attempt of the last ten seconds. Each
/// step is a retry (true) or seven first attempts (false), with the milliseconds that pass before it.
auto staysWithinRatio(const std::vector<std::pair<bool, int>> &steps, const std::function<void(RetryRatio &, TimePoint)> &count) -> bool
{
    RetryRatio ratio;
    TimePoint now{seconds(50)};
    std::deque<std::pair<int64_t, bool>> history;
    for (const auto &[isRetry, ms] : steps) {
        now += milliseconds(ms);
        const int64_t second = now.time_since_epoch() / seconds(1);
        while (!history.empty() && history.front().first <= second - 10) {
            history.pop_front();
        }
        for (int i = 0; !isRetry && i < 7; ++i) {
            countFirstAttempt(ratio, now);
            history.emplace_back(second, false);
        }
        if (!isRetry || !allowsRetry(ratio, now)) {
            continue;
        }
        count(ratio, now);
        history.emplace_back(second, true);
        const auto retries = std::count_if(history.begin(), history.end(), [](const auto &entry) {
            return entry.second;
        });
        const double first = static_cast<double>(history.size()) - static_cast<double>(retries);
        if (static_cast<double>(retries) > std::max(3.0, first * 0.1 + 1e-9)) {
            return false;
        }
    }
    return true;
}

} // namespace

/// Guards against retries that multiply at each hop, that exceed a node's ratio, or that run a non-idempotent request twice.
class RetryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RetryTest);
    CPPUNIT_TEST(testBudgetBoundsTheTree);
    CPPUNIT_TEST(testOracleFindsBudgetFaults);
    CPPUNIT_TEST(testAmplification);
    CPPUNIT_TEST(testRatio);
    CPPUNIT_TEST(testWhatMayBeRetried);
    CPPUNIT_TEST(testBackoff);
    CPPUNIT_TEST_SUITE_END();

public:
    void testBudgetBoundsTheTree()
    {
        CPPUNIT_ASSERT(rc::check("retries of a call tree stay within the budget", [] {
            const auto depth = *rc::gen::inRange(0, 7);
            const auto fanOut = *rc::gen::inRange(1, 3);
            const auto seed = *rc::gen::arbitrary<uint64_t>();
            const auto left = *rc::gen::inRange(-2, 50);
            Random random(seed);
            const auto fails = [&random] {
                return drawBelow(random, 3) != 0;
            };
            RC_ASSERT(retriesOfTree({}, left, depth, fanOut, fails) <= kMaxRetriesPerRequest);
        }));
    }

    void testOracleFindsBudgetFaults()
    {
        CPPUNIT_ASSERT_LESSEQUAL(kMaxRetriesPerRequest, maxRetries({}));
        section("a share that is passed on but not taken out of the budget", [] {
            BudgetApi api;
            api.share = [](AttemptBudget &budget) {
                return budget.left;
            };
            CPPUNIT_ASSERT_GREATER(kMaxRetriesPerRequest, maxRetries(api));
        });
        section("a budget that each hop resets", [] {
            BudgetApi api;
            api.received = [](int) {
                return AttemptBudget{kMaxRetriesPerRequest};
            };
            CPPUNIT_ASSERT_GREATER(kMaxRetriesPerRequest, maxRetries(api));
        });
        section("a retry that is not taken out of the budget", [] {
            BudgetApi api;
            api.retry = [](AttemptBudget &budget) {
                return budget.left > 0;
            };
            CPPUNIT_ASSERT_GREATER(kMaxRetriesPerRequest, maxRetries(api));
        });
    }

    void testAmplification()
    {
        for (const int depth : {3, 8, 21}) {
            section("chain of depth " + std::to_string(depth), [depth] {
                const int calls = callsAtEndOfChain({}, kMaxRetriesPerRequest, depth);
                // For comparison: with three retries at each hop, each hop multiplies the calls by four.
                std::cout << "amplification: depth " << depth << ", calls at the last service per original request: " << calls
                          << ", with three retries at each hop: " << std::pow(4.0, depth) << std::endl;
                // The chain can use the whole budget, but not more.
                CPPUNIT_ASSERT_EQUAL(1 + kMaxRetriesPerRequest, calls);
            });
        }
    }

    void testRatio()
    {
        CPPUNIT_ASSERT(rc::check("retries stay within 10% of the first attempts of ten seconds", [] {
            const auto steps = *rc::gen::container<std::vector<std::pair<bool, int>>>(rc::gen::pair(rc::gen::arbitrary<bool>(), rc::gen::inRange(0, 400)));
            RC_ASSERT(staysWithinRatio(steps, countRetry));
        }));
        section("the oracle finds retries that are not counted", [] {
            const std::vector<std::pair<bool, int>> retriesOnly(10, {true, 10});
            CPPUNIT_ASSERT(staysWithinRatio(retriesOnly, countRetry));
            CPPUNIT_ASSERT(!staysWithinRatio(retriesOnly, [](RetryRatio &, TimePoint) {}));
        });
    }

    void testWhatMayBeRetried()
    {
        const TimePoint now{seconds(10)};
        const auto decide = [now](const RetriedCall &call, const FailedAttempt &failed, int left = 1) {
            AttemptBudget budget{left};
            RetryRatio ratio;
            Random random(1);
            const auto decision = decideRetry(budget, ratio, call, failed, now, random);
            CPPUNIT_ASSERT_EQUAL(decision.noRetryReason ? left : left - 1, budget.left);
            return decision.noRetryReason;
        };
        const RetriedCall idempotent{true, now + seconds(1), false};
        const RetriedCall nonIdempotent{false, now + seconds(1), false};
        CPPUNIT_ASSERT(!decide(idempotent, {RefusalReason::ConnectionLost, RunState::Unknown, 1}));
        CPPUNIT_ASSERT(!decide(idempotent, {std::nullopt, RunState::Unknown, 1}));
        CPPUNIT_ASSERT(decide(nonIdempotent, {RefusalReason::ConnectionLost, RunState::Unknown, 1}) == NoRetryReason::MayHaveRun);
        CPPUNIT_ASSERT(decide(nonIdempotent, {std::nullopt, RunState::Unknown, 1}) == NoRetryReason::MayHaveRun);
        CPPUNIT_ASSERT(!decide(nonIdempotent, {RefusalReason::NoTarget, RunState::NotRun, 1}));
        CPPUNIT_ASSERT(decide(idempotent, {RefusalReason::Overloaded, RunState::NotRun, 1}) == NoRetryReason::Overload);
        CPPUNIT_ASSERT(decide(idempotent, {RefusalReason::RateExceeded, RunState::NotRun, 1}) == NoRetryReason::Pointless);
        CPPUNIT_ASSERT(decide(idempotent, {RefusalReason::NoTarget, RunState::NotRun, 1}, 0) == NoRetryReason::Budget);
        CPPUNIT_ASSERT(decide({true, now + seconds(1), true}, {std::nullopt, RunState::Unknown, 1}) == NoRetryReason::CannotResend);
        CPPUNIT_ASSERT(decide({true, now, false}, {std::nullopt, RunState::Unknown, 1}) == NoRetryReason::Deadline);
    }

    void testBackoff()
    {
        Random random(5);
        Duration maxBackoff{};
        for (int i = 0; i < 1000; ++i) {
            CPPUNIT_ASSERT(drawBackoff(1, random) <= milliseconds(5));
            CPPUNIT_ASSERT(drawBackoff(100, random) <= milliseconds(250));
            maxBackoff = std::max(maxBackoff, drawBackoff(3, random));
        }
        CPPUNIT_ASSERT(maxBackoff > milliseconds(15) && maxBackoff <= milliseconds(20));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryTest);

} // namespace snipestream
