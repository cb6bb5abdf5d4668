#pragma once

#include "core/exchange.h"
#include "core/time.h"

#include <cstdint>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace snipestream::testing
{

/// A request as a caller sends it.
struct CallerRequest {
    std::string method = "GET";
    std::string path = "/";
    HeaderList headers;
    std::string body;
};

/// What the caller gets. A status of 0 means that no complete response arrived; `error` says why.
struct Reply {
    int status = 0;
    HeaderList headers;
    std::string body;
    std::string error;
    /// No connection could be opened, so nothing was sent.
    bool isRefusedConnection = false;
    /// The server announced that it closes the connection after this response.
    bool closes = false;
};

/// Returns a header of the reply; empty if it is absent.
auto headerOf(const Reply &reply, const std::string &name) -> std::string;

/// Returns a text member of a reply's JSON body; empty if there is none.
auto textOf(const Reply &reply, const std::string &member) -> std::string;

/// One connection to a server on loopback, kept open between requests. Blocks the calling thread; one thread only.
class HttpCaller
{
public:
    explicit HttpCaller(uint16_t port);

    /// Sends a request and waits for the complete response. Opens the connection if it is closed.
    auto send(const CallerRequest &request, Duration timeout = seconds(10)) -> Reply;

    /// Sends the head and only the first `bytes` bytes of the body, then closes the connection. The head announces the
    /// length of the whole body, or a chunked body that is cut before its last chunk. Returns whether all was written.
    auto sendPartOf(const CallerRequest &request, size_t bytes, bool chunked, Duration timeout = seconds(10)) -> bool;

    [[nodiscard]] auto isOpen() const -> bool;

private:
    auto connect(Duration timeout) -> boost::system::error_code;
    void run();

    uint16_t port_;
    boost::asio::io_context context_;
    std::unique_ptr<boost::beast::tcp_stream> stream_;
    boost::beast::flat_buffer buffer_;
};

/// Sends one request on a connection of its own.
auto sendOnce(uint16_t port, const CallerRequest &request, Duration timeout = seconds(10)) -> Reply;

} // namespace snipestream::testing
