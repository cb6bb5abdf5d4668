// A target deregisters and keeps serving. The node beside it is killed and starts again, and a heartbeat from before the
// departure arrives late.

#include "review/standins/deployment.h"

#include <algorithm>
#include <csignal>

namespace
{

using namespace review;

constexpr double kDrainSeconds = 2.0;
constexpr double kStableWindowSeconds = 3.0;
constexpr double kHeartbeatDelaySeconds = 2.0;
constexpr double kRestartDelaySeconds = 0.5;
/// How long the target serves after its departure was acknowledged.
constexpr double kServesOnSeconds = 10.0;
constexpr int kClients = 8;
constexpr double kWorkSeconds = 0.1;

/// Sends requests one after the other until it is stopped.
class Client
{
public:
    Client(Record &record, const std::string &address, uint16_t port, int number)
        : thread_([this, &record, address, port, number] {
            run(record, address, port, number);
        })
    {
    }

    void stop()
    {
        stopped_ = true;
        thread_.join();
    }

    /// Times at which the requests were sent, by id.
    [[nodiscard]] auto sentAt() const -> const std::map<std::string, double> &
    {
        return sentAt_;
    }

private:
    void run(Record &record, const std::string &address, uint16_t port, int number)
    {
        constexpr double kPauseSeconds = 0.05;
        for (int i = 0; !stopped_; ++i) {
            const auto connection = connectTo(address, port);
            if (connection) {
                const std::string id = "stock-" + std::to_string(number) + "-" + std::to_string(i);
                const Exchange result = exchange(*connection, "GET", "/stock/" + id, id, 5000);
                sentAt_[result.requestId] = result.sentAt;
                record.add(describe(result));
            }
            sleepSeconds(kPauseSeconds);
        }
    }

    std::atomic<bool> stopped_{false};
    std::map<std::string, double> sentAt_;
    std::thread thread_;
};

auto runDeparture(const std::string &recordPath, const std::string &folder) -> int
{
    Record record(recordPath);
    const auto addresses = pickAddresses(4);
    const Ports ports = findPorts(addresses);
    Store store(addresses[0], ports.store);
    store.put("keyed.op", "config", studioConfiguration("00000001", 5000));
    const Machine entry{addresses[1], "east", "diary"};
    const Machine leaving{addresses[2], "east", "catalogue"};
    const Machine staying{addresses[3], "east", "catalogue"};
    const auto answer = [](const Message &) {
        return Reply{kWorkSeconds, "stock"};
    };
    Node entryNode(record, entry, ports, addresses[0], folder);
    Node leavingNode(record, leaving, ports, addresses[0], folder);
    Node stayingNode(record, staying, ports, addresses[0], folder);
    for (Node *const node : {&entryNode, &leavingNode, &stayingNode}) {
        node->start();
    }
    Target leavingTarget(record, leaving, ports, "i-leaving", 20, answer);
    Target stayingTarget(record, staying, ports, "i-staying", 20, answer);
    require("readiness", 10, [&] {
        return entryNode.isReady() && leavingNode.isReady() && stayingNode.isReady();
    });
    std::vector<std::unique_ptr<Client>> clients;
    clients.reserve(kClients);
    for (int i = 0; i < kClients; ++i) {
        clients.push_back(std::make_unique<Client>(record, entry.address, ports.caller, i));
    }
    sleepSeconds(kStableWindowSeconds + 1);
    const bool bothServed = !leavingTarget.runs().empty() && !stayingTarget.runs().empty();

    const std::string lateHeartbeat = leavingTarget.nextHeartbeat();
    const bool acknowledged = leavingTarget.deregister();
    const double acknowledgedAt = nowSeconds();
    record.add(std::string("i-leaving deregisters: ") + (acknowledged ? "acknowledged" : "not acknowledged"));
    sleepSeconds(0.3);
    double inTouchAt = acknowledgedAt;
    if (hasTrouble()) {
        leavingNode.signal(SIGKILL);
        leavingNode.awaitEnd(5);
        sleepSeconds(kRestartDelaySeconds);
        leavingNode.start();
        inTouchAt = nowSeconds() + kStableWindowSeconds;
    }
    sleepSeconds(acknowledgedAt + kHeartbeatDelaySeconds - nowSeconds());
    record.add("a heartbeat that i-leaving sent before it deregistered arrives: " + std::to_string(leavingTarget.sendHeartbeat(lateHeartbeat)));
    sleepSeconds(acknowledgedAt + kServesOnSeconds - nowSeconds());
    std::map<std::string, double> sentAt;
    for (const auto &client : clients) {
        client->stop();
        sentAt.insert(client->sentAt().begin(), client->sentAt().end());
    }
    if (!bothServed || !acknowledged) {
        return kNotRun;
    }

    const double judgedFrom = std::max(acknowledgedAt + kDrainSeconds, inTouchAt);
    int late = 0;
    for (const Run &run : leavingTarget.runs()) {
        const auto sent = sentAt.find(run.requestId);
        late += run.at > judgedFrom && sent != sentAt.end() && sent->second > judgedFrom ? 1 : 0;
    }
    record.add("requests that reached i-leaving later than DrainMs after the acknowledgement, through nodes in touch: " + std::to_string(late));
    return late > 0 ? kBroken : kHeld;
}

} // namespace

auto main(int argc, char **argv) -> int
{
    return argc < 3 ? kNotRun : runCase([argv] {
        return runDeparture(argv[1], argv[2]);
    });
}
