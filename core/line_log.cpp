#include "core/line_log.h"

#include <algorithm>
#include <fcntl.h>
#include <unistd.h>

namespace snipestream
{

namespace
{

/// Part of the volume that lines of low importance may take.
constexpr double kLowPart = 0.25;

void refill(LineLog &log, TimePoint now)
{
    const double passed = log.refilledAt == TimePoint() ? 1.0 : std::chrono::duration<double>(now - log.refilledAt).count();
    log.refilledAt = now;
    const auto most = static_cast<double>(log.bytesPerSecond);
    log.allowance = std::min(most, log.allowance + passed * most);
    log.lowAllowance = std::min(most * kLowPart, log.lowAllowance + passed * most * kLowPart);
}

} // namespace

void openLineLog(LineLog &log)
{
    const int flags = ::fcntl(log.descriptor, F_GETFL);
    if (flags >= 0) {
        ::fcntl(log.descriptor, F_SETFL, flags | O_NONBLOCK);
    }
}

auto shouldDropLowImportance(LineLog &log, TimePoint now) -> bool
{
    /// Length of a usual line, in bytes.
    constexpr double kUsualLine = 200;
    refill(log, now);
    const bool leavesOut = log.lowAllowance < kUsualLine || log.allowance < kUsualLine;
    log.leftOut += leavesOut ? 1 : 0;
    return leavesOut;
}

void addLine(LineLog &log, const std::string &line, LineImportance importance, TimePoint now)
{
    refill(log, now);
    const auto size = static_cast<double>(line.size() + 1);
    const bool low = importance == LineImportance::Low;
    if (size > log.allowance || (low && size > log.lowAllowance) || log.waiting.size() + line.size() > log.mostWaiting) {
        ++log.leftOut;
        return;
    }
    log.allowance -= size;
    log.lowAllowance -= low ? size : 0;
    log.waiting.append(line).push_back('\n');
}

void flushLines(LineLog &log)
{
    if (log.leftOut > log.leftOutReported && log.waiting.size() < log.mostWaiting) {
        log.waiting.append("SNS1011 lines-left-out count=").append(std::to_string(log.leftOut - log.leftOutReported)).push_back('\n');
        log.leftOutReported = log.leftOut;
    }
    size_t written = 0;
    while (written < log.waiting.size()) {
        const ssize_t count = ::write(log.descriptor, log.waiting.data() + written, log.waiting.size() - written);
        if (count <= 0) {
            break;
        }
        written += static_cast<size_t>(count);
    }
    log.waiting.erase(0, written);
}

} // namespace snipestream
