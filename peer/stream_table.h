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

/// Which end of a link this is. The dialler opens calls and streams, the acceptor serves them.
enum class LinkRole {
    Dialler,
    Acceptor,
};

/// One stream at one end of a link: a body in each direction, and one response head from acceptor to dialler.
struct StreamState {
    uint64_t id = 0;

    /// Body pieces received and not yet read.
    std::deque<std::string> unread;
    uint64_t unreadBytes = 0;
    /// Bytes received so far, and the total up to which the peer may send.
    uint64_t received = 0;
    uint64_t receiveLimit = 0;
    bool inboundEnded = false;

    /// Bytes sent so far, and the total up to which the peer lets this end send.
    uint64_t sent = 0;
    uint64_t sendLimit = 0;
    bool outboundEnded = false;

    /// The response head was received (dialler) or sent (acceptor).
    bool headDone = false;
    std::optional<ResponseHead> responseHead;

    /// Why the stream is over before its regular end. A body that ended before that is still complete.
    std::optional<Error> cut;
    /// The peer stated that the request never reached its handler.
    bool notStarted = false;
    /// False once the stream is over at this end; frames for it are then late.
    bool live = true;
};

/// The streams of one end of one link.
struct StreamTable {
    LinkRole role = LinkRole::Dialler;
    /// Bytes of one body that may be under way to this end or unread, and to the peer; each side names its own.
    uint64_t window = 256 * 1024;
    uint64_t peerWindow = 256 * 1024;
    /// Largest id used so far by the dialler, for calls and streams together.
    uint64_t lastId = 0;
    std::unordered_map<uint64_t, std::shared_ptr<StreamState>> live;
};

/// What became of a received frame.
enum class FrameVerdict {
    /// Taken; whoever waits on the stream should look again.
    Accepted,
    /// Belongs to a stream that is over at this end.
    Dropped,
    /// No correct peer sends it here; the link must be closed.
    Violation,
};

struct StreamEvent {
    FrameVerdict verdict = FrameVerdict::Accepted;
    std::shared_ptr<StreamState> stream;
    /// Set with Violation: what is wrong.
    std::string reason;
};

/// Returns whether the acceptor may take a call or stream with this id; ids only grow, so a repeat is refused.
auto admitInboundId(StreamTable &table, uint64_t id) -> bool;

/// Returns the next id for a call or stream of the dialler.
auto nextOutboundId(StreamTable &table) -> uint64_t;

/// Starts a stream at the dialler, or at the acceptor for an admitted id. Each end may send the peer's full window at
/// first.
auto startStream(StreamTable &table, uint64_t id) -> std::shared_ptr<StreamState>;

/// Applies a received frame of a stream: head, chunk, credit, end or abort.
auto receiveHead(StreamTable &table, HeadFrame frame) -> StreamEvent;
auto receiveChunk(StreamTable &table, ChunkFrame frame) -> StreamEvent;
auto receiveCredit(StreamTable &table, const CreditFrame &frame) -> StreamEvent;
auto receiveEnd(StreamTable &table, const EndFrame &frame) -> StreamEvent;
auto receiveAbort(StreamTable &table, const AbortFrame &frame) -> StreamEvent;

/// Marks the response head as sent. Conflict if it was sent before or this end is the dialler.
auto sendHead(StreamTable &table, StreamState &stream) -> Result<void>;

/// Returns the next piece of `bytes` from `position` that credit and chunk size allow, and moves the position; empty
/// while there is no credit. Closed, Conflict or the reason of the cut if the body cannot be continued.
auto sendChunk(StreamTable &table, StreamState &stream, std::string_view bytes, size_t &position) -> Result<std::optional<ChunkFrame>>;

/// Ends the outbound body.
auto sendEnd(StreamTable &table, StreamState &stream) -> Result<EndFrame>;

/// Gives the stream up at this end; returns the frame for the peer, or nothing if the stream is over already.
auto sendAbort(StreamTable &table, StreamState &stream, const Error &error, bool notStarted = false) -> std::optional<AbortFrame>;

/// A step of reading a body: the chunk, and the credit that reading it gave to the peer.
struct ReadStep {
    BodyChunk chunk;
    std::optional<CreditFrame> credit;
};

/// Returns the next part of the inbound body, or nothing while none is there. The reason of the cut if the body is not
/// complete; bytes that came before the cut are returned first.
auto readBody(StreamTable &table, StreamState &stream) -> Result<std::optional<ReadStep>>;

/// Ends every stream with the error, after the link is lost; returns them.
auto cutAll(StreamTable &table, const Error &error) -> std::vector<std::shared_ptr<StreamState>>;

} // namespace snipestream
