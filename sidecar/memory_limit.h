#pragma once

#include "core/time.h"

#include <cstdint>

namespace snipestream
{

struct SidecarState;

/// Bounds the log events about requests that are refused for lack of memory.
struct MemoryLimitLog {
    TimePoint loggedAt;
    /// Requests refused since then.
    uint64_t refused = 0;
};

/// Who sent a request.
enum class RequestSender {
    /// A caller of this node.
    Caller,
    /// Another node, which can send the request to another target instead.
    Peer,
};

/// Returns whether a new request must be refused because the bodies of requests in progress take too much of the process's
/// memory limit. Logs refusals at most a few times a second.
auto refusesForMemory(SidecarState &state, RequestSender sender) -> bool;

} // namespace snipestream
