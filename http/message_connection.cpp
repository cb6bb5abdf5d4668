#include "http/message_connection.h"

#include "core/events.h"
#include "http/http_fields.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>

namespace snipestream
{

namespace http = boost::beast::http;
namespace asio = boost::asio;

namespace
{

/// Number of bytes that one system call reads at most.
constexpr size_t kReadBytes = size_t{16} * 1024;
/// Number of bytes that a connection may receive before other connections get their turn.
constexpr size_t kReadBytesPerTurn = size_t{128} * 1024;
/// Number of requests of one connection that are parsed before other connections get their turn.
constexpr int kRequestsPerTurn = 4;
/// Received bytes that may wait to be parsed, in addition to the longest head. As long as there is room, the connection
/// keeps reading and so notices that its caller has closed it.
constexpr size_t kReadAheadBytes = size_t{16} * 1024;
/// The same while the request in progress must end before the next one is parsed.
constexpr size_t kBlockedReadAheadBytes = size_t{4} * 1024;
/// Fraction of maxConnections above which every response asks its caller to close the connection. A caller that was
/// refused retries on a new connection and leaves the old one open, which would use up the limit.
constexpr double kCloseAboveFraction = 0.5;
/// Maximum time for which the server discards incoming bytes before it closes a connection. Closing a socket with unread
/// bytes resets the connection, which could discard the response before the caller reads it.
constexpr Duration kMaxLingerTime = seconds(1);
constexpr Duration kMinLogInterval = milliseconds(500);
/// Maximum number of bytes that are discarded.
constexpr uint64_t kMaxLingerBytes = 1024 * 1024;
/// Memory of a connection without its buffer: the objects here and in the kernel.
constexpr uint64_t kConnectionBytes = 2048;
/// Memory of a request in progress apart from its head and body: the stack of its fiber and the connection to its target.
constexpr uint64_t kRequestBytes = uint64_t{16} * 1024;

auto toMessage(http::request<http::string_body> &&parsed) -> RequestMessage
{
    RequestMessage request;
    request.method = std::string(parsed.method_string());
    request.target = std::string(parsed.target());
    request.headers = copyEndToEndFields(parsed);
    request.keepAlive = parsed.keep_alive();
    request.body = std::move(parsed.body());
    return request;
}

auto headBytes(const RequestMessage &request) -> uint64_t
{
    uint64_t bytes = request.method.size() + request.target.size();
    for (const auto &[name, value] : request.headers) {
        bytes += name.size() + value.size() + sizeof(HeaderList::value_type);
    }
    return bytes;
}

auto countFields(const http::fields &fields) -> size_t
{
    return static_cast<size_t>(std::distance(fields.begin(), fields.end()));
}

} // namespace

/// A request that has been read, with its response once there is one.
struct MessageConnection::Request {
    PipelinedRequestId id = 0;
    RequestMessage message;
    CancelSignal cancel;
    /// Empty while the handler runs, and if the handler returned no response.
    std::optional<ResponseMessage> response;
    uint64_t bodyBytes = 0;
    /// The body waits for the handler, which may still refuse it, and counts as memory of the connection.
    bool isPending = false;
    /// Memory of the request while it is in progress.
    uint64_t heldBytes = 0;
    bool withoutBody = false;
    bool keepAlive = true;
    /// The handler was started, so the request counts in MessageServerShared::activeRequests.
    bool isStarted = false;
    bool isFinished = false;
};

MessageConnection::MessageConnection(asio::ip::tcp::socket socket, std::shared_ptr<MessageServerShared> shared)
    : socket_(std::move(socket))
    , shared_(std::move(shared))
    , hold_(shared_->options.memory)
{
    pipeline_.limits = shared_->options.pipeline;
}

void MessageConnection::start(std::function<void()> onEnd)
{
    onEnd_ = std::move(onEnd);
    boost::system::error_code error;
    socket_.non_blocking(true, error);
    updateIdleDeadline();
    updateMemory();
    if (!hasEnded_) {
        awaitBytes();
    }
}

auto MessageConnection::isWithoutRequest() const -> bool
{
    return requests_.empty() && !isSending_;
}

auto MessageConnection::isReplaceable() const -> bool
{
    return isWithoutRequest() && !isLingering_ && !(hasServed_ && shared_->options.keepsServedConnections);
}

auto MessageConnection::hasUnreadBytes() const -> bool
{
    boost::system::error_code ignored;
    return socket_.available(ignored) > 0;
}

auto MessageConnection::lastRequestAt() const -> TimePoint
{
    return lastRequestAt_;
}

auto MessageConnection::isOverdue(TimePoint now) const -> bool
{
    return now > writeDeadline_ || now > readDeadline_;
}

void MessageConnection::handleTimeout(TimePoint now)
{
    if (now > writeDeadline_ || (requests_.empty() && !isSending_)) {
        close();
        return;
    }
    // Earlier requests are still in progress, so the connection closes after the last of their responses.
    stopReading();
}

void MessageConnection::closeIfIdle()
{
    if (!isBusy()) {
        close();
    }
}

auto MessageConnection::isBusy() const -> bool
{
    return !requests_.empty() || parser_ || isSending_ || isLingering_;
}

void MessageConnection::cancelRequests()
{
    const auto requests = requests_;
    for (const auto &[id, request] : requests) {
        request->cancel.cancel();
    }
}

/// Returns how many received bytes may wait to be parsed. While a request is in progress that no other one may follow yet, nothing
/// is parsed.
auto MessageConnection::maxBufferedBytes() const -> size_t
{
    const bool isParsing = parser_ || mayReadRequest(pipeline_);
    return isParsing ? shared_->options.maxHeaderBytes + kReadAheadBytes : kBlockedReadAheadBytes;
}

/// Counts the memory of the connection. It can be ended for it while it receives a request or has none in progress.
void MessageConnection::updateMemory()
{
    if (buffer_.size() == 0) {
        buffer_.shrink_to_fit();
    }
    const bool isAbortable = (parser_ || isWithoutRequest()) && !isReadingStopped_ && !hasEnded_;
    if (isAbortable != isAbortable_) {
        isAbortable_ = isAbortable;
        const auto abort = [weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->isAbortable_ = false;
                self->endForMemory();
            }
        };
        hold_.setAbort(isAbortable ? std::function<void()>(abort) : nullptr);
    }
    hold_.setBytes(hasEnded_ ? 0 : kConnectionBytes + buffer_.capacity() + pendingBytes_ + incomingBodyBytes());
}

