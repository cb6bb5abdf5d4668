#pragma once

#include "core/exchange.h"
#include "core/result.h"
#include "core/time.h"
#include "net/fiber_runtime.h"
#include "platform/http_transport.h"

#include <memory>
#include <string>

namespace snipestream
{

/// Limits of the connections to one HTTP server.
struct HttpClientOptions {
    Endpoint server;
    /// Maximum number of connections, in use and idle together; further calls wait for a free one.
    size_t maxConnections = 64;
    Duration connectTimeout = milliseconds(500);
    /// Time after which an idle connection is closed.
    Duration idleTimeout = seconds(30);
};

/// Pooled HTTP/1.1 connections to one server, such as a target.
class HttpClient
{
public:
    HttpClient(FiberRuntime &runtime, HttpClientOptions options);
    /// Closes all idle connections. Running calls share ownership of the state, so they may finish later.
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    auto operator=(const HttpClient &) -> HttpClient & = delete;

    /// Begins a call on an idle or new connection, with `head.timeLeft` as its timeout. Nothing is sent before the first
    /// write to the request body or its end. Returns ErrorCode::Unavailable if a connection cannot be established and
    /// ErrorCode::Timeout if none becomes free in time; in both cases nothing was sent.
    auto open(const RequestHead &head) -> Result<OutboundCall>;

    /// Returns the number of connections, in use and idle together.
    [[nodiscard]] auto connectionCount() const -> size_t;

private:
    struct State;
    std::shared_ptr<State> state_;
};

/// Sends a request with a body in memory and reads the whole response, whose body may have at most 16 MiB.
auto fetch(HttpClient &client, const RequestHead &head, const std::string &body) -> Result<HttpResponse>;

} // namespace snipestream
