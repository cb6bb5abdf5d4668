#pragma once

#include "lease/holder.h"

namespace snipestream
{

/// What a node knows about the absence of one holder, and the record that it appended and has not yet seen on the log.
struct LeaseWatch {
    std::optional<TimePoint> missingSince;
    uint64_t missingEpoch = 0;
    std::optional<LeaseRecord> pending;
    TimePoint appendedAt{};
};

/// The candidate side of a node: which records it should append, and when.
struct LeaseCandidate {
    DomainName domain;
    std::map<LeaseKey, LeaseWatch> watches;
};

/// The live nodes of this node's domain with their incarnations, this node included.
using LiveNodes = std::map<NodeName, uint64_t>;

/// Returns the witnesses for a holder: the live ones among `current` are kept and the others are filled up in
/// rendezvous order, to five if the domain has enough nodes, else three. The holder is its own witness only in a domain
/// of fewer than four nodes.
auto chooseWitnesses(const LeaseKey &key, const NodeName &holder, const LiveNodes &live, const std::vector<NodeName> &current) -> std::vector<NodeName>;

/// Returns the records to append now: takeovers of missing holders, renewals and abdications of own leases. The caller
/// calls it only while the log takes appends. Appending a record twice is harmless: the second one loses in the fold.
auto tickLeaseCandidate(LeaseCandidate &candidate, const LeaseHolder &holder, const LeaseTable &leases, const LeaseParams &params, const LiveNodes &live,
                        TimePoint now) -> std::vector<LeaseRecord>;

/// The messages and records of a graceful shutdown.
struct LeaseHandOver {
    std::vector<std::pair<NodeName, LeaseRelease>> releases;
    std::vector<LeaseRecord> records;
};

/// Gives up all leases for good and names a successor for each. The caller sends the releases, then appends the
/// records.
auto handOverLeases(LeaseHolder &holder, const LiveNodes &live, TimePoint now) -> LeaseHandOver;

} // namespace snipestream
