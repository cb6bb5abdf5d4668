#pragma once

#include "core/ids.h"
#include "core/result.h"

#include <string>
#include <string_view>
#include <tuple>

namespace snipestream
{

/// A node of the fleet, as it is recorded in the store.
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

/// Returns the value of the member's record in the store, whose key is the address.
auto encodeMember(const Member &member) -> std::string;

/// Decodes the record of a member. Returns ErrorCode::InvalidInput if a field is missing or has another type.
auto decodeMember(const std::string &address, std::string_view value) -> Result<Member>;

} // namespace snipestream
