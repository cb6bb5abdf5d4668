// The store turns away the two machines that read the configuration for the others. The operator moves a route to another
// service. All other machines reach the store all the while.

#include "review/standins/deployment.h"

#include <algorithm>

namespace
{

using namespace review;

constexpr double kConfigApplySeconds = 2.0;
constexpr int kTimeoutMs = 5000;
constexpr double kTurnedAwaySeconds = 5.0;

/// A machine with its node and target.
struct Site {
    Machine machine;
    std::string storeAddress;
    std::unique_ptr<Node> node;
    std::unique_ptr<Target> target;
};

/// A lookup and the machine at which it began.
struct Lookup {
    Exchange exchange;
    std::string entry;
};

/// Sends a lookup every 50 ms until it is stopped.
void sendLookups(Record &record, const Site &site, const Ports &ports, const std::atomic<bool> &stopped, std::vector<Lookup> &lookups)
{
    for (int i = 0; !stopped; ++i) {
        const auto connection = connectTo(site.machine.address, ports.caller);
        if (connection) {
            const std::string id = "stock-" + site.machine.address + "-" + std::to_string(i);
            lookups.push_back({exchange(*connection, "GET", "/stock/1", id, kTimeoutMs), site.machine.address});
            record.add(describe(lookups.back().exchange) + ", " + lookups.back().exchange.body);
        }
        sleepSeconds(0.05);
    }
}

auto runChange(const std::string &recordPath, const std::string &folder) -> int
{
    Record record(recordPath);
    constexpr size_t kMachines = 6;
    const auto addresses = pickAddresses(2 * kMachines);
    const Ports ports = findPorts(addresses);
    const std::vector<std::string> storeAddresses(addresses.begin() + kMachines, addresses.end());
    Store store(storeAddresses, ports.store);
    store.put("keyed.op", "config", studioConfiguration("00000001", kTimeoutMs, "catalogue"));
    std::vector<Site> sites;
    for (size_t i = 0; i < kMachines; ++i) {
        const std::string service = i % 3 == 0 ? "catalogue" : i % 3 == 1 ? "measures" : "diary";
        Site site{{addresses[i], i < kMachines / 2 ? "east" : "west", service}, storeAddresses[i], nullptr, nullptr};
        site.node = std::make_unique<Node>(record, site.machine, ports, site.storeAddress, folder);
        site.node->start();
        site.target = std::make_unique<Target>(record, site.machine, ports, "i-" + std::to_string(i), 40, [service](const Message &) {
            return Reply{0.02, "from " + service};
        });
        sites.push_back(std::move(site));
    }
    require("readiness", 10, [&] {
        return std::all_of(sites.begin(), sites.end(), [](const Site &site) {
            return site.node->isReady();
        });
    });
    std::atomic<bool> stopped{false};
    std::vector<std::vector<Lookup>> lookups(kMachines);
    std::vector<std::thread> clients;
    for (size_t i = 0; i < kMachines; ++i) {
        clients.emplace_back([&, i] {
            sendLookups(record, sites[i], ports, stopped, lookups[i]);
        });
    }
    sleepSeconds(6);

    const auto readers = store.readerAddresses();
    for (const char *const version : {"00000002", "00000003"}) {
        store.put("keyed.op", "config", studioConfiguration(version, kTimeoutMs, "catalogue"));
        sleepSeconds(0.2);
    }
    std::vector<std::string> outOfTouch;
    for (const auto &site : sites) {
        const bool isReader = std::find(readers.begin(), readers.end(), site.storeAddress) != readers.end();
        record.add("machine " + site.machine.address + " in " + site.machine.domain + (isReader ? " reads the store for others" : ""));
        if (isReader) {
            outOfTouch.push_back(site.machine.address);
            store.turnAway(site.storeAddress, hasTrouble());
        }
    }
    record.add(hasTrouble() ? "the store turns these machines away" : "the store serves all machines");
    sleepSeconds(0.05);
    store.put("keyed.op", "config", studioConfiguration("00000004", kTimeoutMs, "measures"));
    const double acknowledgedAt = nowSeconds();
    record.add("version 4 is acknowledged: /stock/ goes to measures instead of catalogue");
    sleepSeconds(kTurnedAwaySeconds);
    for (const auto &site : sites) {
        store.turnAway(site.storeAddress, false);
    }
    stopped = true;
    for (auto &client : clients) {
        client.join();
    }
    if (readers.size() != 2) {
        record.add("the case expects one reader in each of the two failure domains");
        return kNotRun;
    }

    int stale = 0;
    int current = 0;
    double latest = 0;
    for (const auto &ofMachine : lookups) {
        for (const auto &[result, entry] : ofMachine) {
            const bool isInTouch = std::find(outOfTouch.begin(), outOfTouch.end(), entry) == outOfTouch.end();
            if (!isInTouch || result.sentAt <= acknowledgedAt + kConfigApplySeconds) {
                continue;
            }
            current += result.body == "from measures" ? 1 : 0;
            if (result.body == "from catalogue") {
                ++stale;
                latest = std::max(latest, result.sentAt - acknowledgedAt);
            }
        }
    }
    record.add("requests sent at machines in touch later than ConfigApplyMs after the acknowledgement: by the new service " + std::to_string(current)
               + ", by the old one " + std::to_string(stale) + ", the last of these sent " + std::to_string(latest) + " s after it");
    return current == 0 ? kNotRun : stale > 0 ? kBroken : kHeld;
}

} // namespace

auto main(int argc, char **argv) -> int
{
    return argc < 3 ? kNotRun : runCase([argv] {
        return runChange(argv[1], argv[2]);
    });
}
