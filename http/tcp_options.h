#pragma once

#include "core/ids.h"
#include "core/result.h"
#include "core/time.h"

#include <cstdint>

#include <boost/asio/ip/tcp.hpp>

namespace snipestream
{

/// Sends small messages at once. With a `deadPeerTimeout`, the system also ends a connection whose peer acknowledges
/// nothing for that long, and probes a peer that is silent for a second.
void setTcpOptions(boost::asio::ip::tcp::socket &socket, Duration deadPeerTimeout);

/// Opens, binds and listens. Returns the port, which matters if the endpoint asks for port 0.
auto listenOn(boost::asio::ip::tcp::acceptor &acceptor, const Endpoint &endpoint) -> Result<uint16_t>;

} // namespace snipestream
