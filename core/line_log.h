#pragma once

#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace snipestream
{

/// How much a line is worth when there are too many.
enum class LineImportance {
    /// Kept first: refusals, failures, changes of state.
    High,
    /// Left out first: requests that went well.
    Low,
};

/// Lines for a file descriptor that never wait for its reader. Bytes a second and bytes waiting are bounded; lines beyond
/// are left out and counted.
struct LineLog {
    int descriptor = 1;
    /// Bytes a second for lines of high importance; those of low importance get a quarter of it.
    size_t bytesPerSecond = 65536;
    /// Bytes that wait for the reader at most.
    size_t mostWaiting = 262144;

    std::string waiting;
    double allowance = 65536;
    double lowAllowance = 16384;
    TimePoint refilledAt;
    uint64_t leftOut = 0;
    uint64_t leftOutReported = 0;
};

/// Makes the descriptor of the log non-blocking.
void openLineLog(LineLog &log);

/// Returns whether a line of low importance would be left out at present, so that it need not be formatted. Counts it then.
auto shouldDropLowImportance(LineLog &log, TimePoint now) -> bool;

/// Adds a line, unless the bounds leave it out.
void addLine(LineLog &log, const std::string &line, LineImportance importance, TimePoint now);

/// Writes what waits, as far as the reader takes it, and notes how many lines were left out since the last note.
void flushLines(LineLog &log);

} // namespace snipestream
