#pragma once

#include "core/time.h"

#include <array>
#include <cstdint>

namespace snipestream
{

/// Constants of the retry ratio.
struct RetryRatioSettings {
    /// Retries per first attempt over the last ten seconds.
    double ratio = 0.1;
    /// Retries per ten seconds that are allowed in any case. A node with little traffic could otherwise never retry;
    /// the load of these few is negligible.
    int leastRetries = 3;
};

/// Counts of first attempts and retries of this node in each of the last ten seconds.
struct RetryRatio {
    struct Second {
        int64_t number = -1;
        uint32_t firstAttempts = 0;
        uint32_t retries = 0;
    };
    RetryRatioSettings settings;
    std::array<Second, 10> seconds{};
};

/// Counts a first attempt.
void countFirstAttempt(RetryRatio &ratio, TimePoint now);

/// Returns whether a retry keeps the node within the ratio.
auto allowsRetry(const RetryRatio &ratio, TimePoint now) -> bool;

/// Counts a retry.
void countRetry(RetryRatio &ratio, TimePoint now);

} // namespace snipestream
