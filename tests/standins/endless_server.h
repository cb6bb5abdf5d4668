#pragma once

#include "core/ids.h"
#include "net/await.h"
#include "net/fiber_runtime.h"

#include <memory>
#include <string>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

namespace snipestream::testing
{

/// A faulty target: sends `prefix` on each connection, and then `repeated` without end until the caller closes. It does not
/// read requests.
class EndlessServer
{
public:
    EndlessServer(FiberRuntime &runtime, std::string prefix, const std::string &repeated)
        : runtime_(runtime)
        , prefix_(std::move(prefix))
        , acceptor_(runtime.context(), boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
    {
        while (chunk_.size() < kChunkBytes) {
            chunk_ += repeated;
        }
        accept();
    }

    ~EndlessServer()
    {
        boost::system::error_code ignored;
        acceptor_.close(ignored);
        for (const auto &socket : sockets_) {
            socket->close(ignored);
        }
    }

    EndlessServer(const EndlessServer &) = delete;
    auto operator=(const EndlessServer &) -> EndlessServer & = delete;

    [[nodiscard]] auto endpoint() const -> Endpoint
    {
        return {"127.0.0.1", acceptor_.local_endpoint().port()};
    }

    /// Returns the number of connections that callers have not closed.
    [[nodiscard]] auto openConnections() const -> int
    {
        return *openConnections_;
    }

private:
    static constexpr size_t kChunkBytes = 16 * 1024;
    using Socket = boost::asio::ip::tcp::socket;

    void accept()
    {
        acceptor_.async_accept([this](const boost::system::error_code &error, Socket socket) {
            if (error) {
                return;
            }
            sockets_.push_back(std::make_shared<Socket>(std::move(socket)));
            runtime_.spawn([socket = sockets_.back(), prefix = prefix_, chunk = chunk_, open = openConnections_] {
                ++*open;
                sendWithoutEnd(*socket, prefix, chunk);
                --*open;
            });
            accept();
        });
    }

    static void sendWithoutEnd(Socket &socket, const std::string &prefix, const std::string &chunk)
    {
        const auto send = [&socket](const std::string &bytes) {
            return !awaitIo([&](auto done) {
                        boost::asio::async_write(socket, boost::asio::buffer(bytes), done);
                    }).error;
        };
        if (!send(prefix)) {
            return;
        }
        while (send(chunk)) { }
    }

    FiberRuntime &runtime_;
    std::string prefix_;
    std::string chunk_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::vector<std::shared_ptr<Socket>> sockets_;
    std::shared_ptr<int> openConnections_ = std::make_shared<int>(0);
};

} // namespace snipestream::testing
