#include "http/http_client.h"
#include "net/fiber_runtime.h"

#include <algorithm>
#include <cstdio>
#include <iostream>
#include <string>
#include <vector>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <glog/logging.h>

ABSL_FLAG(int, node_port, 0, "Caller side of a node");
ABSL_FLAG(int, target_port, 0, "Target that is called directly; 0 leaves the direct calls out");
ABSL_FLAG(std::string, key, "", "Key, as '<key id>.<secret>'");
ABSL_FLAG(std::string, path, "/stock/1", "Path of the requests");
ABSL_FLAG(int, requests, 4000, "Requests of each kind");
ABSL_FLAG(int, warmup, 500, "Requests of each kind before the measurement");
ABSL_FLAG(int, concurrency, 1, "Callers; each has one request under way");
ABSL_FLAG(int, pause_us, 200, "Pause of a caller between two requests, in microseconds");

namespace snipestream
{
namespace
{

/// Latencies of one kind of call, in microseconds.
struct Samples {
    std::vector<double> values;
    int failed = 0;
};

auto quantile(std::vector<double> values, double probability) -> double
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const auto index = static_cast<size_t>(probability * static_cast<double>(values.size() - 1));
    return values[index];
}

auto timeCall(HttpClient &client, const RequestHead &head, Samples &samples) -> double
{
    const TimePoint start = BootClock::now();
    const auto response = fetch(client, head, "");
    const double took = std::chrono::duration<double, std::micro>(BootClock::now() - start).count();
    if (!response || response.value().status != 200) {
        ++samples.failed;
        LOG_IF(WARNING, samples.failed == 1) << "first failure: " << (response ? response.value().body : response.error().message);
        return -1;
    }
    return took;
}

struct Bench {
    FiberRuntime runtime;
    Samples direct;
    Samples through;
    std::vector<double> added;
    int started = 0;
};

/// Runs one caller, which sends each request both directly and through the node. The order alternates, so that neither
/// path always runs first.
void runCaller(Bench &bench, HttpClient &node, HttpClient &target)
{
    RequestHead head;
    head.method = "GET";
    head.path = absl::GetFlag(FLAGS_path);
    head.timeLeft = seconds(10);
    RequestHead keyed = head;
    keyed.headers = {{"Authorization", "Bearer " + absl::GetFlag(FLAGS_key)}};
    const bool isPaired = absl::GetFlag(FLAGS_target_port) != 0;
    const int total = absl::GetFlag(FLAGS_requests) + absl::GetFlag(FLAGS_warmup);
    while (bench.started < total) {
        const bool isMeasured = bench.started++ >= absl::GetFlag(FLAGS_warmup);
        double direct = 0;
        double through = 0;
        if (isPaired && bench.started % 2 == 0) {
            direct = timeCall(target, head, bench.direct);
        }
        through = timeCall(node, keyed, bench.through);
        if (isPaired && bench.started % 2 != 0) {
            direct = timeCall(target, head, bench.direct);
        }
        if (isMeasured && direct >= 0 && through >= 0) {
            bench.direct.values.push_back(direct);
            bench.through.values.push_back(through);
            bench.added.push_back(through - direct);
        }
        if (absl::GetFlag(FLAGS_pause_us) > 0) {
            bench.runtime.sleepFor(microseconds(absl::GetFlag(FLAGS_pause_us)));
        }
    }
}

void printRow(const char *name, const std::vector<double> &values)
{
    std::printf("| %s | %zu | %.1f | %.1f | %.1f |\n", name, values.size(), quantile(values, 0.5), quantile(values, 0.9), quantile(values, 0.99));
}

} // namespace
} // namespace snipestream

auto main(int argc, char **argv) -> int
{
    using namespace snipestream;
    absl::SetProgramUsageMessage("Measures the latency that the path over two nodes adds to a direct call.");
    absl::ParseCommandLine(argc, argv);
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(argv[0]);
    Bench bench;
    const auto connections = static_cast<size_t>(absl::GetFlag(FLAGS_concurrency));
    const auto options = [&](int port) {
        return HttpClientOptions{{"127.0.0.1", static_cast<uint16_t>(port)}, connections};
    };
    HttpClient node(bench.runtime, options(absl::GetFlag(FLAGS_node_port)));
    HttpClient target(bench.runtime, options(absl::GetFlag(FLAGS_target_port)));
    const TimePoint start = BootClock::now();
    for (int i = 0; i < absl::GetFlag(FLAGS_concurrency); ++i) {
        bench.runtime.spawn([&] {
            runCaller(bench, node, target);
        });
    }
    bench.runtime.stop();
    bench.runtime.run();
    const double took = std::chrono::duration<double>(BootClock::now() - start).count();
    std::printf("| call | samples | 50th (us) | 90th (us) | 99th (us) |\n| --- | --- | --- | --- | --- |\n");
    printRow("direct", bench.direct.values);
    printRow("through two nodes", bench.through.values);
    printRow("added, paired", bench.added);
    std::printf("\nfailed: direct %d, through %d; %.0f calls/s through the nodes\n", bench.direct.failed, bench.through.failed,
                static_cast<double>(bench.through.values.size()) / took);
    return bench.through.failed == 0 && bench.direct.failed == 0 ? 0 : 1;
}