/// Returns the memory of the body that is being received. The whole declared length is reserved at once, but only what has been
/// written, or has been allocated while the body grew, takes memory.
auto MessageConnection::incomingBodyBytes() const -> uint64_t
{
    if (!parser_) {
        return 0;
    }
    /// Larger blocks are mapped outside the heap, and unused pages of them take no memory.
    constexpr uint64_t kMappedBytes = uint64_t{64} * 1024;
    const std::string &body = parser_->get().body();
    return std::min<uint64_t>(body.capacity(), std::max<uint64_t>(body.size(), std::min(2 * uint64_t{body.size()}, kMappedBytes)));
}

/// Refuses the request that is being received, behind those in progress. Closes the connection if there are none and no head has
/// been received.
void MessageConnection::endForMemory()
{
    ++shared_->endedForMemory;
    const TimePoint now = BootClock::now();
    if (now - shared_->memoryLoggedAt >= kMinLogInterval) {
        shared_->memoryLoggedAt = now;
        logEvent(EventId::MemoryShort,
                 {{"server", shared_->options.name},
                  {"connection", std::to_string(buffer_.capacity() + incomingBodyBytes())},
                  {"ended", std::to_string(std::exchange(shared_->endedForMemory, 0))}});
    }
    if (parser_ && (isHeadParsed_ || !isWithoutRequest())) {
        addErrorResponse(503);
    } else {
        close();
    }
}

void MessageConnection::awaitBytes()
{
    if (isAwaitingBytes_ || hasEnded_ || buffer_.size() >= maxBufferedBytes()) {
        return;
    }
    isAwaitingBytes_ = true;
    socket_.async_wait(asio::ip::tcp::socket::wait_read, [self = shared_from_this()](const boost::system::error_code &error) {
        self->isAwaitingBytes_ = false;
        if (self->hasEnded_) {
            return;
        }
        if (error) {
            self->close();
            return;
        }
        self->handleReadable();
    });
}

