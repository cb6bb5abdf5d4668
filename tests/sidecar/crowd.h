#pragma once

#include "core/ids.h"

#include <atomic>
#include <cstddef>
#include <string>
#include <thread>
#include <vector>

namespace snipestream::testing
{

/// What each client of a crowd sends.
struct CrowdPlan {
    Endpoint server;
    size_t clients = 0;
    /// Sent once on each connection.
    std::string prefix;
    /// Sent again and again after it; nothing if it is empty.
    std::string repeated;
    /// Bytes after which a client sends no more and leaves its connection open.
    size_t maxBytes = SIZE_MAX;
    /// Whether a client whose connection is closed opens another one.
    bool reconnects = true;
};

/// Clients that send as fast as the server reads and never read, on a thread of their own.
class Crowd
{
public:
    explicit Crowd(CrowdPlan plan);
    ~Crowd();
    Crowd(const Crowd &) = delete;
    auto operator=(const Crowd &) -> Crowd & = delete;

    /// Returns the number of bytes that the kernel has accepted so far from all clients.
    [[nodiscard]] auto sentBytes() const -> uint64_t;

private:
    struct Client {
        int socket = -1;
        size_t sent = 0;
    };

    void run();
    void connect(Client &client);
    /// Returns whether something was sent.
    auto send(Client &client) -> bool;

    CrowdPlan plan_;
    /// `repeated` many times, so that one call sends much.
    std::string block_;
    std::vector<Client> clients_;
    std::atomic<uint64_t> sentBytes_{0};
    std::atomic<bool> isEnding_{false};
    std::thread thread_;
};

} // namespace snipestream::testing
