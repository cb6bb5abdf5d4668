#pragma once

#include "core/ids.h"
#include "core/result.h"
#include "http/message.h"
#include "net/fiber_runtime.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace snipestream
{

/// Limits of one message server.
struct MessageServerOptions {
    /// Name in logs, such as "caller".
    std::string name;
    Endpoint listen;
    uint32_t maxHeaderBytes = 16 * 1024;
    uint64_t maxBodyBytes = 64ULL * 1024 * 1024;
    /// Longest time from the first byte of a request to the end of its head.
    Duration headTimeout = seconds(3);
    /// Longest time for the body of a request, and for the peer to take an answer.
    Duration bodyTimeout = seconds(20);
    /// How long a connection may stay without a request.
    Duration idleTimeout = seconds(60);
    size_t maxConnections = 3000;
    /// Time after which unacknowledged data ends a connection, and in which a silent peer is probed; zero leaves both to
    /// the system.
    Duration deadPeerTimeout{};
};

/// Handles one request in a fiber of its own. Empty closes the connection without an answer. The signal is cancelled
/// when the caller closes its connection.
using MessageHandler = std::function<std::optional<ResponseMessage>(RequestMessage &request, CancelSignal &cancel)>;

/// HTTP/1.1 server that reads whole requests and sends whole answers. An idle connection costs no fiber.
class MessageServer
{
public:
    MessageServer(FiberRuntime &runtime, MessageServerOptions options, MessageHandler handler);
    ~MessageServer();
    MessageServer(const MessageServer &) = delete;
    auto operator=(const MessageServer &) -> MessageServer & = delete;

    /// Starts to accept connections. Returns the port; an Error if the address cannot be bound.
    auto listen() -> Result<uint16_t>;

    /// Replaces the limits of requests that are read from now on.
    void setLimits(uint32_t maxHeaderBytes, uint64_t maxBodyBytes, Duration headTimeout, Duration idleTimeout);

    /// Ends every connection with its next answer. New ones are still accepted.
    void announceClose();

    /// Stops accepting and closes connections without a request in progress.
    void closeIdle();

    /// Returns the number of requests whose answer is not sent yet.
    [[nodiscard]] auto activeRequests() const -> size_t;
    /// Returns the bytes of requests in progress.
    [[nodiscard]] auto activeRequestBytes() const -> uint64_t;

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace snipestream
