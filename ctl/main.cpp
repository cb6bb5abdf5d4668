#include "config/change.h"
#include "config/json_reader.h"
#include "config/settings.h"
#include "ctl/command_line.h"
#include "platform/blocking_transport.h"
#include "platform/http_log_client.h"

#include <algorithm>
#include <iostream>
#include <thread>

#include <absl/flags/flag.h>
#include <nlohmann/json.hpp>

ABSL_FLAG(std::string, log, "127.0.0.1:7400", "the platform's log");
ABSL_FLAG(std::string, nodes, "", "admin endpoints of nodes, separated by commas");
ABSL_FLAG(std::string, by, "", "who publishes");
ABSL_FLAG(std::string, reason, "", "why a key is wanted");
ABSL_FLAG(std::string, change_id, "", "id of an earlier publication to repeat");
ABSL_FLAG(std::string, output, "text", "text or json");
ABSL_FLAG(int64_t, base, -1, "revision the rules file was written against");
ABSL_FLAG(bool, wait, false, "wait until the nodes have the change in force");
ABSL_FLAG(uint32_t, wait_timeout_s, 30, "longest wait");
ABSL_FLAG(uint32_t, publish_timeout_s, 30, "longest time for publishing");
ABSL_FLAG(uint32_t, call_timeout_ms, 2000, "time for one call to the log or a node");

namespace
{

using namespace snipestream;

auto usageError(const std::string &message) -> int
{
    std::cerr << "error: " << message << "; see snipestreamctl --help\n";
    return static_cast<int>(ExitCode::Usage);
}

auto makeContext(const Endpoint &log, const std::vector<Endpoint> &nodes, Duration callTimeout) -> CtlContext
{
    CtlContext context;
    context.log = makeHttpLogClient(makeBlockingTransport(log), callTimeout);
    context.nodeTransport = makeBlockingTransport;
    context.nodes = nodes;
    context.now = BootClock::now;
    context.sleep = [](Duration duration) {
        std::this_thread::sleep_for(duration);
    };
    context.wallMs = wallClockMs;
    context.newId = newChangeId;
    // Progress goes to standard error, so that standard output stays a single document.
    context.progress = [](const std::string &line) {
        std::cerr << line << std::endl;
    };
    return context;
}

auto readOptions() -> CtlOptions
{
    CtlOptions options;
    options.by = absl::GetFlag(FLAGS_by);
    options.reason = absl::GetFlag(FLAGS_reason);
    options.changeId = absl::GetFlag(FLAGS_change_id);
    options.base = absl::GetFlag(FLAGS_base);
    options.wait = absl::GetFlag(FLAGS_wait);
    options.waitTimeout = seconds(absl::GetFlag(FLAGS_wait_timeout_s));
    options.publishTimeout = seconds(absl::GetFlag(FLAGS_publish_timeout_s));
    options.callTimeout = milliseconds(std::max<uint32_t>(absl::GetFlag(FLAGS_call_timeout_ms), 1));
    return options;
}

} // namespace

/// The operator tool. Results go to standard output, progress and errors to standard error.
auto main(int argc, char **argv) -> int
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    const auto hasFlag = [&arguments](const char *flag) {
        return std::find(arguments.begin(), arguments.end(), flag) != arguments.end();
    };
    if (hasFlag("--help")) {
        std::cout << usageText();
        return static_cast<int>(ExitCode::Ok);
    }
    if (hasFlag("--version")) {
        std::cout << "snipestreamctl " << SNIPESTREAM_VERSION << "\n";
        return static_cast<int>(ExitCode::Ok);
    }
    const auto words = parseFlags(arguments);
    if (!words) {
        return usageError(words.error().message);
    }
    const auto log = parseEndpoint(absl::GetFlag(FLAGS_log));
    const auto nodes = parseEndpoints(absl::GetFlag(FLAGS_nodes));
    if (!log || !nodes) {
        return usageError(log ? "--nodes: " + nodes.error().message : "--log: " + log.error().message);
    }
    const std::string output = absl::GetFlag(FLAGS_output);
    if (output != "text" && output != "json") {
        return usageError("--output is text or json, not \"" + output + "\"");
    }
    const CtlOptions options = readOptions();
    const CtlReport report = runCommand(makeContext(log.value(), nodes.value(), options.callTimeout), options, words.value());
    if (output == "json") {
        std::cout << dumpJson(report.document) << "\n";
    } else {
        const bool isError = report.document.contains("error");
        (isError ? std::cerr : std::cout) << report.text;
    }
    return static_cast<int>(report.exit);
}
