#pragma once

#include <cstdint>
#include <functional>
#include <list>

namespace snipestream
{

/// Bytes of a response that is being received.
struct PartialResponse {
    uint64_t bytes = 0;
    /// Ends the call that receives the response.
    std::function<void()> abort;
};

/// Memory for the responses that are being received by any number of calls. A server may send bytes without end, so the
/// total is bounded.
struct ResponseMemory {
    /// Maximum total size in bytes.
    uint64_t maxBytes = 64ULL * 1024 * 1024;
    uint64_t totalBytes = 0;
    std::list<PartialResponse> responses;
};

/// Identifies a response in `ResponseMemory`.
using PartialResponseId = std::list<PartialResponse>::iterator;

/// Adds a response of which no byte has been received.
auto addPartialResponse(ResponseMemory &memory, std::function<void()> abort) -> PartialResponseId;

/// Sets the number of bytes received of a response. If the total exceeds the limit, the call that holds the most bytes is
/// aborted, since usual responses are small compared with those that do not end.
void setReceivedBytes(ResponseMemory &memory, PartialResponseId id, uint64_t bytes);

/// Removes a response that has been received or aborted.
void removePartialResponse(ResponseMemory &memory, PartialResponseId id);

} // namespace snipestream
