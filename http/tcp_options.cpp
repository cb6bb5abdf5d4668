#include "http/tcp_options.h"

#include <boost/asio/ip/address.hpp>
#include <netinet/tcp.h>

namespace snipestream
{

namespace asio = boost::asio;

void setTcpOptions(asio::ip::tcp::socket &socket, Duration deadPeerTimeout)
{
    // Setting an option fails if the peer has already closed the connection; the next read or write reports that error.
    boost::system::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    if (deadPeerTimeout <= Duration::zero()) {
        return;
    }
    using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    using KeepIdle = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
    using KeepInterval = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
    using KeepCount = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
    socket.set_option(UserTimeout(static_cast<int>(duration_cast<milliseconds>(deadPeerTimeout).count())), ignored);
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    socket.set_option(KeepIdle(1), ignored);
    socket.set_option(KeepInterval(1), ignored);
    socket.set_option(KeepCount(2), ignored);
}

auto listenOn(asio::ip::tcp::acceptor &acceptor, const Endpoint &endpoint) -> Result<uint16_t>
{
    boost::system::error_code error;
    const auto address = asio::ip::make_address(endpoint.address, error);
    if (error) {
        return failure(ErrorCode::InvalidInput, "'" + endpoint.address + "' is not an IP address");
    }
    const asio::ip::tcp::endpoint localEndpoint(address, endpoint.port);
    acceptor.open(localEndpoint.protocol(), error);
    if (!error) {
        acceptor.set_option(asio::socket_base::reuse_address(true), error);
    }
    if (!error) {
        acceptor.bind(localEndpoint, error);
    }
    if (!error) {
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return failure(ErrorCode::Unavailable, "cannot listen on " + toString(endpoint) + ": " + error.message());
    }
    return acceptor.local_endpoint().port();
}

} // namespace snipestream
