#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace snipestream
{

/// Why a socket was closed.
enum class SocketEnd {
    /// Closed with a close frame by either side.
    Regular,
    /// The connection failed, was lost or was closed before the websocket handshake had finished.
    Lost,
    /// The peer violated the websocket protocol or sent a message above the size limit.
    Violation,
};

/// Callbacks of a socket. They run outside of fibers and must not block.
struct PeerSocketHandlers {
    /// The websocket handshake has finished; messages may be sent.
    std::function<void()> opened;
    /// A complete binary message arrived. The bytes are valid only during the call.
    std::function<void(std::string_view message)> message;
    /// Part of the queue was written.
    std::function<void()> drained;
    /// The socket is closed. Called once, as the last callback, and never from within another function of the socket.
    std::function<void(SocketEnd end, const std::string &reason)> closed;
};

/// One websocket connection that carries binary messages. Websocketpp implements the protocol, and this class reads and
/// writes the bytes: the asio transport of websocketpp does not report when queued messages have been written, which a
/// bounded queue needs.
class PeerSocket
{
public:
    virtual ~PeerSocket() = default;

    /// Starts the websocket handshake and reading; a dialled socket connects first.
    virtual void start(PeerSocketHandlers handlers) = 0;

    /// Queues one message; does nothing once the socket is closing.
    virtual void send(std::string_view message) = 0;

    /// Sends a websocket ping; the pong updates lastReceived().
    virtual void ping() = 0;

    /// Writes the queued messages and a close frame, then closes. No more messages are received.
    virtual void close(const std::string &reason) = 0;

    /// Returns the number of queued bytes that are not yet written to the operating system.
    [[nodiscard]] virtual auto queuedBytes() const -> size_t = 0;

    /// Returns when bytes last arrived, or when the socket was created if none have.
    [[nodiscard]] virtual auto lastReceived() const -> TimePoint = 0;

    [[nodiscard]] virtual auto remote() const -> Endpoint = 0;
};

/// Creates sockets that share one websocketpp endpoint per role. Sockets keep the factory alive.
class PeerSocketFactory : public std::enable_shared_from_this<PeerSocketFactory>
{
public:
    static auto make(boost::asio::io_context &context, uint32_t maxMessageBytes) -> std::shared_ptr<PeerSocketFactory>;
    ~PeerSocketFactory();
    PeerSocketFactory(const PeerSocketFactory &) = delete;
    auto operator=(const PeerSocketFactory &) -> PeerSocketFactory & = delete;

    /// Wraps an accepted TCP connection.
    auto accepted(boost::asio::ip::tcp::socket socket) -> std::shared_ptr<PeerSocket>;

    /// Creates a socket that connects when it is started.
    auto dialled(const Endpoint &peer) -> std::shared_ptr<PeerSocket>;

private:
    PeerSocketFactory(boost::asio::io_context &context, uint32_t maxMessageBytes);

    struct State;
    std::unique_ptr<State> state_;
};

} // namespace snipestream
