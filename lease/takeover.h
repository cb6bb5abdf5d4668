#pragma once

#include "lease/holder.h"

namespace snipestream
{

/// How long the holder of one lease has been missing, and the record that this node has appended and not yet seen on
/// the log.
struct LeaseWatch {
    std::optional<TimePoint> missingSince;
    /// Epoch of the missing holder, zero if the lease never had one.
    uint64_t missingEpoch = 0;
    std::optional<LeaseRecord> pending;
    TimePoint appendedAt{};
};

/// The candidate side of a node: decides which records the node appends, and when.
struct LeaseCandidate {
    DomainName domain;
    std::map<LeaseKey, LeaseWatch> watches;
};

/// The live nodes of this node's domain with their incarnations, including this node.
using LiveNodes = std::map<NodeName, uint64_t>;

/// Returns the witnesses for a holder: the live nodes of `current` first, then others in rendezvous order, five if the
/// domain has enough nodes, otherwise three. The holder is its own witness only in a domain of fewer than four nodes.
auto chooseWitnesses(const LeaseKey &key, const NodeName &holder, const LiveNodes &live, const std::vector<NodeName> &current) -> std::vector<NodeName>;

/// Returns the records to append now: takeovers of missing holders, and renewals and abdications of this node's own
/// leases. The caller runs it only while the log accepts appends. A duplicate append is harmless, since the table
/// ignores the second record.
auto tickLeaseCandidate(LeaseCandidate &candidate, const LeaseHolder &holder, const LeaseTable &leases, const LeaseParams &params, const LiveNodes &live,
                        TimePoint now) -> std::vector<LeaseRecord>;

/// The messages to send and the records to append at a graceful shutdown.
struct LeaseHandOver {
    std::vector<std::pair<NodeName, LeaseRelease>> releases;
    std::vector<LeaseRecord> records;
};

/// Gives up all leases for good and names a successor for each. The caller first sends the releases, then appends the
/// records.
auto handOverLeases(LeaseHolder &holder, const LiveNodes &live, TimePoint now) -> LeaseHandOver;

} // namespace snipestream
