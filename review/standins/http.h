#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review
{

using Headers = std::vector<std::pair<std::string, std::string>>;

/// A whole HTTP/1.1 message. A request has a method and a path, a response a status.
struct Message {
    std::string method;
    std::string path;
    int status = 0;
    Headers headers;
    std::string body;
};

/// Returns the value of a header, compared without regard to case, or an empty string.
auto headerOf(const Message &message, const std::string &name) -> std::string;

/// Returns the time of the steady clock in seconds.
auto nowSeconds() -> double;

void sleepSeconds(double duration);

/// A blocking TCP connection.
class Connection
{
public:
    explicit Connection(int descriptor);
    ~Connection();
    Connection(const Connection &) = delete;
    auto operator=(const Connection &) -> Connection & = delete;

    /// Sends all bytes. Returns false if the connection is closed.
    auto send(const std::string &bytes) -> bool;
    /// Reads a whole message; `withBody` is false for the response to HEAD. Empty if the connection ends before its end.
    auto readMessage() -> std::optional<Message>;
    /// Reads a whole message and waits after each piece of the body, so that it takes in `bytesPerSecond`.
    auto readSlowly(double bytesPerSecond) -> std::optional<Message>;
    /// Number of body bytes of the last message that have arrived.
    [[nodiscard]] auto bodyBytesRead() const -> size_t;
    /// Returns whether the peer has closed the connection or sent bytes that no request asked for.
    [[nodiscard]] auto isClosed() const -> bool;
    /// Ends a read that is in progress on another thread.
    void shutdown();

private:
    auto readMore(size_t maxBytes) -> bool;

    int descriptor_;
    std::string buffer_;
    size_t bodyBytesRead_ = 0;
};

/// Opens a connection. `receiveBuffer` sets the size of the socket's receive buffer, unless it is zero. Returns null if the
/// connection is refused or takes longer than a second.
auto connectTo(const std::string &address, uint16_t port, int receiveBuffer = 0) -> std::unique_ptr<Connection>;

auto serialize(const Message &message) -> std::string;

/// HTTP/1.1 server with one thread for each connection.
class Server
{
public:
    /// Returns the response, or nothing to close the connection.
    using Handler = std::function<std::optional<Message>(const Message &request)>;

    Server(const std::string &address, uint16_t port, Handler handler);
    ~Server();
    Server(const Server &) = delete;
    auto operator=(const Server &) -> Server & = delete;

    /// Stops accepting and closes all connections.
    void stop();

private:
    void acceptConnections();
    void serve(const std::shared_ptr<Connection> &connection);

    Handler handler_;
    int listener_ = -1;
    std::atomic<bool> stopped_{false};
    std::mutex mutex_;
    std::vector<std::shared_ptr<Connection>> connections_;
    std::vector<std::thread> threads_;
    std::thread acceptor_;
};

/// Returns whether the port is free for TCP and UDP on the address.
auto isPortFree(const std::string &address, uint16_t port) -> bool;

} // namespace review
