#pragma once

#include "sidecar/state.h"

namespace snipestream
{

/// Reads the service's work record (time and nested calls per run, by kind of work) from the store, and then keeps the
/// record up to date. Without the record, nodes that start together during an overload would not know which requests to
/// refuse. Runs in its own fiber.
void syncWorkRecord(SidecarState &state);

/// Returns the measured work of the local target's requests by kind, the most frequent kinds first.
auto kindReports(const SidecarState &state) -> std::vector<KindReport>;

} // namespace snipestream
