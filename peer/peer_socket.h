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

/// How a socket came to its end.
enum class SocketEnd {
    /// Closed with a close frame by either side.
    Regular,
    /// The connection could not be made, broke or was given up.
    Lost,
    /// The peer broke the websocket protocol or sent a message above the size limit.
    Violation,
};

/// What a socket reports. All functions run between fibers and must not block.
struct PeerSocketHandlers {
    /// The websocket handshake is done; messages may be sent.
    std::function<void()> opened;
    /// A whole binary message arrived. The bytes are valid only during the call.
    std::function<void(std::string_view message)> message;
    /// Part of the queue was written.
    std::function<void()> drained;
    /// The socket is closed; called once and last, never from inside another function of the socket.
    std::function<void(SocketEnd end, const std::string &reason)> closed;
};

/// One websocket connection that carries binary messages. Websocketpp does the protocol; the bytes are read and written
/// here, since its own asio transport does not report when queued messages have left, which a bounded queue needs.
class PeerSocket
{
public:
    virtual ~PeerSocket() = default;

    /// Starts reading, after the connect for the dialling side.
    virtual void start(PeerSocketHandlers handlers) = 0;

    /// Queues one message; ignored once the socket is closing.
    virtual void send(std::string_view message) = 0;

    /// Sends a websocket ping; the answer counts as received bytes.
    virtual void ping() = 0;

    /// Writes what is queued and a close frame, then closes. Nothing is received any more.
    virtual void close(const std::string &reason) = 0;

    /// Bytes that were queued and not yet handed to the operating system.
    [[nodiscard]] virtual auto queuedBytes() const -> size_t = 0;

    /// When bytes last arrived, or when the socket was made.
    [[nodiscard]] virtual auto lastReceived() const -> TimePoint = 0;

    [[nodiscard]] virtual auto remote() const -> Endpoint = 0;
};

/// Makes sockets that share one websocketpp endpoint for each side. Sockets keep the factory alive.
class PeerSocketFactory : public std::enable_shared_from_this<PeerSocketFactory>
{
public:
    static auto make(boost::asio::io_context &context, uint32_t maxMessageBytes) -> std::shared_ptr<PeerSocketFactory>;
    ~PeerSocketFactory();
    PeerSocketFactory(const PeerSocketFactory &) = delete;
    auto operator=(const PeerSocketFactory &) -> PeerSocketFactory & = delete;

    /// Wraps an accepted TCP connection.
    auto accepted(boost::asio::ip::tcp::socket socket) -> std::shared_ptr<PeerSocket>;

    /// Makes a socket that connects when it is started.
    auto dialled(const Endpoint &peer) -> std::shared_ptr<PeerSocket>;

private:
    PeerSocketFactory(boost::asio::io_context &context, uint32_t maxMessageBytes);

    struct State;
    std::unique_ptr<State> state_;
};

} // namespace snipestream
