#pragma once

#include "core/ids.h"
#include "core/result.h"
#include "core/time.h"

#include <cstdint>

#include <boost/asio/ip/tcp.hpp>

namespace snipestream
{

/// Disables Nagle's algorithm, so that small messages are sent at once. With a `deadPeerTimeout` above zero, the operating
/// system also closes a connection whose peer has not acknowledged data for that long, and sends keep-alive probes to a
/// peer that has been silent for 1 s.
void setTcpOptions(boost::asio::ip::tcp::socket &socket, Duration deadPeerTimeout);

/// Opens, binds and listens. Returns the bound port, which the system chooses if the endpoint has port 0, or an Error if
/// the address is invalid or cannot be bound.
auto listenOn(boost::asio::ip::tcp::acceptor &acceptor, const Endpoint &endpoint) -> Result<uint16_t>;

} // namespace snipestream