void MessageConnection::handleReadable()
{
    if (isLingering_) {
        discardBytes();
        return;
    }
    size_t total = 0;
    while (total < kReadBytesPerTurn && buffer_.size() < maxBufferedBytes()) {
        const size_t before = buffer_.size();
        const boost::system::error_code error = receive();
        if (error == asio::error::would_block) {
            break;
        }
        if (error) {
            // A caller that has closed the connection does not wait for responses any more.
            close();
            return;
        }
        const size_t bytes = buffer_.size() - before;
        total += bytes;
        parseRequests();
        if (hasEnded_) {
            return;
        }
        if (bytes < kReadBytes || isLingering_) {
            break;
        }
    }
    if (parser_ && buffer_.size() >= maxBufferedBytes()) {
        // The head of a chunk does not end.
        addErrorResponse(400);
        return;
    }
    awaitBytes();
}

/// Moves bytes that have arrived into the buffer.
auto MessageConnection::receive() -> boost::system::error_code
{
    auto &received = shared_->received;
    received.resize(kReadBytes);
    const size_t room = std::min(kReadBytes, maxBufferedBytes() - buffer_.size());
    boost::system::error_code error;
    const size_t bytes = socket_.read_some(asio::buffer(received.data(), room), error);
    buffer_.commit(asio::buffer_copy(buffer_.prepare(bytes), asio::buffer(received.data(), bytes)));
    return error;
}

/// Discards bytes that still arrive after the last response. Other connections get their turn in between.
void MessageConnection::discardBytes()
{
    auto &received = shared_->received;
    received.resize(kReadBytes);
    boost::system::error_code error;
    for (size_t total = 0; !error && total < kReadBytesPerTurn;) {
        const size_t bytes = socket_.read_some(asio::buffer(received), error);
        total += bytes;
        discardedBytes_ += bytes;
    }
    const bool mayGoOn = !error || error == asio::error::would_block;
    if (mayGoOn && discardedBytes_ < kMaxLingerBytes) {
        awaitBytes();
        return;
    }
    close();
}

void MessageConnection::parseRequests()
{
    for (int parsed = 0; parsed < kRequestsPerTurn; ++parsed) {
        if (!parseRequest()) {
            updateIdleDeadline();
            updateMemory();
            return;
        }
    }
    updateIdleDeadline();
    updateMemory();
    asio::post(socket_.get_executor(), [self = shared_from_this()] {
        if (!self->hasEnded_) {
            self->parseRequests();
            self->awaitBytes();
        }
    });
}

/// Parses the received bytes. Returns whether a whole request has been read.
auto MessageConnection::parseRequest() -> bool
{
    if (isReadingStopped_ || buffer_.size() == 0 || (!parser_ && !mayReadRequest(pipeline_))) {
        return false;
    }
    if (!parser_) {
        parser_.emplace();
        parser_->eager(true);
        parser_->header_limit(shared_->options.maxHeaderBytes);
        parser_->body_limit(shared_->options.maxBodyBytes);
        isHeadParsed_ = false;
        readDeadline_ = BootClock::now() + shared_->options.headTimeout;
    }
    boost::system::error_code error;
    while (!error && !parser_->is_done() && buffer_.size() > 0) {
        buffer_.consume(parser_->put(buffer_.data(), error));
        if (!isHeadParsed_ && parser_->is_header_done() && (!error || error == http::error::need_more)) {
            handleHead();
        }
        if (!parser_) {
            return false;
        }
    }
    if (error && error != http::error::need_more) {
        handleParseError(error);
        return false;
    }
    if (!parser_->is_done()) {
        return false;
    }
    addParsedRequest();
    return true;
}

/// Checks a head that has just been parsed.
void MessageConnection::handleHead()
{
    isHeadParsed_ = true;
    readDeadline_ = BootClock::now() + shared_->options.bodyTimeout;
    if (countFields(parser_->get()) > shared_->options.maxFields) {
        addErrorResponse(431);
        return;
    }
    const bool expectsContinue = !parser_->is_done() && boost::beast::iequals(parser_->get()[http::field::expect], "100-continue");
    // Behind other requests, the interim response would arrive in front of theirs. The caller sends the body anyway after
    // a while.
    if (expectsContinue && requests_.empty() && !isSending_) {
        sendBytes("HTTP/1.1 100 Continue\r\n\r\n", false, nullptr);
    }
}

