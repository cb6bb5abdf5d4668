#pragma once

#include "lease/takeover.h"
#include "lease/witness.h"

namespace snipestream
{

/// The lease state of one node.
struct LeaseNode {
    LeaseParams params;
    LeaseHolder holder;
    WitnessTable witness;
    LeaseCandidate candidate;
};

/// Inputs of a tick.
struct LeaseInputs {
    /// The log accepts appends, as far as this node knows.
    bool canAppend = false;
    LiveNodes live;
};

/// Messages to send, records to append, and leases that became valid or invalid in a tick.
struct LeaseOutputs {
    std::vector<std::pair<NodeName, LeasePing>> pings;
    std::vector<LeaseRecord> appends;
    std::vector<LeaseKey> acquired;
    std::vector<LeaseKey> lost;
};

/// Creates the state of a node that starts now. `incarnation` increases with every start of the node and is below 2^63.
auto makeLeaseNode(const NodeName &self, const DomainName &domain, uint64_t incarnation, TimePoint now, const LeaseParams &params = {}) -> LeaseNode;

/// Runs the holder and the candidate side. The caller runs it at least every 100 ms. `leases` is the table folded from
/// the log.
auto tickLease(LeaseNode &node, const LeaseTable &leases, TimePoint now, const LeaseInputs &inputs) -> LeaseOutputs;

} // namespace snipestream
