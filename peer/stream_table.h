#pragma once

#include "peer/frame.h"

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace snipestream
{

/// Role of one end of a link. The dialler starts calls and streams; the acceptor runs their handlers.
enum class LinkRole {
    Dialler,
    Acceptor,
};

/// State of one stream at one end of a link: a body in each direction, and one response head from acceptor to dialler.
struct StreamState {
    uint64_t id = 0;

    /// Pieces of the body that are received and not yet read.
    std::deque<std::string> unread;
    uint64_t unreadBytes = 0;
    /// Body bytes received so far, and the total up to which the peer may send.
    uint64_t received = 0;
    uint64_t receiveLimit = 0;
    bool inboundEnded = false;

    /// Body bytes sent so far, and the total up to which the peer allows this end to send.
    uint64_t sent = 0;
    uint64_t sendLimit = 0;
    bool outboundEnded = false;

    /// The response head was received (dialler) or sent (acceptor).
    bool headDone = false;
    std::optional<ResponseHead> responseHead;

    /// Set if the stream ended before its regular end. A body that ended before the abort is still complete.
    std::optional<Error> abortError;
    /// The peer stated that the request never reached its handler.
    bool notStarted = false;
    /// False once the stream has ended at this end; frames that still arrive for it are late.
    bool live = true;
};

/// The streams of one end of one link.
struct StreamTable {
    LinkRole role = LinkRole::Dialler;
    /// Maximum bytes of one body that may be in flight or unread, to this end and to the peer. Each side states its own
    /// window in its hello.
    uint64_t window = 256 * 1024;
    uint64_t peerWindow = 256 * 1024;
    /// Maximum id that the dialler has used so far; calls and streams share one sequence.
    uint64_t lastId = 0;
    std::unordered_map<uint64_t, std::shared_ptr<StreamState>> live;
};

/// How a received frame was processed.
enum class FrameVerdict {
    /// Applied to its stream; fibers that wait on the stream must be woken.
    Accepted,
    /// Ignored, because its stream has ended at this end.
    Dropped,
    /// Not allowed by the protocol; the link must be closed.
    Violation,
};

struct StreamEvent {
    FrameVerdict verdict = FrameVerdict::Accepted;
    std::shared_ptr<StreamState> stream;
    /// Set for a Violation: what is wrong.
    std::string reason;
};

/// Returns whether the acceptor may start a call or stream with this id. Ids must grow, so a duplicate is refused.
auto admitInboundId(StreamTable &table, uint64_t id) -> bool;

/// Returns the next id for a call or stream of the dialler.
auto nextOutboundId(StreamTable &table) -> uint64_t;

/// Starts a stream at the dialler, or at the acceptor for an admitted id. Each end may initially send up to the peer's
/// full window.
auto startStream(StreamTable &table, uint64_t id) -> std::shared_ptr<StreamState>;

/// Applies a received frame of a stream: head, chunk, credit, end or abort.
auto receiveHead(StreamTable &table, HeadFrame frame) -> StreamEvent;
auto receiveChunk(StreamTable &table, ChunkFrame frame) -> StreamEvent;
auto receiveCredit(StreamTable &table, const CreditFrame &frame) -> StreamEvent;
auto receiveEnd(StreamTable &table, const EndFrame &frame) -> StreamEvent;
auto receiveAbort(StreamTable &table, const AbortFrame &frame) -> StreamEvent;

/// Marks the response head as sent. Returns Conflict if it was sent before or this end is the dialler.
auto sendHead(StreamTable &table, StreamState &stream) -> Result<void>;

/// Returns the next piece of `bytes` from `position` that credit and kMaxChunkBytes allow, and advances `position`;
/// returns nothing while there is no credit. Returns Conflict if the body has ended or the response head was not sent,
/// and the stream's abortError if the stream was aborted.
auto sendChunk(StreamTable &table, StreamState &stream, std::string_view bytes, size_t &position) -> Result<std::optional<ChunkFrame>>;

/// Ends the outbound body.
auto sendEnd(StreamTable &table, StreamState &stream) -> Result<EndFrame>;

/// Aborts the stream at this end. Returns the frame for the peer, or nothing if the stream has already ended.
auto sendAbort(StreamTable &table, StreamState &stream, const Error &error, bool notStarted = false) -> std::optional<AbortFrame>;

/// A chunk that was read from a body, and the credit to send to the peer for it, if any.
struct ReadResult {
    BodyChunk chunk;
    std::optional<CreditFrame> credit;
};

/// Returns the next piece of the inbound body, or nothing while none has arrived. Returns the stream's abortError if the
/// body is incomplete, after all bytes that arrived before the abort.
auto readBody(StreamTable &table, StreamState &stream) -> Result<std::optional<ReadResult>>;

/// Aborts all streams with the error after the link was lost, and returns them.
auto abortAll(StreamTable &table, const Error &error) -> std::vector<std::shared_ptr<StreamState>>;

} // namespace snipestream
