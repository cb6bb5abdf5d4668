#include "net/fiber_event.h"
#include "net/fiber_runtime.h"
#include "peer/peer_network.h"

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <fstream>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/post.hpp>
#include <glog/logging.h>

namespace snipestream
{

namespace
{

constexpr size_t kChunkBytes = 64U << 10U;

auto threadCpu() -> Duration
{
    timespec value{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &value);
    return seconds(value.tv_sec) + Duration(value.tv_nsec);
}

auto residentKb() -> long
{
    long total = 0;
    long resident = 0;
    std::ifstream("/proc/self/statm") >> total >> resident;
    return resident * 4;
}

auto benchOptions(const std::string &node) -> PeerOptions
{
    PeerOptions options;
    options.listen = {"0.0.0.0", 0};
    options.self = {NodeName(node), 1, DomainName("caerdydd")};
    options.fleetSecret = "fleet secret of the benchmark";
    return options;
}

/// Returns a head as an entry node sends it, with the headers of a typical JSON request.
auto benchHead() -> RequestHead
{
    RequestHead head;
    head.id = {0x1234567890ABCDEF, 0xFEDCBA0987654321};
    head.method = "POST";
    head.path = "/v1/chairs/17/reservations?day=2026-12-04";
    head.headers = {{"Host", "stock.example"},       {"User-Agent", "studio-client/2.1"},
                    {"Accept", "application/json"},  {"Content-Type", "application/json"},
                    {"Accept-Encoding", "identity"}, {"Traceparent", "00-4bf92f3577b34da6a3ce929d0e0e4736-1-01"},
                    {"Idempotency-Key", "b6f3c1"},   {"Content-Length", "200"}};
    head.bodyLength = 200;
    head.route = RouteName("reserve-chair");
    head.service = ServiceName("diary");
    head.team = TeamName("studio-abertawe");
    head.timeLeft = milliseconds(800);
    head.attemptsLeft = 3;
    return head;
}

/// A peer network that answers calls and streams on its own thread.
class ServerThread
{
public:
    ServerThread()
    {
        std::promise<uint16_t> port;
        auto ready = port.get_future();
        thread_ = std::thread([this, &port] {
            serve(port);
        });
        endpoint = {"127.0.0.1", ready.get()};
    }

    ~ServerThread()
    {
        boost::asio::post(runtime_->context(), [this] {
            stopped_->notify();
        });
        thread_.join();
    }
    ServerThread(const ServerThread &) = delete;
    auto operator=(const ServerThread &) -> ServerThread & = delete;

    /// Returns the processor time that the server thread has used so far.
    auto cpu() -> Duration
    {
        std::promise<Duration> value;
        boost::asio::post(runtime_->context(), [&value] {
            value.set_value(threadCpu());
        });
        return value.get_future().get();
    }

    Endpoint endpoint;

private:
    void serve(std::promise<uint16_t> &port)
    {
        FiberRuntime runtime;
        runtime_ = &runtime;
        FiberEvent stopped;
        stopped_ = &stopped;
        MetricsRegistry metrics;
        PeerNetwork network(runtime, benchOptions("server"), metrics);
        network.onCall("echo", [](const PeerIdentity &, const nlohmann::json &payload) -> Result<nlohmann::json> {
            return payload;
        });
        network.onStream([](Exchange &exchange) {
            if (exchange.head.path == "/download") {
                download(exchange);
                return;
            }
            while (true) {
                const auto chunk = exchange.requestBody.read();
                if (!chunk) {
                    return;
                }
                if (chunk.value().last) {
                    break;
                }
            }
            ResponseHead head;
            head.headers = {{"Content-Type", "application/json"}, {"Content-Length", "200"}};
            head.bodyLength = 200;
            head.sheddingLevel = 3;
            static_cast<void>(exchange.respond(head));
            static_cast<void>(exchange.responseBody.write(std::string(200, 'r')));
            static_cast<void>(exchange.responseBody.finish());
        });
        runtime.runToEnd([&] {
            port.set_value(network.listen().value());
            stopped.wait();
            network.shutdown();
        });
    }

