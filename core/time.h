#pragma once

#include <chrono>
#include <cstdint>

namespace snipestream
{

/// All durations of the project, in nanoseconds.
using Duration = std::chrono::nanoseconds;

/// Clock that counts the time a VM was suspended (CLOCK_BOOTTIME), so that a lease holder that was suspended with its
/// VM sees its lease as expired when it resumes.
struct BootClock {
    using rep = Duration::rep;
    using period = Duration::period;
    using duration = Duration;
    using time_point = std::chrono::time_point<BootClock, Duration>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): the name std::chrono requires

    /// Returns the time since boot, suspended time included.
    static auto now() -> time_point;
};

/// A point in time on the local BootClock; time points of different VMs cannot be compared.
using TimePoint = BootClock::time_point;

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Returns the wall-clock time in milliseconds since the Unix epoch; only for display and for the audit trail.
auto wallClockMs() -> int64_t;

/// Returns the duration in whole milliseconds, rounded up, so that a positive delay never becomes zero.
auto toMsRoundedUp(Duration duration) -> int64_t;

} // namespace snipestream
