#include "peer/link.h"

#include "core/events.h"
#include "net/await.h"
#include "peer/link_stream.h"

#include <utility>

namespace snipestream
{

using nlohmann::json;

namespace
{

/// Send buffers above this size are freed once their bytes are sent, so that an idle link does not hold the memory of a
/// large message.
constexpr size_t kMaxIdleBufferBytes = 4096;

auto closedError(const std::string &why) -> Error
{
    return {ErrorCode::Closed, why};
}

/// Counts a handler as running, in the network and on its link, as long as this object exists.
class RunningHandler
{
public:
    explicit RunningHandler(PeerShared &shared, size_t &linkCount)
        : shared_(shared)
        , linkCount_(linkCount)
    {
        ++shared_.inboundRunning;
        ++linkCount_;
    }
    ~RunningHandler()
    {
        --shared_.inboundRunning;
        --linkCount_;
        shared_.changed.notify();
    }
    RunningHandler(const RunningHandler &) = delete;
    auto operator=(const RunningHandler &) -> RunningHandler & = delete;

private:
    PeerShared &shared_;
    size_t &linkCount_;
};

} // namespace

PeerLink::PeerLink(std::shared_ptr<PeerShared> shared, std::shared_ptr<PeerSocket> socket, LinkRole role)
    : shared_(std::move(shared))
    , socket_(std::move(socket))
{
    table_.role = role;
    table_.window = shared_->options.streamWindowBytes;
}

void PeerLink::onMessage(std::string_view message)
{
    while (!message.empty() && phase_ != Phase::Closed) {
        auto frame = decodeFrame(message);
        if (!frame) {
            failFrame(frame.error());
            return;
        }
        const auto applied = onFrame(std::move(frame.value()));
        if (!applied) {
            failFrame(applied.error());
            return;
        }
    }
}

void PeerLink::failFrame(const Error &error)
{
    if (phase_ != Phase::Ready) {
        // The reason does not reveal details to a peer that is not authenticated.
        refuse("invalid frame in the handshake");
        return;
    }
    shared_->violations.add();
    logEvent(EventId::PeerFrameInvalid, {{"node", peer_.node.value}, {"remote", toString(remote())}, {"reason", error.message}});
    close(error);
}

auto PeerLink::onFrame(Frame &&frame) -> Result<void>
{
    if (phase_ != Phase::Ready) {
        return onHandshakeFrame(frame);
    }
    if (table_.role == LinkRole::Acceptor) {
        if (auto *call = std::get_if<CallFrame>(&frame)) {
            return onCall(std::move(*call));
        }
        if (auto *open = std::get_if<OpenFrame>(&frame)) {
            return onOpen(std::move(*open));
        }
        if (auto *notice = std::get_if<NoticeFrame>(&frame)) {
            return onNotice(*notice);
        }
    } else {
        if (auto *reply = std::get_if<ReplyFrame>(&frame)) {
            return onReply(reply->id, std::move(reply->payload));
        }
        if (auto *error = std::get_if<CallErrorFrame>(&frame)) {
            return onReply(error->id, std::move(error->error));
        }
        if (std::holds_alternative<GoodbyeFrame>(frame)) {
            draining_ = true;
            return success();
        }
    }
    if (auto *chunk = std::get_if<ChunkFrame>(&frame)) {
        return onStreamEvent(receiveChunk(table_, std::move(*chunk)));
    }
    if (auto *head = std::get_if<HeadFrame>(&frame)) {
        return onStreamEvent(receiveHead(table_, std::move(*head)));
    }
    if (const auto *credit = std::get_if<CreditFrame>(&frame)) {
        return onStreamEvent(receiveCredit(table_, *credit));
    }
    if (const auto *end = std::get_if<EndFrame>(&frame)) {
        return onStreamEvent(receiveEnd(table_, *end));
    }
    if (const auto *abort = std::get_if<AbortFrame>(&frame)) {
        return onStreamEvent(receiveAbort(table_, *abort));
    }
    return failure(ErrorCode::ProtocolViolation, "frame of kind " + std::to_string(frame.index()) + " is not for this end of the link");
}

auto PeerLink::inboundRefusal() const -> std::optional<Error>
{
    if (shared_->refusesInbound) {
        return Error{ErrorCode::Unavailable, "the node is shutting down"};
    }
    if (inboundCalls_ >= shared_->options.maxInboundPerLink) {
        return Error{ErrorCode::Unavailable, "too many calls run on this link"};
    }
    return std::nullopt;
}

auto PeerLink::onCall(CallFrame &&frame) -> Result<void>
{
    if (!admitInboundId(table_, frame.id)) {
        return failure(ErrorCode::ProtocolViolation, "call id " + std::to_string(frame.id) + " does not grow");
    }
    lastUsed_ = BootClock::now();
    if (auto refusal = inboundRefusal()) {
        return queue(CallErrorFrame{frame.id, std::move(*refusal)});
    }
    const auto handler = shared_->callHandlers.find(frame.method);
    if (handler == shared_->callHandlers.end()) {
        return queue(CallErrorFrame{frame.id, {ErrorCode::NotFound, "no method '" + frame.method + "'"}});
    }
    auto running = std::make_shared<RunningHandler>(*shared_, inboundCalls_);
    shared_->runtime.spawn(
        [self = shared_from_this(), running = std::move(running), id = frame.id, &function = handler->second, payload = std::move(frame.payload)] {
            auto reply = function(self->peer_, payload);
            if (self->phase_ != Phase::Ready) {
                return;
            }
            const auto queued = reply ? self->queue(ReplyFrame{id, std::move(reply.value())}) : self->queue(CallErrorFrame{id, reply.error()});
            if (!queued) {
                static_cast<void>(self->queue(CallErrorFrame{id, {ErrorCode::TooLarge, "the reply is too large"}}));
            }
        });
    return success();
}

auto PeerLink::onOpen(OpenFrame &&frame) -> Result<void>
{
    if (!admitInboundId(table_, frame.id)) {
        return failure(ErrorCode::ProtocolViolation, "stream id " + std::to_string(frame.id) + " does not grow");
    }
    lastUsed_ = BootClock::now();
    auto refusal = inboundRefusal();
    if (!refusal && !shared_->streamHandler) {
        refusal = Error{ErrorCode::NotFound, "the node serves no streams"};
    }
    if (refusal) {
        return queue(AbortFrame{frame.id, std::move(*refusal), true});
    }
    auto stream = std::make_shared<LinkStream>(shared_from_this(), startStream(table_, frame.id));
    streams_.emplace(frame.id, stream);
    auto running = std::make_shared<RunningHandler>(*shared_, inboundCalls_);
    shared_->runtime.spawn([self = shared_from_this(), running = std::move(running), stream = std::move(stream), head = std::move(frame.head)]() mutable {
        Exchange exchange = stream->makeExchange(std::move(head));
        self->shared_->streamHandler(exchange);
        stream->endHandler();
    });
    return success();
}

auto PeerLink::onNotice(const NoticeFrame &frame) -> Result<void>
{
    lastUsed_ = BootClock::now();
    const auto handler = shared_->noticeHandlers.find(frame.method);
    if (handler == shared_->noticeHandlers.end()) {
        shared_->framesDropped.add();
        return success();
    }
    handler->second(peer_, frame.payload);
    return success();
}

auto PeerLink::onReply(uint64_t id, Result<json> reply) -> Result<void>
{
    const auto found = calls_.find(id);
    if (found == calls_.end()) {
        shared_->framesDropped.add();
        return success();
    }
    PendingCall &call = *found->second;
    calls_.erase(found);
    call.done = true;
    if (reply) {
        call.reply = std::move(reply.value());
    } else {
        call.error = std::move(reply.error());
    }
    call.event.notify();
    return success();
}

auto PeerLink::onStreamEvent(const StreamEvent &event) -> Result<void>
{
    if (event.verdict == FrameVerdict::Violation) {
        return failure(ErrorCode::ProtocolViolation, event.reason);
    }
    if (event.verdict == FrameVerdict::Dropped) {
        shared_->framesDropped.add();
        return success();
    }
    const auto found = streams_.find(event.stream->id);
    if (found != streams_.end()) {
        const auto stream = found->second;
        stream->wake();
        removeIfEnded(*event.stream);
    }
    return success();
}

auto PeerLink::call(const std::string &method, json payload, Duration timeout) -> Result<json>
{
    if (!isReady() || isQueueFull()) {
        return failure(ErrorCode::Unavailable, "the link to " + toString(remote()) + " takes no calls");
    }
    const auto self = shared_from_this();
    PendingCall call;
    const uint64_t id = nextOutboundId(table_);
    lastUsed_ = BootClock::now();
    BOOST_OUTCOME_TRY(queue(CallFrame{id, method, std::move(payload)}));
    shared_->callsStarted.add();
    calls_.emplace(id, &call);
    if (!waitFor(shared_->runtime.context(), call.event, timeout, call.done)) {
        calls_.erase(id);
        shared_->changed.notify();
        return failure(ErrorCode::Timeout, "no reply to " + method + " from " + toString(remote()));
    }
    shared_->changed.notify();
    if (call.error) {
        return std::move(*call.error);
    }
    return std::move(call.reply);
}

auto PeerLink::notify(const std::string &method, json payload) -> bool
{
    if (!isReady() || isQueueFull()) {
        return false;
    }
    lastUsed_ = BootClock::now();
    return queue(NoticeFrame{method, std::move(payload)}).has_value();
}

auto PeerLink::openStream(const RequestHead &head) -> Result<OutboundCall>
{
    if (!isReady()) {
        return failure(ErrorCode::Unavailable, "the link to " + toString(remote()) + " takes no streams");
    }
    const uint64_t id = nextOutboundId(table_);
    BOOST_OUTCOME_TRY(queue(OpenFrame{id, head}));
    lastUsed_ = BootClock::now();
    shared_->streamsOpened.add();
    auto stream = std::make_shared<LinkStream>(shared_from_this(), startStream(table_, id));
    streams_.emplace(id, stream);
    return stream->makeOutboundCall();
}

void PeerLink::sendGoodbye()
{
    if (isReady() && table_.role == LinkRole::Acceptor) {
        static_cast<void>(queue(GoodbyeFrame{}));
    }
}

auto PeerLink::queue(const Frame &frame) -> Result<void>
{
    if (phase_ == Phase::Closed) {
        return closedError("the link to " + toString(remote()) + " is closed");
    }
    const size_t before = out_.size();
    encodeFrame(frame, out_);
    const size_t limit = shared_->options.maxFrameBytes;
    if (out_.size() - before > limit) {
        const size_t size = out_.size() - before;
        out_.resize(before);
        return failure(ErrorCode::TooLarge, "frame of " + std::to_string(size) + " bytes");
    }
    if (out_.size() > limit) {
        sendBuffered(before);
    }
    if (!flushScheduled_) {
        flushScheduled_ = true;
        boost::asio::post(shared_->runtime.context(), [self = shared_from_this()] {
            self->flushScheduled_ = false;
            self->flush();
        });
    }
    return success();
}

void PeerLink::sendBuffered(size_t bytes)
{
    socket_->send(std::string_view(out_).substr(0, bytes));
    shared_->bytesSent.add(bytes);
    if (out_.capacity() > kMaxIdleBufferBytes && bytes == out_.size()) {
        std::string().swap(out_);
    } else {
        out_.erase(0, bytes);
    }
}

void PeerLink::flush()
{
    if (!out_.empty()) {
        sendBuffered(out_.size());
    }
}

void PeerLink::onDrained()
{
    if (isQueueFull()) {
        return;
    }
    for (const auto &[id, stream] : streams_) {
        stream->wakeWriter();
    }
}

void PeerLink::removeIfEnded(const StreamState &stream)
{
    if (!stream.live && streams_.erase(stream.id) > 0) {
        lastUsed_ = BootClock::now();
        shared_->changed.notify();
    }
}

void PeerLink::close(const Error &why)
{
    if (phase_ == Phase::Closed) {
        return;
    }
    const auto self = shared_from_this();
    const bool wasReady = phase_ == Phase::Ready;
    flush();
    phase_ = Phase::Closed;
    handshakeTimer_.reset();
    socket_->close(why.message);
    if (wasReady) {
        --shared_->openLinks;
        shared_->linksOpen.set(static_cast<double>(shared_->openLinks));
    }
    const Error linkError = why.code == ErrorCode::Closed ? why : closedError("link lost: " + why.message);
    for (auto &[id, call] : std::exchange(calls_, {})) {
        call->done = true;
        call->error = linkError;
        call->event.notify();
    }
    static_cast<void>(abortAll(table_, linkError));
    for (auto &[id, stream] : std::exchange(streams_, {})) {
        stream->wake();
    }
    observer_.closed(why);
    shared_->changed.notify();
}

void PeerLink::onSocketClosed(SocketEnd end, const std::string &reason)
{
    if (phase_ == Phase::Ready) {
        if (end == SocketEnd::Violation) {
            shared_->violations.add();
            logEvent(EventId::PeerFrameInvalid, {{"node", peer_.node.value}, {"remote", toString(remote())}, {"reason", reason}});
        } else if (end == SocketEnd::Lost) {
            logEvent(EventId::PeerLost, {{"node", peer_.node.value}, {"remote", toString(remote())}, {"reason", reason}});
        }
    }
    close(closedError(reason));
    const auto socketClosed = std::exchange(observer_, {}).socketClosed;
    socketClosed();
    shared_->changed.notify();
}

void PeerLink::tick(TimePoint now)
{
    const auto &options = shared_->options;
    if (phase_ != Phase::Ready) {
        return;
    }
    const TimePoint received = socket_->lastReceived();
    const Duration silent = now - received;
    silentTicks_ = received == receivedAtTick_ ? silentTicks_ + 1 : 0;
    receivedAtTick_ = received;
    // After a pause of this process, the last receive time is old although replies may wait unread in the socket. A
    // pause counts as one tick, so a link is only dead if it was also silent at nearly all ticks of `deadAfter`.
    if (silent >= options.deadAfter && silentTicks_ + 1 >= options.deadAfter / tickInterval(options)) {
        logEvent(EventId::PeerLost, {{"node", peer_.node.value}, {"remote", toString(remote())}, {"reason", "nothing received"}});
        close(closedError("nothing received from " + toString(remote())));
        return;
    }
    const bool isUnused = draining_ || now - lastUsed_ >= options.idleTimeout;
    if (table_.role == LinkRole::Dialler && !inUse() && isUnused) {
        close(closedError("the link is not in use"));
        return;
    }
    if (silent >= options.pingInterval) {
        socket_->ping();
    }
}

auto PeerLink::isReady() const -> bool
{
    return phase_ == Phase::Ready;
}

auto PeerLink::isDraining() const -> bool
{
    return draining_;
}

auto PeerLink::inUse() const -> bool
{
    return !calls_.empty() || !streams_.empty();
}

auto PeerLink::queuedBytes() const -> size_t
{
    return out_.size() + socket_->queuedBytes();
}

auto PeerLink::unreadBytes() const -> size_t
{
    size_t bytes = 0;
    for (const auto &[id, stream] : streams_) {
        bytes += stream->state().unreadBytes;
    }
    return bytes;
}

auto PeerLink::isQueueFull() const -> bool
{
    return queuedBytes() >= shared_->options.maxQueuedBytes;
}

auto PeerLink::table() -> StreamTable &
{
    return table_;
}

auto PeerLink::role() const -> LinkRole
{
    return table_.role;
}

auto PeerLink::remote() const -> Endpoint
{
    return socket_->remote();
}

} // namespace snipestream
