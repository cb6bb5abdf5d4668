#include "peer/peer_socket.h"

#include <algorithm>
#include <array>
#include <random>
#include <utility>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <websocketpp/client.hpp>
#include <websocketpp/concurrency/none.hpp>
#include <websocketpp/config/core.hpp>
#include <websocketpp/logger/stub.hpp>
#include <websocketpp/server.hpp>

namespace snipestream
{

namespace
{

using boost::asio::ip::tcp;

/// Size of the read buffer, which all links of the thread share.
constexpr size_t kReadBufferBytes = 64 * 1024;

/// Maximum time that a closing socket waits until its queue is written and the peer has closed.
constexpr auto kCloseTimeout = milliseconds(500);

/// Generator of websocket masking keys. Masking protects proxies between browsers and servers. Links have neither, so a
/// fast generator that is not cryptographically secure suffices. The nonces of the handshake have another source.
struct MaskGenerator {
    auto operator()() -> uint32_t
    {
        return static_cast<uint32_t>(engine());
    }
    std::mt19937 engine{std::random_device{}()};
};

struct LinkConfig : public websocketpp::config::core {
    using concurrency_type = websocketpp::concurrency::none; // NOLINT(readability-identifier-naming)
    using elog_type = websocketpp::log::stub; // NOLINT(readability-identifier-naming)
    using alog_type = websocketpp::log::stub; // NOLINT(readability-identifier-naming)
    using rng_type = MaskGenerator; // NOLINT(readability-identifier-naming)
    static bool const enable_multithreading = false; // NOLINT(readability-identifier-naming)
    /// If this is false, the library waits for the peer's close frame, for which this transport has no timer.
    static bool const drop_on_protocol_error = true; // NOLINT(readability-identifier-naming)
    /// In bytes. Each connection holds this buffer for its lifetime; 4 KiB suffice for a small request with its head.
    static size_t const connection_read_buffer_size = 4096; // NOLINT(readability-identifier-naming)

    struct transport_config : public core::transport_config // NOLINT(readability-identifier-naming)
    {
        using concurrency_type = LinkConfig::concurrency_type; // NOLINT(readability-identifier-naming)
        using elog_type = LinkConfig::elog_type; // NOLINT(readability-identifier-naming)
        using alog_type = LinkConfig::alog_type; // NOLINT(readability-identifier-naming)
        static bool const enable_multithreading = false; // NOLINT(readability-identifier-naming)
    };
    using transport_type // NOLINT(readability-identifier-naming)
        = websocketpp::transport::iostream::endpoint<transport_config>;
};

using Server = websocketpp::server<LinkConfig>;
using Client = websocketpp::client<LinkConfig>;
using Connection = websocketpp::connection<LinkConfig>;
using ConnectionPtr = Connection::ptr;

class WebSocket : public PeerSocket, public std::enable_shared_from_this<WebSocket>
{
public:
    WebSocket(std::shared_ptr<PeerSocketFactory> factory, boost::asio::io_context &context, tcp::socket socket, Endpoint remote, Client *client,
              ConnectionPtr serverConnection, uint32_t maxMessageBytes)
        : factory_(std::move(factory))
        , context_(context)
        , socket_(std::move(socket))
        , remote_(std::move(remote))
        , client_(client)
        , connection_(std::move(serverConnection))
        , maxMessageBytes_(maxMessageBytes)
    {
    }

    void start(PeerSocketHandlers handlers) override
    {
        handlers_ = std::move(handlers);
        if (client_ == nullptr) {
            startHandshake();
            return;
        }
        boost::system::error_code error;
        const auto address = boost::asio::ip::make_address(remote_.address, error);
        if (error) {
            finish("'" + remote_.address + "' is not an IP address", SocketEnd::Lost);
            return;
        }
        socket_.async_connect(tcp::endpoint(address, remote_.port), [self = shared_from_this()](const boost::system::error_code &connectError) {
            if (connectError) {
                self->finish("connect: " + connectError.message(), SocketEnd::Lost);
            } else if (!self->finished_) {
                self->startHandshake();
            }
        });
    }

    void send(std::string_view message) override
    {
        if (finished_ || closing_ || !connection_) {
            return;
        }
        connection_->send(message.data(), message.size(), websocketpp::frame::opcode::binary);
    }

    void ping() override
    {
        if (finished_ || closing_ || !connection_) {
            return;
        }
        websocketpp::lib::error_code ignored;
        connection_->ping({}, ignored);
    }

