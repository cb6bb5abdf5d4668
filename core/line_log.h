#pragma once

#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace snipestream
{

/// Importance of a line; decides which lines are dropped first when there are too many.
enum class LineImportance {
    /// Dropped last: refusals, failures and state changes.
    High,
    /// Dropped first: requests that succeeded.
    Low,
};

/// Buffers log lines for a file descriptor and never blocks on its reader. The bytes per second and the buffered bytes are
/// bounded; further lines are dropped and counted.
struct LineLog {
    int descriptor = 1;
    /// Maximum rate of all lines; lines of low importance may use a quarter of it.
    size_t bytesPerSecond = 65536;
    /// Maximum size of `buffer`.
    size_t maxWaitingBytes = 262144;

    /// Lines that wait for the reader.
    std::string buffer;
    /// Bytes that may be logged at present (token bucket).
    double allowance = 65536;
    /// Bytes of low importance that may be logged at present (token bucket).
    double lowAllowance = 16384;
    TimePoint refilledAt;
    uint64_t droppedLines = 0;
    uint64_t reportedDroppedLines = 0;
};

/// Makes the descriptor of the log non-blocking.
void openLineLog(LineLog &log);

/// Returns whether a line of low importance would be dropped at present, so that it need not be formatted. If so, counts
/// it as dropped.
auto shouldDropLowImportance(LineLog &log, TimePoint now) -> bool;

/// Adds a line, or drops it if it exceeds a bound.
void addLine(LineLog &log, const std::string &line, LineImportance importance, TimePoint now);

/// Writes the buffered lines until the descriptor would block. If lines were dropped since the last call, appends an event
/// lines-left-out with their number first.
void flushLines(LineLog &log);

} // namespace snipestream
