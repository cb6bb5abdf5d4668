#pragma once

#include "core/ids.h"
#include "core/result.h"
#include "http/memory_budget.h"
#include "http/message.h"
#include "http/request_pipeline.h"
#include "net/fiber_runtime.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace snipestream
{

struct MessageServerOptions {
    /// Name in logs, such as "caller".
    std::string name;
    Endpoint listen;
    uint32_t maxHeaderBytes = 16 * 1024;
    uint64_t maxBodyBytes = 64ULL * 1024 * 1024;
    /// Maximum time from the first byte of a request to the end of its head.
    Duration headTimeout = seconds(3);
    /// Maximum time to receive the body of a request, and to send a response.
    Duration bodyTimeout = seconds(20);
    /// Maximum time for which a connection may stay open without a request.
    Duration idleTimeout = seconds(60);
    /// Maximum number of connections. For a further one, the connection is closed that has been without a request for longest.
    size_t maxConnections = 3000;
    /// Connections that have carried a request are not closed for others, because their callers use them again at any time.
    bool keepsServedConnections = false;
    /// Maximum number of header fields of a request.
    size_t maxFields = 200;
    /// Memory that connections may take apart from their whole requests, shared with other servers of the process: received bytes
    /// that have not been parsed, heads and bodies that are being received, and a fixed amount for each connection. Beyond it, the
    /// connection that takes most is ended, with status 503 if it is sending a request. If it is empty, the server has a limit of its
    /// own.
    std::shared_ptr<MemoryBudget> memory;
    /// Bounds on the requests of one connection that are in progress at once.
    PipelineLimits pipeline;
    /// Returns whether a request may run while other requests of its connection do. Without this function, the requests
    /// of a connection run one after the other.
    std::function<bool(const RequestMessage &)> mayRunConcurrently;
    /// See setTcpOptions; zero leaves the timeouts of the operating system in place.
    Duration deadPeerTimeout{};
};

/// Handles one request in a fiber of its own. If it returns std::nullopt, the connection is closed without a response.
/// The signal is cancelled when the caller closes its connection.
using MessageHandler = std::function<std::optional<ResponseMessage>(RequestMessage &request, CancelSignal &cancel)>;

/// Numbers of requests since the server was created.
struct PipelineCounts {
    /// Requests that were read while earlier ones of their connection were in progress.
    uint64_t pipelined = 0;
    /// Requests that were read but not run, because their caller had asked to close the connection before them.
    uint64_t dropped = 0;

    friend auto operator==(const PipelineCounts &a, const PipelineCounts &b) -> bool
    {
        return a.pipelined == b.pipelined && a.dropped == b.dropped;
    }
};

/// HTTP/1.1 server that reads whole requests and sends whole responses. An idle connection occupies no fiber. Requests that
/// arrive on a connection before earlier ones have been answered run at the same time if they are concurrent, and are
/// answered in the order in which they arrived.
class MessageServer
{
public:
    MessageServer(FiberRuntime &runtime, MessageServerOptions options, MessageHandler handler);
    ~MessageServer();
    MessageServer(const MessageServer &) = delete;
    auto operator=(const MessageServer &) -> MessageServer & = delete;

    /// Starts to accept connections. Returns the bound port, or an Error if the address cannot be bound.
    auto listen() -> Result<uint16_t>;

    /// Replaces the limits for requests that are read from now on.
    void setLimits(uint32_t maxHeaderBytes, uint64_t maxBodyBytes, Duration headTimeout, Duration idleTimeout);

    /// Closes every connection after the next response behind which nothing has been received. New connections are still
    /// accepted.
    void announceClose();

    /// Stops accepting and closes connections that are not busy. The others close after their last response has arrived or
    /// its caller has had time to read it.
    void stopAccepting();

    /// Like stopAccepting(), and no longer enforces timeouts.
    void closeIdle();

    /// Cancels the requests in progress. The responses of their handlers are still sent.
    void cancelRequests();

    /// Returns the number of requests in progress, including those whose response has not been sent completely.
    [[nodiscard]] auto activeRequests() const -> size_t;
    /// Returns the number of connections on which a request is being received or is in progress, or whose last response may
    /// not have arrived yet.
    [[nodiscard]] auto busyConnections() const -> size_t;
    /// Returns the memory of the requests whose handler is running, in bytes.
    [[nodiscard]] auto activeRequestBytes() const -> uint64_t;
    [[nodiscard]] auto pipelineCounts() const -> PipelineCounts;

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace snipestream
