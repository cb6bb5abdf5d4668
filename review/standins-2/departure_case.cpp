#include "standins.h"

#include <algorithm>
#include <iostream>

namespace review
{
namespace
{

constexpr double kStableWindowSeconds = 3;
constexpr double kDrainSeconds = 2;
/// Time after which the store does an append that it has not answered; the pages say 1 to 6 s.
constexpr double kLateSeconds = 5.5;

auto configuration() -> std::string
{
    return R"({"Version":"00000007","BaseVersion":"00000005","Resources":[
{"Type":"Routes","Metadata":{"Name":"r-stock"},"Spec":{"Authority":"studio.example","PathPrefix":"/stock/","Kind":"idempotent","TimeoutMs":5000,"TargetLatencyMs":1200,"Priority":2,"Service":"catalogue","MaxAttempts":2,"Public":false}},
{"Type":"Services","Metadata":{"Name":"catalogue"},"Spec":{"HealthPath":"/healthz","MaxConnections":1156,"Protocol":"h1","Tls":false}},
{"Type":"Services","Metadata":{"Name":"diary"},"Spec":{"HealthPath":"/healthz","MaxConnections":250,"Protocol":"h1","Tls":false}},
{"Type":"Tenants","Metadata":{"Name":"studio"},"Spec":{"ApiKeys":["6wsjnbanfqasnmgkcuyj"],"Priority":1,"RatePerS":300,"Burst":300}},
{"Type":"Limits","Metadata":{},"Spec":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}]})";
}

auto runCase(const std::string &path) -> int
{
    Record record(path);
    const auto machines = makeMachines({{"caerdydd", "diary"}, {"caerdydd", "catalogue"}, {"caerdydd", "catalogue"}});
    const std::string folder = makeFolder();
    Store store(record);
    store.put("keyed.op", "config", configuration());
    std::vector<std::unique_ptr<Node>> nodes;
    for (size_t i = 0; i < machines.size(); ++i) {
        store.openDoor(storeDoor(machines[i]));
        nodes.push_back(std::make_unique<Node>(record, machines[i], storeDoor(machines[i]), folder));
    }
    nodes[0]->start(true);
    nodes[1]->start(true);
    Backend diary(record, {"diary", machines[0].app(), machines[0].control(), "caerdydd", 25, 0.024});
    Backend staying(record, {"catalogue", machines[1].app(), machines[1].control(), "caerdydd", 16, 0.06});
    Backend leaving(record, {"catalogue", machines[2].app(), machines[2].control(), "caerdydd", 16, 0.06});
    std::this_thread::sleep_for(std::chrono::seconds(1));
    diary.start();
    staying.start();
    const double joinAt = now() + 6;
    sleepUntil(joinAt);

    // A machine is added while the store loses answers.
    if (hasTrouble()) {
        Store::Access access;
        access.lateAppends = 1;
        access.lateSeconds = kLateSeconds;
        store.setAccess(storeDoor(machines[2]), access);
    }
    nodes[2]->start(false);
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    leaving.start();
    if (!waitUntilReady(nodes, 10)) {
        record.line("the nodes are not ready");
        removeFolder(folder);
        return 2;
    }
    Load load(record, {machines[0].outbound(), "studio.example", "/stock/7", "GET", "6wsjnbanfqasnmgkcuyj", 5000, 24});
    std::thread clients([&] {
        load.run(joinAt + 1, joinAt + 13, 60);
    });

    // Its backend leaves. A heartbeat from before that is delayed.
    sleepUntil(joinAt + 3);
    const Message delayed = leaving.makeHeartbeat();
    double acknowledgedAt = 0;
    while (acknowledgedAt == 0 && now() < joinAt + 5) {
        acknowledgedAt = leaving.deregister() == 200 ? now() : 0;
    }
    // The process of the node is killed and started again; the backend goes on serving for some seconds.
    if (hasTrouble()) {
        sleepUntil(joinAt + 4);
        nodes[2]->kill();
        sleepUntil(joinAt + kLateSeconds + 0.5);
        nodes[2]->start(false);
    }
    const double restartedAt = now();
    sleepUntil(joinAt + 7);
    record.line("a heartbeat from before the departure arrives, answer " + std::to_string(leaving.send(delayed)));
    clients.join();
    if (nodes[0]->hasEnded() || nodes[1]->hasEnded() || nodes[2]->hasEnded()) {
        return 2;
    }
    const double inTouchFrom = hasTrouble() ? std::max(restartedAt, joinAt + kLateSeconds) + kStableWindowSeconds : 0;
    const auto runs = leaving.runs();
    const auto late = std::count_if(runs.begin(), runs.end(), [&](const Run &run) {
        return run.at > acknowledgedAt + kDrainSeconds && run.at > inTouchFrom;
    });
    const std::string result = "DRAIN: acknowledged at " + std::to_string(acknowledgedAt) + "; " + std::to_string(late)
        + " requests reached the backend later than DrainMs after that, by machines in touch since " + std::to_string(inTouchFrom) + "; "
        + std::to_string(runs.size()) + " run there and " + std::to_string(staying.runs().size()) + " at the other backend";
    record.line(result);
    std::cout << result << "\n";
    nodes.clear();
    removeFolder(folder);
    const bool couldRun = acknowledgedAt > 0 && !runs.empty() && !staying.runs().empty();
    return !couldRun ? 2 : late > 0 ? 1 : 0;
}

} // namespace
} // namespace review

auto main(int argc, char **argv) -> int
{
    return argc == 2 ? review::runCase(argv[1]) : 2;
}
