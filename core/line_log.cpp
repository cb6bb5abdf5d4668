#include "core/line_log.h"

#include <algorithm>
#include <fcntl.h>
#include <unistd.h>

namespace snipestream
{

namespace
{

/// Fraction of the log rate that lines of low importance may use.
constexpr double kLowImportanceFraction = 0.25;

void refill(LineLog &log, TimePoint now)
{
    const double elapsedSeconds = log.refilledAt == TimePoint() ? 1.0 : std::chrono::duration<double>(now - log.refilledAt).count();
    log.refilledAt = now;
    const auto bytesPerSecond = static_cast<double>(log.bytesPerSecond);
    log.allowance = std::min(bytesPerSecond, log.allowance + elapsedSeconds * bytesPerSecond);
    log.lowAllowance = std::min(bytesPerSecond * kLowImportanceFraction, log.lowAllowance + elapsedSeconds * bytesPerSecond * kLowImportanceFraction);
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
    /// Length of a typical line; the line itself is not formatted yet.
    constexpr double kTypicalLineBytes = 200;
    refill(log, now);
    const bool isDropped = log.lowAllowance < kTypicalLineBytes || log.allowance < kTypicalLineBytes;
    log.droppedLines += isDropped ? 1 : 0;
    return isDropped;
}

void addLine(LineLog &log, const std::string &line, LineImportance importance, TimePoint now)
{
    refill(log, now);
    const auto size = static_cast<double>(line.size() + 1);
    const bool low = importance == LineImportance::Low;
    if (size > log.allowance || (low && size > log.lowAllowance) || log.buffer.size() + line.size() > log.maxWaitingBytes) {
        ++log.droppedLines;
        return;
    }
    log.allowance -= size;
    log.lowAllowance -= low ? size : 0;
    log.buffer.append(line).push_back('\n');
}

void flushLines(LineLog &log)
{
    if (log.droppedLines > log.reportedDroppedLines && log.buffer.size() < log.maxWaitingBytes) {
        log.buffer.append("SNS1011 lines-left-out count=").append(std::to_string(log.droppedLines - log.reportedDroppedLines)).push_back('\n');
        log.reportedDroppedLines = log.droppedLines;
    }
    size_t written = 0;
    while (written < log.buffer.size()) {
        const ssize_t count = ::write(log.descriptor, log.buffer.data() + written, log.buffer.size() - written);
        if (count <= 0) {
            break;
        }
        written += static_cast<size_t>(count);
    }
    log.buffer.erase(0, written);
}

} // namespace snipestream
