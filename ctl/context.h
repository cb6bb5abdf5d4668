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

/// What a command needs from outside. Tests pass fakes.
struct CtlContext {
    LogClient log;
    /// Makes the transport to the admin endpoint of a node.
    std::function<HttpTransport(const Endpoint &)> nodeTransport;
    std::vector<Endpoint> nodes;
    /// Monotonic time.
    std::function<TimePoint()> now;
    std::function<void(Duration)> sleep;
    std::function<int64_t()> wallMs;
    std::function<std::string()> newId;
    /// Shows one line of progress at once.
    std::function<void(const std::string &)> progress;
};

/// Flags of the command line that commands use.
struct CtlOptions {
    std::string by;
    std::string reason;
    std::string changeId;
    /// Base revision; negative if not given.
    int64_t base = -1;
    bool wait = false;
    Duration waitTimeout = seconds(30);
    /// Time for one call to the log or a node.
    Duration callTimeout = seconds(2);
    /// Time for publishing a change, repetitions included.
    Duration publishTimeout = seconds(30);
};

/// What a command found: the same content as JSON and as text.
struct CtlReport {
    ExitCode exit = ExitCode::Ok;
    nlohmann::json document = nlohmann::json::object();
    std::string text;
};

/// Makes the report of a failed command.
auto failedReport(ExitCode exit, const std::string &message) -> CtlReport;

/// Makes the report of an error value: Unavailable for errors of log and nodes, Refused for others.
auto failedReport(const Error &error) -> CtlReport;

/// Lays out rows in columns, the first row being the heading.
auto formatTable(const std::vector<std::vector<std::string>> &rows) -> std::string;

/// Returns a wall-clock time as "2026-12-04T05:30:00Z".
auto formatUtc(int64_t wallMs) -> std::string;

} // namespace snipestream
