#include "standins.h"

#include <algorithm>
#include <iostream>
#include <map>

namespace review
{
namespace
{

constexpr double kRatePerSecond = 100;
constexpr double kBurst = 100;
constexpr double kQuotaWindowSeconds = 5;
constexpr double kQuotaOvershoot = 0.1;
constexpr double kQuotaSlack = 20;
/// The tenant's quota is 1.6 times what it usually sends.
constexpr double kUsualPerSecond = kRatePerSecond / 1.6;
constexpr double kHotTenantFactor = 7.5;
constexpr double kHotSeconds = 6.5;
constexpr double kCrashSeconds = 4.5;

auto configuration() -> std::string
{
    return R"({"Version":"00000007","BaseVersion":"00000005","Resources":[
{"Type":"Routes","Metadata":{"Name":"r-stock"},"Spec":{"Authority":"studio.example","PathPrefix":"/stock/","Kind":"idempotent","TimeoutMs":5000,"TargetLatencyMs":1200,"Priority":2,"Service":"catalogue","MaxAttempts":2,"Public":false}},
{"Type":"Services","Metadata":{"Name":"catalogue"},"Spec":{"HealthPath":"/healthz","MaxConnections":1156,"Protocol":"h1","Tls":false}},
{"Type":"Services","Metadata":{"Name":"diary"},"Spec":{"HealthPath":"/healthz","MaxConnections":250,"Protocol":"h1","Tls":false}},
{"Type":"Tenants","Metadata":{"Name":"studio"},"Spec":{"ApiKeys":["6wsjnbanfqasnmgkcuyj"],"Priority":1,"RatePerS":100,"Burst":100}},
{"Type":"Limits","Metadata":{},"Spec":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}]})";
}

/// Returns the largest number of requests that were both sent and run within one window.
auto mostInWindow(const std::vector<Attempt> &attempts, const std::vector<Run> &runs) -> std::pair<size_t, double>
{
    std::map<std::string, double> sentAt;
    for (const Attempt &attempt : attempts) {
        sentAt[attempt.id] = attempt.sentAt;
    }
    std::vector<std::pair<double, double>> spans;
    spans.reserve(runs.size());
    for (const Run &run : runs) {
        spans.emplace_back(sentAt.at(run.id), run.at);
    }
    std::pair<size_t, double> most{0, 0};
    for (const auto &[from, ignored] : spans) {
        const auto count = std::count_if(spans.begin(), spans.end(), [from = from](const auto &span) {
            return span.first >= from && span.second <= from + kQuotaWindowSeconds;
        });
        most = std::max(most, {static_cast<size_t>(count), from});
    }
    return most;
}

auto runCase(const std::string &path) -> int
{
    Record record(path);
    const auto machines = makeMachines({{"caerdydd", "diary"}, {"caerdydd", "catalogue"}});
    const std::string folder = makeFolder();
    Store store(record);
    store.put("keyed.op", "config", configuration());
    std::vector<std::unique_ptr<Node>> nodes;
    for (const Machine &machine : machines) {
        store.openDoor(storeDoor(machine));
        nodes.push_back(std::make_unique<Node>(record, machine, storeDoor(machine), folder));
        nodes.back()->start(true);
    }
    Backend diary(record, {"diary", machines[0].app(), machines[0].control(), "caerdydd", 25, 0.024});
    Backend catalogue(record, {"catalogue", machines[1].app(), machines[1].control(), "caerdydd", 176, 0.06});
    std::this_thread::sleep_for(std::chrono::seconds(1));
    diary.start();
    catalogue.start();
    if (!waitUntilReady(nodes, 10)) {
        record.line("the nodes are not ready");
        removeFolder(folder);
        return 2;
    }
    Load load(record, {machines[0].outbound(), "studio.example", "/stock/7", "GET", "6wsjnbanfqasnmgkcuyj", 5000, 120});
    const double begin = now() + 2;
    const double crashAt = begin + 4;
    const double backAt = crashAt + kCrashSeconds;
    const double hotAt = backAt - 1.3;
    std::thread trouble([&] {
        if (hasTrouble()) {
            sleepUntil(crashAt);
            catalogue.crash();
            sleepUntil(backAt);
            catalogue.start();
        }
    });
    load.run(begin, hotAt, kUsualPerSecond);
    load.run(hotAt, hotAt + kHotSeconds, kUsualPerSecond * kHotTenantFactor);
    load.run(hotAt + kHotSeconds, hotAt + kHotSeconds + 3, kUsualPerSecond);
    trouble.join();
    const auto attempts = load.attempts();
    const auto runs = catalogue.runs();
    const auto [most, from] = mostInWindow(attempts, runs);
    const double allowed = (kRatePerSecond * kQuotaWindowSeconds + kBurst) * (1 + kQuotaOvershoot) + kQuotaSlack;
    const std::string result = "QUOTA: " + std::to_string(most) + " requests were sent and run in the window of 5 s from " + std::to_string(from)
        + ", allowed are " + std::to_string(allowed) + "; " + std::to_string(attempts.size()) + " sent, " + std::to_string(runs.size()) + " run in all";
    record.line(result);
    std::cout << result << "\n";
    nodes.clear();
    removeFolder(folder);
    const bool isServed = runs.size() > attempts.size() / 10;
    return !isServed ? 2 : static_cast<double>(most) > allowed ? 1 : 0;
}

} // namespace
} // namespace review

auto main(int argc, char **argv) -> int
{
    return argc == 2 ? review::runCase(argv[1]) : 2;
}
