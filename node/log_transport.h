#pragma once

#include "core/ids.h"
#include "net/fiber_runtime.h"
#include "platform/http_transport.h"

namespace snipestream
{

/// Makes a transport to the platform's log that blocks only the calling fiber.
auto makeFiberTransport(FiberRuntime &runtime, const Endpoint &log) -> HttpTransport;

} // namespace snipestream
