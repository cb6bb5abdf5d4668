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

/// Who a node says it is; proven with the fleet secret, so it can be trusted as far as the fleet's nodes are.
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
    /// Where peers connect to; port 0 takes any free port.
    Endpoint listen;
    PeerIdentity self;
    /// Shared by all nodes of the fleet; it never travels.
    std::string fleetSecret;
    /// Version sent in the hello; only tests set another than the one this code speaks.
    int version = 1;

    /// Largest websocket message and largest frame, in bytes.
    uint32_t maxFrameBytes = 256 * 1024;
    /// Bytes of one body that may be under way or unread in one direction of a stream.
    uint32_t streamWindowBytes = 256 * 1024;
    /// Bytes queued on one link, above which body writers wait and notices are dropped.
    uint32_t maxQueuedBytes = 1024 * 1024;
    /// Calls and streams that one peer may have running here; more are refused as not started.
    uint32_t maxInboundPerLink = 8192;

    /// Used by calls that name no timeout.
    Duration callTimeout = seconds(2);
    /// From the start of a connect to the end of the handshake, on both sides.
    Duration connectTimeout = seconds(1);
    /// A link on which nothing arrived for this long is pinged.
    Duration pingInterval = seconds(1);
    /// A link on which nothing arrived for this long is closed as dead.
    Duration deadAfter = seconds(3);
    /// A link that carried no call, notice or stream for this long is closed by the side that connected it.
    Duration idleTimeout = seconds(60);
    /// Wait after a failed connect; doubles with each further failure up to the maximum.
    Duration backoffMin = milliseconds(50);
    Duration backoffMax = seconds(1);
    /// How long shutdown() waits for running calls and streams.
    Duration shutdownTimeout = seconds(30);
};

/// The links of one node to other nodes: calls, notices and streamed requests. A link is used in one direction, by the
/// side that connected it; the peer opens its own link for its own calls. Everything runs on the runtime's thread.
/// Call shutdown() from a fiber before the destruction.
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

    /// Starts to accept links and returns the port. Unavailable if the address cannot be bound.
    auto listen() -> Result<uint16_t>;

    /// Calls a method of the peer and blocks the calling fiber for its answer; connects first if there is no link. The
    /// error is the peer's own, or Unavailable if the call was not sent, Timeout, or Closed if the link broke
    /// meanwhile. A timeout of zero means callTimeout.
    auto call(const Endpoint &peer, const std::string &method, nlohmann::json payload, Duration timeout = {}) -> Result<nlohmann::json>;

    /// Sends a notice without an answer and never blocks. It is dropped and counted if there is no link or its queue is
    /// full; a missing link is then connected for later notices. Returns whether it was queued.
    auto notify(const Endpoint &peer, const std::string &method, nlohmann::json payload) -> bool;

    /// Serves a method; each call runs `handler` in a fiber of its own. Set before listen().
    void onCall(const std::string &method, CallHandler handler);

    /// Serves a notice; `handler` runs between fibers and must not block. Set before listen().
    void onNotice(const std::string &method, NoticeHandler handler);

    /// Opens a stream that carries a request to the peer and its answer back; connects first if there is no link. The
    /// call is cancelled when the last copy of its functions is destroyed before its end. Its mayHaveBeenSent() returns
    /// to false only when the peer states that it has not started the request.
    auto openStream(const Endpoint &peer, const RequestHead &head) -> Result<OutboundCall>;

    /// Serves inbound streams, each in a fiber of its own. A stream whose handler returns before the end of the answer
    /// is aborted. Set before listen().
    void onStream(StreamHandler handler);

    /// Returns whether there is a link to the peer that is ready to carry calls.
    [[nodiscard]] auto isConnected(const Endpoint &peer) const -> bool;

    /// Returns the number of links that passed the handshake, in both directions.
    [[nodiscard]] auto linkCount() const -> size_t;

    /// Returns the bytes queued for sending on all links.
    [[nodiscard]] auto queuedBytes() const -> size_t;

    /// Returns the body bytes received and not yet read, over all streams.
    [[nodiscard]] auto unreadBytes() const -> size_t;

    /// Stops accepting, refuses new calls and streams, waits up to the deadline for running ones, and closes all links.
    /// Blocks the calling fiber until every fiber of the network has ended.
    void shutdown();

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace snipestream
