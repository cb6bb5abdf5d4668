#include "peer/stream_table.h"

#include <algorithm>
#include <utility>

namespace snipestream
{

namespace
{

/// Pieces below this size are appended to the previous piece, so that a body of tiny chunks takes little more memory
/// than its bytes.
constexpr size_t kMergeBelowBytes = 1024;

auto violation(uint64_t id, const std::string &what) -> StreamEvent
{
    return {FrameVerdict::Violation, nullptr, what + " in stream " + std::to_string(id)};
}

/// Finds the stream of a frame. If there is none, the frame is late if its id was used before, and a violation
/// otherwise.
auto findStream(StreamTable &table, uint64_t id) -> StreamEvent
{
    const auto found = table.live.find(id);
    if (found != table.live.end()) {
        return {FrameVerdict::Accepted, found->second, {}};
    }
    if (id == 0 || id > table.lastId) {
        return violation(id, "frame before the open frame");
    }
    return {FrameVerdict::Dropped, nullptr, {}};
}

void endIfDone(StreamTable &table, StreamState &stream)
{
    if (stream.live && (stream.abortError || (stream.inboundEnded && stream.outboundEnded))) {
        stream.live = false;
        table.live.erase(stream.id);
    }
}

/// Returns the error if nothing can be sent in the outbound direction of the stream.
auto outboundError(const StreamTable &table, const StreamState &stream) -> std::optional<Error>
{
    if (stream.outboundEnded) {
        return Error{ErrorCode::Conflict, "the body has ended"};
    }
    if (stream.abortError) {
        return stream.abortError;
    }
    if (table.role == LinkRole::Acceptor && !stream.headDone) {
        return Error{ErrorCode::Conflict, "the response has a body before its head"};
    }
    return std::nullopt;
}

} // namespace

auto admitInboundId(StreamTable &table, uint64_t id) -> bool
{
    if (table.role != LinkRole::Acceptor || id <= table.lastId) {
        return false;
    }
    table.lastId = id;
    return true;
}

auto nextOutboundId(StreamTable &table) -> uint64_t
{
    return ++table.lastId;
}

auto startStream(StreamTable &table, uint64_t id) -> std::shared_ptr<StreamState>
{
    auto stream = std::make_shared<StreamState>();
    stream->id = id;
    stream->receiveLimit = table.window;
    stream->sendLimit = table.peerWindow;
    table.live.emplace(id, stream);
    return stream;
}

auto receiveHead(StreamTable &table, HeadFrame frame) -> StreamEvent
{
    StreamEvent event = findStream(table, frame.id);
    if (!event.stream) {
        return event;
    }
    if (table.role != LinkRole::Dialler || event.stream->headDone) {
        return violation(frame.id, "unexpected response head");
    }
    event.stream->headDone = true;
    event.stream->responseHead = std::move(frame.head);
    return event;
}

auto receiveChunk(StreamTable &table, ChunkFrame frame) -> StreamEvent
{
    StreamEvent event = findStream(table, frame.id);
    if (!event.stream) {
        return event;
    }
    StreamState &stream = *event.stream;
    if (stream.inboundEnded) {
        return violation(frame.id, "chunk after the end");
    }
    if (table.role == LinkRole::Dialler && !stream.headDone) {
        return violation(frame.id, "chunk before the response head");
    }
    if (frame.bytes.empty() || frame.bytes.size() > kMaxChunkBytes) {
        return violation(frame.id, "chunk of " + std::to_string(frame.bytes.size()) + " bytes");
    }
    if (frame.offset != stream.received) {
        return violation(frame.id, "chunk at offset " + std::to_string(frame.offset) + " after " + std::to_string(stream.received) + " bytes");
    }
    if (frame.bytes.size() > stream.receiveLimit - stream.received) {
        return violation(frame.id, "chunk beyond the credit");
    }
    stream.received += frame.bytes.size();
    stream.unreadBytes += frame.bytes.size();
    if (frame.bytes.size() < kMergeBelowBytes && !stream.unread.empty() && stream.unread.back().size() + frame.bytes.size() <= kMaxChunkBytes) {
        stream.unread.back().append(frame.bytes);
    } else {
        stream.unread.push_back(std::move(frame.bytes));
    }
    return event;
}

auto receiveCredit(StreamTable &table, const CreditFrame &frame) -> StreamEvent
{
    StreamEvent event = findStream(table, frame.id);
    if (!event.stream) {
        return event;
    }
    StreamState &stream = *event.stream;
    // The peer cannot have read more bytes than were sent.
    if (frame.limit > stream.sent + table.peerWindow) {
        return violation(frame.id, "credit of " + std::to_string(frame.limit) + " bytes");
    }
    stream.sendLimit = std::max(stream.sendLimit, frame.limit);
    return event;
}

auto receiveEnd(StreamTable &table, const EndFrame &frame) -> StreamEvent
{
    StreamEvent event = findStream(table, frame.id);
    if (!event.stream) {
        return event;
    }
    StreamState &stream = *event.stream;
    if (stream.inboundEnded) {
        return violation(frame.id, "second end");
    }
    if (table.role == LinkRole::Dialler && !stream.headDone) {
        return violation(frame.id, "end before the response head");
    }
    if (frame.length != stream.received) {
        return violation(frame.id, "end at " + std::to_string(frame.length) + " bytes after " + std::to_string(stream.received));
    }
    stream.inboundEnded = true;
    endIfDone(table, stream);
    return event;
}

auto receiveAbort(StreamTable &table, const AbortFrame &frame) -> StreamEvent
{
    StreamEvent event = findStream(table, frame.id);
    if (!event.stream) {
        return event;
    }
    if (frame.notStarted && (table.role != LinkRole::Dialler || event.stream->headDone)) {
        return violation(frame.id, "refusal of a request that was started");
    }
    event.stream->abortError = frame.error;
    event.stream->notStarted = frame.notStarted;
    endIfDone(table, *event.stream);
    return event;
}

auto sendHead(StreamTable &table, StreamState &stream) -> Result<void>
{
    if (table.role != LinkRole::Acceptor || stream.headDone) {
        return failure(ErrorCode::Conflict, "the response head was sent before");
    }
    if (stream.abortError) {
        return *stream.abortError;
    }
    stream.headDone = true;
    return success();
}

auto sendChunk(StreamTable &table, StreamState &stream, std::string_view bytes, size_t &position) -> Result<std::optional<ChunkFrame>>
{
    if (auto error = outboundError(table, stream)) {
        return std::move(*error);
    }
    const size_t credit = stream.sendLimit - stream.sent;
    const size_t size = std::min({bytes.size() - position, kMaxChunkBytes, credit});
    if (size == 0) {
        return std::optional<ChunkFrame>();
    }
    ChunkFrame frame{stream.id, stream.sent, std::string(bytes.substr(position, size))};
    stream.sent += size;
    position += size;
    return std::optional<ChunkFrame>(std::move(frame));
}

auto sendEnd(StreamTable &table, StreamState &stream) -> Result<EndFrame>
{
    if (auto error = outboundError(table, stream)) {
        return std::move(*error);
    }
    stream.outboundEnded = true;
    const EndFrame frame{stream.id, stream.sent};
    endIfDone(table, stream);
    return frame;
}

auto sendAbort(StreamTable &table, StreamState &stream, const Error &error, bool notStarted) -> std::optional<AbortFrame>
{
    if (!stream.live) {
        return std::nullopt;
    }
    stream.abortError = error;
    endIfDone(table, stream);
    return AbortFrame{stream.id, error, notStarted};
}

auto readBody(StreamTable &table, StreamState &stream) -> Result<std::optional<ReadResult>>
{
    if (stream.unread.empty()) {
        if (stream.inboundEnded) {
            return std::optional<ReadResult>(ReadResult{BodyChunk{{}, true}, std::nullopt});
        }
        if (stream.abortError) {
            return *stream.abortError;
        }
        return std::optional<ReadResult>();
    }
    ReadResult result;
    result.chunk.bytes = std::move(stream.unread.front());
    stream.unread.pop_front();
    stream.unreadBytes -= result.chunk.bytes.size();
    result.chunk.last = stream.inboundEnded && stream.unread.empty();
    // Credit is granted in steps of at least half a window, so that most reads send no frame.
    const uint64_t limit = stream.received - stream.unreadBytes + table.window;
    if (stream.live && !stream.inboundEnded && limit - stream.receiveLimit >= table.window / 2) {
        stream.receiveLimit = limit;
        result.credit = CreditFrame{stream.id, limit};
    }
    return std::optional<ReadResult>(std::move(result));
}

auto abortAll(StreamTable &table, const Error &error) -> std::vector<std::shared_ptr<StreamState>>
{
    std::vector<std::shared_ptr<StreamState>> streams;
    streams.reserve(table.live.size());
    for (auto &[id, stream] : table.live) {
        stream->abortError = error;
        stream->live = false;
        streams.push_back(stream);
    }
    table.live.clear();
    return streams;
}

} // namespace snipestream
