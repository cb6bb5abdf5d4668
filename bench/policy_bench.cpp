#include "bench/policy_model.h"

#include <cstdio>
#include <iostream>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

ABSL_FLAG(uint64_t, seed, 1, "seed of arrivals and service times");
ABSL_FLAG(std::string, only, "", "run only scenarios whose name contains this text");
ABSL_FLAG(bool, quota_reserve, true, "token buckets reserve a fraction of the burst for critical requests");
ABSL_FLAG(bool, quota_refund, true, "refund the tokens of requests that were refused before they ran");
ABSL_FLAG(bool, deep_levels, true, "responses report the shedding levels of services further upstream");
ABSL_FLAG(bool, snipestream_only, false, "leave out the rows without snipestream");

namespace snipestream::bench
{

namespace
{

struct Row {
    Policy policy;
    const char *name;
};

void printScenario(const Deployment &deployment, const Scenario &scenario, const std::vector<Row> &rows, uint64_t seed)
{
    for (const auto &row : rows) {
        const auto measured = runPolicy(deployment, scenario, row.policy, seed);
        const std::string recovery =
            measured.recovery ? std::to_string(std::chrono::duration<double>(*measured.recovery).count()).substr(0, 4) + " s" : "none in 15 s";
        std::printf("| %s | %s | %s | %.0f | %.1f%% | %s | %.1f%% | %.1f%% |\n", deployment.name.c_str(), scenario.name.c_str(), row.name, measured.goodput,
                    100 * measured.criticalCompletedFraction, recovery.c_str(), 100 * measured.worstTeamFraction, 100 * measured.wrongfulRefusalFraction);
        std::fflush(stdout);
    }
}

} // namespace

} // namespace snipestream::bench

/// Compares the policies in a simulation in virtual time and prints a Markdown table.
auto main(int argc, char **argv) -> int
{
    using namespace snipestream::bench;
    absl::ParseCommandLine(argc, argv);
    std::vector<Scenario> scenarios = {
        {"1x", 1, 1, 1, false},
        {"2x", 2, 1, 1, false},
        {"4x", 4, 1, 1, false},
        {"10x", 10, 1, 1, false},
        {"deep service 5x slower", 1, 1, 5, false},
        {"one team at 8x", 1, 8, 1, false},
        {"2x, callers retry hard", 2, 1, 1, true},
    };
    std::vector<Row> rows = {{Policy::Snipestream, "snipestream"}, {Policy::SnipestreamNoQuota, "snipestream, quota off"}};
    if (!absl::GetFlag(FLAGS_snipestream_only)) {
        rows.insert(rows.begin(), {{Policy::None, "no control"}, {Policy::Fixed, "fixed limits"}});
    }
    std::cout << "Weights: lookup 1, booking 5, artwork upload 6, upload 8, deposit 10, certificate 10. Seed " << absl::GetFlag(FLAGS_seed) << ".\n\n"
              << "| deployment | scenario | policy | goodput (weight/s) | critical completed | "
                 "recovery | worst-served team | wrongful refusals |\n"
              << "| --- | --- | --- | --- | --- | --- | --- | --- |" << std::endl;
    for (const auto &deployment : {cymru(), nairobi()}) {
        for (auto &scenario : scenarios) {
            scenario.quotaRefund = absl::GetFlag(FLAGS_quota_refund);
            scenario.reportUpstreamLevels = absl::GetFlag(FLAGS_deep_levels);
            scenario.quotaReserve = absl::GetFlag(FLAGS_quota_reserve);
            if (scenario.name.find(absl::GetFlag(FLAGS_only)) != std::string::npos) {
                printScenario(deployment, scenario, rows, absl::GetFlag(FLAGS_seed));
            }
        }
    }
    return 0;
}
