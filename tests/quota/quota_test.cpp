#include "tests/quota/quota_world.h"

#include "tests/support/section.h"

#include <nlohmann/json.hpp>

namespace snipestream
{

using testing::QuotaWorld;
using testing::section;

namespace
{

const TeamName kSmall("small");

/// Counts the decisions of a simulation with one team.
struct CountingWorld {
    QuotaWorld world;
    int admitted = 0;
    int rateExceeded = 0;
    int unavailable = 0;
    Duration lastRetryAfter{};

    CountingWorld(size_t domains, size_t nodes, const TeamQuota &rule)
        : world(7, domains, nodes, QuotaParams{})
    {
        DomainWeights weights{1, {}};
        for (size_t d = 0; d < domains; ++d) {
            weights.weights[DomainName("d" + std::to_string(d))] = 1;
        }
        world.setRules({{kSmall, rule}});
        world.setWeights(weights);
        world.onDecision = [this](const TeamName &, const TokenDecision &decision) {
            if (decision.state == TokenState::Admitted) {
                ++admitted;
                return;
            }
            (decision.reason == RefusalReason::RateExceeded ? rateExceeded : unavailable) += 1;
            lastRetryAfter = decision.retryAfter;
        };
    }

    void submit(size_t node, int count)
    {
        for (int i = 0; i < count; ++i) {
            world.submit(node, kSmall);
        }
    }
};

constexpr TeamQuota kSmallRule{2 * kOneToken, 5 * kOneToken};

} // namespace

/// Guards against quota faults that callers and operators notice: small teams that cannot use their whole burst, wrong
/// retry times in refusals, shares that do not follow the weights, and malformed messages that are accepted.
class QuotaTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(QuotaTest);
    CPPUNIT_TEST(testSmallTeamUsesItsBurst);
    CPPUNIT_TEST(testHolderLost);
    CPPUNIT_TEST(testPartition);
    CPPUNIT_TEST(testRestartedEntry);
    CPPUNIT_TEST(testWeights);
    CPPUNIT_TEST(testBoundedRequests);
    CPPUNIT_TEST(testMessages);
    CPPUNIT_TEST_SUITE_END();

public:
    void testSmallTeamUsesItsBurst()
    {
        CountingWorld run(4, 18, kSmallRule);
        run.world.run(seconds(5));
        section("five requests at one node are admitted within 60 ms", [&] {
            run.submit(9, 5);
            run.world.run(milliseconds(60));
            CPPUNIT_ASSERT_EQUAL(5, run.admitted);
        });
        section("the refusal of the sixth request carries the time until the next token is minted", [&] {
            run.submit(9, 1);
            run.world.run(milliseconds(60));
            CPPUNIT_ASSERT_EQUAL(1, run.rateExceeded);
            CPPUNIT_ASSERT(run.lastRetryAfter > milliseconds(350) && run.lastRetryAfter < milliseconds(520));
        });
        section("a request after that time is admitted, at another node too", [&] {
            run.world.run(run.lastRetryAfter);
            run.submit(14, 1);
            run.world.run(milliseconds(60));
            CPPUNIT_ASSERT_EQUAL(6, run.admitted);
        });
    }

    void testHolderLost()
    {
        CountingWorld run(4, 8, kSmallRule);
        run.world.run(seconds(5));
        section("without a holder in the domain, the holders of other domains grant tokens", [&] {
            run.world.leases[0].valid = false;
            run.submit(4, 3);
            run.world.run(milliseconds(200));
            CPPUNIT_ASSERT_EQUAL(3, run.admitted);
        });
        section("a new holder does not mint until the grants of the previous one have expired", [&] {
            run.world.moveLease(0, 4);
            run.world.run(milliseconds(1000));
            run.submit(4, 3);
            run.world.run(milliseconds(50));
            CPPUNIT_ASSERT_EQUAL(MicroTokens{0}, holderLevel(run.world.machines[4].holder, kSmall).first);
            run.world.run(milliseconds(1000));
            CPPUNIT_ASSERT(holderLevel(run.world.machines[4].holder, kSmall).first > 0);
        });
        section("without any holder the reason for the refusal is the unavailable quota, not the rate", [&] {
            const int before = run.unavailable;
            for (auto &lease : run.world.leases) {
                lease.valid = false;
            }
            run.submit(5, 1);
            run.world.run(milliseconds(400));
            CPPUNIT_ASSERT_EQUAL(before + 1, run.unavailable);
        });
    }

    void testPartition()
    {
        CountingWorld run(4, 8, TeamQuota{40 * kOneToken, 20 * kOneToken});
        run.world.run(seconds(5));
        run.world.domainCutUntil[1] = run.world.now + seconds(60);
        section("a partitioned domain admits its share of rate and burst", [&] {
            for (int i = 0; i < 1000; ++i) {
                run.submit(5, 1);
                run.world.run(milliseconds(10));
            }
            // A quarter of 40 requests/s for 10 s, plus a quarter of the burst of 20.
            CPPUNIT_ASSERT(run.admitted >= 95 && run.admitted <= 105);
        });
    }