void MessageConnection::handleParseError(const boost::system::error_code &error)
{
    if (error == http::error::header_limit) {
        addErrorResponse(431);
    } else if (error == http::error::body_limit) {
        addErrorResponse(413);
    } else {
        addErrorResponse(400);
    }
}

void MessageConnection::addParsedRequest()
{
    const auto request = std::make_shared<Request>();
    request->message = toMessage(parser_->release());
    parser_.reset();
    request->withoutBody = request->message.method == "HEAD";
    request->keepAlive = request->message.keepAlive;
    request->bodyBytes = request->message.body.size();
    request->isPending = true;
    pendingBytes_ += request->bodyBytes;
    request->heldBytes = request->bodyBytes + headBytes(request->message) + kRequestBytes;
    lastRequestAt_ = BootClock::now();
    hasServed_ = true;
    const bool isConcurrent = shared_->options.mayRunConcurrently && shared_->options.mayRunConcurrently(request->message);
    shared_->pipelineCounts.pipelined += requests_.empty() ? 0 : 1;
    request->id = addRequest(pipeline_, request->bodyBytes, isConcurrent);
    requests_.emplace(request->id, request);
    startRequests();
}

/// Responds to a request that cannot be read, after the responses to the requests before it. The connection closes then,
/// since the start of the next request is not known.
void MessageConnection::addErrorResponse(int status)
{
    logEvent(EventId::HttpRequestInvalid, {{"server", shared_->options.name}, {"status", std::to_string(status)}});
    stopReading();
    const auto request = std::make_shared<Request>();
    request->response.emplace();
    request->response->status = status;
    request->keepAlive = false;
    request->id = addRequest(pipeline_, 0, true);
    requests_.emplace(request->id, request);
    finishRequest(pipeline_, request->id, 0);
    sendResponses();
}

/// Ends the count of a body that waited for its handler.
void MessageConnection::releasePending(Request &request)
{
    if (std::exchange(request.isPending, false)) {
        pendingBytes_ -= request.bodyBytes;
    }
}

void MessageConnection::stopReading()
{
    isReadingStopped_ = true;
    parser_.reset();
    readDeadline_ = TimePoint::max();
}

void MessageConnection::startRequests()
{
    for (const PipelinedRequestId id : snipestream::startRequests(pipeline_)) {
        const auto request = requests_.at(id);
        request->isStarted = true;
        ++shared_->activeRequests;
        shared_->runtime.spawn([self = shared_from_this(), request] {
            self->runRequest(request);
        });
    }
}

void MessageConnection::runRequest(const std::shared_ptr<Request> &request)
{
    releasePending(*request);
    updateMemory();
    shared_->activeRequestBytes += request->heldBytes;
    if (!hasEnded_ && !isLingering_) {
        request->response = shared_->handler(request->message, request->cancel);
    }
    shared_->activeRequestBytes -= request->heldBytes;
    request->message = RequestMessage();
    finishRequest(pipeline_, request->id, request->response ? request->response->body.size() : 0);
    request->isFinished = true;
    if (hasEnded_) {
        --shared_->activeRequests;
        return;
    }
    sendResponses();
}

void MessageConnection::sendResponses()
{
    while (!isSending_ && !hasEnded_ && !isLingering_) {
        const auto id = takeFinished(pipeline_);
        if (!id) {
            break;
        }
        const auto request = requests_.at(*id);
        requests_.erase(*id);
        unsentRequests_ += request->isStarted ? 1 : 0;
        if (!request->response) {
            close();
            return;
        }
        const bool isCrowded = static_cast<double>(shared_->connections) > kCloseAboveFraction * static_cast<double>(shared_->options.maxConnections);
        // Callers do not repeat every request that was received, so a planned close waits until all have been answered.
        if ((shared_->closing || isCrowded) && requests_.empty() && !parser_ && buffer_.size() == 0) {
            stopReading();
        }
        if (!request->keepAlive) {
            // A caller that asked for the close does not expect responses to what it sent after that.
            for (const PipelinedRequestId dropped : dropWaiting(pipeline_)) {
                releasePending(*requests_.at(dropped));
                requests_.erase(dropped);
                ++shared_->pipelineCounts.dropped;
            }
        }
        // Responses of requests that are already running are still sent, since those may have run.
        const bool closeAfter = !request->keepAlive || (isReadingStopped_ && requests_.empty());
        sendBytes(serializeResponse(*request->response, closeAfter, request->withoutBody), closeAfter, std::move(request->response->held));
    }
    if (hasEnded_ || isLingering_) {
        return;
    }
    const bool isDone = requests_.empty() && !isSending_;
    if (isDone && (isReadingStopped_ || (shared_->closesIdle && !parser_ && buffer_.size() == 0))) {
        beginLinger();
        return;
    }
    if (isReadingStopped_) {
        return;
    }
    startRequests();
    parseRequests();
    awaitBytes();
}

