#pragma once

#include "platform/store_client.h"

#include <cstdint>
#include <vector>

namespace snipestream
{

struct SidecarState;

/// Writes this node's record to the store if it is not there, and keeps the list of members up to date: as a reader with long
/// polls, otherwise only if no reader answers.
void followMembership(SidecarState &state);

/// Applies records of members that were read up to `offset`.
void applyMemberRecords(SidecarState &state, const std::vector<KeyedRecord> &records, uint64_t offset);

/// Removes this node's record from the store, because its target has left and the VM with it.
void leaveMembership(SidecarState &state);

} // namespace snipestream
