#include "http/http_connection.h"

#include "core/events.h"
#include "http/http_fields.h"
#include "net/await.h"

#include <algorithm>
#include <array>
#include <optional>

#include <boost/beast/http.hpp>

namespace snipestream
{

namespace http = boost::beast::http;
namespace asio = boost::asio;

namespace
{

/// Maximum number of bytes that are read and discarded after an early response before the connection is closed, which
/// resets it if the caller is still sending.
constexpr size_t kMaxLingerBytes = 1024 * 1024;
/// Maximum time for which bytes are discarded after an early response.
constexpr Duration kMaxLingerTime = seconds(1);

auto hasNoBody(const std::string &method, int status) -> bool
{
    return method == "HEAD" || status == 204 || status == 304 || status / 100 == 1;
}

} // namespace

/// State of one request and its response.
struct HttpConnection::Call {
    http::request_parser<http::buffer_body> parser;
    http::response<http::buffer_body> response;
    std::optional<http::response_serializer<http::buffer_body>> serializer;
    std::optional<uint64_t> responseLength;
    uint64_t responseBytes = 0;
    std::vector<std::function<void()>> cancelHandlers;
    Exchange exchange;
    bool expectsContinue = false;
    bool responded = false;
    bool finished = false;
    bool cancelled = false;
    bool aborted = false;
    bool ended = false;
};

HttpConnection::HttpConnection(asio::ip::tcp::socket socket, Endpoint remote, std::shared_ptr<HttpServerShared> shared)
    : socket_(std::move(socket))
    , remote_(std::move(remote))
    , shared_(std::move(shared))
    , idleTimer_(shared_->runtime.context())
{
}

void HttpConnection::awaitRequest()
{
    if (closed_) {
        return;
    }
    if (shared_->stopping && hasServed_) {
        close();
        return;
    }
    const auto self = shared_from_this();
    idleTimer_.expires_after(shared_->options.idleTimeout);
    idleTimer_.async_wait([self](const boost::system::error_code &error) {
        if (!error) {
            self->closeIfIdle();
        }
    });
    socket_.async_wait(asio::ip::tcp::socket::wait_read, [self](const boost::system::error_code &error) {
        self->idleTimer_.cancel();
        if (error || self->closed_) {
            self->close();
            return;
        }
        self->busy_ = true;
        self->shared_->runtime.spawn([self] {
            self->serveRequests();
        });
    });
}

void HttpConnection::closeIfIdle()
{
    if (!busy_) {
        close();
    }
}

void HttpConnection::closeIfServed()
{
    if (hasServed_) {
        closeIfIdle();
    }
}

void HttpConnection::close()
{
    if (closed_) {
        return;
    }
    closed_ = true;
    idleTimer_.cancel();
    boost::system::error_code ignored;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    socket_.close(ignored);
    shared_->connections.erase(shared_from_this());
}

void HttpConnection::serveRequests()
{
    while (!closed_) {
        const auto call = std::make_shared<Call>();
        if (!readHead(*call)) {
            return;
        }
        hasServed_ = true;
        shared_->requests.add();
        ++shared_->activeRequests;
        const bool reusable = handle(call);
        --shared_->activeRequests;
        if (!reusable) {
            lingerAndClose();
            return;
        }
        if (buffer_.size() == 0) {
            // Releases the read buffer, so that idle connections hold no buffer memory.
            buffer_ = boost::beast::flat_buffer();
            busy_ = false;
            awaitRequest();
            return;
        }
    }
}

auto HttpConnection::readHead(Call &call) -> bool
{
    call.parser.header_limit(shared_->options.maxHeaderBytes);
    call.parser.body_limit(shared_->options.maxBodyBytes);
    const auto start = [&](auto handler) {
        http::async_read_header(socket_, buffer_, call.parser, handler);
    };
    const IoResult result = awaitIoFor(shared_->runtime.context(), shared_->options.headTimeout, start, [this] {
        boost::system::error_code ignored;
        socket_.cancel(ignored);
    });
    if (!result.error) {
        return true;
    }
    if (result.error == http::error::end_of_stream || result.error == asio::error::connection_reset) {
        close();
        return false;
    }
    if (result.error == http::error::header_limit) {
        respondInvalid(431, "the head has more than " + std::to_string(shared_->options.maxHeaderBytes) + " bytes");
    } else if (result.error == http::error::body_limit) {
        respondInvalid(413, "the body has more than " + std::to_string(shared_->options.maxBodyBytes) + " bytes");
    } else if (result.error == asio::error::timed_out) {
        respondInvalid(408, "the head did not arrive in time");
    } else {
        respondInvalid(400, result.error.message());
    }
    return false;
}

auto HttpConnection::canDiscardBody(const Call &call) -> bool
{
    const auto remaining = call.parser.content_length_remaining();
    return !call.expectsContinue && remaining && *remaining <= kMaxChunkBytes;
}

auto HttpConnection::handle(const std::shared_ptr<Call> &call) -> bool
{
    auto &request = call->parser.get();
    Exchange &exchange = call->exchange;
    exchange.remote = remote_;
    exchange.head.method = std::string(request.method_string());
    exchange.head.path = std::string(request.target());
    exchange.head.headers = copyEndToEndFields(request);
    if (call->parser.content_length()) {
        exchange.head.bodyLength = *call->parser.content_length();
    } else if (!call->parser.chunked()) {
        exchange.head.bodyLength = 0;
    }
    call->expectsContinue = boost::beast::iequals(request[http::field::expect], "100-continue");

    exchange.requestBody.read = [this, call] {
        return readBody(call);
    };
    exchange.respond = [this, call](const ResponseHead &head) {
        return startResponse(*call, head);
    };
    exchange.responseBody.write = [this, call](std::string bytes) {
        return writeBody(*call, bytes, false);
    };
    exchange.responseBody.finish = [this, call] {
        return writeBody(*call, {}, true);
    };
    exchange.responseBody.abort = [call] {
        call->aborted = true;
    };
    exchange.isCancelled = [call] {
        return call->cancelled;
    };
    exchange.onCancel = [call](std::function<void()> handler) {
        call->cancelHandlers.push_back(std::move(handler));
    };

    if (call->parser.is_done()) {
        watchForDisconnect(call);
    }
    shared_->handler(exchange);
    if (!call->responded && !call->cancelled && !closed_) {
        respondWith(exchange, 500, "text/plain", "the request was not answered\n");
    }
    call->ended = true;
    call->cancelHandlers.clear();
    // The functions of the exchange hold references to the call, so the exchange is reset below to break the cycle.
    if (call->finished && !call->aborted && canDiscardBody(*call)) {
        while (!call->parser.is_done() && readBody(call)) {
            // The rest of a small body is discarded so that the connection can be reused.
        }
    }
    const bool keepAlive = call->finished && !call->aborted && !call->cancelled && call->parser.is_done() && request.keep_alive() && call->response.keep_alive()
        && !shared_->stopping;
    call->exchange = Exchange{};
    boost::system::error_code ignored;
    socket_.cancel(ignored);
    if (call->aborted || call->cancelled || !call->finished) {
        close();
    }
    return keepAlive;
}

auto HttpConnection::readBody(const std::shared_ptr<Call> &call) -> Result<BodyChunk>
{
    if (call->parser.is_done()) {
        return BodyChunk{{}, true};
    }
    if (call->cancelled || closed_) {
        return failure(ErrorCode::Closed, "the caller left before the end of the request body");
    }
    if (call->expectsContinue) {
        call->expectsContinue = false;
        http::response<http::empty_body> continueResponse(http::status::continue_, 11);
        const IoResult sent = awaitIo([&](auto handler) {
            http::async_write(socket_, continueResponse, handler);
        });
        if (sent.error) {
            return ioError(sent.error, "send 100 Continue");
        }
    }
    size_t chunkBytes = kMaxChunkBytes;
    if (const auto remaining = call->parser.content_length_remaining()) {
        chunkBytes = static_cast<size_t>(std::min<uint64_t>(chunkBytes, std::max<uint64_t>(*remaining, 1)));
    }
    std::string bytes(chunkBytes, '\0');
    auto &body = call->parser.get().body();
    body.data = bytes.data();
    body.size = bytes.size();
    while (body.size == bytes.size() && !call->parser.is_done()) {
        const auto start = [&](auto handler) {
            http::async_read_some(socket_, buffer_, call->parser, handler);
        };
        const IoResult result = awaitIoFor(shared_->runtime.context(), shared_->options.bodyTimeout, start, [this] {
            boost::system::error_code ignored;
            socket_.cancel(ignored);
        });
        if (result.error && result.error != http::error::need_buffer) {
            cancelCall(*call);
            return ioError(result.error, "read the request body");
        }
    }
    bytes.resize(bytes.size() - body.size);
    if (call->parser.is_done()) {
        watchForDisconnect(call);
    }
    return BodyChunk{std::move(bytes), call->parser.is_done()};
}

auto HttpConnection::startResponse(Call &call, const ResponseHead &head) -> Result<void>
{
    if (call.responded) {
        return failure(ErrorCode::Internal, "a response to this request has already been started");
    }
    call.responded = true;
    auto &request = call.parser.get();
    call.response.version(11);
    call.response.result(static_cast<unsigned>(head.status));
    appendEndToEndFields(head.headers, call.response);
    const bool bodyless = hasNoBody(std::string(request.method_string()), head.status);
    call.responseLength = bodyless ? std::optional<uint64_t>(0) : head.bodyLength;
    if (head.bodyLength && head.status / 100 != 1 && head.status != 204) {
        call.response.content_length(*head.bodyLength);
    } else if (!bodyless) {
        call.response.chunked(true);
    }
    const bool bodyComplete = call.parser.is_done() || canDiscardBody(call);
    call.response.keep_alive(request.keep_alive() && !shared_->stopping && !shared_->closeAnnounced && bodyComplete);
    call.response.body().data = nullptr;
    call.response.body().more = true;
    call.serializer.emplace(call.response);
    return success();
}

auto HttpConnection::writeBody(Call &call, const std::string &bytes, bool last) -> Result<void>
{
    if (!call.responded || call.finished) {
        return call.finished && last ? Result<void>(success()) : Result<void>(failure(ErrorCode::Internal, "no response is in progress"));
    }
    if (call.cancelled || closed_) {
        return failure(ErrorCode::Closed, "the caller closed the connection before the end of the response");
    }
    if (bytes.empty() && !last) {
        return success();
    }
    call.responseBytes += bytes.size();
    if (call.responseLength && (call.responseBytes > *call.responseLength)) {
        return failure(ErrorCode::ProtocolViolation, "the response body is longer than its Content-Length");
    }
    if (call.responseLength && last && call.responseBytes < *call.responseLength) {
        call.aborted = true;
        return failure(ErrorCode::ProtocolViolation, "the response body is shorter than its Content-Length");
    }
    const bool complete = last || (call.responseLength && call.responseBytes == *call.responseLength);
    auto &body = call.response.body();
    body.data = bytes.empty() ? nullptr : const_cast<char *>(bytes.data());
    body.size = bytes.size();
    body.more = !complete;
    const auto start = [&](auto handler) {
        http::async_write(socket_, *call.serializer, handler);
    };
    const IoResult result = awaitIoFor(shared_->runtime.context(), shared_->options.bodyTimeout, start, [this] {
        boost::system::error_code ignored;
        socket_.cancel(ignored);
    });
    if (result.error && result.error != http::error::need_buffer) {
        cancelCall(call);
        return ioError(result.error, "send the response");
    }
    call.finished = complete;
    return success();
}

void HttpConnection::watchForDisconnect(const std::shared_ptr<Call> &call)
{
    const auto self = shared_from_this();
    socket_.async_wait(asio::ip::tcp::socket::wait_read, [self, call](const boost::system::error_code &error) {
        if (error || call->ended) {
            return;
        }
        boost::system::error_code failed;
        char byte = 0;
        const size_t peekedBytes = self->socket_.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, failed);
        // Readable bytes belong to a pipelined request and do not mean a disconnect.
        if (peekedBytes == 0 || failed) {
            cancelCall(*call);
        }
    });
}

