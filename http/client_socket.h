#pragma once

#include <cstddef>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/compose.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/system/error_code.hpp>

namespace snipestream
{

/// Socket of a client, for asio and Beast. The kernel reports a broken connection to one operation only; for all others it looks as if
/// the server had ended the connection in order. If a write is told, a response that lasts until the end of its connection would seem
/// whole to the read, so this socket reports the error to reads as well.
class ClientSocket
{
public:
    using Tcp = boost::asio::ip::tcp;
    using Error = boost::system::error_code;

    explicit ClientSocket(boost::asio::io_context &context)
        : socket_(context)
    {
    }

    /// Socket for connecting, options, waiting and closing. It must be made non-blocking before bytes are read or written, and these
    /// must go through this class.
    [[nodiscard]] auto tcp() -> Tcp::socket &
    {
        return socket_;
    }

    /// Returns whether the connection is open and has no unread bytes. Before a request is sent, unread bytes belong to no request, and
    /// a response that they contain would be taken for the one to it.
    [[nodiscard]] auto isIdle() -> bool
    {
        char byte = 0;
        Error error;
        socket_.receive(boost::asio::buffer(&byte, 1), boost::asio::socket_base::message_peek, error);
        return error == boost::asio::error::would_block;
    }

    /// Reads what has arrived. Sets the error to would_block if nothing has.
    template<typename Buffers>
    auto readSome(const Buffers &buffers, Error &error) -> size_t
    {
        const size_t bytes = socket_.read_some(buffers, error);
        if (error == boost::asio::error::eof && writeError_) {
            error = writeError_;
        }
        return bytes;
    }

    // Names that asio requires of a stream.
    // NOLINTBEGIN(readability-identifier-naming)
    using executor_type = Tcp::socket::executor_type;

    auto get_executor() -> executor_type
    {
        return socket_.get_executor();
    }

    template<typename Buffers, typename Handler>
    auto async_read_some(const Buffers &buffers, Handler &&handler)
    {
        const auto read = [this, buffers](Error &error) {
            return readSome(buffers, error);
        };
        return startTransfer(Tcp::socket::wait_read, read, std::forward<Handler>(handler));
    }

    template<typename Buffers, typename Handler>
    auto async_write_some(const Buffers &buffers, Handler &&handler)
    {
        const auto write = [this, buffers](Error &error) {
            return writeSome(buffers, error);
        };
        return startTransfer(Tcp::socket::wait_write, write, std::forward<Handler>(handler));
    }
    // NOLINTEND(readability-identifier-naming)

private:
    /// Transfers bytes at once or when the socket is ready. Makes the system calls itself instead of leaving them to asio, which would
    /// report their errors only when a handler runs; a read in between would miss them.
    template<typename Transfer>
    struct Operation {
        template<typename Self>
        void operator()(Self &self, Error error = {})
        {
            if (isDone) {
                self.complete(result, bytes);
                return;
            }
            if (!error) {
                bytes = transfer(error);
            }
            Tcp::socket &waitingSocket = socket;
            if (error == boost::asio::error::would_block) {
                hasWaited = true;
                waitingSocket.async_wait(event, std::move(self));
                return;
            }
            if (hasWaited) {
                self.complete(error, bytes);
                return;
            }
            // A handler must not run before the function that starts the operation has returned.
            isDone = true;
            result = error;
            boost::asio::post(waitingSocket.get_executor(), std::move(self));
        }

        Tcp::socket &socket;
        Tcp::socket::wait_type event;
        Transfer transfer;
        bool hasWaited = false;
        bool isDone = false;
        Error result = {};
        size_t bytes = 0;
    };

    template<typename Transfer, typename Handler>
    auto startTransfer(Tcp::socket::wait_type event, const Transfer &transfer, Handler &&handler)
    {
        return boost::asio::async_compose<Handler, void(Error, size_t)>(Operation<Transfer>{socket_, event, transfer}, handler, socket_);
    }

    template<typename Buffers>
    auto writeSome(const Buffers &buffers, Error &error) -> size_t
    {
        const size_t bytes = socket_.write_some(buffers, error);
        // Linux reports broken_pipe instead of a reset to a write if the server had ended its side in order before, so that what it sent
        // is whole, or if a read was told of the reset.
        if (error && error != boost::asio::error::would_block && error != boost::asio::error::broken_pipe) {
            writeError_ = error;
        }
        return bytes;
    }

    Tcp::socket socket_;
    /// Error that a write was told of and reads were not.
    Error writeError_;
};

} // namespace snipestream
