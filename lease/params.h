#pragma once

#include "core/time.h"

namespace snipestream
{

/// Parameters of the lease protocol. Tests set incorrect values to show that their oracle detects them.
struct LeaseParams {
    /// F: how long the confirmation of a witness is valid, counted from the moment the holder sent the ping.
    Duration confirmationLifetime = seconds(2);
    /// W: how long a witness waits after its last confirmation of one holder before it confirms (vouches for) another.
    /// W/F = 1.5 is more than the rates of two clocks can differ.
    Duration vouchDelay = seconds(3);
    /// How long a restarted witness confirms no holder, because it may have confirmed one just before the restart.
    Duration restartDelay = seconds(3);
    /// Fault for tests: counts the age of a confirmation from the receipt of the response, so that a delayed response
    /// extends the lease.
    bool ageFromReceipt = false;

    /// How often a holder pings each of its witnesses.
    Duration pingInterval = milliseconds(500);
    /// A holder is replaced after it has been missing for `takeoverAfter`. The candidate of rank k waits k x
    /// `candidateDelay` longer, so that usually only one of them appends a record.
    Duration takeoverAfter = seconds(3);
    Duration candidateDelay = seconds(1);
    /// A record that has not appeared on the log is appended again after this time.
    Duration appendRetryInterval = seconds(2);
    /// A witness that has not responded for this long is replaced.
    Duration replaceWitnessAfter = seconds(10);
    /// How long after the start of its epoch a valid holder drops the witness sets of earlier epochs.
    Duration settleAfter = seconds(5);
    /// A holder that has not been valid for this long names another node as holder.
    Duration abdicateAfter = seconds(10);
};

} // namespace snipestream
