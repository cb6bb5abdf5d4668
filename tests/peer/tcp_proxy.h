#pragma once

#include "net/await.h"
#include "net/fiber_runtime.h"
#include "peer/handshake.h"
#include "peer/peer_socket.h"
#include "tests/peer/peer_pair.h"

#include <array>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

namespace snipestream::testing
{

/// Forwards TCP connections to an endpoint, and can stop forwarding or close them.
class TcpProxy
{
public:
    using Tcp = boost::asio::ip::tcp;

    TcpProxy(FiberRuntime &runtime, const Endpoint &target)
        : runtime_(runtime)
        , target_(boost::asio::ip::make_address(target.address), target.port)
        , acceptor_(runtime.context(), Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
    {
        runtime_.spawn([this] {
            accept();
        });
    }

    [[nodiscard]] auto endpoint() const -> Endpoint
    {
        return {"127.0.0.1", acceptor_.local_endpoint().port()};
    }

    /// Keeps the connections open but discards all further data.
    void freeze()
    {
        frozen_ = true;
    }

    void closeConnections()
    {
        for (const auto &socket : sockets_) {
            boost::system::error_code ignored;
            socket->close(ignored);
        }
        sockets_.clear();
    }

    /// Ends the proxy and its fibers.
    void stop()
    {
        boost::system::error_code ignored;
        acceptor_.close(ignored);
        closeConnections();
    }

private:
    using SocketPtr = std::shared_ptr<Tcp::socket>;

    void accept()
    {
        while (true) {
            auto inbound = std::make_shared<Tcp::socket>(runtime_.context());
            auto outbound = std::make_shared<Tcp::socket>(runtime_.context());
            const auto accepted = awaitIo([&](auto done) {
                acceptor_.async_accept(*inbound, done);
            });
            if (accepted.error) {
                return;
            }
            const auto connected = awaitIo([&](auto done) {
                outbound->async_connect(target_, done);
            });
            if (connected.error) {
                return;
            }
            sockets_.push_back(inbound);
            sockets_.push_back(outbound);
            runtime_.spawn([this, inbound, outbound] {
                pump(inbound, outbound);
            });
            runtime_.spawn([this, inbound, outbound] {
                pump(outbound, inbound);
            });
        }
    }

    void pump(const SocketPtr &from, const SocketPtr &to) const
    {
        std::array<char, 16384> buffer{};
        while (true) {
            const auto received = awaitIo([&](auto done) {
                from->async_read_some(boost::asio::buffer(buffer), done);
            });
            if (received.error) {
                break;
            }
            if (frozen_) {
                continue;
            }
            const auto written = awaitIo([&](auto done) {
                boost::asio::async_write(*to, boost::asio::buffer(buffer.data(), received.bytes), done);
            });
            if (written.error) {
                break;
            }
        }
        boost::system::error_code ignored;
        from->close(ignored);
        to->close(ignored);
    }

    FiberRuntime &runtime_;
    Tcp::endpoint target_;
    Tcp::acceptor acceptor_;
    std::vector<SocketPtr> sockets_;
    bool frozen_ = false;
};

/// A dialler that can send arbitrary messages, including ones that a correct node never sends.
class RawPeer
{
public:
    RawPeer(FiberRuntime &runtime, const Endpoint &target)
        : runtime_(runtime)
        , socket_(PeerSocketFactory::make(runtime.context(), 16U << 20U)->dialled(target))
    {
        socket_->start({[this] {
                            opened = true;
                        },
                        [this](std::string_view message) {
                            while (auto frame = decodeFrame(message)) {
                                received.push_back(std::move(frame.value()));
                                if (message.empty()) {
                                    break;
                                }
                            }
                        },
                        [] {},
                        [this](SocketEnd, const std::string &why) {
                            closed = true;
                            reason = why;
                        }});
        wait(opened);
    }

    /// Performs the handshake with this secret.
    void completeHandshake(const std::string &secret)
    {
        HelloFrame hello{kPeerProtocolVersion, "raw", 1, "caerdydd", 256 * 1024, std::string(32, 'a'), {}};
        send(hello);
        while (received.empty() && !closed) {
            runtime_.sleepFor(milliseconds(1));
        }
        const auto *acceptorHello = received.empty() ? nullptr : std::get_if<HelloFrame>(&received.front());
        if (acceptorHello != nullptr) {
            send(ProofFrame{peerProof(secret, LinkRole::Dialler, hello, *acceptorHello)});
        }
    }

    void send(const Frame &frame)
    {
        std::string bytes;
        encodeFrame(frame, bytes);
        socket_->send(bytes);
    }

    void sendBytes(const std::string &bytes)
    {
        socket_->send(bytes);
    }

    void close()
    {
        socket_->close("done");
        wait(closed);
    }

    void wait(const bool &flag)
    {
        const TimePoint deadline = BootClock::now() + seconds(5);
        while (!flag && BootClock::now() < deadline) {
            runtime_.sleepFor(milliseconds(1));
        }
    }

    bool opened = false;
    bool closed = false;
    std::string reason;
    std::vector<Frame> received;

private:
    FiberRuntime &runtime_;
    std::shared_ptr<PeerSocket> socket_;
};

} // namespace snipestream::testing
