#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace snipestream
{

/// Bounds on the requests of one connection that are in progress at once. Beyond them, the server reads no further
/// requests until a response has been sent.
struct PipelineLimits {
    size_t maxRequests = 16;
    /// Total size of the request bodies and of the responses that wait for earlier ones, in bytes.
    uint64_t maxBytes = 256 * 1024;

    friend auto operator==(const PipelineLimits &a, const PipelineLimits &b) -> bool
    {
        return a.maxRequests == b.maxRequests && a.maxBytes == b.maxBytes;
    }
};

/// Identifies a request of one connection; later requests have higher ids.
using PipelinedRequestId = uint64_t;

enum class PipelinedState {
    /// The request has been read but must not run before the ones in front of it have been answered.
    Waiting,
    Running,
    /// The response is complete and is sent after those of the requests in front of it.
    Finished,
};

/// A request of a connection, from the time it has been read until its response is sent.
struct PipelinedRequest {
    PipelinedRequestId id = 0;
    /// Size of the request body, and later of the response, in bytes.
    uint64_t bytes = 0;
    /// The request may run at the same time as other requests of its connection.
    bool isConcurrent = false;
    PipelinedState state = PipelinedState::Waiting;
};

/// Requests of one connection in the order in which they were sent, which is also the order of their responses.
struct RequestPipeline {
    PipelineLimits limits;
    std::deque<PipelinedRequest> requests;
    PipelinedRequestId nextId = 1;
};

/// Adds a request that has been read completely.
auto addRequest(RequestPipeline &pipeline, uint64_t bytes, bool isConcurrent) -> PipelinedRequestId;

/// Returns whether another request may be read. After a request that does not run concurrently, nothing is read until it
/// has been answered.
auto mayReadRequest(const RequestPipeline &pipeline) -> bool;

/// Marks the requests that may start now as running and returns them in order. Concurrent requests start as long as all
/// requests in front of them are concurrent; any other request starts when it is the first one.
auto startRequests(RequestPipeline &pipeline) -> std::vector<PipelinedRequestId>;

/// Marks a request as finished. `responseBytes` is the size of its response.
void finishRequest(RequestPipeline &pipeline, PipelinedRequestId id, uint64_t responseBytes);

/// Removes the first request if it is finished, since its response may be sent now, and returns it.
auto takeFinished(RequestPipeline &pipeline) -> std::optional<PipelinedRequestId>;

/// Removes all requests that have not started and returns them.
auto dropWaiting(RequestPipeline &pipeline) -> std::vector<PipelinedRequestId>;

} // namespace snipestream
