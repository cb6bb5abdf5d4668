#include "http/http_client.h"

#include "core/response_head.h"
#include "http/client_socket.h"
#include "http/http_fields.h"
#include "http/http_server.h"
#include "net/await.h"

#include <algorithm>
#include <deque>
#include <list>
#include <optional>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace snipestream
{

namespace http = boost::beast::http;
namespace asio = boost::asio;

namespace
{

constexpr size_t kMaxFetchBodyBytes = 16 * 1024 * 1024;
/// Maximum size of the head of a response, in bytes, and its maximum number of fields.
constexpr uint32_t kMaxHeadBytes = 16 * 1024;
constexpr size_t kMaxFields = 200;

struct Connection {
    explicit Connection(asio::io_context &context)
        : socket(context)
        , idleTimer(context)
    {
    }

    void close()
    {
        boost::system::error_code ignored;
        socket.tcp().shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
        socket.tcp().close(ignored);
        idleTimer.cancel();
    }

    ClientSocket socket;
    asio::steady_timer idleTimer;
    boost::beast::flat_buffer buffer{kMaxUnparsedResponseBytes};
    bool idle = false;
};

using ConnectionPtr = std::shared_ptr<Connection>;

/// Converts the error of a response. It is never Unavailable, which would say that the request was not sent.
auto responseError(const boost::system::error_code &error, const char *what) -> Error
{
    Error converted = ioError(error, what);
    if (isProtocolError(error)) {
        converted.code = ErrorCode::ProtocolViolation;
    } else if (converted.code == ErrorCode::Unavailable) {
        converted.code = ErrorCode::Closed;
    }
    return converted;
}

/// State of a fiber that waits for a free connection.
struct ConnectionWait {
    FiberEvent event;
    bool isConnectionFree = false;
};

} // namespace

struct HttpClient::State : std::enable_shared_from_this<HttpClient::State> {
    State(FiberRuntime &fiberRuntime, HttpClientOptions clientOptions)
        : runtime(fiberRuntime)
        , options(std::move(clientOptions))
    {
    }

    auto acquire(Duration timeout) -> Result<ConnectionPtr>;
    auto connect(Duration timeout) -> Result<ConnectionPtr>;
    void release(const ConnectionPtr &connection, bool reusable);
    void watchIdle(const ConnectionPtr &connection);
    void dropIdle(const ConnectionPtr &connection);
    void wakeNext();

    FiberRuntime &runtime;
    HttpClientOptions options;
    std::list<ConnectionPtr> idle;
    std::deque<ConnectionWait *> waits;
    size_t openCount = 0;
    bool closed = false;
};

namespace
{

/// One call on one connection. The connection returns to the pool if the whole response was read and is closed otherwise.
template<typename State>
struct ClientCall {
    ClientCall(std::shared_ptr<State> clientState, ConnectionPtr pooledConnection, Duration timeLeft)
        : state(std::move(clientState))
        , connection(std::move(pooledConnection))
        , deadline(state->runtime.context(), timeLeft)
    {
    }

    ~ClientCall()
    {
        end(false);
    }
    ClientCall(const ClientCall &) = delete;
    auto operator=(const ClientCall &) -> ClientCall & = delete;

    void end(bool reusable)
    {
        if (ended) {
            return;
        }
        ended = true;
        deadline.cancel();
        state->release(connection, reusable);
    }

    auto endWithError(const boost::system::error_code &error, const char *what) -> Error
    {
        const bool deadlinePassed = timedOut;
        end(false);
        return deadlinePassed ? Error{ErrorCode::Timeout, std::string(what) + ": the deadline passed"} : responseError(error, what);
    }

    auto write(const std::string &bytes, bool last) -> Result<void>
    {
        if (requestDone) {
            return success();
        }
        if (ended) {
            return failure(ErrorCode::Closed, "the call has ended");
        }
        if (bytes.empty() && !last) {
            return success();
        }
        requestBytes += bytes.size();
        if (requestLength && (requestBytes > *requestLength || (last && requestBytes < *requestLength))) {
            end(false);
            return failure(ErrorCode::ProtocolViolation, "the request body does not have its announced length");
        }
        const bool complete = last || (requestLength && requestBytes == *requestLength);
        auto &body = request.body();
        body.data = bytes.empty() ? nullptr : const_cast<char *>(bytes.data());
        body.size = bytes.size();
        body.more = !complete;
        mayHaveBeenSent = true;
        const IoResult result = awaitIo([&](auto handler) {
            http::async_write(connection->socket, *serializer, handler);
        });
        if (result.error && result.error != http::error::need_buffer) {
            writeFailed = true;
            return failure(ErrorCode::Closed, "send the request: " + result.error.message());
        }
        requestDone = complete;
        return success();
    }

    auto awaitHead() -> Result<ResponseHead>
    {
        if (ended) {
            return failure(ErrorCode::Closed, "the call has ended");
        }
        int interimResponses = 0;
        do {
            if (interimResponses++ > kMaxInterimResponses) {
                return endWithError(http::error::header_limit, "read interim answers");
            }
            parser.emplace();
            parser->header_limit(kMaxHeadBytes);
            parser->body_limit(boost::none);
            parser->skip(method == "HEAD");
            const IoResult result = awaitIo([&](auto handler) {
                http::async_read_header(connection->socket, connection->buffer, *parser, handler);
            });
            if (result.error) {
                return endWithError(result.error, "read the head of the answer");
            }
            const auto &fields = parser->get().base();
            if (const auto invalid = checkResponseHead(fields)) {
                return endWithError(invalid, "read the head of the answer");
            }
            if (static_cast<size_t>(std::distance(fields.begin(), fields.end())) > kMaxFields) {
                return endWithError(http::error::header_limit, "read the fields of the answer");
            }
        } while (parser->get().result_int() / 100 == 1);
        ResponseHead head;
        head.status = static_cast<int>(parser->get().result_int());
        head.headers = copyEndToEndFields(parser->get());
        if (parser->is_done()) {
            head.bodyLength = parser->content_length() ? std::optional<uint64_t>(*parser->content_length()) : 0;
        } else if (parser->content_length()) {
            head.bodyLength = *parser->content_length();
        }
        finishIfDone();
        return head;
    }

    auto readBody() -> Result<BodyChunk>
    {
        if (parser && parser->is_done()) {
            return BodyChunk{{}, true};
        }
        if (ended || !parser) {
            return failure(ErrorCode::Closed, "the call has ended");
        }
        size_t chunkBytes = kMaxChunkBytes;
        if (const auto remaining = parser->content_length_remaining()) {
            chunkBytes = static_cast<size_t>(std::min<uint64_t>(chunkBytes, std::max<uint64_t>(*remaining, 1)));
        }
        std::string bytes(chunkBytes, '\0');
        auto &body = parser->get().body();
        body.data = bytes.data();
        body.size = bytes.size();
        while (body.size == bytes.size() && !parser->is_done()) {
            const IoResult result = awaitIo([&](auto handler) {
                http::async_read_some(connection->socket, connection->buffer, *parser, handler);
            });
            if (result.error && result.error != http::error::need_buffer) {
                return endWithError(result.error, "read the body of the answer");
            }
        }
        bytes.resize(bytes.size() - body.size);
        finishIfDone();
        return BodyChunk{std::move(bytes), parser->is_done()};
    }

    void finishIfDone()
    {
        if (parser->is_done()) {
            end(requestDone && !writeFailed && parser->get().keep_alive());
        }
    }

    std::shared_ptr<State> state;
    ConnectionPtr connection;
    asio::steady_timer deadline;
    std::string method;
    http::request<http::buffer_body> request;
    std::optional<http::request_serializer<http::buffer_body>> serializer;
    std::optional<uint64_t> requestLength;
    uint64_t requestBytes = 0;
    std::optional<http::response_parser<http::buffer_body>> parser;
    bool mayHaveBeenSent = false;
    bool requestDone = false;
    bool writeFailed = false;
    bool timedOut = false;
    bool ended = false;
};

template<typename Call>
void prepareRequest(Call &call, const RequestHead &head, const Endpoint &server)
{
    call.method = head.method;
    call.request.version(11);
    call.request.method_string(head.method);
    call.request.target(head.path);
    appendEndToEndFields(head.headers, call.request);
    if (call.request[http::field::host].empty()) {
        call.request.set(http::field::host, toString(server));
    }
    call.requestLength = head.bodyLength;
    const bool bodyless = head.bodyLength && *head.bodyLength == 0 && (head.method == "GET" || head.method == "HEAD");
    if (head.bodyLength && !bodyless) {
        call.request.content_length(*head.bodyLength);
    } else if (!head.bodyLength) {
        call.request.chunked(true);
    }
    call.request.body().data = nullptr;
    call.request.body().more = true;
    call.serializer.emplace(call.request);
}

} // namespace

auto HttpClient::State::acquire(Duration timeout) -> Result<ConnectionPtr>
{
    const TimePoint end = BootClock::now() + timeout;
    while (true) {
        if (!idle.empty()) {
            const ConnectionPtr connection = idle.back();
            if (!connection->socket.isIdle()) {
                // The handler that drops it has not run yet.
                dropIdle(connection);
                continue;
            }
            idle.pop_back();
            connection->idle = false;
            connection->idleTimer.cancel();
            boost::system::error_code ignored;
            connection->socket.tcp().cancel(ignored);
            return connection;
        }
        if (openCount < options.maxConnections) {
            return connect(std::min(options.connectTimeout, end - BootClock::now()));
        }
        ConnectionWait wait;
        waits.push_back(&wait);
        if (!waitFor(runtime.context(), wait.event, end - BootClock::now(), wait.isConnectionFree)) {
            waits.erase(std::find(waits.begin(), waits.end(), &wait));
            return failure(ErrorCode::Timeout, "no connection to " + toString(options.server) + " became free");
        }
    }
}

auto HttpClient::State::connect(Duration timeout) -> Result<ConnectionPtr>
{
    boost::system::error_code invalid;
    const auto address = asio::ip::make_address(options.server.address, invalid);
    if (invalid) {
        return failure(ErrorCode::InvalidInput, "'" + options.server.address + "' is not an IP address");
    }
    ++openCount;
    auto connection = std::make_shared<Connection>(runtime.context());
    const IoResult result = awaitIoFor(
        runtime.context(), timeout,
        [&](auto handler) {
            connection->socket.tcp().async_connect({address, options.server.port}, handler);
        },
        [connection] {
            boost::system::error_code ignored;
            connection->socket.tcp().close(ignored);
        });
    if (result.error) {
        --openCount;
        wakeNext();
        return failure(ErrorCode::Unavailable, "connect to " + toString(options.server) + ": " + result.error.message());
    }
    boost::system::error_code ignored;
    connection->socket.tcp().set_option(asio::ip::tcp::no_delay(true), ignored);
    connection->socket.tcp().non_blocking(true, ignored);
    return connection;
}

void HttpClient::State::release(const ConnectionPtr &connection, bool reusable)
{
    if (!reusable || closed || connection->buffer.size() > 0 || !connection->socket.tcp().is_open()) {
        connection->close();
        --openCount;
        wakeNext();
        return;
    }
    connection->buffer = boost::beast::flat_buffer(kMaxUnparsedResponseBytes);
    connection->idle = true;
    idle.push_back(connection);
    watchIdle(connection);
    wakeNext();
}

void HttpClient::State::watchIdle(const ConnectionPtr &connection)
{
    // A connection becomes readable when the server closes it; a request sent on it after that would be lost.
    const std::weak_ptr<State> weak = weak_from_this();
    const auto drop = [weak, connection] {
        if (const auto state = weak.lock()) {
            state->dropIdle(connection);
        }
    };
    connection->socket.tcp().async_wait(asio::ip::tcp::socket::wait_read, [drop](const boost::system::error_code &error) {
        if (!error) {
            drop();
        }
    });
    connection->idleTimer.expires_after(options.idleTimeout);
    connection->idleTimer.async_wait([drop](const boost::system::error_code &error) {
        if (!error) {
            drop();
        }
    });
}

void HttpClient::State::dropIdle(const ConnectionPtr &connection)
{
    if (!connection->idle) {
        return;
    }
    connection->idle = false;
    idle.remove(connection);
    connection->close();
    --openCount;
    wakeNext();
}

void HttpClient::State::wakeNext()
{
    if (waits.empty()) {
        return;
    }
    ConnectionWait *const wait = waits.front();
    waits.pop_front();
    wait->isConnectionFree = true;
    wait->event.notify();
}

HttpClient::HttpClient(FiberRuntime &runtime, HttpClientOptions options)
    : state_(std::make_shared<State>(runtime, std::move(options)))
{
}

HttpClient::~HttpClient()
{
    state_->closed = true;
    const auto idle = state_->idle;
    for (const auto &connection : idle) {
        state_->dropIdle(connection);
    }
}

auto HttpClient::open(const RequestHead &head) -> Result<OutboundCall>
{
    if (head.timeLeft <= Duration::zero()) {
        return failure(ErrorCode::Timeout, "the deadline passed before the call");
    }
    const TimePoint start = BootClock::now();
    BOOST_OUTCOME_TRY(const ConnectionPtr connection, state_->acquire(head.timeLeft));
    const Duration timeLeft = head.timeLeft - (BootClock::now() - start);
    using Call = ClientCall<State>;
    const auto call = std::make_shared<Call>(state_, connection, timeLeft);
    prepareRequest(*call, head, state_->options.server);
    call->deadline.async_wait([weak = std::weak_ptr<Call>(call)](const boost::system::error_code &error) {
        const auto expiredCall = weak.lock();
        if (error || !expiredCall || expiredCall->ended) {
            return;
        }
        expiredCall->timedOut = true;
        expiredCall->connection->close();
    });

    OutboundCall outbound;
    outbound.requestBody.write = [call](const std::string &bytes) {
        return call->write(bytes, false);
    };
    outbound.requestBody.finish = [call] {
        return call->write({}, true);
    };
    outbound.requestBody.abort = [call] {
        call->connection->close();
    };
    outbound.awaitHead = [call] {
        return call->awaitHead();
    };
    outbound.responseBody.read = [call] {
        return call->readBody();
    };
    outbound.cancel = [call] {
        if (!call->ended) {
            call->connection->close();
        }
    };
    outbound.mayHaveBeenSent = [call] {
        return call->mayHaveBeenSent;
    };
    return outbound;
}

auto HttpClient::connectionCount() const -> size_t
{
    return state_->openCount;
}

auto fetch(HttpClient &client, const RequestHead &head, const std::string &body) -> Result<HttpResponse>
{
    RequestHead sized = head;
    sized.bodyLength = body.size();
    BOOST_OUTCOME_TRY(OutboundCall call, client.open(sized));
    if (!body.empty()) {
        BOOST_OUTCOME_TRY(call.requestBody.write(body));
    }
    BOOST_OUTCOME_TRY(call.requestBody.finish());
    BOOST_OUTCOME_TRY(const ResponseHead responseHead, call.awaitHead());
    BOOST_OUTCOME_TRY(std::string responseBody, readWholeBody(call.responseBody, kMaxFetchBodyBytes));
    return HttpResponse{responseHead.status, std::move(responseBody)};
}

} // namespace snipestream
