#include "tests/routing/routing_oracle.h"

#include "tests/support/section.h"

#include <set>

namespace snipestream
{

using testing::realRouting;
using testing::RoutingApi;
using testing::RoutingCommand;
using testing::runRouting;
using testing::section;

namespace
{

/// Returns the violations that the oracle reports in runs with fixed seeds; stops early once `rule` is among them.
auto violations(const RoutingApi &api, uint64_t runs, const std::string &rule = {}) -> std::set<std::string>
{
    std::set<std::string> found;
    const auto commands = rc::gen::arbitrary<std::vector<RoutingCommand>>();
    for (uint64_t seed = 1; seed <= runs && found.count(rule) == 0; ++seed) {
        const std::string violation = runRouting(api, commands(rc::Random(seed), 200).value());
        if (!violation.empty()) {
            found.insert(violation);
        }
    }
    return found;
}

auto oracleFinds(const RoutingApi &api, const std::string &rule) -> bool
{
    return violations(api, 1000, rule).count(rule) != 0;
}

} // namespace

/// Guards against endpoint tables that revert to an older state, keep targets that left, lose targets, choose an
/// endpoint twice or have none left after ejections, while messages are lost, duplicated, reordered or late,
/// directories and targets restart, and the system pauses.
class RoutingFuzzTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RoutingFuzzTest);
    CPPUNIT_TEST(testRulesHold);
    CPPUNIT_TEST(testOracleFindsFaults);
    CPPUNIT_TEST_SUITE_END();

public:
    void testRulesHold()
    {
        const auto api = realRouting();
        CPPUNIT_ASSERT(rc::check("routing keeps its rules", [&api]() {
            const auto commands = *rc::gen::resize(300, rc::gen::arbitrary<std::vector<RoutingCommand>>()).as("commands");
            const std::string violation = runRouting(api, commands);
            RC_LOG() << violation;
            RC_ASSERT(violation.empty());
        }));
        // RapidCheck runs 100 cases by default; this adds many more runs, without shrinking.
        CPPUNIT_ASSERT(violations(api, 1000).empty());
    }

    void testOracleFindsFaults()
    {
        section("updates that replace newer records", [] {
            auto api = realRouting();
            api.applyUpdate = [real = api.applyUpdate](EndpointTable &table, const UpdateMessage &update, TimePoint now) {
                for (auto &row : table.services[update.service].rows) {
                    row.record.incarnation = 0;
                }
                real(table, update, now);
            };
            CPPUNIT_ASSERT(oracleFinds(api, "an older record replaced a newer one"));
        });
        section("a version that advances despite a gap before the update", [] {
            auto api = realRouting();
            api.applyUpdate = [real = api.applyUpdate](EndpointTable &table, const UpdateMessage &update, TimePoint now) {
                real(table, update, now);
                auto &service = table.services[update.service];
                if (update.directory == service.directory) {
                    service.directoryIncarnation = update.directoryIncarnation;
                    service.seenVersion = std::max(service.seenVersion, update.toVersion);
                }
            };
            CPPUNIT_ASSERT(oracleFinds(api, "a caller has the wrong state of a target after the faults ended")
                           || oracleFinds(api, "a target is still chosen three seconds after it drained or left"));
        });
        section("a selection that ignores the endpoint state", [] {
            auto api = realRouting();
            api.choose = [real = api.choose](EndpointTable table, const ServiceName &service, const std::vector<EndpointId> &tried, Random &random,
                                             TimePoint now) {
                for (auto &row : table.services[service].rows) {
                    row.record.state = EndpointState::Active;
                }
                return real(table, service, tried, random, now);
            };
            CPPUNIT_ASSERT(oracleFinds(api, "an endpoint that is not active was chosen"));
        });
        section("a directory that does not forward drains", [] {
            auto api = realRouting();
            api.applyAnnouncement = [real = api.applyAnnouncement](DirectoryTable &table, AnnounceMessage message, TimePoint now) {
                for (auto &record : message.records) {
                    record.state = EndpointState::Active;
                }
                real(table, message, now);
            };
            CPPUNIT_ASSERT(oracleFinds(api, "a target is still chosen three seconds after it drained or left"));
        });
        section("a selection that ignores which endpoints were tried", [] {
            auto api = realRouting();
            api.choose = [real = api.choose](const EndpointTable &table, const ServiceName &service, const std::vector<EndpointId> &, Random &random,
                                             TimePoint now) {
                return real(table, service, {}, random, now);
            };
            CPPUNIT_ASSERT(oracleFinds(api, "an endpoint was tried twice"));
        });
        section("ejections without a limit", [] {
            auto api = realRouting();
            api.endCall = [real = api.endCall](EndpointTable &table, const ServiceName &service, const EndpointId &endpoint, CallEvidence evidence,
                                               TimePoint now) {
                const bool ejected = real(table, service, endpoint, evidence, now);
                for (auto &row : table.services[service].rows) {
                    if (row.record.id == endpoint && row.consecutiveFailures >= table.settings.consecutiveFailureThreshold) {
                        row.ejectedUntil = now + seconds(5);
                    }
                }
                return ejected;
            };
            CPPUNIT_ASSERT(oracleFinds(api, "ejection left no endpoint"));
        });
        section("a late renewal that ends a drain", [] {
            auto api = realRouting();
            api.announce = [real = api.announce](LocalTargetTable &table, const TargetAnnouncement &announcement, uint64_t wallMs, TimePoint now) {
                const auto row = table.targets.find(announcement.target);
                if (row != table.targets.end() && announcement.state == EndpointState::Active) {
                    row->second.announcement.state = EndpointState::Active;
                }
                return real(table, announcement, wallMs, now);
            };
            CPPUNIT_ASSERT(oracleFinds(api, "a target that drains or left is announced as active"));
        });
        section("a directory that accepts any record", [] {
            auto api = realRouting();
            api.applyAnnouncement = [real = api.applyAnnouncement](DirectoryTable &table, const AnnounceMessage &message, TimePoint now) {
                for (const auto &record : message.records) {
                    table.services[record.service].rows.erase(record.id);
                }
                real(table, message, now);
            };
            CPPUNIT_ASSERT(oracleFinds(api, "a directory reverted to an older record"));
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RoutingFuzzTest);

} // namespace snipestream
