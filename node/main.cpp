#include "config/settings.h"
#include "core/events.h"
#include "net/fiber_runtime.h"
#include "node/node.h"
#include "sidecar/sidecar.h"

#include <csignal>
#include <cstdlib>
#include <iostream>

#include <malloc.h>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <boost/asio/signal_set.hpp>
#include <glog/logging.h>

ABSL_FLAG(std::string, settings, "", "Path of the settings file (JSON); required");
ABSL_FLAG(bool, check, false, "Only check the settings file");

namespace
{

constexpr int kExitInvalidSettings = 2;
constexpr int kExitUnavailable = 3;
constexpr int kExitRequestsCut = 4;
/// Larger blocks are mapped outside the heap. The threshold exceeds every frame between nodes.
constexpr int kMmapThresholdBytes = 512 * 1024;
/// The same for the node on the platform's VMs, which holds whole bodies. Reserved but unused parts of mapped blocks take no memory.
constexpr int kSidecarMmapThresholdBytes = 64 * 1024;
constexpr int kTrimThresholdBytes = 1024 * 1024;

void stopOnSignal(boost::asio::signal_set &signals, snipestream::Node &node)
{
    signals.async_wait([&signals, &node](const boost::system::error_code &error, int) {
        if (error) {
            return;
        }
        node.requestStop();
        stopOnSignal(signals, node);
    });
}

} // namespace

auto main(int argc, char **argv) -> int
{
    absl::SetProgramUsageMessage(
        "snipestreamd: overload control beside the targets of one VM.\n"
        "Usage: snipestreamd --settings=FILE\n"
        "       snipestreamd sidecar [--settings=FILE]   on the platform's VMs; the file defaults to $SNIPESTREAM_CONFIG\n"
        "SIGTERM starts a graceful shutdown; a second one cuts what is still running.\n"
        "Exit codes: 0 stopped, 2 settings, 3 an address cannot be bound, 4 requests were cut.");
    absl::FlagsUsageConfig usage;
    usage.version_string = [] {
        return std::string("snipestreamd ") + SNIPESTREAM_VERSION + "\n";
    };
    absl::SetFlagsUsageConfig(usage);
    const auto arguments = absl::ParseCommandLine(argc, argv);
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(argv[0]);
    // Log pages and snapshots are by far the largest allocations of a node. By default the C library raises its mmap
    // threshold after the first such block is freed and then puts the next ones on the heap, which cannot shrink
    // below them.
    mallopt(M_MMAP_THRESHOLD, kMmapThresholdBytes);
    mallopt(M_TRIM_THRESHOLD, kTrimThresholdBytes);
    std::signal(SIGPIPE, SIG_IGN);

    if (arguments.size() > 1 && std::string(arguments[1]) == "sidecar") {
        mallopt(M_MMAP_THRESHOLD, kSidecarMmapThresholdBytes);
        const std::string file = absl::GetFlag(FLAGS_settings);
        const char *const platformSettingsPath = std::getenv("SNIPESTREAM_CONFIG");
        return snipestream::runSidecar(file.empty() && platformSettingsPath != nullptr ? platformSettingsPath : file);
    }
    auto settings = snipestream::loadSettings(absl::GetFlag(FLAGS_settings));
    if (!settings) {
        snipestream::logEvent(snipestream::EventId::SettingsInvalid, {{"file", absl::GetFlag(FLAGS_settings)}});
        std::cerr << settings.error().message << "\n";
        return kExitInvalidSettings;
    }
    if (absl::GetFlag(FLAGS_check)) {
        std::cout << absl::GetFlag(FLAGS_settings) << " is valid\n";
        return EXIT_SUCCESS;
    }
    snipestream::FiberRuntime runtime;
    snipestream::Node node(runtime, std::move(settings).value());
    if (const auto started = node.start(); !started) {
        std::cerr << started.error().message << "\n";
        return kExitUnavailable;
    }
    boost::asio::signal_set signals(runtime.context(), SIGTERM, SIGINT);
    stopOnSignal(signals, node);
    runtime.run();
    google::FlushLogFiles(google::INFO);
    // Fibers of interrupted requests may still refer to the node, so the process exits without unwinding them.
    std::_Exit(node.cutRequests() == 0 ? EXIT_SUCCESS : kExitRequestsCut);
}
