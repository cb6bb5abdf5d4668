#pragma once

#include "core/time.h"

namespace snipestream
{

/// Constants of the lease protocol. Tests set faulty values to show that their oracle notices them.
struct LeaseParams {
    /// F: a holder counts on a witness for this long after it sent the ping that the witness answered.
    Duration freshFor = seconds(2);
    /// W: a witness confirms another holder only this long after it last confirmed the one before. W/F = 1.5 is more
    /// than the rates of two clocks can differ.
    Duration vouchGap = seconds(3);
    /// A restarted witness confirms nobody for this long, because it may have confirmed a holder just before.
    Duration restartWait = seconds(3);
    /// Faulty if set: ages are counted from the receipt of an answer, so a delayed answer extends the lease.
    bool ageFromReceipt = false;

    Duration pingEvery = milliseconds(500);
    /// A holder is replaced when it has been missing for this long; candidate k waits k times `candidateStep` longer,
    /// so that usually only one appends.
    Duration takeoverAfter = seconds(3);
    Duration candidateStep = seconds(1);
    /// A record that has not shown up on the log is appended again after this time.
    Duration appendRetry = seconds(2);
    /// A witness that has not answered for this long is replaced.
    Duration witnessGoneAfter = seconds(10);
    /// A valid holder settles the witness sets of former epochs after this time.
    Duration settleAfter = seconds(5);
    /// A holder that has not been valid for this long names another node.
    Duration abdicateAfter = seconds(10);
};

} // namespace snipestream