    void testRestartedEntry()
    {
        auto entry = makeEntryTable(NodeName("n1"), 2);
        QuotaResponse old;
        old.team = kSmall;
        old.from = NodeName("n0");
        old.requestNumber = firstNumber(1);
        old.outcome = QuotaOutcome::Granted;
        old.grantNumber = firstNumber(4);
        old.amount = kOneToken;
        old.lifetime = seconds(1);
        const EntryInputs inputs{{old}, [](uint32_t) {
                                     return std::vector<NodeName>{NodeName("n0")};
                                 }};
        section("the tokens of a response to the previous process are returned, not used", [&] {
            const auto decision = requestToken(entry, {}, kSmall, 1, TimePoint(seconds(1)), TimePoint(seconds(9)));
            CPPUNIT_ASSERT(decision.state == TokenState::Queued);
            const auto out = tickEntry(entry, {}, TimePoint(seconds(1)), inputs);
            CPPUNIT_ASSERT(out.decisions.empty());
            CPPUNIT_ASSERT_EQUAL(kOneToken, out.requests.at(0).second.reports.at(0).returned);
        });
        section("a duplicate of that response is ignored", [&] {
            const auto out = tickEntry(entry, {}, TimePoint(seconds(1)), inputs);
            CPPUNIT_ASSERT(out.requests.empty() && out.decisions.empty());
        });
    }

    void testWeights()
    {
        const DomainName a("a");
        const DomainName b("b");
        const DomainWeights evenAmount{1, {{a, 1}, {b, 1}}};
        const DomainWeights raised{2, {{a, 3}, {b, 1}}};
        section("a raise takes effect only after the other domain has confirmed the same weights", [&] {
            auto state = initialShareState({evenAmount}, a);
            updateShare(state, {evenAmount, raised}, a);
            CPPUNIT_ASSERT((state.current == Share{1, 2}));
            confirmShare(state, b, 1);
            CPPUNIT_ASSERT((state.current == Share{1, 2}));
            confirmShare(state, b, 2);
            CPPUNIT_ASSERT((state.current == Share{3, 4}));
        });
        section("a lower share takes effect immediately, and a new holder starts with the minimum share of the history", [&] {
            auto state = initialShareState({evenAmount}, b);
            updateShare(state, {evenAmount, raised}, b);
            CPPUNIT_ASSERT((state.current == Share{1, 4}));
            CPPUNIT_ASSERT((initialShareState({evenAmount, raised}, a).current == Share{1, 2}));
        });
        section("holders exchange confirmations, and the raised share takes effect", [&] {
            CountingWorld run(2, 4, TeamQuota{100 * kOneToken, 100 * kOneToken});
            const uint32_t range = rangeOf(kSmall.value);
            run.world.run(seconds(3));
            run.submit(0, 1);
            run.submit(1, 1);
            run.world.setWeights({2, {{DomainName("d0"), 3}, {DomainName("d1"), 1}}});
            run.world.run(seconds(4));
            CPPUNIT_ASSERT((run.world.machines[0].holder.ranges.at(range).share.current == Share{3, 4}));
            CPPUNIT_ASSERT((run.world.machines[1].holder.ranges.at(range).share.current == Share{1, 4}));
            run.submit(0, 75);
            run.world.run(milliseconds(4));
            CPPUNIT_ASSERT_EQUAL(2 + 75, run.admitted);
        });
    }

    void testBoundedRequests()
    {
        CountingWorld run(4, 18, kSmallRule);
        run.world.run(seconds(5));
        const auto before = run.world.messageCount;
        for (int i = 0; i < 2000; ++i) {
            run.submit(9, 5);
            run.world.run(milliseconds(1));
        }
        section("10,000 refused requests cause few messages", [&] {
            CPPUNIT_ASSERT(run.rateExceeded > 9900);
            CPPUNIT_ASSERT(run.world.messageCount - before < 1000);
        });
        section("all state of an idle team is removed", [&] {
            run.world.run(seconds(10));
            for (const auto &machine : run.world.machines) {
                CPPUNIT_ASSERT(machine.entry.teams.empty() && machine.entry.seenGrants.empty());
                CPPUNIT_ASSERT(machine.holder.teams.empty() && machine.holder.grants.empty());
                CPPUNIT_ASSERT(machine.holder.seenLoans.empty());
            }
        });
    }

    void testMessages()
    {
        const QuotaRequest request{kSmall, NodeName("n1"), 7, 1, 5, true, {{3, 2, 1}}};
        const QuotaResponse response{kSmall, NodeName("n2"), 7, QuotaOutcome::Insufficient, 9, 10, seconds(1), seconds(2), seconds(3), 11};
        CPPUNIT_ASSERT(toJson(quotaRequestFromJson(toJson(request)).value()) == toJson(request));
        CPPUNIT_ASSERT(toJson(quotaResponseFromJson(toJson(response)).value()) == toJson(response));
        CPPUNIT_ASSERT(weightsRequestFromJson(toJson(WeightsRequest{3, 4, NodeName("n")})).value().version == 4);
        CPPUNIT_ASSERT(weightsAckFromJson(toJson(WeightsAck{3, 4, DomainName("d")})).value().range == 3);
        section("malformed messages are errors", [&] {
            const auto whole = toJson(response);
            for (const auto &item : whole.items()) {
                auto broken = whole;
                broken[item.key()] = nlohmann::json::object();
                CPPUNIT_ASSERT(!quotaResponseFromJson(broken));
                broken.erase(item.key());
                CPPUNIT_ASSERT(!quotaResponseFromJson(broken));
            }
            auto negative = toJson(request);
            negative["reports"][0]["returned"] = -1;
            CPPUNIT_ASSERT(!quotaRequestFromJson(negative));
            auto inverted = toJson(request);
            inverted["minimum"] = 6;
            CPPUNIT_ASSERT(!quotaRequestFromJson(inverted));
            auto outside = toJson(WeightsRequest{3, 4, NodeName("n")});
            outside["range"] = 32;
            CPPUNIT_ASSERT(!weightsRequestFromJson(outside));
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuotaTest);

} // namespace snipestream