    void close(const std::string &reason) override
    {
        if (finished_ || closing_) {
            return;
        }
        if (!opened_) {
            finish(reason, SocketEnd::Lost);
            return;
        }
        reason_ = reason;
        websocketpp::lib::error_code ignored;
        // The reason in a close frame may have at most 123 bytes.
        connection_->close(websocketpp::close::status::normal, reason.substr(0, 120), ignored);
        closing_ = true;
        closeTimer_ = std::make_unique<boost::asio::steady_timer>(context_, kCloseTimeout);
        closeTimer_->async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
            const auto self = weak.lock();
            if (self && !error) {
                self->finish(self->reason_, SocketEnd::Regular);
            }
        });
        shutdownIfWritten();
    }

    [[nodiscard]] auto queuedBytes() const -> size_t override
    {
        return pending_.size() - written_;
    }

    [[nodiscard]] auto lastReceived() const -> TimePoint override
    {
        return lastReceived_;
    }

    [[nodiscard]] auto remote() const -> Endpoint override
    {
        return remote_;
    }

private:
    /// Starts the websocket handshake on the connected socket.
    void startHandshake()
    {
        boost::system::error_code ignored;
        socket_.set_option(tcp::no_delay(true), ignored);
        socket_.non_blocking(true, ignored);
        if (client_ != nullptr) {
            websocketpp::lib::error_code error;
            const bool isV6 = remote_.address.find(':') != std::string::npos;
            const std::string host = isV6 ? "[" + remote_.address + "]" : remote_.address;
            connection_ = client_->get_connection("ws://" + host + ":" + std::to_string(remote_.port) + "/", error);
            if (error) {
                finish("connect: " + error.message(), SocketEnd::Lost);
                return;
            }
        }
        connection_->set_max_message_size(maxMessageBytes_);
        // The handlers may capture `this`, because finish() ends the connection before this object is destroyed. The
        // library sends the opening handshake through the plain write handler and messages through the vector one.
        connection_->set_write_handler([this](const auto &, const char *bytes, size_t length) {
            write({{bytes, length}});
            return websocketpp::lib::error_code();
        });
        connection_->set_vector_write_handler([this](const auto &, const std::vector<websocketpp::transport::buffer> &buffers) {
            write(buffers);
            return websocketpp::lib::error_code();
        });
        connection_->set_open_handler([this](const auto &) {
            opened_ = true;
            handlers_.opened();
        });
        connection_->set_message_handler([this](const auto &, const Connection::message_ptr &message) {
            if (!closing_ && !finished_) {
                handlers_.message(message->get_payload());
            }
        });
        connection_->set_close_handler([this](const auto &) {
            onConnectionEnded();
        });
        connection_->set_fail_handler([this](const auto &) {
            onConnectionEnded();
        });
        if (client_ != nullptr) {
            client_->connect(connection_);
        } else {
            connection_->start();
        }
        read();
    }

    /// The library has ended the connection, because a close frame arrived or the peer violated the protocol.
    void onConnectionEnded()
    {
        if (closing_) {
            finish(reason_, SocketEnd::Regular);
            return;
        }
        const auto error = connection_->get_ec();
        const bool isCloseFrame = connection_->get_remote_close_code() != websocketpp::close::status::abnormal_close
            && connection_->get_remote_close_code() != websocketpp::close::status::blank;
        if (opened_ && isCloseFrame) {
            finish("closed by the peer: " + connection_->get_remote_close_reason(), SocketEnd::Regular);
            return;
        }
        finish("websocket: " + error.message(), opened_ ? SocketEnd::Violation : SocketEnd::Lost);
    }

