#include "bench/capacity_measure.h"

#include "admission/admission.h"

namespace snipestream::bench
{

namespace
{

auto requestOf(size_t number, size_t teams, TimePoint now) -> AdmissionRequest
{
    AdmissionRequest request;
    request.id = {number * 0x9E3779B97F4A7C15ULL, number};
    request.team = TeamName("team-" + std::to_string(number % teams));
    request.route = RouteName("route-1");
    request.deadline = now + seconds(5);
    return request;
}

} // namespace

void benchAdmission()
{
    printHead("Admission at one target with 100 slots",
              {"teams", "offer and complete", "offer when queued, complete and start", "idle tick", "bytes per team seen"});
    for (const size_t teams : {8U, 100U, 1000U}) {
        const TargetName name("target-1");
        TimePoint now = TimePoint(seconds(1000));
        const double before = allocatedBytes();
        AdmissionTable table;
        upsertTarget(table, name, ServiceName("service-1"), 100, false, now);
        size_t next = 0;
        const auto pass = [&] {
            now += microseconds(100);
            const AdmissionResult offered = offer(table, name, requestOf(next++, teams, now), now);
            if (offered.decision != AdmissionDecision::Refused) {
                complete(table, offered.admissionId, RunOutcome::Answered, now + microseconds(50));
            }
        };
        for (size_t i = 0; i < teams; ++i) {
            pass();
        }
        const double bytes = (allocatedBytes() - before) / static_cast<double>(teams);
        const double direct = microsPerRun(pass);

        // All slots are busy and requests are queued: each pass offers one request and completes the oldest running one.
        AdmissionTable busy;
        upsertTarget(busy, name, ServiceName("service-1"), 100, false, now);
        std::vector<AdmissionId> running;
        for (size_t i = 0; i < 250; ++i) {
            const AdmissionResult offered = offer(busy, name, requestOf(i, teams, now), now);
            if (offered.decision == AdmissionDecision::Admitted) {
                running.push_back(offered.admissionId);
            }
        }
        const double queued = microsPerRun([&] {
            now += microseconds(100);
            const auto addAdmitted = [&running](const std::vector<DequeueResult> &results) {
                for (const auto &result : results) {
                    if (result.isAdmitted) {
                        running.push_back(result.admissionId);
                    }
                }
            };
            const AdmissionResult offered = offer(busy, name, requestOf(next++, teams, now), now);
            addAdmitted(offered.dequeueResults);
            if (offered.decision == AdmissionDecision::Admitted) {
                running.push_back(offered.admissionId);
            }
            if (!running.empty()) {
                const AdmissionId ended = running.front();
                running.erase(running.begin());
                addAdmitted(complete(busy, ended, RunOutcome::Answered, now));
            }
        });
        const double idle = microsPerRun([&] {
            now += milliseconds(10);
            tick(table, now);
        });
        printRow({std::to_string(teams), formatNumber(direct), formatNumber(queued), formatNumber(idle), formatNumber(bytes)});
    }
}

} // namespace snipestream::bench
