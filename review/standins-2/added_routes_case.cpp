#include "standins.h"

#include <algorithm>
#include <iostream>

namespace review
{
namespace
{

/// As many as the sheet of gwallt-mesh has; each has a rank of its own.
constexpr int kTenants = 8;
constexpr double kConfigApplySeconds = 2;
constexpr double kObservedSeconds = 50;
constexpr double kRequestsPerSecond = 20;

struct Route {
    std::string name;
    std::string kind;
    std::string service;
};

/// Returns a configuration with one route of each priority: the first ones, or all.
auto configuration(const std::string &version, const std::vector<std::pair<int, Route>> &routes) -> std::string
{
    std::string text = R"({"Version":")" + version + R"(","BaseVersion":"00000005","Resources":[)";
    for (const auto &[priority, route] : routes) {
        text += R"({"Type":"Routes","Metadata":{"Name":"r-)" + route.name + R"("},"Spec":{"Authority":"studio.example","PathPrefix":"/)" + route.name
            + R"(/","Kind":")" + route.kind + R"(","TimeoutMs":5000,"TargetLatencyMs":1200,"Priority":)" + std::to_string(priority) + R"(,"Service":")"
            + route.service + R"(","MaxAttempts":2,"Public":false}},)";
    }
    for (int tenant = 0; tenant < kTenants; ++tenant) {
        text += R"({"Type":"Tenants","Metadata":{"Name":"studio)" + std::to_string(tenant) + R"("},"Spec":{"ApiKeys":["key)" + std::to_string(tenant)
            + R"("],"Priority":)" + std::to_string(tenant) + R"(,"RatePerS":300,"Burst":300}},)";
    }
    return text + R"({"Type":"Services","Metadata":{"Name":"bookings"},"Spec":{"HealthPath":"/healthz","MaxConnections":1684,"Protocol":"h1","Tls":false}},
{"Type":"Services","Metadata":{"Name":"catalogue"},"Spec":{"HealthPath":"/healthz","MaxConnections":1156,"Protocol":"h1","Tls":false}},
{"Type":"Services","Metadata":{"Name":"diary"},"Spec":{"HealthPath":"/healthz","MaxConnections":250,"Protocol":"h1","Tls":false}},
{"Type":"Limits","Metadata":{},"Spec":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}]})";
}

struct Served {
    double sent = 0;
    double served = 0;
};

auto servedIn(const std::vector<Attempt> &attempts, double from, double to) -> Served
{
    Served result;
    for (const Attempt &attempt : attempts) {
        if (attempt.sentAt >= from && attempt.sentAt < to) {
            result.sent += 1;
            result.served += attempt.status == 200 ? 1 : 0;
        }
    }
    return result;
}

auto runCase(const std::string &path) -> int
{
    Record record(path);
    const auto machines = makeMachines({{"caerdydd", "diary"}, {"caerdydd", "catalogue"}, {"abertawe", "bookings"}});
    const std::string folder = makeFolder();
    const std::pair<int, Route> stock{2, {"stock", "idempotent", "catalogue"}};
    const std::pair<int, Route> deposit{0, {"deposit", "non_idempotent", "bookings"}};
    Store store(record);
    // With trouble, the second route and three more come by a change. Without it, the two routes are there from the start.
    store.put("keyed.op", "config",
              configuration("00000007", hasTrouble() ? std::vector<std::pair<int, Route>>{stock} : std::vector<std::pair<int, Route>>{stock, deposit}));
    std::vector<std::unique_ptr<Node>> nodes;
    std::vector<std::unique_ptr<Backend>> backends;
    for (const Machine &machine : machines) {
        store.openDoor(storeDoor(machine));
        nodes.push_back(std::make_unique<Node>(record, machine, storeDoor(machine), folder));
        nodes.back()->start(true);
        backends.push_back(std::make_unique<Backend>(record, Backend::Options{machine.service, machine.app(), machine.control(), machine.zone, 25, 0.06}));
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
    const double begin = now() + 2;
    const double changeAt = begin + 4;
    const double from = changeAt + kConfigApplySeconds;
    const double end = from + kObservedSeconds;
    Load first(record, {machines[0].outbound(), "studio.example", "/stock/7", "GET", "key7", 5000, 8});
    Load added(record, {machines[0].outbound(), "studio.example", "/deposit/7", "POST", "key0", 5000, 8});
    std::thread firstClients([&] {
        first.run(begin, end, kRequestsPerSecond);
    });
    std::thread addedClients([&] {
        added.run(from, end, kRequestsPerSecond);
    });
    sleepUntil(changeAt);
    if (hasTrouble()) {
        store.put("keyed.op", "config",
                  configuration("0000000c",
                                {deposit,
                                 {1, {"measure", "upload", "bookings"}},
                                 stock,
                                 {3, {"maker-queue", "idempotent", "bookings"}},
                                 {4, {"report", "idempotent", "catalogue"}}}));
    }
    firstClients.join();
    addedClients.join();
    for (const auto &node : nodes) {
        if (node->hasEnded()) {
            return 2;
        }
    }
    const Served ofFirst = servedIn(first.attempts(), from, end);
    const Served ofAdded = servedIn(added.attempts(), from, end);
    const Served ofLast = servedIn(added.attempts(), end - 20, end);
    const auto text = [](const Served &served) {
        return std::to_string(static_cast<int>(served.served)) + " of " + std::to_string(static_cast<int>(served.sent));
    };
    const std::string result =
        "CONFIG: served on the first route " + text(ofFirst) + ", on the later one " + text(ofAdded) + ", there in the last 20 s " + text(ofLast);
    record.line(result);
    std::cout << result << "\n";
    nodes.clear();
    removeFolder(folder);
    const double firstShare = ofFirst.served / std::max(1.0, ofFirst.sent);
    const double addedShare = ofAdded.served / std::max(1.0, ofAdded.sent);
    return firstShare < 0.5 || ofAdded.sent < 20 ? 2 : addedShare < firstShare / 4 ? 1 : 0;
}

} // namespace
} // namespace review

auto main(int argc, char **argv) -> int
{
    return argc == 2 ? review::runCase(argv[1]) : 2;
}