    static void download(const Exchange &exchange)
    {
        static_cast<void>(exchange.respond({}));
        for (size_t sent = 0; sent < *exchange.head.bodyLength; sent += kChunkBytes) {
            if (!exchange.responseBody.write(std::string(kChunkBytes, 'd'))) {
                return;
            }
        }
        static_cast<void>(exchange.responseBody.finish());
    }

    FiberRuntime *runtime_ = nullptr;
    FiberEvent *stopped_ = nullptr;
    std::thread thread_;
};

struct Client {
    Client()
        : network(runtime, benchOptions("client"), metrics)
    {
    }

    FiberRuntime runtime;
    MetricsRegistry metrics;
    PeerNetwork network;
};

auto smallCall(Client &client, const Endpoint &server) -> bool
{
    static const nlohmann::json payload = {{"team", "studio-abertawe"}, {"amount", 1000000}, {"epoch", 12}};
    return client.network.call(server, "echo", payload).has_value();
}

auto smallStream(Client &client, const Endpoint &server) -> bool
{
    static const RequestHead head = benchHead();
    const auto opened = client.network.openStream(server, head);
    if (!opened) {
        return false;
    }
    const OutboundCall &call = opened.value();
    static_cast<void>(call.requestBody.write(std::string(200, 'q')));
    static_cast<void>(call.requestBody.finish());
    if (!call.awaitHead()) {
        return false;
    }
    while (true) {
        const auto chunk = call.responseBody.read();
        if (!chunk || chunk.value().last) {
            return chunk.has_value();
        }
    }
}

using Operation = bool (*)(Client &, const Endpoint &);

/// Runs the operation `count` times in total on `fibers` concurrent fibers and prints a table row.
void measure(const char *name, Operation operation, int fibers, int count)
{
    ServerThread server;
    Client client;
    std::vector<double> micros;
    micros.reserve(count);
    int failed = 0;
    Duration elapsed{};
    Duration clientCpu{};
    Duration serverCpu{};
    client.runtime.runToEnd([&] {
        for (int i = 0; i < 200; ++i) {
            operation(client, server.endpoint);
        }
        const Duration serverStart = server.cpu();
        const Duration clientStart = threadCpu();
        const TimePoint start = BootClock::now();
        FiberEvent done;
        int running = fibers;
        for (int i = 0; i < fibers; ++i) {
            client.runtime.spawn([&] {
                for (int j = 0; j < count / fibers; ++j) {
                    const TimePoint began = BootClock::now();
                    failed += operation(client, server.endpoint) ? 0 : 1;
                    micros.push_back(std::chrono::duration<double, std::micro>(BootClock::now() - began).count());
                }
                if (--running == 0) {
                    done.notify();
                }
            });
        }
        done.wait();
        elapsed = BootClock::now() - start;
        clientCpu = threadCpu() - clientStart;
        serverCpu = server.cpu() - serverStart;
        client.network.shutdown();
    });
    std::sort(micros.begin(), micros.end());
    const auto n = static_cast<double>(micros.size());
    const auto each = [n](Duration duration) {
        return std::chrono::duration<double, std::micro>(duration).count() / n;
    };
    std::printf("| %s | %d | %.0f | %.0f | %.0f | %.1f | %.1f | %d |\n", name, fibers, 1e6 / each(elapsed), micros[micros.size() / 2],
                micros[micros.size() * 99 / 100], each(clientCpu), each(serverCpu), failed);
}

void measureBody(bool isUpload)
{
    constexpr size_t kBytes = 512U << 20U;
    ServerThread server;
    Client client;
    client.runtime.runToEnd([&] {
        RequestHead head = benchHead();
        head.path = isUpload ? "/upload" : "/download";
        head.bodyLength = kBytes;
        const Duration serverStart = server.cpu();
        const Duration clientStart = threadCpu();
        const TimePoint start = BootClock::now();
        size_t bytes = 0;
        {
            const auto call = client.network.openStream(server.endpoint, head).value();
            for (; isUpload && bytes < kBytes; bytes += kChunkBytes) {
                static_cast<void>(call.requestBody.write(std::string(kChunkBytes, 'u')));
            }
            static_cast<void>(call.requestBody.finish());
            static_cast<void>(call.awaitHead());
            while (true) {
                const auto chunk = call.responseBody.read();
                if (!chunk || chunk.value().last) {
                    break;
                }
                bytes += isUpload ? 0 : chunk.value().bytes.size();
            }
        }
        const std::chrono::duration<double> elapsed = BootClock::now() - start;
        const std::chrono::duration<double> clientCpu = threadCpu() - clientStart;
        const std::chrono::duration<double> serverCpu = server.cpu() - serverStart;
        const double megabytes = static_cast<double>(bytes) / 1e6;
        std::printf("| %s | %.0f | %.0f | %.2f | %.2f |\n", isUpload ? "request" : "response", megabytes, megabytes / elapsed.count(),
                    clientCpu.count() * 1e3 / megabytes, serverCpu.count() * 1e3 / megabytes);
        client.network.shutdown();
    });
}

/// Measures the memory and processor time of idle links. Both ends of every link are in this process, so the memory per
/// end is half of the measured growth. Each link connects to a different loopback address, which the client treats as a
/// different node.
void measureIdleLinks()
{
    ServerThread server;
    Client client;
    client.runtime.runToEnd([&] {
        smallCall(client, server.endpoint);
        size_t links = 0;
        for (const size_t goal : {10U, 100U, 400U}) {
            const long before = residentKb();
            const size_t added = goal - links;
            for (; links < goal; ++links) {
                const std::string address = "127.0." + std::to_string(1 + links / 200) + "." + std::to_string(1 + links % 200);
                smallCall(client, {address, server.endpoint.port});
            }
            const Duration serverStart = server.cpu();
            const TimePoint start = BootClock::now();
            client.runtime.sleepFor(seconds(3));
            const std::chrono::duration<double> cpu = server.cpu() - serverStart;
            const std::chrono::duration<double> elapsed = BootClock::now() - start;
            std::printf("| %zu | %.1f | %.2f |\n", client.network.linkCount() - 1, static_cast<double>(residentKb() - before) / static_cast<double>(added) / 2,
                        cpu.count() / elapsed.count() * 100);
        }
        client.network.shutdown();
    });
}

} // namespace

} // namespace snipestream

