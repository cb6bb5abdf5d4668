#pragma once

#include "lease/takeover.h"
#include "lease/witness.h"

namespace snipestream
{

/// All lease state of one node.
struct LeaseNode {
    LeaseParams params;
    LeaseHolder holder;
    WitnessTable witness;
    LeaseCandidate candidate;
};

/// What a tick needs from the world around the node.
struct LeaseInputs {
    /// The log takes appends, as far as is known.
    bool canAppend = false;
    LiveNodes live;
};

/// What the caller has to send, append and report after a tick.
struct LeaseOutputs {
    std::vector<std::pair<NodeName, LeasePing>> pings;
    std::vector<LeaseRecord> appends;
    std::vector<LeaseKey> acquired;
    std::vector<LeaseKey> lost;
};

/// Makes the state of a node that starts now. `incarnation` grows with every start of the node and is below 2^63.
auto makeLeaseNode(const NodeName &self, const DomainName &domain, uint64_t incarnation, TimePoint now, const LeaseParams &params = {}) -> LeaseNode;

/// Runs the holder and the candidate side; due every 100 ms or more often. `leases` is the fold of the log.
auto tickLease(LeaseNode &node, const LeaseTable &leases, TimePoint now, const LeaseInputs &inputs) -> LeaseOutputs;

} // namespace snipestream
