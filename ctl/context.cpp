#include "ctl/context.h"

#include <algorithm>
#include <array>
#include <ctime>

namespace snipestream
{

namespace
{

auto isOutage(ErrorCode code) -> bool
{
    return code == ErrorCode::Unavailable || code == ErrorCode::Timeout || code == ErrorCode::Closed || code == ErrorCode::Cancelled
        || code == ErrorCode::ProtocolViolation || code == ErrorCode::Expired;
}

} // namespace

auto failedReport(ExitCode exit, const std::string &message) -> CtlReport
{
    CtlReport report;
    report.exit = exit;
    report.document = {{"error", message}};
    report.text = "error: " + message + "\n";
    return report;
}

auto failedReport(const Error &error) -> CtlReport
{
    CtlReport report = failedReport(isOutage(error.code) ? ExitCode::Unavailable : ExitCode::Refused, error.message);
    report.document["code"] = errorCodeName(error.code);
    return report;
}

auto formatTable(const std::vector<std::vector<std::string>> &rows) -> std::string
{
    std::vector<size_t> widths;
    for (const auto &row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (size_t i = 0; i < row.size(); ++i) {
            widths[i] = std::max(widths[i], row[i].size());
        }
    }
    std::string text;
    for (const auto &row : rows) {
        for (size_t i = 0; i < row.size(); ++i) {
            text.append(row[i]);
            // The last column is not padded, so that lines have no trailing spaces.
            if (i + 1 < row.size()) {
                text.append(widths[i] - row[i].size() + 2, ' ');
            }
        }
        text.append("\n");
    }
    return text;
}

auto formatUtc(int64_t wallMs) -> std::string
{
    const time_t whole = wallMs / 1000;
    tm parts{};
    gmtime_r(&whole, &parts);
    std::array<char, 32> text{};
    const size_t length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
    return std::string(text.data(), length);
}

} // namespace snipestream
