#include "standins.h"

#include <algorithm>
#include <iostream>

namespace review
{
namespace
{

constexpr double kConfigApplySeconds = 2;
/// Nodes at which clients send requests; each draws where it starts in a split.
constexpr size_t kEntries = 8;
constexpr double kPerEntry = 5;

/// Returns a configuration whose route leads to both services by weight, or to the first one alone if there are no weights.
auto configuration(const std::string &version, const std::optional<std::pair<int, int>> &weights) -> std::string
{
    const std::string services = weights ? R"("TrafficSplit":[{"Service":"bookings","Weight":)" + std::to_string(weights->first)
            + R"(},{"Service":"bookings-new","Weight":)" + std::to_string(weights->second) + "}]"
                                         : std::string(R"("Service":"bookings")");
    return R"({"Version":")" + version + R"(","BaseVersion":"00000005","Resources":[
{"Type":"Routes","Metadata":{"Name":"r-deposit"},"Spec":{"Authority":"studio.example","PathPrefix":"/deposit/","Kind":"non_idempotent","TimeoutMs":5000,"TargetLatencyMs":1200,"Priority":0,)"
        + services + R"(,"MaxAttempts":2,"Public":false}},
{"Type":"Services","Metadata":{"Name":"bookings"},"Spec":{"HealthPath":"/healthz","MaxConnections":1684,"Protocol":"h1","Tls":false}},
{"Type":"Services","Metadata":{"Name":"bookings-new"},"Spec":{"HealthPath":"/healthz","MaxConnections":1684,"Protocol":"h1","Tls":false}},
{"Type":"Services","Metadata":{"Name":"diary"},"Spec":{"HealthPath":"/healthz","MaxConnections":250,"Protocol":"h1","Tls":false}},
{"Type":"Tenants","Metadata":{"Name":"studio"},"Spec":{"ApiKeys":["6wsjnbanfqasnmgkcuyj"],"Priority":1,"RatePerS":300,"Burst":300}},
{"Type":"Limits","Metadata":{},"Spec":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}]})";
}

auto runCase(const std::string &path) -> int
{
    Record record(path);
    std::vector<std::pair<std::string, std::string>> kinds = {{"caerdydd", "bookings"}, {"caerdydd", "bookings-new"}};
    kinds.resize(2 + kEntries, {"caerdydd", "diary"});
    const auto machines = makeMachines(kinds);
    const std::string folder = makeFolder();
    Store store(record);
    store.put("keyed.op", "config", configuration("00000007", std::make_pair(90, 10)));
    std::vector<std::unique_ptr<Node>> nodes;
    std::vector<std::unique_ptr<Backend>> backends;
    for (const Machine &machine : machines) {
        store.openDoor(storeDoor(machine));
        nodes.push_back(std::make_unique<Node>(record, machine, storeDoor(machine), folder));
        nodes.back()->start(true);
        backends.push_back(std::make_unique<Backend>(record, Backend::Options{machine.service, machine.app(), machine.control(), machine.zone, 25, 0.02}));
    }
    std::this_thread::sleep_for(std::chrono::seconds(1));
    for (const auto &backend : backends) {
        backend->start();
    }
    if (!waitUntilReady(nodes, 10)) {
        record.line("the nodes are not ready");
        removeFolder(folder);
        return 2;
    }
    // Every entry gets some requests before the change and some after it; there are pauses between them.
    std::vector<std::unique_ptr<Load>> loads;
    for (size_t i = 0; i < kEntries; ++i) {
        loads.push_back(
            std::make_unique<Load>(record, Load::Options{machines[2 + i].outbound(), "studio.example", "/deposit/7", "POST", "6wsjnbanfqasnmgkcuyj", 5000, 1}));
    }
    const double begin = now() + 2;
    for (const auto &load : loads) {
        load->run(begin, begin + kPerEntry / 10, 10);
    }
    sleepUntil(begin + 4);
    // The second service is taken out in both variants: by the weight 0, or by a route to the first one alone.
    store.put("keyed.op", "config", configuration("0000000c", hasTrouble() ? std::make_optional(std::make_pair(100, 0)) : std::nullopt));
    const double acknowledgedAt = now();
    sleepUntil(acknowledgedAt + kConfigApplySeconds + 1);
    for (const auto &load : loads) {
        const double from = now();
        load->run(from, from + kPerEntry / 10, 10);
    }
    for (const auto &node : nodes) {
        if (node->hasEnded()) {
            return 2;
        }
    }
    std::vector<std::string> late;
    for (const auto &load : loads) {
        for (const Attempt &attempt : load->attempts()) {
            if (attempt.sentAt > acknowledgedAt + kConfigApplySeconds) {
                late.push_back(attempt.id);
            }
        }
    }
    const auto countOf = [&late](Backend &backend) {
        const auto runs = backend.runs();
        return std::count_if(runs.begin(), runs.end(), [&late](const Run &run) {
            return std::find(late.begin(), late.end(), run.id) != late.end();
        });
    };
    const auto kept = countOf(*backends[0]);
    const auto dropped = countOf(*backends[1]);
    const std::string result = "CONFIG: of " + std::to_string(late.size()) + " requests sent later than ConfigApplyMs after the change, " + std::to_string(kept)
        + " ran at bookings and " + std::to_string(dropped) + " at bookings-new, "
        + (hasTrouble() ? "whose weight is 0" : "to which the route no longer leads");
    record.line(result);
    std::cout << result << "\n";
    nodes.clear();
    removeFolder(folder);
    return kept == 0 ? 2 : dropped > 0 ? 1 : 0;
}

} // namespace
} // namespace review

auto main(int argc, char **argv) -> int
{
    return argc == 2 ? review::runCase(argv[1]) : 2;
}
