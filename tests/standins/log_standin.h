#pragma once

#include "core/ids.h"
#include "core/result.h"
#include "platform/http_transport.h"
#include "tests/standins/fake_log.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace snipestream::testing
{

/// Handles one request of the log protocol, or PUT /faults, with the fake log.
auto serveLogRequest(FakeLog &log, const std::string &method, const std::string &target, const std::string &body) -> HttpResponse;

/// Returns the response to an HTTP request.
using HttpHandler = std::function<HttpResponse(const std::string &method, const std::string &target, const std::string &body)>;

/// A small synchronous HTTP server on loopback, one thread per connection, at most `maxConnections` at once. Stops and
/// joins its threads when destroyed.
class StandinServer
{
public:
    /// Listens on 127.0.0.1:`port`; 0 chooses a free port. Throws boost::system::system_error if the port is
    /// in use.
    StandinServer(HttpHandler handler, uint16_t port, size_t maxConnections = 64);
    ~StandinServer();
    StandinServer(const StandinServer &) = delete;
    auto operator=(const StandinServer &) -> StandinServer & = delete;

    [[nodiscard]] auto endpoint() const -> Endpoint;

private:
    struct Shared;
    std::shared_ptr<Shared> shared_;
};

} // namespace snipestream::testing
