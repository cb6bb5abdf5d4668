#include "core/tick_monitor.h"

#include <algorithm>
#include <ctime>
#include <utility>

namespace snipestream
{

namespace
{

auto readClock(clockid_t clock) -> Duration
{
    timespec time{};
    clock_gettime(clock, &time);
    return seconds(time.tv_sec) + Duration(time.tv_nsec);
}

} // namespace

auto readProcessTimes() -> ProcessTimes
{
    return {BootClock::now(), readClock(CLOCK_MONOTONIC), readClock(CLOCK_PROCESS_CPUTIME_ID)};
}

void expectTick(TickMonitor &monitor, TimePoint dueAt)
{
    monitor.dueAt = dueAt;
}

auto noteTick(TickMonitor &monitor, const ProcessTimes &times) -> std::optional<TickDelay>
{
    const ProcessTimes previous = std::exchange(monitor.previous, times);
    const Duration late = overdueTime(monitor, times.now);
    if (late > monitor.longest.late) {
        const Duration suspended = times.now - previous.now - (times.awake - previous.awake);
        monitor.longest = {late, times.processor - previous.processor, suspended};
    }
    const bool isReportDue = !monitor.reportedAt || times.now - *monitor.reportedAt >= monitor.reportInterval;
    if (monitor.longest.late < monitor.minDelay || !isReportDue) {
        return std::nullopt;
    }
    monitor.reportedAt = times.now;
    return std::exchange(monitor.longest, {});
}

auto overdueTime(const TickMonitor &monitor, TimePoint now) -> Duration
{
    return monitor.dueAt ? std::max(now - *monitor.dueAt, Duration::zero()) : Duration::zero();
}

} // namespace snipestream
