#include "tests/admission/admission_oracle.h"

#include "tests/support/section.h"

#include <set>

namespace snipestream
{

using testing::AdmissionApi;
using testing::AdmissionCommand;
using testing::realAdmission;
using testing::runAdmission;
using testing::section;

namespace
{

/// Returns the violations that the oracle reports in runs with fixed seeds; stops early once `rule` is among them.
auto violations(const AdmissionApi &api, uint64_t runs, const std::string &rule = {}) -> std::set<std::string>
{
    std::set<std::string> found;
    const auto commands = rc::gen::arbitrary<std::vector<AdmissionCommand>>();
    for (uint64_t seed = 1; seed <= runs && found.count(rule) == 0; ++seed) {
        const std::string violation = runAdmission(api, commands(rc::Random(seed), 200).value());
        if (!violation.empty()) {
            found.insert(violation);
        }
    }
    return found;
}

auto oracleFinds(const AdmissionApi &api, const std::string &rule) -> bool
{
    return violations(api, 300, rule).count(rule) != 0;
}

} // namespace

/// Guards against requests that are lost, run twice, start after their deadline or out of priority order, or exceed the
/// slots, under any order of offers, completions, cancellations, pauses, changes of slots and drains. For each rule, a
/// fault is injected that the oracle has to find.
class AdmissionFuzzTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AdmissionFuzzTest);
    CPPUNIT_TEST(testRulesHold);
    CPPUNIT_TEST(testOracleFindsFaults);
    CPPUNIT_TEST_SUITE_END();

public:
    void testRulesHold()
    {
        const auto api = realAdmission();
        CPPUNIT_ASSERT(rc::check("admission keeps its rules", [&api]() {
            const auto commands = *rc::gen::resize(300, rc::gen::arbitrary<std::vector<AdmissionCommand>>()).as("commands");
            const std::string violation = runAdmission(api, commands);
            RC_LOG() << violation;
            RC_ASSERT(violation.empty());
        }));
        // RapidCheck runs 100 cases by default; this adds many more runs, without shrinking.
        CPPUNIT_ASSERT(violations(api, 5000).empty());
    }

    void testOracleFindsFaults()
    {
        section("a slot that is freed before its run ends", [] {
            auto api = realAdmission();
            api.offer = [real = api.offer](AdmissionTable &table, const AdmissionRequest &request, TimePoint now) {
                auto &running = table.targets[0].running;
                if (running.size() >= 2) {
                    running.erase(running.begin());
                }
                return real(table, request, now);
            };
            CPPUNIT_ASSERT(oracleFinds(api, "more requests run than the target has slots"));
        });
        section("reversed priorities", [] {
            auto api = realAdmission();
            api.offer = [real = api.offer](AdmissionTable &table, AdmissionRequest request, TimePoint now) {
                request.priority = static_cast<Priority>(3 - static_cast<int>(request.priority));
                return real(table, request, now);
            };
            CPPUNIT_ASSERT(oracleFinds(api, "a request started while one of higher priority is queued"));
        });
        section("a start that is not reported", [] {
            auto api = realAdmission();
            api.complete = [real = api.complete](AdmissionTable &table, AdmissionId admissionId, RunOutcome outcome, TimePoint now) {
                auto dequeueResults = real(table, admissionId, outcome, now);
                if (!dequeueResults.empty()) {
                    dequeueResults.pop_back();
                }
                return dequeueResults;
            };
            CPPUNIT_ASSERT(oracleFinds(api, "requests are queued while nothing runs") || oracleFinds(api, "a request did not end"));
        });
        section("a cancelled request that is refused as well", [] {
            auto api = realAdmission();
            api.cancel = [real = api.cancel](AdmissionTable &table, AdmissionId admissionId, TimePoint now) {
                auto dequeueResults = real(table, admissionId, now);
                dequeueResults.push_back({admissionId, false, {}});
                return dequeueResults;
            };
            CPPUNIT_ASSERT(oracleFinds(api, "a request that is not queued was refused"));
        });
        section("a deadline that is one second too late", [] {
            auto api = realAdmission();
            api.offer = [real = api.offer](AdmissionTable &table, AdmissionRequest request, TimePoint now) {
                request.deadline += seconds(1);
                return real(table, request, now);
            };
            CPPUNIT_ASSERT(oracleFinds(api, "a request started after its deadline"));
        });
        section("a drain that is ignored", [] {
            auto api = realAdmission();
            api.drain = [](AdmissionTable &, TimePoint) {};
            CPPUNIT_ASSERT(oracleFinds(api, "a draining target accepted a new request"));
        });
        section("an unbounded queue", [] {
            auto api = realAdmission();
            api.announce = [real = api.announce](AdmissionTable &table, int slots, TimePoint now) {
                table.settings.maxQueuedPerSlot = 1000;
                real(table, slots, now);
            };
            CPPUNIT_ASSERT(oracleFinds(api, "the queue exceeds its maximum length"));
        });
        section("a cancelled run that keeps its slot", [] {
            auto api = realAdmission();
            api.cancel = [](AdmissionTable &table, AdmissionId admissionId, TimePoint now) {
                return std::vector<DequeueResult>{};
            };
            CPPUNIT_ASSERT(oracleFinds(api, "the table keeps requests that ended") || oracleFinds(api, "requests are queued while nothing runs"));
        });
        section("a refusal that is not marked not-run", [] {
            auto api = realAdmission();
            api.tick = [real = api.tick](AdmissionTable &table, TimePoint now) {
                auto dequeueResults = real(table, now);
                for (auto &dequeueResult : dequeueResults) {
                    dequeueResult.refusal.run = RunState::Unknown;
                }
                return dequeueResults;
            };
            CPPUNIT_ASSERT(oracleFinds(api, "a queued request was refused without not-run"));
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionFuzzTest);

} // namespace snipestream
