#include "review/standins/http.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <memory>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review
{

namespace
{

auto toSocketAddress(const std::string &address, uint16_t port) -> sockaddr_in
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(port);
    inet_pton(AF_INET, address.c_str(), &result.sin_addr);
    return result;
}

auto bindTo(int descriptor, const std::string &address, uint16_t port) -> bool
{
    const sockaddr_in local = toSocketAddress(address, port);
    return ::bind(descriptor, reinterpret_cast<const sockaddr *>(&local), sizeof local) == 0;
}

void parseStartLine(const std::string &line, Message &message)
{
    const auto first = line.find(' ');
    const auto second = line.find(' ', first + 1);
    if (line.rfind("HTTP/", 0) == 0) {
        message.status = std::atoi(line.substr(first + 1, 3).c_str());
        return;
    }
    message.method = line.substr(0, first);
    message.path = line.substr(first + 1, second - first - 1);
}

auto parseHead(const std::string &head) -> Message
{
    Message message;
    size_t at = head.find("\r\n");
    parseStartLine(head.substr(0, at), message);
    while (at + 2 < head.size()) {
        const size_t start = at + 2;
        at = std::min(head.find("\r\n", start), head.size());
        const std::string line = head.substr(start, at - start);
        const auto colon = line.find(':');
        if (colon == std::string::npos) {
            continue;
        }
        const auto value = line.find_first_not_of(' ', colon + 1);
        message.headers.emplace_back(line.substr(0, colon), value == std::string::npos ? "" : line.substr(value));
    }
    return message;
}

} // namespace

auto headerOf(const Message &message, const std::string &name) -> std::string
{
    for (const auto &[field, value] : message.headers) {
        if (strcasecmp(field.c_str(), name.c_str()) == 0) {
            return value;
        }
    }
    return {};
}

auto nowSeconds() -> double
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

void sleepSeconds(double duration)
{
    if (duration > 0) {
        std::this_thread::sleep_for(std::chrono::duration<double>(duration));
    }
}

Connection::Connection(int descriptor)
    : descriptor_(descriptor)
{
    const int on = 1;
    ::setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

Connection::~Connection()
{
    ::close(descriptor_);
}

auto Connection::send(const std::string &bytes) -> bool
{
    size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = ::send(descriptor_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<size_t>(count);
    }
    return true;
}

auto Connection::readMore(size_t maxBytes) -> bool
{
    std::vector<char> bytes(maxBytes);
    const ssize_t count = ::recv(descriptor_, bytes.data(), bytes.size(), 0);
    if (count <= 0) {
        return false;
    }
    buffer_.append(bytes.data(), static_cast<size_t>(count));
    return true;
}

auto Connection::readMessage() -> std::optional<Message>
{
    return readSlowly(0);
}

auto Connection::readSlowly(double bytesPerSecond) -> std::optional<Message>
{
    constexpr size_t kReadBytes = size_t{64} * 1024;
    bodyBytesRead_ = 0;
    size_t headEnd = 0;
    while ((headEnd = buffer_.find("\r\n\r\n")) == std::string::npos) {
        if (!readMore(kReadBytes)) {
            return std::nullopt;
        }
    }
    Message message = parseHead(buffer_.substr(0, headEnd + 2));
    buffer_.erase(0, headEnd + 4);
    const auto length = static_cast<size_t>(std::strtoull(headerOf(message, "Content-Length").c_str(), nullptr, 10));
    const double start = nowSeconds();
    bodyBytesRead_ = std::min(buffer_.size(), length);
    while (buffer_.size() < length) {
        if (!readMore(kReadBytes)) {
            return std::nullopt;
        }
        bodyBytesRead_ = std::min(buffer_.size(), length);
        if (bytesPerSecond > 0) {
            sleepSeconds(start + static_cast<double>(buffer_.size()) / bytesPerSecond - nowSeconds());
        }
    }
    message.body = buffer_.substr(0, length);
    buffer_.erase(0, length);
    return message;
}

auto Connection::bodyBytesRead() const -> size_t
{
    return bodyBytesRead_;
}

auto Connection::isClosed() const -> bool
{
    pollfd waiting{descriptor_, POLLIN, 0};
    return ::poll(&waiting, 1, 0) > 0;
}

void Connection::shutdown()
{
    ::shutdown(descriptor_, SHUT_RDWR);
}

auto connectTo(const std::string &address, uint16_t port, int receiveBuffer) -> std::unique_ptr<Connection>
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    if (receiveBuffer > 0) {
        ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
    }
    const timeval timeout{1, 0};
    ::setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
    const sockaddr_in remote = toSocketAddress(address, port);
    if (::connect(descriptor, reinterpret_cast<const sockaddr *>(&remote), sizeof remote) != 0) {
        ::close(descriptor);
        return nullptr;
    }
    const timeval none{0, 0};
    ::setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &none, sizeof none);
    return std::make_unique<Connection>(descriptor);
}

auto serialize(const Message &message) -> std::string
{
    std::string bytes =
        message.method.empty() ? "HTTP/1.1 " + std::to_string(message.status) + " Status\r\n" : message.method + " " + message.path + " HTTP/1.1\r\n";
    for (const auto &[name, value] : message.headers) {
        bytes.append(name).append(": ").append(value).append("\r\n");
    }
    if (message.method != "GET" || !message.body.empty()) {
        bytes.append("Content-Length: ").append(std::to_string(message.body.size())).append("\r\n");
    }
    return bytes.append("\r\n").append(message.body);
}

Server::Server(const std::string &address, uint16_t port, Handler handler)
    : handler_(std::move(handler))
    , listener_(::socket(AF_INET, SOCK_STREAM, 0))
{
    const int on = 1;
    ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (!bindTo(listener_, address, port) || ::listen(listener_, 512) != 0) {
        throw std::runtime_error("cannot listen on " + address + ":" + std::to_string(port));
    }
    acceptor_ = std::thread([this] {
        acceptConnections();
    });
}

Server::~Server()
{
    stop();
}

void Server::acceptConnections()
{
    while (!stopped_) {
        pollfd waiting{listener_, POLLIN, 0};
        if (::poll(&waiting, 1, 50) <= 0) {
            continue;
        }
        const int descriptor = ::accept(listener_, nullptr, nullptr);
        if (descriptor < 0) {
            continue;
        }
        const auto connection = std::make_shared<Connection>(descriptor);
        const std::lock_guard<std::mutex> lock(mutex_);
        connections_.push_back(connection);
        threads_.emplace_back([this, connection] {
            serve(connection);
        });
    }
}

void Server::serve(const std::shared_ptr<Connection> &connection)
{
    while (!stopped_) {
        const auto request = connection->readMessage();
        if (!request) {
            break;
        }
        const auto response = handler_(*request);
        if (!response || !connection->send(serialize(*response))) {
            break;
        }
    }
    connection->shutdown();
}

void Server::stop()
{
    if (stopped_.exchange(true)) {
        return;
    }
    acceptor_.join();
    ::close(listener_);
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        for (const auto &connection : connections_) {
            connection->shutdown();
        }
    }
    for (auto &thread : threads_) {
        thread.join();
    }
}

auto isPortFree(const std::string &address, uint16_t port) -> bool
{
    for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
        const int descriptor = ::socket(AF_INET, type, 0);
        const bool bound = bindTo(descriptor, address, port);
        ::close(descriptor);
        if (!bound) {
            return false;
        }
    }
    return true;
}

} // namespace review
