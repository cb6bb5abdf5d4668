#pragma once

#include "core/ids.h"
#include "core/result.h"
#include "mesh/target_state.h"

#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace snipestream
{

/// A node of the fleet.
struct Member {
    /// IP address of the VM; ports are the same on all VMs.
    std::string address;
    NodeName node;
    DomainName domain;
    /// Service of the target on the VM.
    ServiceName service;

    friend auto operator==(const Member &a, const Member &b) -> bool
    {
        return std::tie(a.address, a.node, a.domain, a.service) == std::tie(b.address, b.node, b.domain, b.service);
    }
    friend auto operator!=(const Member &a, const Member &b) -> bool
    {
        return !(a == b);
    }
};

/// Contents of a VM's record in the store, whose key is the address.
struct MemberRecord {
    Member member;
    /// Targets of the VM that leave or have left. A node that starts again must not use them.
    std::vector<DepartedTarget> departures;
    /// The node is no longer a member. Its record keeps the departures in case the VM starts again.
    bool hasLeft = false;

    friend auto operator==(const MemberRecord &a, const MemberRecord &b) -> bool
    {
        return a.member == b.member && a.departures == b.departures && a.hasLeft == b.hasLeft;
    }
};

/// Returns whether the key of a record is the address of a VM, which is an IPv4 address.
auto isMemberAddress(const std::string &key) -> bool;

/// Returns the value of the record.
auto encodeMemberRecord(const MemberRecord &record) -> std::string;

/// Decodes the value of a record. Returns ErrorCode::InvalidInput if a field is missing, has another type or is out of range.
auto decodeMemberRecord(const std::string &address, std::string_view value) -> Result<MemberRecord>;

} // namespace snipestream
