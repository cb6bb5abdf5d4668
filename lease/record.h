#pragma once

#include "core/ids.h"
#include "core/result.h"

#include <cstdint>
#include <tuple>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace snipestream
{

/// The subject of a lease: one range of teams and idempotency keys in one failure domain.
struct LeaseKey {
    DomainName domain;
    uint32_t range = 0;

    friend auto operator==(const LeaseKey &a, const LeaseKey &b) -> bool
    {
        return a.domain == b.domain && a.range == b.range;
    }
    friend auto operator<(const LeaseKey &a, const LeaseKey &b) -> bool
    {
        return std::tie(a.domain, a.range) < std::tie(b.domain, b.range);
    }
};

/// A log record that names the holder of a lease and its witnesses. The holder is one process: after a restart the node
/// has a new incarnation and is no longer the holder.
struct LeaseRecord {
    LeaseKey key;
    uint64_t epoch = 0;
    NodeName holder;
    uint64_t incarnation = 0;
    std::vector<NodeName> witnesses;
    /// Set only by a holder that was valid in the previous epoch: no earlier holder can become valid again, so the
    /// witness sets of older epochs need not confirm this one.
    bool settled = false;

    friend auto operator==(const LeaseRecord &a, const LeaseRecord &b) -> bool
    {
        return a.key == b.key && a.epoch == b.epoch && a.holder == b.holder && a.incarnation == b.incarnation && a.witnesses == b.witnesses
            && a.settled == b.settled;
    }
};

/// Maximum number of witnesses in a record.
inline constexpr size_t kMaxWitnesses = 5;

/// Returns the record as JSON with "type":"lease".
auto toJson(const LeaseRecord &record) -> nlohmann::json;

/// Parses a record. Returns InvalidInput with the name of the missing or invalid field.
auto leaseRecordFromJson(const nlohmann::json &json) -> Result<LeaseRecord>;

} // namespace snipestream
