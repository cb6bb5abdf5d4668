#pragma once

#include "core/ids.h"
#include "core/result.h"
#include "mesh/target_state.h"

#include <optional>
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
    /// Departures in a record that an older version has written. Newer versions write a record for each departure.
    std::vector<DepartedTarget> departures;
    /// The node is no longer a member.
    bool hasLeft = false;

    friend auto operator==(const MemberRecord &a, const MemberRecord &b) -> bool
    {
        return a.member == b.member && a.departures == b.departures && a.hasLeft == b.hasLeft;
    }
};

/// Returns whether the key of a record is the address of a VM, which is an IPv4 address.
auto isMemberAddress(const std::string &key) -> bool;

/// Returns the value of the record, without departures.
auto encodeMemberRecord(const MemberRecord &record) -> std::string;

/// Decodes the value of a record. Returns ErrorCode::InvalidInput if a field is missing, has another type or is out of range.
auto decodeMemberRecord(const std::string &address, std::string_view value) -> Result<MemberRecord>;

/// Returns the key of the record that says that a target of the VM leaves or has left. A node that starts again must not use
/// such a target. Each departure has a key of its own with a single possible value, because the store may carry out a write
/// seconds later, also after the process that sent it has ended: the order of such writes does not matter.
auto departureKey(const std::string &address, const DepartedTarget &departed) -> std::string;

/// Returns the address of the VM if the key is that of a departure.
auto addressOfDeparture(const std::string &key) -> std::optional<std::string>;

/// Returns the value of a departure's record.
auto encodeDeparture(const DepartedTarget &departed) -> std::string;

/// Decodes a departure's record. Returns ErrorCode::InvalidInput if a field is missing, has another type or is out of range, or
/// if the record is that of another departure than the key says.
auto decodeDeparture(const std::string &key, std::string_view value) -> Result<DepartedTarget>;

} // namespace snipestream
