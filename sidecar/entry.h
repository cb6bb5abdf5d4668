#pragma once

#include "http/message.h"
#include "sidecar/state.h"

#include <optional>

namespace snipestream
{

/// Serves a request of a caller on this VM, or of the target on it. Returns an empty value if the caller disconnected.
auto serveCaller(SidecarState &state, RequestMessage &request, CancelSignal &cancel) -> std::optional<ResponseMessage>;

/// Returns whether the request may run while other requests of its connection do, which is so on idempotent routes.
auto mayRunConcurrently(const SidecarState &state, const RequestMessage &request) -> bool;

/// Returns the upper 32 bits of the hash of the route's name. They are enough for the few hundred routes of a
/// configuration. A report contains many kinds, so a short hash keeps it small.
auto workKindOf(const RoutePolicy &route) -> WorkKind;

} // namespace snipestream
