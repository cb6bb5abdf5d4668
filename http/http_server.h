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

/// Limits of one HTTP server; all are checked before memory is spent on a request.
struct HttpServerOptions {
    /// Name in metrics and logs, such as "caller".
    std::string name;
    Endpoint listen;
    uint32_t maxHeaderBytes = 16 * 1024;
    uint64_t maxBodyBytes = 256ULL * 1024 * 1024;
    size_t maxConnections = 4096;
    /// How long the head of a request may take once its first byte is there.
    Duration headTimeout = seconds(10);
    /// How long the peer may take to send or to accept the next bytes of a body.
    Duration bodyTimeout = seconds(30);
    /// How long a connection may stay open without a request.
    Duration idleTimeout = seconds(300);
};

/// Handles one request in a fiber of its own. A handler that returns without an answer makes the server answer 500; one
/// that returns with an unfinished body makes it abort the connection.
using HttpHandler = std::function<void(Exchange &)>;

/// HTTP/1.1 server on the runtime's thread. An idle connection costs no fiber, so thousands fit a small process.
class HttpServer
{
public:
    HttpServer(FiberRuntime &runtime, const HttpServerOptions &options, MetricsRegistry &metrics, HttpHandler handler);
    /// Closes all connections. Their fibers must have ended by then: call closeAll() and let the runtime run to its
    /// end.
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    auto operator=(const HttpServer &) -> HttpServer & = delete;

    /// Starts to accept connections. Returns the port, which matters if the options ask for port 0; an Error if the
    /// address cannot be bound.
    auto listen() -> Result<uint16_t>;

    /// Answers every further request with "Connection: close", so that callers move to another node by themselves. A
    /// connection that is closed while idle could meet a request that is already on its way.
    void announceClose();

    /// Begins a graceful shutdown: accepts no further connection and closes each one after its next answer. Connections
    /// without a request so far stay open, because one may be on its way; closeIdle() ends them a little later.
    void stopAccepting();

    /// Closes all connections on which no request is running.
    void closeIdle();

    /// Closes every connection at once, also those with a running request.
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

/// Answers an exchange with a body that is in memory.
auto respondWith(Exchange &exchange, int status, const std::string &contentType, std::string body) -> Result<void>;

/// Answers an exchange with a refusal as a problem document and the headers that go with it.
auto respondWithRefusal(Exchange &exchange, const Refusal &refusal) -> Result<void>;

} // namespace snipestream
