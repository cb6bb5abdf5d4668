#pragma once

#include "lease/messages.h"
#include "lease/params.h"
#include "lease/table.h"

#include <map>

namespace snipestream
{

/// The unlogged state of one epoch as last told by its holder.
struct StoredBit {
    uint64_t number = 0;
    bool set = false;
};

/// What a witness remembers about one lease: whom it confirmed last and when, and the unlogged bits.
struct WitnessRange {
    uint64_t epoch = 0;
    NodeName holder;
    uint64_t incarnation = 0;
    TimePoint vouchedAt{};
    uint64_t releasedEpoch = 0;
    std::map<uint64_t, StoredBit> bits;
    /// The bits of all epochs below this one are dealt with on the log.
    uint64_t resolvedBelow = 1;
};

/// The witness side of a node. It is memory only; a restarted node starts with an empty one.
struct WitnessTable {
    NodeName self;
    uint64_t incarnation = 0;
    TimePoint startedAt{};
    bool logRead = false;
    /// Last epoch of each lease when the log was read after the start. The bits of these epochs may have been set at an
    /// earlier incarnation of this node.
    std::map<LeaseKey, uint64_t> epochAtLogRead;
    std::map<LeaseKey, WitnessRange> ranges;
};

/// Marks the log as read. The caller calls this once after a start, when `leases` contains every record up to an end of
/// the log that was observed after the start (by this node, or by another one on its behalf).
void markLogRead(WitnessTable &witness, const LeaseTable &leases);

/// Answers a ping. `leases` is the fold of the log at this node; it may lag behind that of the holder.
auto answerPing(WitnessTable &witness, const LeaseTable &leases, const LeaseParams &params, const LeasePing &ping, TimePoint now) -> LeasePong;

/// Notes that the holder of an epoch stopped for good. A release from anyone but the holder last confirmed has no
/// effect.
void applyRelease(WitnessTable &witness, const LeaseRelease &release);

} // namespace snipestream
