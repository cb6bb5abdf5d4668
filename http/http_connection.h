#pragma once

#include "http/http_server.h"

#include <memory>
#include <set>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>

namespace snipestream
{

class HttpConnection;

/// State that all connections of one server share.
struct HttpServerShared {
    FiberRuntime &runtime;
    HttpServerOptions options;
    HttpHandler handler;
    Counter &requests;
    Counter &invalidRequests;
    Counter &refusedConnections;
    std::set<std::shared_ptr<HttpConnection>> connections;
    size_t activeRequests = 0;
    bool stopping = false;
    /// Set before `stopping`: every response carries "Connection: close".
    bool closeAnnounced = false;
};

/// One connection of an HttpServer. A fiber runs only from the first byte of a request to the end of its response.
class HttpConnection : public std::enable_shared_from_this<HttpConnection>
{
public:
    HttpConnection(boost::asio::ip::tcp::socket socket, Endpoint remote, std::shared_ptr<HttpServerShared> shared);

    /// Waits for the next request without occupying a fiber.
    void awaitRequest();

    /// Closes the connection unless a request is running.
    void closeIfIdle();

    /// Closes an idle connection that has carried a request. The last response already asked its caller to close it.
    void closeIfServed();

    /// Closes the connection at once.
    void close();

private:
    struct Call;

    void serveRequests();
    auto readHead(Call &call) -> bool;
    auto handle(const std::shared_ptr<Call> &call) -> bool;
    auto readBody(const std::shared_ptr<Call> &call) -> Result<BodyChunk>;
    auto startResponse(Call &call, const ResponseHead &head) -> Result<void>;
    auto writeBody(Call &call, const std::string &bytes, bool last) -> Result<void>;
    void watchForDisconnect(const std::shared_ptr<Call> &call);
    void respondInvalid(int status, const std::string &detail);
    void lingerAndClose();
    static void cancelCall(Call &call);
    /// Returns whether the unread rest of the request body is small enough to be read and discarded.
    static auto canDiscardBody(const Call &call) -> bool;

    boost::asio::ip::tcp::socket socket_;
    Endpoint remote_;
    std::shared_ptr<HttpServerShared> shared_;
    boost::asio::steady_timer idleTimer_;
    boost::beast::flat_buffer buffer_;
    bool busy_ = false;
    bool hasServed_ = false;
    bool closed_ = false;
};

} // namespace snipestream
