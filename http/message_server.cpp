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

/// How often timeouts of connections are checked. They are seconds long, so a check per request would cost more than
/// its precision is worth.
constexpr Duration kSweepInterval = milliseconds(250);
/// How long the server waits before it accepts again after an error such as too many open files.
constexpr Duration kAcceptBackoff = milliseconds(50);
/// Part of the connections above which every answer asks its caller to close: a caller that was refused comes back on a
/// new connection and leaves the old one open.
constexpr double kCrowdedPart = 0.5;
/// How long a connection that the server closes may still deliver bytes. Closing with unread bytes would reset it and
/// could destroy the answer on its way.
constexpr Duration kLingerTime = seconds(1);

struct Connection;

} // namespace

struct MessageServer::State : std::enable_shared_from_this<MessageServer::State> {
    State(FiberRuntime &runtimeUsed, MessageServerOptions chosen, MessageHandler handlerUsed)
        : runtime(runtimeUsed)
        , options(std::move(chosen))
        , handler(std::move(handlerUsed))
        , acceptor(runtimeUsed.context())
        , sweepTimer(runtimeUsed.context())
    {
    }

    void acceptNext();
    void take(asio::ip::tcp::socket socket);
    void sweep();
    void awaitRequest(const std::shared_ptr<Connection> &connection);
    void serve(const std::shared_ptr<Connection> &connection);
    auto serveOne(const std::shared_ptr<Connection> &connection) -> bool;
    void answerInvalid(Connection &connection, int status);
    void drop(const std::shared_ptr<Connection> &connection);

    FiberRuntime &runtime;
    MessageServerOptions options;
    MessageHandler handler;
    asio::ip::tcp::acceptor acceptor;
    asio::steady_timer sweepTimer;
    std::set<std::shared_ptr<Connection>> connections;
    size_t activeRequests = 0;
    uint64_t heldBytes = 0;
    bool closing = false;
    bool stopped = false;
};

namespace
{

struct Connection {
    explicit Connection(asio::ip::tcp::socket taken)
        : socket(std::move(taken))
    {
    }

    void close()
    {
        boost::system::error_code ignored;
        socket.close(ignored);
    }

    asio::ip::tcp::socket socket;
    boost::beast::flat_buffer buffer;
    /// Closed by the next sweep after this moment.
    TimePoint deadline = TimePoint::max();
    bool busy = false;
    /// Set while a request is handled; the caller's close is passed on to it.
    CancelSignal *signal = nullptr;
};

/// Watches for the caller's close while a request is handled. Bytes of a next request are none.
void watchForClose(const std::shared_ptr<Connection> &connection)
{
    connection->socket.async_wait(asio::ip::tcp::socket::wait_read, [connection](const boost::system::error_code &error) {
        if (error == asio::error::operation_aborted || connection->signal == nullptr) {
            return;
        }
        boost::system::error_code failed = error;
        char byte = 0;
        const size_t seen = failed ? 0 : connection->socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, failed);
        if ((seen == 0 || failed) && failed != asio::error::would_block) {
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
        self->take(std::move(socket));
        self->acceptNext();
    });
}

void MessageServer::State::take(asio::ip::tcp::socket socket)
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
            self->drop(connection);
            return;
        }
        connection->busy = true;
        self->runtime.spawn([self, connection] {
            self->serve(connection);
        });
    });
}

void MessageServer::State::serve(const std::shared_ptr<Connection> &connection)
{
    bool keep = true;
    do {
        connection->busy = true;
        keep = serveOne(connection);
    } while (keep && connection->buffer.size() > 0);
    if (keep) {
        awaitRequest(connection);
        return;
    }
    drop(connection);
}

auto MessageServer::State::serveOne(const std::shared_ptr<Connection> &connection) -> bool
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
            answerInvalid(*connection, 431);
        } else if (head.error == http::error::body_limit) {
            answerInvalid(*connection, 413);
        } else if (head.error.category() == http::make_error_code(http::error::bad_method).category() && head.error != http::error::end_of_stream
                   && head.error != http::error::partial_message) {
            answerInvalid(*connection, 400);
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
                answerInvalid(*connection, 413);
            } else if (body.error == http::error::bad_chunk || body.error == http::error::bad_chunk_extension) {
                answerInvalid(*connection, 400);
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
    heldBytes += bytes;
    watchForClose(connection);
    std::optional<ResponseMessage> answer = handler(request, cancel);
    connection->signal = nullptr;
    boost::system::error_code ignored;
    connection->socket.cancel(ignored);
    heldBytes -= bytes;
    if (!answer || cancel.isCancelled()) {
        --activeRequests;
        return false;
    }
    const bool crowded = static_cast<double>(connections.size()) > kCrowdedPart * static_cast<double>(options.maxConnections);
    const bool closeAfter = closing || !request.keepAlive || crowded;
    const std::string out = serializeResponse(*answer, closeAfter, withoutBody);
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
        connection->deadline = BootClock::now() + kLingerTime;
        std::array<char, 4096> discarded{};
        while (!awaitIo([&](auto done) {
                    connection->socket.async_read_some(asio::buffer(discarded), done);
                }).error) { }
    }
    return !closeAfter;
}

void MessageServer::State::answerInvalid(Connection &connection, int status)
{
    logEvent(EventId::HttpRequestInvalid, {{"server", options.name}, {"status", std::to_string(status)}});
    ResponseMessage answer;
    answer.status = status;
    const std::string out = serializeResponse(answer, true, false);
    connection.deadline = BootClock::now() + kLingerTime;
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

void MessageServer::State::drop(const std::shared_ptr<Connection> &connection)
{
    connection->close();
    connections.erase(connection);
}

void MessageServer::State::sweep()
{
    sweepTimer.expires_after(kSweepInterval);
    sweepTimer.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        if (error) {
            return;
        }
        const TimePoint now = BootClock::now();
        for (const auto &connection : self->connections) {
            if (connection->deadline < now) {
                // Ends the operation that waits; its fiber or handler then drops the connection.
                connection->close();
            }
        }
        self->sweep();
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
    state_->sweep();
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
    return state_->heldBytes;
}

} // namespace snipestream