    void read()
    {
        if (finished_) {
            return;
        }
        socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](const boost::system::error_code &error) {
            if (error || self->finished_) {
                return;
            }
            self->readAvailable();
        });
    }

    void readAvailable()
    {
        thread_local std::vector<char> buffer(kReadBufferBytes);
        boost::system::error_code error;
        const size_t bytes = socket_.read_some(boost::asio::buffer(buffer), error);
        if (error == boost::asio::error::would_block) {
            read();
            return;
        }
        if (error) {
            finish(closing_ ? reason_ : "read: " + error.message(), closing_ ? SocketEnd::Regular : SocketEnd::Lost);
            return;
        }
        lastReceived_ = BootClock::now();
        connection_->read_all(buffer.data(), bytes);
        read();
    }

    void write(const std::vector<websocketpp::transport::buffer> &buffers)
    {
        if (finished_) {
            return;
        }
        size_t skip = 0;
        if (queuedBytes() == 0) {
            std::array<boost::asio::const_buffer, 4> views;
            const size_t count = std::min(buffers.size(), views.size());
            for (size_t i = 0; i < count; ++i) {
                views[i] = boost::asio::const_buffer(buffers[i].buf, buffers[i].len);
            }
            boost::system::error_code error;
            skip = socket_.write_some(views, error);
            if (error && error != boost::asio::error::would_block) {
                finish("write: " + error.message(), SocketEnd::Lost);
                return;
            }
        }
        for (const auto &buffer : buffers) {
            const size_t skipped = std::min(skip, buffer.len);
            pending_.append(buffer.buf + skipped, buffer.len - skipped);
            skip -= skipped;
        }
        if (queuedBytes() > 0) {
            waitToWrite();
        }
    }

    void waitToWrite()
    {
        if (waitingToWrite_) {
            return;
        }
        waitingToWrite_ = true;
        socket_.async_wait(tcp::socket::wait_write, [self = shared_from_this()](const boost::system::error_code &error) {
            self->waitingToWrite_ = false;
            if (!error && !self->finished_) {
                self->writePending();
            }
        });
    }

    void writePending()
    {
        boost::system::error_code error;
        written_ += socket_.write_some(boost::asio::buffer(pending_) + written_, error);
        if (error && error != boost::asio::error::would_block) {
            finish("write: " + error.message(), SocketEnd::Lost);
            return;
        }
        if (written_ == pending_.size()) {
            // Frees the buffer, so that an idle link holds none.
            std::string().swap(pending_);
            written_ = 0;
            shutdownIfWritten();
        } else {
            if (written_ >= pending_.size() / 2) {
                pending_.erase(0, written_);
                written_ = 0;
            }
            waitToWrite();
        }
        if (!closing_) {
            handlers_.drained();
        }
    }

    /// Shuts down the sending direction of a closing socket once its queue is written. The socket is closed after the
    /// peer's close: with unread bytes in the socket, an earlier close would make the kernel discard data that the peer
    /// has not received.
    void shutdownIfWritten()
    {
        if (closing_ && queuedBytes() == 0) {
            boost::system::error_code ignored;
            socket_.shutdown(tcp::socket::shutdown_send, ignored);
        }
    }

    void finish(const std::string &reason, SocketEnd end)
    {
        if (finished_) {
            return;
        }
        finished_ = true;
        boost::system::error_code ignored;
        socket_.close(ignored);
        if (closeTimer_) {
            closeTimer_->cancel();
        }
        // Posted, because the library or the owner may still be executing a function of this object.
        boost::asio::post(context_, [self = shared_from_this(), reason, end] {
            if (self->connection_) {
                self->connection_->eof();
            }
            auto handlers = std::move(self->handlers_);
            self->handlers_ = {};
            handlers.closed(end, reason);
        });
    }

    std::shared_ptr<PeerSocketFactory> factory_;
    boost::asio::io_context &context_;
    tcp::socket socket_;
    Endpoint remote_;
    Client *client_;
    ConnectionPtr connection_;
    uint32_t maxMessageBytes_;
    PeerSocketHandlers handlers_;
    std::unique_ptr<boost::asio::steady_timer> closeTimer_;
    std::string pending_;
    size_t written_ = 0;
    std::string reason_;
    TimePoint lastReceived_ = BootClock::now();
    bool waitingToWrite_ = false;
    bool opened_ = false;
    bool closing_ = false;
    bool finished_ = false;
};

} // namespace

struct PeerSocketFactory::State {
    State(boost::asio::io_context &contextToUse, uint32_t maxBytes)
        : context(contextToUse)
        , maxMessageBytes(maxBytes)
    {
    }

    boost::asio::io_context &context;
    uint32_t maxMessageBytes;
    Server server;
    Client client;
};

PeerSocketFactory::PeerSocketFactory(boost::asio::io_context &context, uint32_t maxMessageBytes)
    : state_(std::make_unique<State>(context, maxMessageBytes))
{
    state_->server.set_user_agent("");
    state_->client.set_user_agent("");
}

PeerSocketFactory::~PeerSocketFactory() = default;

auto PeerSocketFactory::make(boost::asio::io_context &context, uint32_t maxMessageBytes) -> std::shared_ptr<PeerSocketFactory>
{
    return std::shared_ptr<PeerSocketFactory>(new PeerSocketFactory(context, maxMessageBytes));
}

auto PeerSocketFactory::accepted(tcp::socket socket) -> std::shared_ptr<PeerSocket>
{
    boost::system::error_code ignored;
    const auto endpoint = socket.remote_endpoint(ignored);
    Endpoint remote{endpoint.address().to_string(), endpoint.port()};
    return std::make_shared<WebSocket>(shared_from_this(), state_->context, std::move(socket), std::move(remote), nullptr, state_->server.get_connection(),
                                       state_->maxMessageBytes);
}

auto PeerSocketFactory::dialled(const Endpoint &peer) -> std::shared_ptr<PeerSocket>
{
    return std::make_shared<WebSocket>(shared_from_this(), state_->context, tcp::socket(state_->context), peer, &state_->client, nullptr,
                                       state_->maxMessageBytes);
}

} // namespace snipestream
