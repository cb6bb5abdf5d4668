#include "config/change.h"
#include "config/keys.h"
#include "config/relay.h"
#include "http/http_client.h"
#include "http/http_server.h"
#include "net/fiber_runtime.h"
#include "node/log_transport.h"
#include "peer/peer_network.h"
#include "platform/http_log_client.h"
#include "routing/local_targets.h"
#include "routing/node_table.h"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include <unistd.h>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/strings/str_split.h>
#include <glog/logging.h>
#include <nlohmann/json.hpp>

ABSL_FLAG(int, log_port, 0, "Port of the log stand-in");
ABSL_FLAG(int, base_port, 0, "Node i listens on base+3i (callers), base+3i+1 (peers) and base+3i+2 (targets)");
ABSL_FLAG(std::vector<std::string>, pids, {}, "Process ids of the nodes, in order");
ABSL_FLAG(int, services, 4, "Services; every node calls all of them");
ABSL_FLAG(int, targets, 1, "Targets of each node");
ABSL_FLAG(int, calls, 20, "Calls per second and node under load");
ABSL_FLAG(int, extra_rules, 0, "Further key rules in the configuration");
ABSL_FLAG(int, extra_nodes, 0, "Records of nodes in other failure domains, which do not run");
ABSL_FLAG(int, pollers, 0, "Further nodes that follow the configuration at the first node with long polls");
ABSL_FLAG(std::string, fleet_secret, "secret of the capacity bench, 32 bytes", "Secret of the nodes' links");
ABSL_FLAG(int, seconds, 10, "Length of one measurement");
ABSL_FLAG(int, repeats, 3, "Measurements; the medians are printed");
ABSL_FLAG(int, settle, 12, "Seconds before the first measurement");
ABSL_FLAG(bool, publish_only, false, "Publish the rules and records, then end");

