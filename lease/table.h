#pragma once

#include "lease/record.h"

#include <map>

namespace snipestream
{

/// The current record of a lease and the witness sets that have to confirm its holder.
struct LeaseEntry {
    LeaseRecord record;
    /// A holder is valid only with a majority of each of these sets. They include the sets of all earlier epochs whose
    /// holders could still become valid.
    std::vector<std::vector<NodeName>> sets;

    friend auto operator==(const LeaseEntry &a, const LeaseEntry &b) -> bool
    {
        return a.record == b.record && a.sets == b.sets;
    }
};

/// The leases as folded from the log. Two nodes that have applied the same records have equal tables.
struct LeaseTable {
    std::map<LeaseKey, LeaseEntry> entries;

    friend auto operator==(const LeaseTable &a, const LeaseTable &b) -> bool
    {
        return a.entries == b.entries;
    }
};

/// Applies a record in log order. Returns false and ignores the record if its epoch is not the successor of the current
/// one. A duplicate is therefore ignored.
auto applyLeaseRecord(LeaseTable &table, const LeaseRecord &record) -> bool;

/// Returns the entry of the key, or null if the lease has never had a holder.
auto findLease(const LeaseTable &table, const LeaseKey &key) -> const LeaseEntry *;

/// Returns the table as JSON for a snapshot.
auto dumpLeaseTable(const LeaseTable &table) -> nlohmann::json;

/// Parses a snapshot. Returns InvalidInput if any entry is malformed.
auto loadLeaseTable(const nlohmann::json &json) -> Result<LeaseTable>;

} // namespace snipestream
