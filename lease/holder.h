#pragma once

#include "lease/messages.h"
#include "lease/params.h"
#include "lease/table.h"

#include <map>
#include <optional>
#include <utility>

namespace snipestream
{

/// The state of one witness in the current epoch, as seen by the holder.
struct WitnessView {
    /// Send time of the newest ping that the witness answered with a confirmation.
    std::optional<TimePoint> vouchedSince;
    /// When the last response of the witness arrived, with or without a confirmation.
    TimePoint lastResponseAt{};
    uint64_t incarnation = 0;
    /// Highest number of an unlogged state that the witness stores; empty if none is known.
    std::optional<uint64_t> storedNumber;
    UnloggedBit prior = UnloggedBit::Unknown;
};

/// A lease whose record names this process as its holder, valid or not.
struct HeldLease {
    LeaseKey key;
    uint64_t epoch = 0;
    /// The witness sets that have to confirm this holder, each by a majority.
    std::vector<std::vector<NodeName>> sets;
    std::map<NodeName, WitnessView> views;
    /// When this node applied the record of the current epoch.
    TimePoint epochSeenAt{};
    TimePoint nextPingAt{};
    TimePoint validUntil{};
    /// When this process first became valid. It stays the same when the process renews its lease with a new epoch.
    std::optional<TimePoint> validFrom;
    /// Validity at the last tick.
    bool wasValid = false;
    /// Incremented with each change of `unlogged`.
    uint64_t unloggedNumber = 0;
    bool unlogged = false;
    bool priorResolved = false;
};

/// The holder side of a node.
struct LeaseHolder {
    NodeName self;
    uint64_t incarnation = 0;
    std::map<LeaseKey, HeldLease> leases;
    /// Set at a graceful shutdown. From then on no lease of this process is valid.
    bool stopping = false;
};

/// Messages to send and leases that became valid or invalid in a tick of the holder side.
struct LeaseHolderOutputs {
    std::vector<std::pair<NodeName, LeasePing>> pings;
    std::vector<LeaseKey> acquired;
    std::vector<LeaseKey> lost;
};

/// Adopts new epochs from the table and returns the pings that are due. Pings to this node itself are included if it is
/// one of its own witnesses; the caller passes them to the local witness side.
auto tickLeaseHolder(LeaseHolder &holder, const LeaseTable &leases, const LeaseParams &params, TimePoint now) -> LeaseHolderOutputs;

/// Applies the response of a witness. Responses for another epoch or incarnation are ignored.
void applyPong(LeaseHolder &holder, const LeaseParams &params, const LeasePong &pong, TimePoint now);

/// Returns whether this process holds the lease now. The cost is one map lookup and one comparison. The caller checks
/// immediately before each use and again after every wait.
auto isLeaseValid(const LeaseHolder &holder, const LeaseKey &key, TimePoint now) -> bool;

/// Returns the lease if its record names this process as the holder, otherwise null.
auto findHeldLease(const LeaseHolder &holder, const LeaseKey &key) -> const HeldLease *;

/// Sets or clears the unlogged bit of the current epoch. The next tick sends it. Returns false if the record of the
/// lease does not name this process.
auto setUnlogged(LeaseHolder &holder, const LeaseKey &key, bool unlogged, TimePoint now) -> bool;

/// Returns whether a majority of every witness set stores the current unlogged bit. The holder may act on the bit only
/// then and while its lease is valid.
auto isUnloggedStored(const LeaseHolder &holder, const LeaseKey &key) -> bool;

/// Returns the unlogged bit of earlier epochs as reported by the witnesses: Set if any unexpired confirmation reports
/// Set, Clear if a majority of every set reports Clear, otherwise Unknown. The caller treats Unknown as Set once it
/// cannot wait any longer.
auto priorUnlogged(const LeaseHolder &holder, const LeaseParams &params, const LeaseKey &key, TimePoint now) -> UnloggedBit;

/// Records that the claims behind the bits of earlier epochs have been resolved on the log. All pings from the next one
/// on report this to the witnesses.
void markPriorResolved(LeaseHolder &holder, const LeaseKey &key);

} // namespace snipestream