void HttpConnection::cancelCall(Call &call)
{
    if (call.cancelled || call.ended) {
        return;
    }
    call.cancelled = true;
    const auto handlers = std::move(call.cancelHandlers);
    call.cancelHandlers.clear();
    for (const auto &handler : handlers) {
        handler();
    }
}

void HttpConnection::respondInvalid(int status, const std::string &detail)
{
    shared_->invalidRequests.add();
    logEvent(EventId::HttpRequestInvalid, {{"server", shared_->options.name}, {"remote", toString(remote_)}, {"detail", detail}});
    http::response<http::string_body> response(static_cast<http::status>(status), 11);
    response.set(http::field::content_type, "application/problem+json");
    response.set("Snipestream-Run", "not-run");
    response.body() = toProblemDocument(Refusal{RefusalReason::BadRequest, RunState::NotRun, {}, detail}, "");
    response.keep_alive(false);
    response.prepare_payload();
    awaitIoFor(
        shared_->runtime.context(), shared_->options.bodyTimeout,
        [&](auto handler) {
            http::async_write(socket_, response, handler);
        },
        [this] {
            boost::system::error_code ignored;
            socket_.cancel(ignored);
        });
    lingerAndClose();
}

void HttpConnection::lingerAndClose()
{
    if (closed_) {
        return;
    }
    // Closing a socket with unread bytes resets the connection, which could discard the response before the caller reads
    // it.
    boost::system::error_code ignored;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    std::array<char, 4096> discarded{};
    const TimePoint end = BootClock::now() + kMaxLingerTime;
    size_t total = 0;
    while (!closed_ && total < kMaxLingerBytes && BootClock::now() < end) {
        const IoResult result = awaitIoFor(
            shared_->runtime.context(), end - BootClock::now(),
            [&](auto handler) {
                socket_.async_read_some(asio::buffer(discarded), handler);
            },
            [this] {
                boost::system::error_code cancelled;
                socket_.cancel(cancelled);
            });
        if (result.error) {
            break;
        }
        total += result.bytes;
    }
    close();
}

} // namespace snipestream
