#pragma once

#include "core/time.h"

#include <optional>
#include <string>

namespace snipestream
{

struct SidecarState;

/// Record of this node in the store. It has a single writer, so that writes do not overtake each other.
struct OwnRecord {
    /// Value in the store as far as it is known; empty during a write and if the result of a write is unknown.
    std::optional<std::string> stored;
    /// The departures of an earlier process have been read from the store, so that a write does not lose them.
    bool isWritable = false;
    bool isWriting = false;
    /// The node leaves the fleet.
    bool hasLeft = false;
};

/// Returns whether the store has the current contents of the record.
auto isOwnRecordStored(const SidecarState &state) -> bool;

/// Starts to write the record if the store does not have its current contents. Failed writes are repeated.
void storeOwnRecord(SidecarState &state);

/// Writes the record and waits until the store has its current contents, at most for `timeout`. Returns whether it has.
auto awaitOwnRecord(SidecarState &state, Duration timeout) -> bool;

/// Takes over the record that an earlier process, or another writer, has left in the store.
void applyOwnRecord(SidecarState &state, const std::string &value);

} // namespace snipestream
