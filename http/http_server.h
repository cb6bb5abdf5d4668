#pragma once

#include "core/exchange.h"
#include "core/metrics.h"
#include "core/result.h"
#include "core/time.h"
#include "net/fiber_runtime.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace snipestream
{

/// Limits of one HTTP server. They are checked before memory is allocated for a request.
struct HttpServerOptions {
    /// Name in metrics and logs, such as "caller".
    std::string name;
    Endpoint listen;
    uint32_t maxHeaderBytes = 16 * 1024;
    uint64_t maxBodyBytes = 256ULL * 1024 * 1024;
    size_t maxConnections = 4096;
    /// Maximum time from the first byte of a request to the end of its head.
    Duration headTimeout = seconds(10);
    /// Maximum time for the peer to send or accept the next bytes of a body.
    Duration bodyTimeout = seconds(30);
    /// Maximum time for which a connection may stay open without a request.
    Duration idleTimeout = seconds(300);
};

/// Handles one request in a fiber of its own. If the handler returns without a response, the server sends status 500; if
/// it returns with an unfinished body, the server aborts the connection.
using HttpHandler = std::function<void(Exchange &)>;

/// HTTP/1.1 server on the runtime's thread. An idle connection occupies no fiber, so a small process can hold thousands of
/// them.
class HttpServer
{
public:
    HttpServer(FiberRuntime &runtime, const HttpServerOptions &options, MetricsRegistry &metrics, HttpHandler handler);
    /// Closes all connections. Their fibers must have ended before: call closeAll() and let FiberRuntime::run() return.
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    auto operator=(const HttpServer &) -> HttpServer & = delete;

    /// Starts to accept connections. Returns the port, which matters if the options ask for port 0; an Error if the
    /// address cannot be bound.
    auto listen() -> Result<uint16_t>;

    /// Adds "Connection: close" to every further response, so that callers reconnect to another node. Idle connections
    /// stay open, because a request may already be on its way on one of them.
    void announceClose();

    /// Begins a graceful shutdown: accepts no further connections and closes each one after its next response.
    /// Connections that have not carried a request stay open, because their first request may be on its way; call
    /// closeIdle() a little later to close them.
    void stopAccepting();

    /// Closes all connections on which no request is running.
    void closeIdle();

    /// Closes every connection at once, including those with a running request.
    void closeAll();

    [[nodiscard]] auto connectionCount() const -> size_t;
    /// Returns the number of requests whose handler is running.
    [[nodiscard]] auto activeRequestCount() const -> size_t;

private:
    struct State;
    std::shared_ptr<State> state_;
};

/// Reads a whole body into memory. Returns ErrorCode::TooLarge if it has more than `maxBytes` bytes.
auto readWholeBody(const BodyReader &reader, size_t maxBytes) -> Result<std::string>;

/// Sends a response whose body is in memory.
auto respondWith(Exchange &exchange, int status, const std::string &contentType, std::string body) -> Result<void>;

/// Sends a refusal as a problem document, with the matching status, Snipestream-Run and Snipestream-Request-Id headers, and a
/// Retry-After header if the refusal has a retry delay.
auto respondWithRefusal(Exchange &exchange, const Refusal &refusal) -> Result<void>;

} // namespace snipestream