/// Measures links over loopback between two threads and prints the tables of docs/peer-protocol.md. The
/// argument small, large or idle prints only that table.
auto main(int argc, char **argv) -> int
{
    google::InitGoogleLogging(argv[0]);
    FLAGS_minloglevel = google::GLOG_ERROR;
    const std::string only = argc > 1 ? argv[1] : "";
    if (only.empty() || only == "small") {
        std::printf(
            "| operation | fibers | per second | median us | 99th us | client cpu us | server cpu us | failed |\n"
            "| --- | --- | --- | --- | --- | --- | --- | --- |\n");
        snipestream::measure("call", snipestream::smallCall, 1, 20000);
        snipestream::measure("call", snipestream::smallCall, 50, 100000);
        snipestream::measure("stream, 200 byte bodies", snipestream::smallStream, 1, 20000);
        snipestream::measure("stream, 200 byte bodies", snipestream::smallStream, 50, 100000);
    }
    if (only.empty() || only == "large") {
        std::printf(
            "\n| large body | MB | MB/s | client cpu ms/MB | server cpu ms/MB |\n"
            "| --- | --- | --- | --- | --- |\n");
        snipestream::measureBody(true);
        snipestream::measureBody(false);
    }
    if (only.empty() || only == "idle") {
        std::printf("\n| idle links | resident KB per link end | server cpu %% |\n| --- | --- | --- |\n");
        snipestream::measureIdleLinks();
    }
    return 0;
}
