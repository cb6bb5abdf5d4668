#pragma once

#include "lease/record.h"

#include <map>

namespace snipestream
{

/// The last lease of a key together with the witness sets that have to agree to it.
struct LeaseEntry {
    LeaseRecord record;
    /// A holder is valid only with a majority of each of these sets. It contains the sets of all earlier epochs whose
    /// holders could still become valid.
    std::vector<std::vector<NodeName>> sets;

    friend auto operator==(const LeaseEntry &a, const LeaseEntry &b) -> bool
    {
        return a.record == b.record && a.sets == b.sets;
    }
};

/// The leases as folded from the log. Two nodes that applied the same records have equal tables.
struct LeaseTable {
    std::map<LeaseKey, LeaseEntry> entries;

    friend auto operator==(const LeaseTable &a, const LeaseTable &b) -> bool
    {
        return a.entries == b.entries;
    }
};

/// Applies a record in log order. Returns false if it lost: its epoch is not one above the last one of its key. A
/// record that is applied twice loses the second time.
auto applyLeaseRecord(LeaseTable &table, const LeaseRecord &record) -> bool;

/// Returns the entry of the key, or null if it has never had a holder.
auto findLease(const LeaseTable &table, const LeaseKey &key) -> const LeaseEntry *;

/// Returns the table for a snapshot.
auto dumpLeaseTable(const LeaseTable &table) -> nlohmann::json;

/// Reads a snapshot; InvalidInput if any entry is malformed.
auto loadLeaseTable(const nlohmann::json &json) -> Result<LeaseTable>;

} // namespace snipestream
