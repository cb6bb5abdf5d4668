#pragma once

#include "sidecar/state.h"

namespace snipestream
{

/// Reads what requests cause at the local target from the store, and keeps the store's record up to date. Without it,
/// nodes that start together into an overload would not know which requests to refuse. Runs in a fiber of its own.
void followWork(SidecarState &state);

/// Returns what the local target's requests of each kind cause, the most frequent kinds first.
auto kindReports(const SidecarState &state) -> std::vector<KindReport>;

} // namespace snipestream
