#pragma once

#include "core/time.h"

#include "mesh/target_state.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace snipestream
{

struct SidecarState;

/// Records of this node in the store: that of the member, and one for each departure of a target on its VM.
struct OwnRecord {
    /// Value of the member's record in the store as far as it is known; empty during a write and if the result of a write is
    /// unknown.
    std::optional<std::string> stored;
    /// Keys of the departures that are in the store.
    std::set<std::string> storedDepartures;
    /// The departures of an earlier process have been read from the store, so that a write does not lose them.
    bool isWritable = false;
    bool isWriting = false;
    /// The node leaves the fleet.
    bool hasLeft = false;
};

/// Returns whether the store has the member's current record and all departures.
auto isOwnRecordStored(const SidecarState &state) -> bool;

/// Starts to write what the store lacks, and to remove departures that are no longer kept. Failed writes are repeated.
void storeOwnRecord(SidecarState &state);

/// Writes the records and waits until isOwnRecordStored() holds, at most for `timeout`. Returns whether it does.
auto awaitOwnRecord(SidecarState &state, Duration timeout) -> bool;

/// Takes over the member's record that an earlier process, or another writer, has left in the store.
void applyOwnRecord(SidecarState &state, const std::string &value);

/// A departure's record of this node that was read from the store. It has no departure if it was removed or is unreadable.
struct StoredDeparture {
    std::string key;
    std::optional<DepartedTarget> departed;
};

/// Takes over departures that were read from the store, the oldest first.
void applyOwnDepartures(SidecarState &state, const std::vector<StoredDeparture> &records);

} // namespace snipestream
