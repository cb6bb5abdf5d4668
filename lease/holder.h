#pragma once

#include "lease/messages.h"
#include "lease/params.h"
#include "lease/table.h"

#include <map>
#include <optional>
#include <utility>

namespace snipestream
{

/// What a holder knows of one witness in the current epoch.
struct WitnessView {
    /// Send time of the newest ping that the witness answered with a confirmation.
    std::optional<TimePoint> vouchedSince;
    /// When any answer of the witness arrived last.
    TimePoint heardAt{};
    uint64_t incarnation = 0;
    std::optional<uint64_t> storedNumber;
    UnloggedBit prior = UnloggedBit::Unknown;
};

/// A lease that names this process as its holder, valid or not.
struct HeldLease {
    LeaseKey key;
    uint64_t epoch = 0;
    std::vector<std::vector<NodeName>> sets;
    std::map<NodeName, WitnessView> views;
    TimePoint epochSeenAt{};
    TimePoint nextPingAt{};
    TimePoint validUntil{};
    /// When this process first became valid; kept when the same process renews its lease with a new epoch.
    std::optional<TimePoint> validFrom;
    bool wasValid = false;
    uint64_t unloggedNumber = 0;
    bool unlogged = false;
    bool priorResolved = false;
};

/// The holder side of a node.
struct LeaseHolder {
    NodeName self;
    uint64_t incarnation = 0;
    std::map<LeaseKey, HeldLease> leases;
    /// Set at a graceful shutdown: this process never becomes valid again.
    bool stopping = false;
};

/// Messages and state changes that a tick of the holder side produces.
struct HolderPings {
    std::vector<std::pair<NodeName, LeasePing>> pings;
    std::vector<LeaseKey> acquired;
    std::vector<LeaseKey> lost;
};

/// Takes over new epochs from the fold of the log and returns the pings that are due. Pings to this node itself are
/// included when it is one of its own witnesses; the caller delivers them to the local witness side.
auto tickLeaseHolder(LeaseHolder &holder, const LeaseTable &leases, const LeaseParams &params, TimePoint now) -> HolderPings;

/// Takes an answer. Answers for another epoch or incarnation are ignored.
void applyPong(LeaseHolder &holder, const LeaseParams &params, const LeasePong &pong, TimePoint now);

/// Returns whether this process holds the lease now: one look-up and one comparison. It is called immediately before
/// each use and again after every wait.
auto isLeaseValid(const LeaseHolder &holder, const LeaseKey &key, TimePoint now) -> bool;

/// Returns the lease if this process is named as its holder, else null.
auto findHeldLease(const LeaseHolder &holder, const LeaseKey &key) -> const HeldLease *;

/// Sets or clears the unlogged bit of the current epoch and sends it with the next tick. False if the lease is not
/// held.
auto setUnlogged(LeaseHolder &holder, const LeaseKey &key, bool unlogged, TimePoint now) -> bool;

/// Returns whether a majority of every witness set stores the current unlogged bit. Only then, and with the lease still
/// valid, may the owner act on it.
auto isUnloggedStored(const LeaseHolder &holder, const LeaseKey &key) -> bool;

/// Returns what the witnesses say about earlier epochs: Set if any fresh answer says so, Clear if a majority of every
/// set says so, otherwise Unknown, which the caller counts as set when it cannot wait longer.
auto priorUnlogged(const LeaseHolder &holder, const LeaseParams &params, const LeaseKey &key, TimePoint now) -> UnloggedBit;

/// Tells the witnesses from the next ping on that the bits of earlier epochs are dealt with on the log.
void markPriorResolved(LeaseHolder &holder, const LeaseKey &key);

} // namespace snipestream
