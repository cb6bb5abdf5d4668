#pragma once

#include "core/time.h"

#include <array>
#include <cstdint>

namespace snipestream
{

/// Constants of the retry ratio.
struct RetryRatioSettings {
    /// Maximum number of retries per first attempt over the last ten seconds.
    double ratio = 0.1;
    /// Retries per ten seconds that are always allowed. Without them, a node with little traffic could never retry. The load
    /// of these few retries is negligible.
    int minRetries = 3;
};

/// Counts of first attempts and retries of this node in each of the last ten seconds.
struct RetryRatio {
    struct Second {
        /// Seconds since the epoch of the clock; -1 if there are no counts.
        int64_t number = -1;
        uint32_t firstAttempts = 0;
        uint32_t retries = 0;
    };
    RetryRatioSettings settings;
    std::array<Second, 10> seconds{};
};

void countFirstAttempt(RetryRatio &ratio, TimePoint now);

/// Returns whether another retry stays within the ratio or the number that is always allowed.
auto allowsRetry(const RetryRatio &ratio, TimePoint now) -> bool;

void countRetry(RetryRatio &ratio, TimePoint now);

} // namespace snipestream
