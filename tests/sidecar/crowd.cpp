#include "tests/sidecar/crowd.h"

#include "core/time.h"

#include <algorithm>
#include <cerrno>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace snipestream::testing
{

namespace
{

constexpr size_t kBlockBytes = size_t{64} * 1024;

} // namespace

Crowd::Crowd(CrowdPlan plan)
    : plan_(std::move(plan))
    , clients_(plan_.clients)
{
    while (!plan_.repeated.empty() && block_.size() < kBlockBytes) {
        block_ += plan_.repeated;
    }
    thread_ = std::thread([this] {
        run();
    });
}

Crowd::~Crowd()
{
    isEnding_ = true;
    thread_.join();
    for (const Client &client : clients_) {
        if (client.socket >= 0) {
            close(client.socket);
        }
    }
}

auto Crowd::sentBytes() const -> uint64_t
{
    return sentBytes_;
}

void Crowd::run()
{
    for (Client &client : clients_) {
        connect(client);
    }
    while (!isEnding_) {
        bool hasSent = false;
        for (Client &client : clients_) {
            hasSent = send(client) || hasSent;
        }
        if (!hasSent) {
            std::this_thread::sleep_for(milliseconds(1));
        }
    }
}

void Crowd::connect(Client &client)
{
    client = {socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0), 0};
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(plan_.server.port);
    inet_pton(AF_INET, plan_.server.address.c_str(), &address.sin_addr);
    // The first send tells whether the connection was made.
    const auto *const target = reinterpret_cast<const sockaddr *>(&address); // NOLINT(cppcoreguidelines-pro-type-reinterpret-cast)
    static_cast<void>(::connect(client.socket, target, sizeof address));
}

auto Crowd::send(Client &client) -> bool
{
    if (client.socket < 0) {
        return false;
    }
    const bool isPrefix = client.sent < plan_.prefix.size();
    const std::string &bytes = isPrefix ? plan_.prefix : block_;
    const size_t from = isPrefix ? client.sent : (client.sent - plan_.prefix.size()) % std::max<size_t>(plan_.repeated.size(), 1);
    const size_t length = std::min(bytes.size() - std::min(from, bytes.size()), plan_.maxBytes - std::min(plan_.maxBytes, client.sent));
    // Without anything to send, the call still tells whether the connection has been reset.
    const ssize_t sent = length > 0 ? ::send(client.socket, bytes.data() + from, length, MSG_NOSIGNAL) : recv(client.socket, nullptr, 0, MSG_PEEK);
    if (sent > 0) {
        client.sent += static_cast<size_t>(sent);
        sentBytes_ += static_cast<uint64_t>(sent);
        return true;
    }
    if (sent < 0 && errno != EAGAIN && errno != ENOTCONN && errno != EINPROGRESS) {
        close(client.socket);
        client.socket = -1;
        if (plan_.reconnects) {
            connect(client);
        }
    }
    return false;
}

} // namespace snipestream::testing
