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

/// Largest piece of a body that is handed on at once, in bytes.
inline constexpr size_t kMaxChunkBytes = 64 * 1024;

/// HTTP header fields in the order received; names keep their spelling and compare without case.
using HeaderList = std::vector<std::pair<std::string, std::string>>;

/// Returns the first value of the header, compared without case, or empty if it is absent.
auto findHeader(const HeaderList &headers, std::string_view name) -> std::optional<std::string_view>;

/// Removes every field with this name, compared without case.
void removeHeader(HeaderList &headers, std::string_view name);

/// Everything about a request except its body, as it travels from hop to hop.
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
    /// Empty on routes that are open to all.
    TeamName team;
    Priority priority = Priority::Normal;
    bool idempotent = true;
    /// Time left to the deadline when the head was sent; each receiver turns it into a local moment.
    Duration timeLeft{};
    /// Further attempts that the whole remaining tree may make for this request.
    int attemptsLeft = 0;
    /// Hops since the original request, for limits and measurements.
    int depth = 0;
};

/// Everything about an answer except its body.
struct ResponseHead {
    int status = 200;
    HeaderList headers;
    std::optional<uint64_t> bodyLength;
    /// Set if the answer is a refusal by the system; the body is then the problem document of the edge.
    std::optional<Refusal> refusal;
    /// Shedding level of the service that answered, for upstream shedding; empty if not known.
    std::optional<int> sheddingLevel;
};

/// A piece of a body. An empty chunk with `last` set ends a body.
struct BodyChunk {
    std::string bytes;
    bool last = false;
};

/// Reads a body piece by piece. The call blocks the calling fiber; an error means that the body was cut.
struct BodyReader {
    std::function<Result<BodyChunk>()> read;
};

/// Writes a body piece by piece. `write` blocks the calling fiber while the receiver is slow. Without `finish` the body
/// is incomplete; `abort` tells the receiver so at once.
struct BodyWriter {
    std::function<Result<void>(std::string bytes)> write;
    std::function<Result<void>()> finish;
    std::function<void()> abort;
};

/// A request that this process received, over HTTP or from a peer node, and has to answer.
struct Exchange {
    RequestHead head;
    Endpoint remote;
    BodyReader requestBody;
    /// Sends the head of the answer; called once, before anything is written to `responseBody`.
    std::function<Result<void>(const ResponseHead &)> respond;
    BodyWriter responseBody;
    /// True once the sender left or cancelled.
    std::function<bool()> isCancelled;
    /// Registers a function that is called once when the sender leaves or cancels. It must not block.
    std::function<void(std::function<void()>)> onCancel;
};

/// A request that this process sent on, to a target or to a peer node.
struct OutboundCall {
    BodyWriter requestBody;
    /// Blocks the calling fiber until the head of the answer is there.
    std::function<Result<ResponseHead>()> awaitHead;
    BodyReader responseBody;
    /// Gives the call up; the receiver is told. Harmless after the end of the call.
    std::function<void()> cancel;
    /// True once a byte of the request may have reached the receiver.
    std::function<bool()> mayHaveBeenSent;
};

} // namespace snipestream
