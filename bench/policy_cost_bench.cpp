#include "admission/admission.h"
#include "retry/retry.h"
#include "routing/selection.h"

#include <cstdio>

namespace snipestream
{

namespace
{

constexpr int kRounds = 300'000;

/// Calls the function kRounds times and prints the mean time of a call in nanoseconds.
template<typename Function>
void measure(const char *name, Function function)
{
    const auto from = BootClock::now();
    for (int round = 0; round < kRounds; ++round) {
        function(round);
    }
    const auto passed = std::chrono::duration<double, std::nano>(BootClock::now() - from).count();
    std::printf("| %s | %.0f |\n", name, passed / kRounds);
}

void measureAll()
{
    Random random(1);
    TimePoint now{seconds(100)};
    AdmissionTable table;
    const TargetName target("t");
    const ServiceName service("s");
    upsertTarget(table, target, service, 150, false, now);
    const auto request = [&random, &now](int round) {
        return AdmissionRequest{drawRequestId(random), TeamName("team-" + std::to_string(round % 8)), static_cast<Priority>(round % 4), RouteName("route"),
                                now + seconds(10)};
    };
    std::printf("| function | mean time (ns) |\n| --- | --- |\n");
    measure("offer and complete, free slot", [&](int round) {
        const AdmissionResult result = offer(table, target, request(round), now);
        complete(table, result.admissionId, RunOutcome::Answered, now + milliseconds(5));
    });
    std::vector<AdmissionId> running;
    for (int i = 0; i < 400; ++i) {
        const AdmissionResult result = offer(table, target, request(i), now);
        if (result.decision == AdmissionDecision::Admitted) {
            running.push_back(result.admissionId);
        }
    }
    measure("offer and complete, 250 waiting", [&](int round) {
        now += microseconds(20);
        auto &slot = running[static_cast<size_t>(round) % running.size()];
        for (const auto &decision : complete(table, slot, RunOutcome::Answered, now)) {
            slot = decision.isAdmitted ? decision.admissionId : slot;
        }
        offer(table, target, request(round), now);
    });
    observeUpstream(table.upstream, service, 100, now);
    measure("shouldShedUpstream", [&](int) {
        shouldShedUpstream(table.upstream, service, Priority::Normal, drawRequestId(random), now);
    });
    EndpointTable endpoints;
    endpoints.domain = DomainName("d0");
    makeSubscription(endpoints, service, NodeName("dir"));
    UpdateMessage update{service, NodeName("dir"), 1, 0, 1, true, {}};
    for (int i = 0; i < 30; ++i) {
        update.records.push_back({EndpointId{NodeName("n" + std::to_string(i)), TargetName("t")}, service, DomainName("d" + std::to_string(i % 3)), 100,
                                  EndpointState::Active, false, 1, 1});
    }
    applyUpdate(endpoints, update, now);
    measure("chooseEndpoint, beginCall, endCall, 30 endpoints", [&](int) {
        const auto selection = chooseEndpoint(endpoints, service, {}, random, now);
        beginCall(endpoints, service, selection->endpoint);
        endCall(endpoints, service, selection->endpoint, CallEvidence::Success, now);
    });
    RetryRatio ratio;
    measure("countFirstAttempt and decideRetry", [&](int) {
        countFirstAttempt(ratio, now);
        AttemptBudget budget{3};
        decideRetry(budget, ratio, {true, now + seconds(1), false}, {RefusalReason::ConnectionLost, RunState::Unknown, 1}, now, random);
    });
}

} // namespace

} // namespace snipestream

/// Measures the per-request functions of admission, routing and retry and prints their mean times.
auto main() -> int
{
    snipestream::measureAll();
    return 0;
}
