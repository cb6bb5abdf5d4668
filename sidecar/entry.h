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

} // namespace snipestream
