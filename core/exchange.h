#pragma once

#include "core/ids.h"
#include "core/priority.h"
#include "core/refusal.h"
#include "core/result.h"
#include "core/time.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace snipestream
{

/// Maximum size of a body chunk that is forwarded at once.
inline constexpr size_t kMaxChunkBytes = 64 * 1024;

/// HTTP header fields in the order received; names keep their spelling and are compared case-insensitively.
using HeaderList = std::vector<std::pair<std::string, std::string>>;

/// Returns the first value of the header, or empty if it is absent. Names are compared case-insensitively.
auto findHeader(const HeaderList &headers, std::string_view name) -> std::optional<std::string_view>;

/// Removes every field with this name, compared case-insensitively.
void removeHeader(HeaderList &headers, std::string_view name);

/// A request without its body, as it is passed from hop to hop.
struct RequestHead {
    RequestId id;
    std::string method;
    /// Path with query, as received.
    std::string path;
    HeaderList headers;
    /// Length of the body in bytes if known; a body of unknown length is sent chunked.
    std::optional<uint64_t> bodyLength;

    RouteName route;
    ServiceName service;
    /// Empty on routes that any caller may use without a key.
    TeamName team;
    Priority priority = Priority::Normal;
    bool idempotent = true;
    /// Time left to the deadline when the head was sent; each receiver converts it to a time of its own clock.
    Duration timeLeft{};
    /// Further attempts that all remaining hops together may make for this request.
    int attemptsLeft = 0;
    /// Number of hops since the original request, for limits and measurements.
    int depth = 0;
};

/// A response without its body.
struct ResponseHead {
    int status = 200;
    HeaderList headers;
    std::optional<uint64_t> bodyLength;
    /// Set if the system itself refused the request; the HTTP server then sends a problem document as the body.
    std::optional<Refusal> refusal;
    /// Shedding level of the service that responded, used for shedding by the caller; empty if unknown.
    std::optional<int> sheddingLevel;
};

/// A chunk of a body. An empty chunk with `last` set ends the body.
struct BodyChunk {
    std::string bytes;
    bool last = false;
};

/// Reads a body chunk by chunk. `read` blocks the calling fiber; an error means that the body is incomplete.
struct BodyReader {
    std::function<Result<BodyChunk>()> read;
};

/// Writes a body chunk by chunk. `write` blocks the calling fiber while the receiver is slow. Without `finish` the body
/// is incomplete; `abort` notifies the receiver of this at once.
struct BodyWriter {
    std::function<Result<void>(std::string bytes)> write;
    std::function<Result<void>()> finish;
    std::function<void()> abort;
};

/// A request that this process received, over HTTP or from a peer node, and must respond to.
struct Exchange {
    RequestHead head;
    Endpoint remote;
    BodyReader requestBody;
    /// Sends the head of the response; called once, before anything is written to `responseBody`.
    std::function<Result<void>(const ResponseHead &)> respond;
    BodyWriter responseBody;
    /// True once the sender disconnected or cancelled.
    std::function<bool()> isCancelled;
    /// Registers a function that is called once when the sender disconnects or cancels. It must not block.
    std::function<void(std::function<void()>)> onCancel;
};

/// A request that this process sent to a target or to a peer node.
struct OutboundCall {
    BodyWriter requestBody;
    /// Blocks the calling fiber until the head of the response has arrived.
    std::function<Result<ResponseHead>()> awaitHead;
    BodyReader responseBody;
    /// Cancels the call and notifies the receiver. Has no effect after the end of the call.
    std::function<void()> cancel;
    /// True once a byte of the request may have reached the receiver.
    std::function<bool()> mayHaveBeenSent;
};

} // namespace snipestream
