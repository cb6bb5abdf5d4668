#include "http/message_server.h"

#include "core/events.h"
#include "http/http_fields.h"
#include "http/tcp_options.h"
#include "net/await.h"

#include <array>
#include <set>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace snipestream
{

namespace http = boost::beast::http;
namespace asio = boost::asio;

namespace
{

/// How often the timeouts of connections are checked. They are seconds long, so a timer for each request would cost more
/// than its precision is worth.
constexpr Duration kSweepInterval = milliseconds(250);
/// Delay before the next accept after an error such as too many open files.
constexpr Duration kAcceptBackoff = milliseconds(50);
/// Fraction of maxConnections above which every response asks its caller to close the connection. A caller that was
/// refused retries on a new connection and leaves the old one open, which would use up the limit.
constexpr double kCloseAboveFraction = 0.5;
/// Maximum time for which the server discards incoming bytes before it closes a connection. Closing a socket with unread
/// bytes resets the connection, which could discard the response before the caller reads it.
constexpr Duration kMaxLingerTime = seconds(1);

struct Connection;

} // namespace

struct MessageServer::State : std::enable_shared_from_this<MessageServer::State> {
    State(FiberRuntime &fiberRuntime, MessageServerOptions serverOptions, MessageHandler requestHandler)
        : runtime(fiberRuntime)
        , options(std::move(serverOptions))
        , handler(std::move(requestHandler))
        , acceptor(fiberRuntime.context())
        , sweepTimer(fiberRuntime.context())
    {
    }

    void acceptNext();
    void addConnection(asio::ip::tcp::socket socket);
    void scheduleSweep();
    void awaitRequest(const std::shared_ptr<Connection> &connection);
    void serveRequests(const std::shared_ptr<Connection> &connection);
    auto serveRequest(const std::shared_ptr<Connection> &connection) -> bool;
    void respondInvalid(Connection &connection, int status);
    void closeConnection(const std::shared_ptr<Connection> &connection);

    FiberRuntime &runtime;
    MessageServerOptions options;
    MessageHandler handler;
    asio::ip::tcp::acceptor acceptor;
    asio::steady_timer sweepTimer;
    std::set<std::shared_ptr<Connection>> connections;
    size_t activeRequests = 0;
    uint64_t activeRequestBytes = 0;
    bool closing = false;
    bool stopped = false;
};

namespace
{

struct Connection {
    explicit Connection(asio::ip::tcp::socket acceptedSocket)
        : socket(std::move(acceptedSocket))
    {
    }

    void close()
    {
        boost::system::error_code ignored;
        socket.close(ignored);
    }

    asio::ip::tcp::socket socket;
    boost::beast::flat_buffer buffer;
    /// The first sweep after this time closes the connection.
    TimePoint deadline = TimePoint::max();
    bool busy = false;
    /// Set while a handler runs; it is cancelled when the caller closes the connection.
    CancelSignal *signal = nullptr;
};

/// Cancels the running request when the caller closes the connection. Bytes of a pipelined request do not count as a
/// close.
void watchForClose(const std::shared_ptr<Connection> &connection)
{
    connection->socket.async_wait(asio::ip::tcp::socket::wait_read, [connection](const boost::system::error_code &error) {
        if (error == asio::error::operation_aborted || connection->signal == nullptr) {
            return;
        }
        boost::system::error_code failed = error;
        char byte = 0;
        const size_t peekedBytes = failed ? 0 : connection->socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, failed);
        if ((peekedBytes == 0 || failed) && failed != asio::error::would_block) {
            connection->signal->cancel();
        }
    });
}

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

} // namespace

void MessageServer::State::acceptNext()
{
    acceptor.async_accept([self = shared_from_this()](const boost::system::error_code &error, asio::ip::tcp::socket socket) {
        if (self->stopped || error == asio::error::operation_aborted) {
            return;
        }
        if (error) {
            logEvent(EventId::AcceptFailed, {{"server", self->options.name}, {"error", error.message()}});
            auto timer = std::make_shared<asio::steady_timer>(self->runtime.context(), kAcceptBackoff);
            timer->async_wait([self, timer](const boost::system::error_code &) {
                self->acceptNext();
            });
            return;
        }
        self->addConnection(std::move(socket));
        self->acceptNext();
    });
}

