#pragma once

#include "core/time.h"

#include <optional>

namespace snipestream
{

/// Times of this process, read together.
struct ProcessTimes {
    /// Time since boot, suspended time included.
    TimePoint now;
    /// Time since boot without the time for which the VM was suspended (CLOCK_MONOTONIC).
    Duration awake = Duration::zero();
    /// Processor time that the process has used.
    Duration processor = Duration::zero();
};

/// Reads the clocks of this process.
auto readProcessTimes() -> ProcessTimes;

/// Delay of a periodic timer. Without suspended time, a processor time near the delay means that the process was busy, and
/// a much shorter one that it got no processor time.
struct TickDelay {
    /// Time from when the timer was due until it ran.
    Duration late = Duration::zero();
    /// Processor time that the process used since the timer ran before.
    Duration processor = Duration::zero();
    /// Time for which the VM was suspended since the timer ran before.
    Duration suspended = Duration::zero();

    friend auto operator==(const TickDelay &a, const TickDelay &b) -> bool
    {
        return a.late == b.late && a.processor == b.processor && a.suspended == b.suspended;
    }
};

/// Finds the ticks of a periodic timer that run late.
struct TickMonitor {
    /// Shorter delays are not reported.
    Duration minDelay = milliseconds(100);
    /// Minimum time from one report to the next; each one gives the longest delay since the one before.
    Duration reportInterval = seconds(1);

    std::optional<TimePoint> dueAt;
    ProcessTimes previous;
    TickDelay longest;
    std::optional<TimePoint> reportedAt;
};

/// Notes when the next tick is due.
void expectTick(TickMonitor &monitor, TimePoint dueAt);

/// Notes that the timer runs. Returns a delay if one has to be reported.
auto noteTick(TickMonitor &monitor, const ProcessTimes &times) -> std::optional<TickDelay>;

/// Returns for how long the next tick is overdue, or zero.
auto overdueTime(const TickMonitor &monitor, TimePoint now) -> Duration;

} // namespace snipestream
