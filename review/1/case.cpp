// The only node of a failure domain is stopped in a planned way, so its clients go on sending requests to it until it ends.

#include "review/standins/deployment.h"

#include <csignal>

namespace
{

using namespace review;

constexpr double kGraceSeconds = 6.0;
/// Requests that were sent later than this after SIGTERM have no excuse for being cut.
constexpr double kExcusedSeconds = 3.0;
constexpr double kWorkSeconds = 0.3;
constexpr int kClients = 12;
constexpr int kDeadlineMs = 5000;

/// Sends requests one after the other, each on a new connection if the last answer has closed the old one.
void sendRequests(Record &record, const Machine &machine, const Ports &ports, int client, const std::atomic<bool> &stopped, std::vector<Exchange> &results)
{
    std::unique_ptr<Connection> connection;
    for (int i = 0; !stopped; ++i) {
        if (!connection || connection->isClosed()) {
            connection = connectTo(machine.address, ports.caller);
        }
        if (!connection) {
            sleepSeconds(0.05);
            continue;
        }
        const std::string id = "deposit-" + std::to_string(client) + "-" + std::to_string(i);
        results.push_back(exchange(*connection, "POST", "/deposit/" + id, id, kDeadlineMs, "deposit"));
        record.add(describe(results.back()));
        if (results.back().status == 0) {
            connection = nullptr;
        }
        sleepSeconds(0.02);
    }
}

auto runStop(const std::string &recordPath, const std::string &folder) -> int
{
    Record record(recordPath);
    const auto addresses = pickAddresses(3);
    const Ports ports = findPorts(addresses);
    Store store(addresses[0], ports.store);
    store.put("keyed.op", "config", studioConfiguration("00000001", kDeadlineMs));
    const Machine entry{addresses[1], "east", "diary"};
    const Machine bookings{addresses[2], "west", "catalogue"};
    Node entryNode(record, entry, ports, addresses[0], folder);
    Node bookingsNode(record, bookings, ports, addresses[0], folder);
    entryNode.start();
    bookingsNode.start();
    Target target(record, bookings, ports, "i-bookings", 60, [](const Message &) {
        return Reply{kWorkSeconds, "booked"};
    });
    require("readiness", 10, [&] {
        return entryNode.isReady() && bookingsNode.isReady();
    });
    sleepSeconds(4);

    std::atomic<bool> stopped{false};
    std::vector<std::vector<Exchange>> results(kClients);
    std::vector<std::thread> clients;
    for (int i = 0; i < kClients; ++i) {
        clients.emplace_back([&, i] {
            sendRequests(record, entry, ports, i, stopped, results[i]);
        });
        sleepSeconds(0.03);
    }
    sleepSeconds(2);
    double stoppedAt = nowSeconds();
    if (hasTrouble()) {
        stoppedAt = entryNode.signal(SIGTERM);
        if (!entryNode.awaitEnd(kGraceSeconds)) {
            record.add("the node still runs at the end of the grace period and is killed");
            entryNode.kill();
        }
        record.add("the node ran " + std::to_string(nowSeconds() - stoppedAt) + " s after SIGTERM");
    } else {
        sleepSeconds(kGraceSeconds);
    }
    stopped = true;
    for (auto &client : clients) {
        client.join();
    }

    std::map<std::string, double> runs;
    for (const Run &run : target.runs()) {
        runs[run.requestId] = run.at;
    }
    int served = 0;
    int lost = 0;
    for (const auto &clientResults : results) {
        for (const Exchange &result : clientResults) {
            served += result.status == 200 ? 1 : 0;
            const bool isLost = result.status == 0 && runs.count(result.requestId) != 0 && result.sentAt > stoppedAt + kExcusedSeconds;
            if (isLost) {
                record.add("lost: " + result.requestId + " was sent " + std::to_string(result.sentAt - stoppedAt) + " s after SIGTERM and ran at the target");
            }
            lost += isLost ? 1 : 0;
        }
    }
    record.add("served " + std::to_string(served) + ", lost " + std::to_string(lost));
    return served == 0 ? kNotRun : lost > 0 ? kBroken : kHeld;
}

} // namespace

auto main(int argc, char **argv) -> int
{
    return argc < 3 ? kNotRun : runCase([argv] {
        return runStop(argv[1], argv[2]);
    });
}