namespace snipestream
{
namespace
{

constexpr const char *kTeam = "studio";
constexpr int kExtraDomains = 5;
const RequestedBy kRequestedBy{"bench", "capacity"};
const KeyId kKey("bench");

/// Resource usage of one node since its start; `links` is the current number.
struct Usage {
    double cpuSeconds = 0;
    double residentMb = 0;
    double peerBytes = 0;
    double peerCalls = 0;
    double links = 0;
};

auto median(std::vector<double> values) -> double
{
    std::sort(values.begin(), values.end());
    return values.empty() ? 0 : values[values.size() / 2];
}

struct Bench {
    FiberRuntime runtime;
    MetricsRegistry metrics;
    std::vector<std::unique_ptr<HttpClient>> callerClients;
    std::vector<std::unique_ptr<HttpClient>> targetClients;
    uint16_t targetPort = 0;
    bool isLoaded = false;
    bool isEnding = false;
    uint64_t answered = 0;
    uint64_t failed = 0;
};

auto request(const std::string &method, const std::string &path) -> RequestHead
{
    RequestHead head;
    head.method = method;
    head.path = path;
    head.timeLeft = seconds(3);
    return head;
}

auto serviceName(int number) -> std::string
{
    return "service-" + std::to_string(number);
}

/// Returns the key rule, which is the same in every run, so that the publishing and the calling process share the key
/// without communication.
auto benchKey() -> KeyRule
{
    const std::string salt(32, 'a');
    return KeyRule{kKey, TeamName(kTeam), salt, hashSecret(salt, "secret"), kRequestedBy};
}

void appendChange(const LogClient &log, uint64_t base, std::vector<Rule> rules)
{
    const ChangeRecord change{newChangeId(), base, "bench", std::move(rules), {}};
    CHECK(log.append(kConfigStream, encodeChange(change))) << "the log rejected the change record";
}

void publish(Bench &bench)
{
    const Endpoint endpoint{"127.0.0.1", static_cast<uint16_t>(absl::GetFlag(FLAGS_log_port))};
    const LogClient log = makeHttpLogClient(makeFiberTransport(bench.runtime, endpoint), seconds(5));
    std::vector<Rule> rules{DomainRule{DomainName("d0"), 1, kRequestedBy}, TeamRule{TeamName(kTeam), 1000000, 1000000, kRequestedBy}, benchKey()};
    for (int i = 0; i < absl::GetFlag(FLAGS_services); ++i) {
        rules.emplace_back(RouteRule{RouteName("route-" + std::to_string(i)), "GET", "/" + serviceName(i), ServiceName(serviceName(i)), Priority::Normal, true,
                                     false, kRequestedBy});
    }
    uint64_t base = 0;
    appendChange(log, base++, std::move(rules));
    constexpr int kRulesPerChange = 250;
    for (int i = 0; i < absl::GetFlag(FLAGS_extra_rules); i += kRulesPerChange) {
        std::vector<Rule> keys;
        for (int j = i; j < std::min(i + kRulesPerChange, absl::GetFlag(FLAGS_extra_rules)); ++j) {
            KeyRule rule = benchKey();
            rule.id = KeyId("key-" + std::to_string(j));
            keys.emplace_back(std::move(rule));
        }
        appendChange(log, base++, std::move(keys));
    }
    for (int i = 0; i < absl::GetFlag(FLAGS_extra_nodes); ++i) {
        const NodeRecord record{NodeName("elsewhere-" + std::to_string(i)), true, DomainName("d" + std::to_string(1 + i % kExtraDomains)), {"127.0.0.1", 1}, 1};
        CHECK(log.append(kConfigStream, toJson(record).dump())) << "the log rejected the node record";
    }
}

/// Announces the targets of one node every second.
void announce(Bench &bench, size_t node)
{
    const int targets = absl::GetFlag(FLAGS_targets);
    while (!bench.isEnding) {
        for (int i = 0; i < targets; ++i) {
            TargetAnnouncement announcement;
            announcement.target = TargetName("target-" + std::to_string(i));
            announcement.service = ServiceName(serviceName((static_cast<int>(node) * targets + i) % absl::GetFlag(FLAGS_services)));
            announcement.endpoint = {"127.0.0.1", bench.targetPort};
            announcement.slots = 100;
            announcement.connections = 100;
            RequestHead head = request("POST", "/snipestream/v1/targets");
            head.headers = {{"Content-Type", "application/json"}};
            static_cast<void>(fetch(*bench.targetClients[node], head, toJson(announcement).dump()));
        }
        bench.runtime.sleepFor(seconds(1));
    }
}

void call(Bench &bench, size_t node, int service)
{
    RequestHead head = request("GET", "/" + serviceName(service));
    head.headers = {{"Authorization", "Bearer bench.secret"}};
    const auto response = fetch(*bench.callerClients[node], head, "");
    ++(response && response.value().status == 200 ? bench.answered : bench.failed);
}

/// Calls every service once, so that the node subscribes to all of them, then sends --calls calls per second while the
/// bench is under load.
void callServices(Bench &bench, size_t node)
{
    const int services = absl::GetFlag(FLAGS_services);
    bench.runtime.sleepFor(seconds(4));
    for (int i = 0; i < services; ++i) {
        call(bench, node, i);
    }
    const Duration callInterval = Duration(seconds(1)) / std::max(1, absl::GetFlag(FLAGS_calls));
    for (int callNumber = static_cast<int>(node); !bench.isEnding; ++callNumber) {
        bench.runtime.sleepFor(bench.isLoaded ? callInterval : milliseconds(100));
        if (bench.isLoaded) {
            call(bench, node, callNumber % services);
        }
    }
}

/// Follows the configuration with long polls at the first node, as a node that is not a relay does. All pollers share one
/// link.
void pollConfiguration(Bench &bench, PeerNetwork &peers)
{
    const Endpoint relay{"127.0.0.1", static_cast<uint16_t>(absl::GetFlag(FLAGS_base_port) + 1)};
    uint64_t from = 0;
    while (!bench.isEnding) {
        const auto response = peers.call(relay, "config.records", {{"from", from}}, seconds(2));
        const auto text = response && response.value().is_object() ? response.value().value("records", std::string()) : "";
        if (const auto records = decodeRecordsResponse(text)) {
            from = records.value().nextOffset;
        } else {
            bench.runtime.sleepFor(seconds(1));
        }
    }
}

/// Returns the value of a metric without labels, or 0 if the page does not contain it.
auto metric(const std::string &page, const std::string &name) -> double
{
    const size_t at = page.find("\n" + name + " ");
    return at == std::string::npos ? 0 : std::stod(page.substr(at + name.size() + 2));
}

auto readUsage(Bench &bench, size_t node, const std::string &pid) -> Usage
{
    Usage usage;
    std::ifstream file("/proc/" + pid + "/stat");
    std::stringstream text;
    text << file.rdbuf();
    const std::string line = text.str();
    const size_t nameEnd = line.rfind(')');
    CHECK(nameEnd != std::string::npos) << "node process " << pid << " has ended";
    // The name may contain spaces, so the fields are split after it; index 0 is field 3 of proc(5).
    const std::vector<std::string> fields = absl::StrSplit(line.substr(nameEnd + 2), ' ');
    constexpr size_t kUserTimeField = 11;
    constexpr size_t kSystemTimeField = 12;
    constexpr size_t kResidentPagesField = 21;
    usage.cpuSeconds = (std::stod(fields.at(kUserTimeField)) + std::stod(fields.at(kSystemTimeField))) / static_cast<double>(sysconf(_SC_CLK_TCK));
    usage.residentMb = std::stod(fields.at(kResidentPagesField)) * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1024 / 1024;
    const auto page = fetch(*bench.targetClients[node], request("GET", "/metrics"), "");
    if (page) {
        usage.peerBytes = metric(page.value().body, "snipestream_peer_bytes_sent_total");
        usage.peerCalls = metric(page.value().body, "snipestream_peer_calls_total");
        usage.links = metric(page.value().body, "snipestream_peer_links");
    }
    return usage;
}

/// Measures all nodes --repeats times and prints a row with the medians of the mean and of the maximum over the nodes.
void measure(Bench &bench, const char *load)
{
    const auto pids = absl::GetFlag(FLAGS_pids);
    const double nodes = static_cast<double>(pids.size());
    const double length = absl::GetFlag(FLAGS_seconds);
    std::vector<double> cpu;
    std::vector<double> maxCpu;
    std::vector<double> resident;
    std::vector<double> maxResident;
    std::vector<double> bytes;
    std::vector<double> maxBytes;
    std::vector<double> calls;
    std::vector<double> links;
    for (int repeat = 0; repeat < absl::GetFlag(FLAGS_repeats); ++repeat) {
        std::vector<Usage> before;
        for (size_t i = 0; i < pids.size(); ++i) {
            before.push_back(readUsage(bench, i, pids[i]));
        }
        bench.runtime.sleepFor(seconds(absl::GetFlag(FLAGS_seconds)));
        Usage sum;
        Usage maxima;
        for (size_t i = 0; i < pids.size(); ++i) {
            const Usage now = readUsage(bench, i, pids[i]);
            const double usedCpu = now.cpuSeconds - before[i].cpuSeconds;
            const double usedBytes = now.peerBytes - before[i].peerBytes;
            sum.cpuSeconds += usedCpu;
            sum.residentMb += now.residentMb;
            sum.peerBytes += usedBytes;
            sum.peerCalls += now.peerCalls - before[i].peerCalls;
            sum.links += now.links;
            maxima.cpuSeconds = std::max(maxima.cpuSeconds, usedCpu);
            maxima.residentMb = std::max(maxima.residentMb, now.residentMb);
            maxima.peerBytes = std::max(maxima.peerBytes, usedBytes);
        }
        cpu.push_back(sum.cpuSeconds / nodes / length * 100);
        maxCpu.push_back(maxima.cpuSeconds / length * 100);
        resident.push_back(sum.residentMb / nodes);
        maxResident.push_back(maxima.residentMb);
        bytes.push_back(sum.peerBytes / nodes / length / 1000);
        maxBytes.push_back(maxima.peerBytes / length / 1000);
        calls.push_back(sum.peerCalls / nodes / length);
        links.push_back(sum.links / nodes);
    }
    std::printf("| %zu | %d | %d | %d | %d | %s | %.2f | %.2f | %.1f | %.1f | %.2f | %.2f | %.1f | %.0f |\n", pids.size(), absl::GetFlag(FLAGS_targets),
                absl::GetFlag(FLAGS_services), absl::GetFlag(FLAGS_extra_rules), absl::GetFlag(FLAGS_extra_nodes), load, median(cpu), median(maxCpu),
                median(resident), median(maxResident), median(bytes), median(maxBytes), median(calls), median(links));
    std::fflush(stdout);
}

void run(Bench &bench)
{
    HttpServerOptions options;
    options.name = "target";
    options.listen = {"127.0.0.1", 0};
    HttpServer target(bench.runtime, options, bench.metrics, [](Exchange &exchange) {
        static_cast<void>(respondWith(exchange, 200, "text/plain", "ok\n"));
    });
    bench.targetPort = target.listen().value();
    const auto pids = absl::GetFlag(FLAGS_pids);
    for (size_t i = 0; i < pids.size(); ++i) {
        const auto port = static_cast<uint16_t>(absl::GetFlag(FLAGS_base_port) + 3 * static_cast<int>(i));
        bench.callerClients.push_back(std::make_unique<HttpClient>(bench.runtime, HttpClientOptions{{"127.0.0.1", port}, 4}));
        bench.targetClients.push_back(std::make_unique<HttpClient>(bench.runtime, HttpClientOptions{{"127.0.0.1", static_cast<uint16_t>(port + 2)}, 4}));
    }
    for (size_t i = 0; i < pids.size(); ++i) {
        bench.runtime.spawn([&bench, i] {
            announce(bench, i);
        });
        bench.runtime.spawn([&bench, i] {
            callServices(bench, i);
        });
    }
    PeerOptions peerOptions;
    peerOptions.self = {NodeName("pollers"), 1, DomainName("d0")};
    peerOptions.fleetSecret = absl::GetFlag(FLAGS_fleet_secret);
    PeerNetwork peers(bench.runtime, peerOptions, bench.metrics);
    bench.runtime.sleepFor(seconds(absl::GetFlag(FLAGS_settle)));
    for (int i = 0; i < absl::GetFlag(FLAGS_pollers); ++i) {
        // Spreads the polls evenly over a second, as those of independent nodes are.
        bench.runtime.sleepFor(Duration(seconds(1)) / absl::GetFlag(FLAGS_pollers));
        bench.runtime.spawn([&bench, &peers] {
            pollConfiguration(bench, peers);
        });
    }
    measure(bench, "idle");
    if (absl::GetFlag(FLAGS_calls) > 0) {
        bench.isLoaded = true;
        bench.runtime.sleepFor(seconds(1));
        bench.answered = 0;
        bench.failed = 0;
        measure(bench, (std::to_string(absl::GetFlag(FLAGS_calls)) + "/s").c_str());
        std::fprintf(stderr, "calls answered %lu, failed %lu\n", bench.answered, bench.failed);
    }
    bench.isEnding = true;
}

} // namespace
} // namespace snipestream

/// Publishes a configuration for a fleet on loopback, or acts as its targets and callerClients and prints the resource usage of
/// the nodes. scripts/bench-nodes.sh starts the processes.
auto main(int argc, char **argv) -> int
{
    using namespace snipestream;
    absl::SetProgramUsageMessage("Measures processor time, memory and traffic of running nodes.");
    absl::ParseCommandLine(argc, argv);
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(argv[0]);
    Bench bench;
    bench.runtime.spawn([&bench] {
        if (absl::GetFlag(FLAGS_publish_only)) {
            publish(bench);
        } else {
            run(bench);
        }
        std::fflush(stdout);
        std::_Exit(0);
    });
    bench.runtime.run();
    return 0;
}
