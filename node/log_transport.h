#pragma once

#include "core/ids.h"
#include "net/fiber_runtime.h"
#include "platform/http_transport.h"

namespace snipestream
{

/// Creates a transport to the platform's log whose calls block only the calling fiber, not the thread.
auto makeFiberTransport(FiberRuntime &runtime, const Endpoint &log) -> HttpTransport;

} // namespace snipestream