void MessageConnection::sendBytes(std::string bytes, bool closeAfter, std::shared_ptr<MemoryHold> held)
{
    boost::system::error_code error;
    const size_t sent = socket_.write_some(asio::buffer(bytes), error);
    if (error && error != asio::error::would_block) {
        close();
        return;
    }
    if (sent == bytes.size()) {
        handleSent(closeAfter);
        return;
    }
    sendRest(std::move(bytes), sent, closeAfter, held);
}

/// Sends the bytes that the caller has not had room for yet. Until it has read them, they count as memory of the response.
void MessageConnection::sendRest(std::string bytes, size_t sent, bool closeAfter, const std::shared_ptr<MemoryHold> &held)
{
    isSending_ = true;
    writeDeadline_ = BootClock::now() + shared_->options.bodyTimeout;
    const auto rest = std::make_shared<std::string>(std::move(bytes));
    if (held) {
        held->setAbort([weak = weak_from_this(), size = rest->size()] {
            if (const auto self = weak.lock()) {
                logEvent(EventId::ResponseCut, {{"server", self->shared_->options.name}, {"bytes", std::to_string(size)}});
                self->close();
            }
        });
    }
    const auto unsent = asio::buffer(*rest) + sent;
    asio::async_write(socket_, unsent, [self = shared_from_this(), rest, held, closeAfter](const boost::system::error_code &failed, size_t) {
        self->isSending_ = false;
        self->writeDeadline_ = TimePoint::max();
        if (failed) {
            self->close();
            return;
        }
        self->handleSent(closeAfter);
        self->sendResponses();
    });
}

void MessageConnection::handleSent(bool closeAfter)
{
    countSentRequests();
    if (closeAfter && !hasEnded_) {
        beginLinger();
    }
}

void MessageConnection::countSentRequests()
{
    shared_->activeRequests -= std::exchange(unsentRequests_, 0);
}

void MessageConnection::beginLinger()
{
    stopReading();
    isLingering_ = true;
    for (const auto &[id, request] : requests_) {
        // Only a caller that asked for the close itself has requests left behind it.
        request->cancel.cancel();
    }
    boost::system::error_code ignored;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    readDeadline_ = BootClock::now() + kMaxLingerTime;
    buffer_.consume(buffer_.size());
    updateMemory();
    if (!hasEnded_) {
        awaitBytes();
    }
}

void MessageConnection::close()
{
    if (hasEnded_) {
        return;
    }
    hasEnded_ = true;
    const auto self = shared_from_this();
    boost::system::error_code ignored;
    socket_.close(ignored);
    buffer_.consume(buffer_.size());
    stopReading();
    updateMemory();
    countSentRequests();
    const auto requests = std::exchange(requests_, {});
    for (const auto &[id, request] : requests) {
        releasePending(*request);
        // The fiber of a running request counts it out when it ends.
        shared_->activeRequests -= request->isStarted && request->isFinished ? 1 : 0;
        request->cancel.cancel();
    }
    if (onEnd_) {
        std::exchange(onEnd_, nullptr)();
    }
}

void MessageConnection::updateIdleDeadline()
{
    if (parser_ || isLingering_) {
        return;
    }
    readDeadline_ = requests_.empty() && !isSending_ ? BootClock::now() + shared_->options.idleTimeout : TimePoint::max();
}

} // namespace snipestream
