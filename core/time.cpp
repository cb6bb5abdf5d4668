#include "core/time.h"

#include <ctime>

namespace snipestream
{

auto BootClock::now() -> time_point
{
    timespec value{};
    clock_gettime(CLOCK_BOOTTIME, &value);
    return time_point(seconds(value.tv_sec) + Duration(value.tv_nsec));
}

auto wallClockMs() -> int64_t
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return duration_cast<milliseconds>(sinceEpoch).count();
}

auto toMsRoundedUp(Duration duration) -> int64_t
{
    return std::chrono::ceil<milliseconds>(duration).count();
}

} // namespace snipestream
