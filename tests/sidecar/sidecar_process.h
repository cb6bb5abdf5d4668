#pragma once

#include "core/ids.h"

#include "tests/sidecar/fleet.h"
#include "tests/support/child_process.h"

#include <cstdint>
#include <cstdlib>
#include <exception>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <string>

#include <cppunit/TestAssert.h>
#include <nlohmann/json.hpp>

namespace snipestream::testing
{

/// Where a SidecarProcess runs, and its limits.
struct SidecarProcessOptions {
    /// Loopback address of all its ports, which are those of fleet.h.
    std::string address;
    Endpoint store;
    uint64_t memoryMb = 260;
    uint64_t maxDescriptors = 4100;
    std::string node = "node2";
};

/// A node of the service `catalogue` in a process of its own.
class SidecarProcess
{
public:
    explicit SidecarProcess(const SidecarProcessOptions &options)
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "snipestream-XXXXXX").string();
        CPPUNIT_ASSERT(mkdtemp(pattern.data()) != nullptr);
        directory_ = pattern;
        const auto endpoint = [&options](uint16_t port) {
            return options.address + ":" + std::to_string(port);
        };
        std::ofstream(directory_ + "/settings.json") << nlohmann::json{
            {"node", options.node},
            {"domain", "east"},
            {"address", options.address},
            {"service", "catalogue"},
            {"target", endpoint(kAppPort)},
            {"callerListen", endpoint(kCallerPort)},
            {"peerListen", endpoint(kPeerPort)},
            {"readyListen", endpoint(kReadyPort)},
            {"targetListen", endpoint(kTargetPort)},
            {"store", toString(options.store)},
            {"reportPort", kReportPort},
            {"metricsPort", 0},
            {"memoryMb", options.memoryMb},
            {"maxDescriptors", options.maxDescriptors}}.dump();
        ChildOptions child;
        child.arguments = {(buildDirectory() / "snipestreamd").string(), "sidecar"};
        child.output = directory_ + "/node.log";
        child.variable = {"SNIPESTREAM_CONFIG", directory_ + "/settings.json"};
        child.maxDescriptors = options.maxDescriptors;
        pid_ = startChild(child);
    }

    ~SidecarProcess()
    {
        killProcess(pid_);
        std::error_code ignored;
        std::filesystem::remove_all(directory_, ignored);
    }

    SidecarProcess(const SidecarProcess &) = delete;
    auto operator=(const SidecarProcess &) -> SidecarProcess & = delete;

    /// Ends the process without a planned stop.
    void kill()
    {
        killProcess(pid_);
    }

    [[nodiscard]] auto pid() const -> pid_t
    {
        return pid_;
    }

private:
    std::string directory_;
    pid_t pid_ = 0;
};

/// Runs the body with a node of the type, which has its process and its stand-ins as members, and ends it afterwards, also if a check
/// fails.
template<typename Node>
void runWithNode(const std::function<void(Node &)> &body)
{
    /// Longer than any handler of a stand-in runs.
    constexpr Duration kMaxEndTime = seconds(15);
    std::exception_ptr failed;
    FiberRuntime runtime;
    runtime.runToEnd([&] {
        std::unique_ptr<Node> node;
        try {
            node = std::make_unique<Node>(runtime);
            body(*node);
        } catch (...) {
            failed = std::current_exception();
        }
        if (node) {
            node->process.kill();
        }
        // Handlers that still run use the stand-ins. This fiber is the last one.
        const TimePoint end = BootClock::now() + kMaxEndTime;
        while (runtime.fiberCount() > 1 && BootClock::now() < end) {
            runtime.sleepFor(milliseconds(20));
        }
    });
    if (failed) {
        std::rethrow_exception(failed);
    }
}

} // namespace snipestream::testing
