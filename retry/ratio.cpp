#include "retry/ratio.h"

namespace snipestream
{

namespace
{

auto secondNumber(TimePoint now) -> int64_t
{
    return duration_cast<seconds>(now.time_since_epoch()).count();
}

auto currentSecond(RetryRatio &ratio, TimePoint now) -> RetryRatio::Second &
{
    const int64_t number = secondNumber(now);
    auto &second = ratio.seconds[static_cast<size_t>(number) % ratio.seconds.size()];
    if (second.number != number) {
        second = RetryRatio::Second{number, 0, 0};
    }
    return second;
}

} // namespace

void countFirstAttempt(RetryRatio &ratio, TimePoint now)
{
    ++currentSecond(ratio, now).firstAttempts;
}

auto allowsRetry(const RetryRatio &ratio, TimePoint now) -> bool
{
    const int64_t number = secondNumber(now);
    uint64_t first = 0;
    uint64_t retries = 0;
    for (const auto &second : ratio.seconds) {
        if (second.number >= 0 && number - second.number < static_cast<int64_t>(ratio.seconds.size())) {
            first += second.firstAttempts;
            retries += second.retries;
        }
    }
    const auto allowed = static_cast<double>(first) * ratio.settings.ratio;
    return static_cast<double>(retries + 1) <= allowed || retries < static_cast<uint64_t>(ratio.settings.minRetries);
}

void countRetry(RetryRatio &ratio, TimePoint now)
{
    ++currentSecond(ratio, now).retries;
}

} // namespace snipestream
