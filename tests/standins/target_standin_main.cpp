#include "core/events.h"
#include "http/http_client.h"
#include "http/http_server.h"
#include "net/fiber_event.h"

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <map>
#include <string>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <boost/asio/signal_set.hpp>
#include <glog/logging.h>
#include <nlohmann/json.hpp>

ABSL_FLAG(std::string, name, "target-1", "Name of the target");
ABSL_FLAG(std::string, service, "catalogue", "Service that the target belongs to");
ABSL_FLAG(int, port, 0, "Port to listen on; 0 takes a free one");
ABSL_FLAG(int, node_port, 0, "Port of the target side of the node on this VM");
ABSL_FLAG(int, slots, 150, "Requests that are worked on at once; further ones wait");
ABSL_FLAG(int, connections, 1000, "Connection limit that is announced");
ABSL_FLAG(int, service_ms, 5, "Time that one request takes, in milliseconds");
ABSL_FLAG(std::string, downstream, "", "Path that is called through the node for each request, such as /diary/today");

namespace snipestream
{
namespace
{

/// A stand-in for a target. Each request occupies a slot for a fixed time and may make a nested call. The target counts
/// runs by idempotency key and echoes the request in its response.
struct Target {
    FiberRuntime runtime;
    MetricsRegistry metrics;
    std::unique_ptr<HttpClient> node;
    int serviceMs = 0;
    int freeSlots = 0;
    bool draining = false;
    bool lateHealth = false;
    std::map<std::string, int> runs;
    uint64_t total = 0;
};

auto callNode(Target &target, const std::string &method, const std::string &path, const HeaderList &headers, const std::string &body) -> Result<HttpResponse>
{
    RequestHead head;
    head.method = method;
    head.path = path;
    head.headers = headers;
    head.timeLeft = seconds(5);
    return fetch(*target.node, head, body);
}

void work(Target &target)
{
    while (target.freeSlots == 0) {
        target.runtime.sleepFor(milliseconds(1));
    }
    --target.freeSlots;
    if (target.serviceMs > 0) {
        target.runtime.sleepFor(milliseconds(target.serviceMs));
    }
    ++target.freeSlots;
}

void serve(Target &target, Exchange &exchange)
{
    if (exchange.head.path == "/standin/runs") {
        static_cast<void>(respondWith(exchange, 200, "application/json", nlohmann::json{{"runs", target.runs}, {"total", target.total}}.dump()));
        return;
    }
    if (exchange.head.path.rfind("/standin/service-ms/", 0) == 0) {
        target.serviceMs = std::atoi(exchange.head.path.substr(20).c_str());
        static_cast<void>(respondWith(exchange, 200, "text/plain", "ok\n"));
        return;
    }
    uint64_t bytes = 0;
    // FNV-1a hashes byte by byte, so the result does not depend on how the body is split into chunks.
    uint64_t hash = 14695981039346656037ULL;
    while (true) {
        const auto chunk = exchange.requestBody.read();
        if (!chunk) {
            return;
        }
        bytes += chunk.value().bytes.size();
        for (const char byte : chunk.value().bytes) {
            hash = (hash ^ static_cast<unsigned char>(byte)) * 1099511628211ULL;
        }
        if (chunk.value().last) {
            break;
        }
    }
    ++target.total;
    const auto key = findHeader(exchange.head.headers, "Idempotency-Key");
    if (key) {
        ++target.runs[std::string(*key)];
    }
    work(target);
    nlohmann::json response = {{"target", absl::GetFlag(FLAGS_name)}, {"path", exchange.head.path}, {"bytes", bytes}, {"hash", hash}};
    for (const auto &[name, value] : exchange.head.headers) {
        response["headers"][name] = value;
    }
    const auto context = findHeader(exchange.head.headers, "Snipestream-Context");
    if (!absl::GetFlag(FLAGS_downstream).empty() && context) {
        const auto nested = callNode(target, "GET", absl::GetFlag(FLAGS_downstream), {{"Snipestream-Context", std::string(*context)}}, "");
        response["downstream"] = nested ? std::to_string(nested.value().status) : nested.error().message;
        if (!nested || nested.value().status >= 500) {
            static_cast<void>(respondWith(exchange, 502, "application/json", response.dump()));
            return;
        }
    }
    static_cast<void>(respondWith(exchange, 200, "application/json", response.dump() + "\n"));
}

void announceForever(Target &target, uint16_t port)
{
    const nlohmann::json announcement = {
        {"target", absl::GetFlag(FLAGS_name)},
        {"service", absl::GetFlag(FLAGS_service)},
        {"address", "127.0.0.1"},
        {"port", port},
        {"cold", true},
        {"instance", static_cast<uint64_t>(wallClockMs())},
        {"slots", absl::GetFlag(FLAGS_slots)},
        {"connections", absl::GetFlag(FLAGS_connections)},
    };
    while (!target.draining) {
        const auto response = callNode(target, "POST", "/snipestream/v1/targets", {{"Content-Type", "application/json"}}, announcement.dump());
        if (!response || response.value().status >= 300) {
            LOG(WARNING) << "announcement failed: " << (response ? response.value().body : response.error().message);
        }
        target.runtime.sleepFor(response ? seconds(1) : milliseconds(200));
    }
}

} // namespace
} // namespace snipestream

auto main(int argc, char **argv) -> int
{
    using namespace snipestream;
    absl::ParseCommandLine(argc, argv);
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(argv[0]);
    Target target;
    target.serviceMs = absl::GetFlag(FLAGS_service_ms);
    target.freeSlots = absl::GetFlag(FLAGS_slots);
    target.node = std::make_unique<HttpClient>(target.runtime, HttpClientOptions{{"127.0.0.1", static_cast<uint16_t>(absl::GetFlag(FLAGS_node_port))}, 1024});
    HttpServerOptions options;
    options.name = "target";
    options.listen = {"127.0.0.1", static_cast<uint16_t>(absl::GetFlag(FLAGS_port))};
    HttpServer server(target.runtime, options, target.metrics, [&target](Exchange &exchange) {
        serve(target, exchange);
    });
    const auto port = server.listen();
    if (!port) {
        std::cerr << port.error().message << "\n";
        return 1;
    }
    if (absl::GetFlag(FLAGS_node_port) != 0) {
        target.runtime.spawn([&] {
            announceForever(target, port.value());
        });
    }
    boost::asio::signal_set signals(target.runtime.context(), SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code &, int) {
        target.runtime.spawn([&] {
            target.draining = true;
            const std::string path = "/snipestream/v1/targets/" + absl::GetFlag(FLAGS_name);
            if (absl::GetFlag(FLAGS_node_port) != 0) {
                static_cast<void>(callNode(target, "POST", path + "/drain", {}, ""));
                // The drain reaches the other nodes within this time; until then they still send requests.
                target.runtime.sleepFor(seconds(2));
                static_cast<void>(callNode(target, "DELETE", path, {}, ""));
            }
            server.stopAccepting();
            while (server.activeRequestCount() > 0) {
                target.runtime.sleepFor(milliseconds(5));
            }
            server.closeAll();
            target.runtime.stop();
        });
    });
    target.runtime.run();
    return 0;
}
