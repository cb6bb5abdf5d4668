#include "http/http_server.h"

#include "core/events.h"
#include "http/http_connection.h"

#include <utility>

#include <boost/asio/ip/tcp.hpp>

namespace snipestream
{

namespace asio = boost::asio;

struct HttpServer::State : HttpServerShared {
    State(FiberRuntime &fiberRuntime, const HttpServerOptions &serverOptions, MetricsRegistry &metrics, HttpHandler requestHandler)
        : HttpServerShared {
            fiberRuntime,
            serverOptions,
            std::move(requestHandler),
            metrics.counter("snipestream_http_requests_total", "Requests over HTTP", {{"server", serverOptions.name}}),
            metrics.counter("snipestream_http_invalid_requests_total", "Malformed requests", {{"server", serverOptions.name}}),
            metrics.counter("snipestream_http_refused_connections_total", "Connections over the limit",
                            {{"server", serverOptions.name}}),
            {},
            0,
            false,
            false,
        }
        , acceptor(fiberRuntime.context())
    {
    }

    asio::ip::tcp::acceptor acceptor;
};

namespace
{

/// Delay before the next accept after an error such as too many open files.
constexpr Duration kAcceptBackoff = milliseconds(50);

} // namespace

HttpServer::HttpServer(FiberRuntime &runtime, const HttpServerOptions &options, MetricsRegistry &metrics, HttpHandler handler)
    : state_(std::make_shared<State>(runtime, options, metrics, std::move(handler)))
{
}

HttpServer::~HttpServer()
{
    state_->stopping = true;
    boost::system::error_code ignored;
    state_->acceptor.close(ignored);
    closeAll();
}

namespace
{

/// Adds an accepted connection, or closes it if the server is at its connection limit.
template<typename State>
void addConnection(const std::shared_ptr<State> &state, asio::ip::tcp::socket socket)
{
    if (state->connections.size() >= state->options.maxConnections) {
        state->refusedConnections.add();
        return;
    }
    boost::system::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    const auto remote = socket.remote_endpoint(ignored);
    const Endpoint remoteEndpoint{remote.address().to_string(), remote.port()};
    const auto connection = std::make_shared<HttpConnection>(std::move(socket), remoteEndpoint, state);
    state->connections.insert(connection);
    connection->awaitRequest();
}

template<typename State>
void acceptNext(const std::shared_ptr<State> &state)
{
    state->acceptor.async_accept([state](const boost::system::error_code &error, asio::ip::tcp::socket socket) {
        if (!error) {
            addConnection(state, std::move(socket));
        }
        if (state->stopping || error == asio::error::operation_aborted) {
            return;
        }
        if (error) {
            auto timer = std::make_shared<asio::steady_timer>(state->runtime.context(), kAcceptBackoff);
            timer->async_wait([state, timer](const boost::system::error_code &) {
                acceptNext(state);
            });
            return;
        }
        acceptNext(state);
    });
}

} // namespace

auto HttpServer::listen() -> Result<uint16_t>
{
    boost::system::error_code error;
    const auto address = asio::ip::make_address(state_->options.listen.address, error);
    if (error) {
        return failure(ErrorCode::InvalidInput, "'" + state_->options.listen.address + "' is not an IP address");
    }
    const asio::ip::tcp::endpoint endpoint(address, state_->options.listen.port);
    auto &acceptor = state_->acceptor;
    acceptor.open(endpoint.protocol(), error);
    if (!error) {
        acceptor.set_option(asio::socket_base::reuse_address(true), error);
    }
    if (!error) {
        acceptor.bind(endpoint, error);
    }
    if (!error) {
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return failure(ErrorCode::Unavailable, "cannot listen on " + toString(state_->options.listen) + ": " + error.message());
    }
    acceptNext(state_);
    const uint16_t port = acceptor.local_endpoint().port();
    logEvent(EventId::HttpListening, {{"server", state_->options.name}, {"address", toString({state_->options.listen.address, port})}});
    return port;
}

void HttpServer::announceClose()
{
    state_->closeAnnounced = true;
}

void HttpServer::stopAccepting()
{
    if (state_->stopping) {
        return;
    }
    state_->stopping = true;
    // Accepts the connections in the backlog first: closing the listening socket would reset them and lose the requests
    // already sent on them.
    boost::system::error_code error;
    state_->acceptor.non_blocking(true, error);
    while (!error) {
        asio::ip::tcp::socket socket(state_->runtime.context());
        state_->acceptor.accept(socket, error);
        if (!error) {
            addConnection(state_, std::move(socket));
        }
    }
    state_->acceptor.close(error);
    const auto connections = state_->connections;
    for (const auto &connection : connections) {
        connection->closeIfServed();
    }
}

void HttpServer::closeIdle()
{
    const auto connections = state_->connections;
    for (const auto &connection : connections) {
        connection->closeIfIdle();
    }
}

void HttpServer::closeAll()
{
    const auto connections = state_->connections;
    for (const auto &connection : connections) {
        connection->close();
    }
}

auto HttpServer::connectionCount() const -> size_t
{
    return state_->connections.size();
}

auto HttpServer::activeRequestCount() const -> size_t
{
    return state_->activeRequests;
}

auto readWholeBody(const BodyReader &reader, size_t maxBytes) -> Result<std::string>
{
    std::string body;
    while (true) {
        BOOST_OUTCOME_TRY(const BodyChunk chunk, reader.read());
        if (body.size() + chunk.bytes.size() > maxBytes) {
            return failure(ErrorCode::TooLarge, "the body has more than " + std::to_string(maxBytes) + " bytes");
        }
        body.append(chunk.bytes);
        if (chunk.last) {
            return body;
        }
    }
}

auto respondWith(Exchange &exchange, int status, const std::string &contentType, std::string body) -> Result<void>
{
    ResponseHead head;
    head.status = status;
    head.headers = {{"Content-Type", contentType}};
    head.bodyLength = body.size();
    BOOST_OUTCOME_TRY(exchange.respond(head));
    if (!body.empty()) {
        BOOST_OUTCOME_TRY(exchange.responseBody.write(std::move(body)));
    }
    return exchange.responseBody.finish();
}

auto respondWithRefusal(Exchange &exchange, const Refusal &refusal) -> Result<void>
{
    const std::string id = toHex(exchange.head.id);
    std::string body = toProblemDocument(refusal, id);
    ResponseHead head;
    head.status = refusalStatus(refusal.reason);
    head.headers = {
        {"Content-Type", "application/problem+json"},
        {"Snipestream-Run", std::string(runStateName(refusal.run))},
        {"Snipestream-Request-Id", id},
    };
    if (refusal.retryAfter > Duration::zero()) {
        const int64_t retryAfterSeconds = std::chrono::ceil<seconds>(refusal.retryAfter).count();
        head.headers.emplace_back("Retry-After", std::to_string(retryAfterSeconds));
    }
    head.bodyLength = body.size();
    head.refusal = refusal;
    BOOST_OUTCOME_TRY(exchange.respond(head));
    BOOST_OUTCOME_TRY(exchange.responseBody.write(std::move(body)));
    return exchange.responseBody.finish();
}

} // namespace snipestream
