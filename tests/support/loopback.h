#pragma once

#include "core/exchange.h"
#include "net/await.h"
#include "net/fiber_runtime.h"

#include <string>

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

namespace snipestream::testing
{

/// A TCP client without HTTP parsing, for malformed or partial requests that an HTTP library cannot send.
class RawClient
{
public:
    /// `receiveBufferBytes` bounds what the client receives without reading it, if it is not zero.
    RawClient(FiberRuntime &runtime, uint16_t port, int receiveBufferBytes = 0, const std::string &host = "127.0.0.1")
        : socket_(runtime.context())
    {
        if (receiveBufferBytes != 0) {
            socket_.open(boost::asio::ip::tcp::v4());
            socket_.set_option(boost::asio::socket_base::receive_buffer_size(receiveBufferBytes));
        }
        const auto address = boost::asio::ip::make_address(host);
        awaitIo([&](auto handler) {
            socket_.async_connect({address, port}, handler);
        });
    }

    void send(const std::string &text)
    {
        awaitIo([&](auto handler) {
            boost::asio::async_write(socket_, boost::asio::buffer(text), handler);
        });
    }

    /// Reads until the server closes the connection.
    auto readAll() -> std::string
    {
        std::string text;
        awaitIo([&](auto handler) {
            boost::asio::async_read(socket_, boost::asio::dynamic_buffer(text), handler);
        });
        return text;
    }

    void close()
    {
        boost::system::error_code ignored;
        socket_.close(ignored);
    }

private:
    boost::asio::ip::tcp::socket socket_;
};

/// Returns the head of a request without a body that has 10 s left until its deadline.
inline auto makeRequest(const std::string &method, const std::string &path) -> RequestHead
{
    RequestHead head;
    head.method = method;
    head.path = path;
    head.bodyLength = 0;
    head.timeLeft = seconds(10);
    return head;
}

} // namespace snipestream::testing
