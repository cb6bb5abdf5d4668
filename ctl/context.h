#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "platform/http_transport.h"
#include "platform/log_client.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace snipestream
{

/// Exit codes of snipestreamctl, as documented in docs/OPERATIONS.md.
enum class ExitCode : int {
    Ok = 0,
    /// Refused, lost against another change, or invalid input.
    Refused = 1,
    /// Wrong command, flag or number of arguments.
    Usage = 2,
    /// The log or a node did not answer in time.
    Unavailable = 3,
};

/// External dependencies of the commands. Tests pass fakes.
struct CtlContext {
    LogClient log;
    /// Creates the transport to the admin endpoint of a node.
    std::function<HttpTransport(const Endpoint &)> nodeTransport;
    std::vector<Endpoint> nodes;
    /// Monotonic time.
    std::function<TimePoint()> now;
    std::function<void(Duration)> sleep;
    std::function<int64_t()> wallMs;
    std::function<std::string()> newId;
    /// Prints one line of progress immediately.
    std::function<void(const std::string &)> progress;
};

/// Command line flags that commands use.
struct CtlOptions {
    std::string by;
    std::string reason;
    std::string changeId;
    /// Base revision; negative if not given.
    int64_t base = -1;
    bool wait = false;
    /// Maximum time to wait for the nodes with --wait.
    Duration waitTimeout = seconds(30);
    /// Timeout of one call to the log or a node.
    Duration callTimeout = seconds(2);
    /// Timeout of publishing a change, including retries.
    Duration publishTimeout = seconds(30);
};

/// Result of a command: the same content as JSON and as text.
struct CtlReport {
    ExitCode exit = ExitCode::Ok;
    nlohmann::json document = nlohmann::json::object();
    std::string text;
};

/// Creates the report of a failed command.
auto failedReport(ExitCode exit, const std::string &message) -> CtlReport;

/// Creates the report of an error. The exit code is Unavailable if the log or a node could not be reached or gave an
/// invalid response, otherwise Refused.
auto failedReport(const Error &error) -> CtlReport;

/// Formats rows as a table with aligned columns. The first row is the heading.
auto formatTable(const std::vector<std::vector<std::string>> &rows) -> std::string;

/// Formats a wall clock time, in milliseconds, as "2026-12-04T05:30:00Z".
auto formatUtc(int64_t wallMs) -> std::string;

} // namespace snipestream
