#include "sidecar/datagram_socket.h"

#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/udp.hpp>

namespace snipestream
{

namespace asio = boost::asio;

struct DatagramSocket::State : std::enable_shared_from_this<DatagramSocket::State> {
    explicit State(asio::io_context &context)
        : socket(context)
    {
    }

    void receive();
    void handleDatagram(const std::string &from, std::string_view bytes);

    asio::ip::udp::socket socket;
    asio::ip::udp::endpoint sender;
    uint16_t port = 0;
    std::array<char, 65536> buffer{};
    std::array<Handler, kDatagramKinds> handlers;
    std::array<DatagramCount, kDatagramKinds> sent{};
};

void DatagramSocket::State::handleDatagram(const std::string &from, std::string_view bytes)
{
    const size_t kind = bytes.empty() ? 0 : static_cast<unsigned char>(bytes.front());
    if (kind < kDatagramKinds && handlers[kind]) {
        handlers[kind](from, bytes.substr(1));
    }
}

void DatagramSocket::State::receive()
{
    socket.async_wait(asio::ip::udp::socket::wait_read, [self = shared_from_this()](const boost::system::error_code &error) {
        if (error) {
            return;
        }
        boost::system::error_code failed;
        while (!failed && self->socket.is_open()) {
            const size_t size = self->socket.receive_from(asio::buffer(self->buffer), self->sender, 0, failed);
            if (!failed) {
                self->handleDatagram(self->sender.address().to_string(), {self->buffer.data(), size});
            }
        }
        self->receive();
    });
}

auto datagramKindName(DatagramKind kind) -> const char *
{
    switch (kind) {
    case DatagramKind::Report:
        return "report";
    case DatagramKind::VoteClaim:
        return "vote-claim";
    case DatagramKind::Vote:
        return "vote";
    case DatagramKind::QuotaRequest:
        return "quota-request";
    case DatagramKind::QuotaGrant:
        return "quota-grant";
    case DatagramKind::QuotaLoan:
        return "quota-loan";
    case DatagramKind::Subscription:
        return "subscription";
    case DatagramKind::PolicyQuery:
        return "policy-query";
    case DatagramKind::PolicyState:
        return "policy-state";
    }
    return "unknown";
}

DatagramSocket::DatagramSocket(asio::io_context &context)
    : state_(std::make_shared<State>(context))
{
}

DatagramSocket::~DatagramSocket()
{
    close();
}

auto DatagramSocket::open(const std::string &address, uint16_t port) -> Result<void>
{
    boost::system::error_code error;
    const auto parsed = asio::ip::make_address(address, error);
    auto &socket = state_->socket;
    if (!error) {
        socket.open(asio::ip::udp::v4(), error);
    }
    if (!error) {
        socket.bind({parsed, port}, error);
    }
    if (!error) {
        socket.non_blocking(true, error);
    }
    if (error) {
        return failure(ErrorCode::Unavailable, "cannot bind the datagram port " + std::to_string(port) + ": " + error.message());
    }
    state_->port = port;
    state_->receive();
    return success();
}

void DatagramSocket::close()
{
    boost::system::error_code ignored;
    state_->socket.close(ignored);
}

void DatagramSocket::onReceive(DatagramKind kind, Handler handler)
{
    state_->handlers[static_cast<size_t>(kind)] = std::move(handler);
}

void DatagramSocket::send(const std::string &address, DatagramKind kind, const std::vector<uint8_t> &payload)
{
    boost::system::error_code error;
    const auto to = asio::ip::make_address(address, error);
    if (error) {
        return;
    }
    const auto kindByte = static_cast<uint8_t>(kind);
    const std::array<asio::const_buffer, 2> buffers = {asio::buffer(&kindByte, 1), asio::buffer(payload)};
    state_->socket.send_to(buffers, {to, state_->port}, 0, error);
    auto &count = state_->sent[static_cast<size_t>(kind)];
    ++count.datagrams;
    count.bytes += payload.size() + 1;
}

auto DatagramSocket::sent(DatagramKind kind) const -> DatagramCount
{
    return state_->sent[static_cast<size_t>(kind)];
}

} // namespace snipestream
