#include "admission/admission.h"
#include "core/random.h"

#include "tests/support/section.h"

#include <map>

namespace snipestream
{

using testing::section;

namespace
{

const TargetName kTarget("t");
const TeamName kLarge("large");
const TeamName kSmall("small");

/// A target of 20 slots with a service time of 20 ms per request: 1,000 requests per second.
struct TwoTeams {
    AdmissionTable table;
    TimePoint now{seconds(100)};
    std::multimap<TimePoint, AdmissionId> ends;
    std::map<AdmissionId, TeamName> open;
    std::map<TeamName, int> offered;
    std::map<TeamName, int> completed;
    Random random{11};

    TwoTeams()
    {
        upsertTarget(table, kTarget, ServiceName("s"), 20, false, now);
        setTeamWeights(table, {{kLarge, 9}, {kSmall, 1}});
    }

    void apply(const std::vector<DequeueResult> &dequeueResults)
    {
        for (const auto &dequeueResult : dequeueResults) {
            if (dequeueResult.isAdmitted) {
                ends.emplace(now + milliseconds(20), dequeueResult.admissionId);
            } else {
                open.erase(dequeueResult.admissionId);
            }
        }
    }

    void arrive(const TeamName &team)
    {
        ++offered[team];
        const AdmissionRequest request{drawRequestId(random), team, Priority::Normal, RouteName("r"), now + milliseconds(200)};
        const AdmissionResult result = offer(table, kTarget, request, now);
        if (result.decision != AdmissionDecision::Refused) {
            open[result.admissionId] = team;
        }
        if (result.decision == AdmissionDecision::Admitted) {
            ends.emplace(now + milliseconds(20), result.admissionId);
        }
        apply(result.dequeueResults);
    }

    /// Runs for `time` with `large` and `small` requests per millisecond of the two teams.
    void run(Duration time, double large, double small)
    {
        double largeDue = 0;
        double smallDue = 0;
        for (const TimePoint end = now + time; now < end;) {
            now += milliseconds(1);
            while (!ends.empty() && ends.begin()->first <= now) {
                const AdmissionId admissionId = ends.begin()->second;
                ends.erase(ends.begin());
                ++completed[open.at(admissionId)];
                open.erase(admissionId);
                apply(complete(table, admissionId, RunOutcome::Answered, now));
            }
            for (largeDue += large; largeDue >= 1; largeDue -= 1) {
                arrive(kLarge);
            }
            for (smallDue += small; smallDue >= 1; smallDue -= 1) {
                arrive(kSmall);
            }
            if (now.time_since_epoch() % milliseconds(10) == Duration::zero()) {
                apply(tick(table, now));
            }
        }
    }

    void clearCounts()
    {
        offered.clear();
        completed.clear();
    }
};

} // namespace

/// Guards against a small team within its share being shed by cohort as hard as a team that surges, and against slots
/// not being divided by weight.
class FairnessTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FairnessTest);
    CPPUNIT_TEST(testSurgeOfBoth);
    CPPUNIT_TEST(testSurgeOfLarge);
    CPPUNIT_TEST_SUITE_END();

public:
    void testSurgeOfBoth()
    {
        TwoTeams teams;
        teams.run(seconds(5), 4, 4);
        teams.clearCounts();
        teams.run(seconds(10), 4, 4);
        section("slots are divided by weight when both teams exceed the capacity", [&] {
            CPPUNIT_ASSERT_GREATEREQUAL(9000, teams.completed[kLarge] + teams.completed[kSmall]);
            CPPUNIT_ASSERT_GREATER(3 * teams.completed[kSmall], teams.completed[kLarge]);
        });
    }

    void testSurgeOfLarge()
    {
        TwoTeams teams;
        teams.run(seconds(5), 0.7, 0.08);
        teams.clearCounts();
        teams.run(seconds(10), 3, 0.08);
        section("at least 90% of the requests of a small team within its share complete", [&] {
            CPPUNIT_ASSERT_GREATEREQUAL(teams.offered[kSmall] * 90 / 100, teams.completed[kSmall]);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FairnessTest);

} // namespace snipestream
