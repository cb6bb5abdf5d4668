#pragma once

#include "core/ids.h"
#include "core/result.h"
#include "core/time.h"

#include <cstdint>
#include <ostream>
#include <string_view>
#include <tuple>

#include <nlohmann/json_fwd.hpp>

namespace snipestream
{

/// Identifies a target in the whole fleet: its node and its name there.
struct EndpointId {
    NodeName node;
    TargetName target;

    friend auto operator==(const EndpointId &a, const EndpointId &b) -> bool
    {
        return a.node == b.node && a.target == b.target;
    }
    friend auto operator!=(const EndpointId &a, const EndpointId &b) -> bool
    {
        return !(a == b);
    }
    friend auto operator<(const EndpointId &a, const EndpointId &b) -> bool
    {
        return std::tie(a.node, a.target) < std::tie(b.node, b.target);
    }
    friend auto operator<<(std::ostream &out, const EndpointId &id) -> std::ostream &
    {
        return out << id.node << "/" << id.target;
    }
};

/// State that the target's own node announces.
enum class EndpointState {
    Active,
    Draining,
    /// The target left. The record stays for a while so that an older one cannot bring the target back.
    Left,
};

/// Returns the name used in messages, such as "draining".
auto endpointStateName(EndpointState state) -> std::string_view;

/// What the fleet knows of one target.
struct EndpointRecord {
    EndpointId id;
    ServiceName service;
    DomainName domain;
    int slots = 1;
    EndpointState state = EndpointState::Active;
    /// Set by a directory node when renewals stopped. Only a higher version clears it.
    bool suspect = false;
    /// Set by the target's node for each start of the target; grows.
    uint64_t incarnation = 0;
    /// Grows with each announcement and renewal within an incarnation.
    uint64_t version = 0;

    friend auto operator==(const EndpointRecord &a, const EndpointRecord &b) -> bool
    {
        return a.id == b.id && a.service == b.service && a.domain == b.domain && a.slots == b.slots && a.state == b.state && a.suspect == b.suspect
            && a.incarnation == b.incarnation && a.version == b.version;
    }
};

/// Returns whether `a` replaces `b`. The order is total per target, so records can arrive lost, twice or reordered and
/// all nodes still end with the same one.
auto isNewer(const EndpointRecord &a, const EndpointRecord &b) -> bool;

/// Returns whether the records differ in more than version, that is, whether callers have to learn of it.
auto differsForCallers(const EndpointRecord &a, const EndpointRecord &b) -> bool;

/// Returns the record as it travels between nodes.
auto toJson(const EndpointRecord &record) -> nlohmann::json;

/// Reads a record; fails with InvalidInput on a missing or wrong field.
auto endpointRecordFromJson(const nlohmann::json &json) -> Result<EndpointRecord>;

} // namespace snipestream
