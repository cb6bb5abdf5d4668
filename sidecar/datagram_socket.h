#pragma once

#include "core/result.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/io_context.hpp>

namespace snipestream
{

/// Kinds of datagrams between nodes. The number is the first byte of a datagram and must not be used again for another
/// kind.
enum class DatagramKind : uint8_t {
    Report = 1,
    VoteClaim = 2,
    Vote = 3,
    QuotaRequest = 4,
    /// Response to the entry side of a node.
    QuotaGrant = 5,
    /// Response to the holder side of a node.
    QuotaLoan = 6,
    Subscription = 7,
    PolicyQuery = 8,
    PolicyState = 9,
};

/// Number of datagram kinds, including the unused zero.
inline constexpr size_t kDatagramKinds = 10;

/// Returns the name of the kind as a metric label.
auto datagramKindName(DatagramKind kind) -> const char *;

/// Datagrams that were sent.
struct DatagramCount {
    uint64_t datagrams = 0;
    uint64_t bytes = 0;

    friend auto operator==(const DatagramCount &a, const DatagramCount &b) -> bool
    {
        return a.datagrams == b.datagrams && a.bytes == b.bytes;
    }
};

/// Sends and receives the datagrams of a node. All nodes use the same port. Datagrams can be lost, duplicated, delayed and
/// reordered; a failed send counts as a loss.
class DatagramSocket
{
public:
    /// `from` is the IP address of the sender.
    using Handler = std::function<void(const std::string &from, std::string_view payload)>;

    explicit DatagramSocket(boost::asio::io_context &context);
    ~DatagramSocket();
    DatagramSocket(const DatagramSocket &) = delete;
    auto operator=(const DatagramSocket &) -> DatagramSocket & = delete;

    /// Starts to receive. Returns ErrorCode::Unavailable if the address cannot be bound.
    auto open(const std::string &address, uint16_t port) -> Result<void>;
    void close();

    /// Sets the handler for one kind of datagrams. Those without a handler are ignored.
    void onReceive(DatagramKind kind, Handler handler);

    void send(const std::string &address, DatagramKind kind, const std::vector<uint8_t> &payload);

    [[nodiscard]] auto sent(DatagramKind kind) const -> DatagramCount;

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace snipestream