void MessageServer::State::addConnection(asio::ip::tcp::socket socket)
{
    if (connections.size() >= options.maxConnections) {
        logEvent(EventId::ConnectionRefused, {{"server", options.name}, {"connections", std::to_string(connections.size())}});
        return;
    }
    setTcpOptions(socket, options.deadPeerTimeout);
    const auto connection = std::make_shared<Connection>(std::move(socket));
    connections.insert(connection);
    awaitRequest(connection);
}

void MessageServer::State::awaitRequest(const std::shared_ptr<Connection> &connection)
{
    connection->busy = false;
    connection->deadline = BootClock::now() + options.idleTimeout;
    connection->socket.async_wait(asio::ip::tcp::socket::wait_read, [self = shared_from_this(), connection](const boost::system::error_code &error) {
        if (error) {
            self->closeConnection(connection);
            return;
        }
        connection->busy = true;
        self->runtime.spawn([self, connection] {
            self->serveRequests(connection);
        });
    });
}

void MessageServer::State::serveRequests(const std::shared_ptr<Connection> &connection)
{
    bool isReusable = true;
    do {
        connection->busy = true;
        isReusable = serveRequest(connection);
    } while (isReusable && connection->buffer.size() > 0);
    if (isReusable) {
        awaitRequest(connection);
        return;
    }
    closeConnection(connection);
}

auto MessageServer::State::serveRequest(const std::shared_ptr<Connection> &connection) -> bool
{
    http::request_parser<http::string_body> parser;
    parser.header_limit(options.maxHeaderBytes);
    parser.body_limit(options.maxBodyBytes);
    connection->deadline = BootClock::now() + options.headTimeout;
    const IoResult head = awaitIo([&](auto done) {
        http::async_read_header(connection->socket, connection->buffer, parser, done);
    });
    if (head.error) {
        if (head.error == http::error::header_limit) {
            respondInvalid(*connection, 431);
        } else if (head.error == http::error::body_limit) {
            respondInvalid(*connection, 413);
        } else if (head.error.category() == http::make_error_code(http::error::bad_method).category() && head.error != http::error::end_of_stream
                   && head.error != http::error::partial_message) {
            respondInvalid(*connection, 400);
        }
        return false;
    }
    connection->deadline = BootClock::now() + options.bodyTimeout;
    if (!parser.is_done()) {
        if (boost::beast::iequals(parser.get()[http::field::expect], "100-continue")) {
            const std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
            awaitIo([&](auto done) {
                asio::async_write(connection->socket, asio::buffer(kContinue), done);
            });
        }
        const IoResult body = awaitIo([&](auto done) {
            http::async_read(connection->socket, connection->buffer, parser, done);
        });
        if (body.error) {
            if (body.error == http::error::body_limit) {
                respondInvalid(*connection, 413);
            } else if (body.error == http::error::bad_chunk || body.error == http::error::bad_chunk_extension) {
                respondInvalid(*connection, 400);
            }
            return false;
        }
    }
    RequestMessage request = toMessage(parser.release());
    const bool withoutBody = request.method == "HEAD";
    const uint64_t bytes = request.body.size();
    CancelSignal cancel;
    connection->signal = &cancel;
    connection->deadline = TimePoint::max();
    ++activeRequests;
    activeRequestBytes += bytes;
    watchForClose(connection);
    std::optional<ResponseMessage> response = handler(request, cancel);
    connection->signal = nullptr;
    boost::system::error_code ignored;
    connection->socket.cancel(ignored);
    activeRequestBytes -= bytes;
    if (!response || cancel.isCancelled()) {
        --activeRequests;
        return false;
    }
    const bool isCrowded = static_cast<double>(connections.size()) > kCloseAboveFraction * static_cast<double>(options.maxConnections);
    const bool closeAfter = closing || !request.keepAlive || isCrowded;
    const std::string out = serializeResponse(*response, closeAfter, withoutBody);
    connection->deadline = BootClock::now() + options.bodyTimeout;
    const IoResult sent = awaitIo([&](auto done) {
        asio::async_write(connection->socket, asio::buffer(out), done);
    });
    --activeRequests;
    if (sent.error) {
        return false;
    }
    if (closeAfter) {
        connection->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        connection->deadline = BootClock::now() + kMaxLingerTime;
        std::array<char, 4096> discarded{};
        while (!awaitIo([&](auto done) {
                    connection->socket.async_read_some(asio::buffer(discarded), done);
                }).error) { }
    }
    return !closeAfter;
}

