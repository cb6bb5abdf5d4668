#pragma once

#include "lease/messages.h"
#include "lease/params.h"
#include "lease/table.h"

#include <map>

namespace snipestream
{

/// The unlogged state of one epoch as last reported by its holder.
struct StoredBit {
    uint64_t number = 0;
    bool set = false;
};

/// What a witness stores about one lease: the holder that it last confirmed, when it did so, and the unlogged bits.
struct WitnessRange {
    uint64_t epoch = 0;
    NodeName holder;
    uint64_t incarnation = 0;
    TimePoint vouchedAt{};
    /// The newest epoch whose holder has released the lease.
    uint64_t releasedEpoch = 0;
    /// By epoch.
    std::map<uint64_t, StoredBit> bits;
    /// The claims behind the bits of all epochs below this one have been resolved on the log.
    uint64_t resolvedBelow = 1;
};

/// The witness side of a node. Its state is kept in memory only, so a restarted node starts without any.
struct WitnessTable {
    NodeName self;
    uint64_t incarnation = 0;
    TimePoint startedAt{};
    /// No confirmation is given before the log has been read.
    bool logRead = false;
    /// Last epoch of each lease at the time of `markLogRead`. The bits of epochs up to this one may have been stored by
    /// an earlier incarnation of this node.
    std::map<LeaseKey, uint64_t> epochAtLogRead;
    std::map<LeaseKey, WitnessRange> ranges;
};

/// Marks the log as read. The caller does this once after a start, when `leases` contains every record up to an end of
/// the log that was observed after the start, by this node or by another one on its behalf.
void markLogRead(WitnessTable &witness, const LeaseTable &leases);

/// Processes a ping and returns the response. `leases` is the table folded from the log at this node, which may be
/// behind that of the holder.
auto answerPing(WitnessTable &witness, const LeaseTable &leases, const LeaseParams &params, const LeasePing &ping, TimePoint now) -> LeasePong;

/// Records that the holder of an epoch has stopped for good. A release has no effect unless it comes from the holder
/// that was last confirmed.
void applyRelease(WitnessTable &witness, const LeaseRelease &release);

} // namespace snipestream
