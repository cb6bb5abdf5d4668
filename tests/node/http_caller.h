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

/// Request that a test sends as a caller.
struct CallerRequest {
    std::string method = "GET";
    std::string path = "/";
    HeaderList headers;
    std::string body;
};

/// Response that the caller received. A status of 0 means that no complete response arrived; `error` has the reason.
struct Reply {
    int status = 0;
    HeaderList headers;
    std::string body;
    std::string error;
    /// No connection could be opened, so nothing was sent.
    bool isRefusedConnection = false;
    /// The response states that the server closes the connection after it.
    bool closes = false;
};

/// Returns the value of a header of the reply, or an empty string if it is absent.
auto headerOf(const Reply &reply, const std::string &name) -> std::string;

/// Returns a string member of the reply's JSON body, or an empty string if there is none.
auto textOf(const Reply &reply, const std::string &member) -> std::string;

/// Connection to a server on loopback that stays open between requests. Calls block; an object must be used by one thread
/// only.
class HttpCaller
{
public:
    explicit HttpCaller(uint16_t port);

    /// Sends a request and waits for the complete response. Opens the connection if it is closed.
    auto send(const CallerRequest &request, Duration timeout = seconds(10)) -> Reply;

    /// Sends the head and only the first `bytes` bytes of the body, then closes the connection. The head states the length
    /// of the whole body, or a chunked body, whose last chunk is then missing. Returns false if connecting or writing failed.
    auto sendTruncated(const CallerRequest &request, size_t bytes, bool chunked, Duration timeout = seconds(10)) -> bool;

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