void MessageServer::State::respondInvalid(Connection &connection, int status)
{
    logEvent(EventId::HttpRequestInvalid, {{"server", options.name}, {"status", std::to_string(status)}});
    ResponseMessage response;
    response.status = status;
    const std::string out = serializeResponse(response, true, false);
    connection.deadline = BootClock::now() + kMaxLingerTime;
    awaitIo([&](auto done) {
        asio::async_write(connection.socket, asio::buffer(out), done);
    });
    boost::system::error_code ignored;
    connection.socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    std::array<char, 4096> discarded{};
    while (!awaitIo([&](auto done) {
                connection.socket.async_read_some(asio::buffer(discarded), done);
            }).error) { }
}

void MessageServer::State::closeConnection(const std::shared_ptr<Connection> &connection)
{
    connection->close();
    connections.erase(connection);
}

void MessageServer::State::scheduleSweep()
{
    sweepTimer.expires_after(kSweepInterval);
    sweepTimer.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        if (error) {
            return;
        }
        const TimePoint now = BootClock::now();
        for (const auto &connection : self->connections) {
            if (connection->deadline < now) {
                // This ends the pending operation; its fiber or handler then removes the connection.
                connection->close();
            }
        }
        self->scheduleSweep();
    });
}

MessageServer::MessageServer(FiberRuntime &runtime, MessageServerOptions options, MessageHandler handler)
    : state_(std::make_shared<State>(runtime, std::move(options), std::move(handler)))
{
}

MessageServer::~MessageServer()
{
    state_->stopped = true;
    boost::system::error_code ignored;
    state_->acceptor.close(ignored);
    state_->sweepTimer.cancel();
    for (const auto &connection : state_->connections) {
        connection->close();
    }
}

auto MessageServer::listen() -> Result<uint16_t>
{
    const auto port = listenOn(state_->acceptor, state_->options.listen);
    if (!port) {
        return port.error();
    }
    logEvent(EventId::HttpListening, {{"server", state_->options.name}, {"address", toString({state_->options.listen.address, port.value()})}});
    state_->acceptNext();
    state_->scheduleSweep();
    return port.value();
}

void MessageServer::setLimits(uint32_t maxHeaderBytes, uint64_t maxBodyBytes, Duration headTimeout, Duration idleTimeout)
{
    state_->options.maxHeaderBytes = maxHeaderBytes;
    state_->options.maxBodyBytes = maxBodyBytes;
    state_->options.headTimeout = headTimeout;
    state_->options.idleTimeout = idleTimeout;
}

void MessageServer::announceClose()
{
    state_->closing = true;
}

void MessageServer::closeIdle()
{
    state_->stopped = true;
    state_->closing = true;
    boost::system::error_code ignored;
    state_->acceptor.close(ignored);
    state_->sweepTimer.cancel();
    for (const auto &connection : state_->connections) {
        if (!connection->busy) {
            connection->close();
        }
    }
}

auto MessageServer::activeRequests() const -> size_t
{
    return state_->activeRequests;
}

auto MessageServer::activeRequestBytes() const -> uint64_t
{
    return state_->activeRequestBytes;
}

} // namespace snipestream
