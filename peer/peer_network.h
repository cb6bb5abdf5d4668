#pragma once

#include "core/exchange.h"
#include "core/ids.h"
#include "core/metrics.h"
#include "core/result.h"
#include "core/time.h"
#include "net/fiber_runtime.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <nlohmann/json.hpp>

namespace snipestream
{

/// Identity that a node states in its hello. The handshake proves that the node knows the fleet secret, so the identity
/// is as trustworthy as the nodes of the fleet.
struct PeerIdentity {
    NodeName node;
    /// Differs between two runs of the same node.
    uint64_t incarnation = 0;
    DomainName domain;

    friend auto operator==(const PeerIdentity &a, const PeerIdentity &b) -> bool
    {
        return a.node == b.node && a.incarnation == b.incarnation && a.domain == b.domain;
    }
    friend auto operator!=(const PeerIdentity &a, const PeerIdentity &b) -> bool
    {
        return !(a == b);
    }
};

/// Settings of the links of one node. The defaults suit a production node; tests shorten the times.
struct PeerOptions {
    /// Address on which peers connect; port 0 selects any free port.
    Endpoint listen;
    PeerIdentity self;
    /// Secret shared by all nodes of the fleet; it is never sent.
    std::string fleetSecret;
    /// Protocol version sent in the hello; only tests set it to another value than kPeerProtocolVersion.
    int version = 1;

    /// Maximum size of a websocket message and of a frame, in bytes.
    uint32_t maxFrameBytes = 256 * 1024;
    /// Maximum bytes of one body that may be in flight or unread, in one direction of a stream.
    uint32_t streamWindowBytes = 256 * 1024;
    /// Bytes queued on one link from which on body writers wait, calls are refused and notices are dropped.
    uint32_t maxQueuedBytes = 1024 * 1024;
    /// Maximum number of calls and streams that may run on one inbound link; more are refused as not started.
    uint32_t maxInboundPerLink = 8192;

    /// Timeout of calls that specify none.
    Duration callTimeout = seconds(2);
    /// Timeout from the start of a connect to the end of the handshake, on both sides.
    Duration connectTimeout = seconds(1);
    /// A link on which nothing arrived for this long is pinged.
    Duration pingInterval = seconds(1);
    /// A link on which nothing arrived for this long is closed as dead.
    Duration deadAfter = seconds(3);
    /// A link without calls, notices and streams for this long is closed by its dialler.
    Duration idleTimeout = seconds(60);
    /// Delay after a failed connect; it doubles with each further failure up to the maximum.
    Duration minBackoff = milliseconds(50);
    Duration maxBackoff = seconds(1);
    /// Maximum time that shutdown() waits for running calls and streams.
    Duration shutdownTimeout = seconds(30);
};

/// The links of one node to other nodes, which carry calls, notices and streamed requests. Only the side that connected
/// a link starts calls on it; the peer opens a link of its own for its calls. Everything runs on the runtime's thread.
/// Call shutdown() from a fiber before the destructor runs.
class PeerNetwork
{
public:
    using CallHandler = std::function<Result<nlohmann::json>(const PeerIdentity &from, const nlohmann::json &payload)>;
    using NoticeHandler = std::function<void(const PeerIdentity &from, const nlohmann::json &payload)>;
    using StreamHandler = std::function<void(Exchange &)>;

    PeerNetwork(FiberRuntime &runtime, PeerOptions options, MetricsRegistry &metrics);
    ~PeerNetwork();
    PeerNetwork(const PeerNetwork &) = delete;
    auto operator=(const PeerNetwork &) -> PeerNetwork & = delete;

    /// Starts to accept links and returns the port. Returns InvalidInput if the address is not an IP address, and
    /// Unavailable if it cannot be bound.
    auto listen() -> Result<uint16_t>;

    /// Calls a method of the peer and blocks the calling fiber until the reply; connects first if there is no link. The
    /// error is the one that the peer returned, or Unavailable if the call was not sent, TooLarge if it exceeds
    /// maxFrameBytes, Timeout, or Closed if the link was lost during the call. A timeout of zero means callTimeout.
    auto call(const Endpoint &peer, const std::string &method, nlohmann::json payload, Duration timeout = {}) -> Result<nlohmann::json>;

    /// Sends a notice, which has no reply, without blocking. It is dropped and counted if there is no link or its queue
    /// is full; a missing link is then connected for later notices. Returns whether it was queued.
    auto notify(const Endpoint &peer, const std::string &method, nlohmann::json payload) -> bool;

    /// Registers the handler of a method; each call runs it in a separate fiber. Must be set before listen().
    void onCall(const std::string &method, CallHandler handler);

    /// Registers the handler of a notice, which runs outside of fibers and must not block. Must be set before listen().
    void onNotice(const std::string &method, NoticeHandler handler);

    /// Opens a stream that carries a request to the peer and its response back; connects first if there is no link. The
    /// call is cancelled if the last copy of its functions is destroyed before its end. Its mayHaveBeenSent() becomes
    /// false only if the peer states that it has not started the request.
    auto openStream(const Endpoint &peer, const RequestHead &head) -> Result<OutboundCall>;

    /// Registers the handler of inbound streams; each runs in a separate fiber. A stream whose handler returns before the
    /// end of the response is aborted. Must be set before listen().
    void onStream(StreamHandler handler);

    /// Returns whether there is a link to the peer that is ready to carry calls.
    [[nodiscard]] auto isConnected(const Endpoint &peer) const -> bool;

    /// Returns the number of links that passed the handshake, in both directions.
    [[nodiscard]] auto linkCount() const -> size_t;

    /// Returns the number of bytes queued for sending on all links.
    [[nodiscard]] auto queuedBytes() const -> size_t;

    /// Returns the number of body bytes that are received and not yet read, over all streams.
    [[nodiscard]] auto unreadBytes() const -> size_t;

    /// Stops accepting, refuses new calls and streams, waits up to shutdownTimeout for running ones, and closes all links.
    /// Blocks the calling fiber until every fiber of the network has ended.
    void shutdown();

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace snipestream
