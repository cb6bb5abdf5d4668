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

/// Identifies a target in the fleet by its node and its name on that node.
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

/// State of a target as announced by its home node.
enum class EndpointState {
    Active,
    Draining,
    /// The target left. The record is kept for a while so that an older record cannot bring the target back.
    Left,
};

/// Returns the name used in messages, for example "draining".
auto endpointStateName(EndpointState state) -> std::string_view;

/// Record of one target, distributed to the nodes of the fleet.
struct EndpointRecord {
    EndpointId id;
    ServiceName service;
    DomainName domain;
    int slots = 1;
    EndpointState state = EndpointState::Active;
    /// Set by a directory node when the renewals stopped. Only a record with a higher version clears it.
    bool suspect = false;
    /// Assigned by the home node for each start of the target; increases.
    uint64_t incarnation = 0;
    /// Increases with each announcement and renewal within an incarnation.
    uint64_t version = 0;

    friend auto operator==(const EndpointRecord &a, const EndpointRecord &b) -> bool
    {
        return a.id == b.id && a.service == b.service && a.domain == b.domain && a.slots == b.slots && a.state == b.state && a.suspect == b.suspect
            && a.incarnation == b.incarnation && a.version == b.version;
    }
};

/// Returns whether `a` replaces `b`. The order is total per target, so all nodes converge to the same record even if
/// records are lost, duplicated or reordered.
auto isNewer(const EndpointRecord &a, const EndpointRecord &b) -> bool;

/// Returns whether the records differ in anything but the version, that is, whether callers need to receive the change.
auto differsForCallers(const EndpointRecord &a, const EndpointRecord &b) -> bool;

/// Returns the record as sent between nodes.
auto toJson(const EndpointRecord &record) -> nlohmann::json;

/// Reads a record; fails with InvalidInput on a missing or malformed field.
auto endpointRecordFromJson(const nlohmann::json &json) -> Result<EndpointRecord>;

} // namespace snipestream
