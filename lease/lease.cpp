#include "lease/lease.h"

namespace snipestream
{

auto makeLeaseNode(const NodeName &self, const DomainName &domain, uint64_t incarnation, TimePoint now, const LeaseParams &params) -> LeaseNode
{
    LeaseNode node;
    node.params = params;
    node.holder.self = self;
    node.holder.incarnation = incarnation;
    node.witness.self = self;
    node.witness.incarnation = incarnation;
    node.witness.startedAt = now;
    node.candidate.domain = domain;
    return node;
}

auto tickLease(LeaseNode &node, const LeaseTable &leases, TimePoint now, const LeaseInputs &inputs) -> LeaseOutputs
{
    auto pings = tickLeaseHolder(node.holder, leases, node.params, now);
    LeaseOutputs out;
    out.pings = std::move(pings.pings);
    out.acquired = std::move(pings.acquired);
    out.lost = std::move(pings.lost);
    if (inputs.canAppend) {
        out.appends = tickLeaseCandidate(node.candidate, node.holder, leases, node.params, inputs.live, now);
    }
    return out;
}

} // namespace snipestream
