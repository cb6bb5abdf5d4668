#pragma once

#include "net/fiber_event.h"
#include "peer/frame.h"
#include "peer/peer_network.h"
#include "peer/peer_socket.h"
#include "peer/stream_table.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include <boost/asio/steady_timer.hpp>

namespace snipestream
{

class LinkStream;

/// State shared by all links of a network: settings, handlers, metrics and counters.
struct PeerShared {
    PeerShared(FiberRuntime &runtimeToUse, PeerOptions optionsToUse, MetricsRegistry &metrics);

    FiberRuntime &runtime;
    PeerOptions options;
    std::map<std::string, PeerNetwork::CallHandler> callHandlers;
    std::map<std::string, PeerNetwork::NoticeHandler> noticeHandlers;
    PeerNetwork::StreamHandler streamHandler;

    /// True during shutdown: inbound calls and streams are refused as not started.
    bool refusesInbound = false;
    /// Number of inbound calls and streams whose handlers are running.
    size_t inboundRunning = 0;
    /// Notified when a handler ends or a link changes state; shutdown() waits for it.
    FiberEvent changed;

    Counter &framesDropped;
    Counter &violations;
    Counter &linksRefused;
    Counter &noticesDropped;
    Counter &callsStarted;
    Counter &streamsOpened;
    Counter &bytesSent;
    Gauge &linksOpen;
    size_t openLinks = 0;
};

/// Returns the interval between two calls of tick() on each link.
auto tickInterval(const PeerOptions &options) -> Duration;

/// Callbacks from a link to the network that owns it. They must not block.
struct LinkObserver {
    /// The handshake succeeded.
    std::function<void()> ready;
    /// The link is closed and all its calls and streams have failed; called once.
    std::function<void(const Error &why)> closed;
    /// The link's socket is closed too; called once, as the last callback.
    std::function<void()> socketClosed;
};

/// One link: the handshake, then calls, notices and streams over one socket.
class PeerLink : public std::enable_shared_from_this<PeerLink>
{
public:
    PeerLink(std::shared_ptr<PeerShared> shared, std::shared_ptr<PeerSocket> socket, LinkRole role);

    void start(LinkObserver observer);

    /// Functions of the dialler, documented in PeerNetwork. They fail if the link is not ready.
    auto call(const std::string &method, nlohmann::json payload, Duration timeout) -> Result<nlohmann::json>;
    auto notify(const std::string &method, nlohmann::json payload) -> bool;
    auto openStream(const RequestHead &head) -> Result<OutboundCall>;

    /// Sends a goodbye frame, so that the dialler starts no new calls or streams on this link.
    void sendGoodbye();

    /// Closes the link: fails all its calls and streams with the error, writes the queued frames and closes the socket.
    void close(const Error &why);

    /// Pings a silent link, and closes a dead or idle one.
    void tick(TimePoint now);

    /// Returns true between the end of the handshake and the close of the link.
    [[nodiscard]] auto isReady() const -> bool;
    /// Returns true if the acceptor has sent a goodbye and accepts no new calls or streams.
    [[nodiscard]] auto isDraining() const -> bool;
    /// Returns true while outbound calls, or streams in either direction, are open on this link.
    [[nodiscard]] auto inUse() const -> bool;
    [[nodiscard]] auto queuedBytes() const -> size_t;
    [[nodiscard]] auto unreadBytes() const -> size_t;
    [[nodiscard]] auto role() const -> LinkRole;
    [[nodiscard]] auto remote() const -> Endpoint;

    // Used by LinkStream:

    /// Queues a frame, which is sent together with the other frames that the current handler or fiber queues. Returns
    /// TooLarge if it exceeds maxFrameBytes.
    auto queue(const Frame &frame) -> Result<void>;
    /// Returns true while body writers must wait, because maxQueuedBytes is reached.
    [[nodiscard]] auto isQueueFull() const -> bool;
    [[nodiscard]] auto table() -> StreamTable &;
    /// Removes the stream if it has ended.
    void removeIfEnded(const StreamState &stream);

private:
    enum class Phase {
        Connecting,
        AwaitHello,
        AwaitProof,
        Ready,
        Closed,
    };

    struct PendingCall {
        FiberEvent event;
        bool done = false;
        std::optional<Error> error;
        nlohmann::json reply;
    };

    void onOpened();
    void onMessage(std::string_view message);
    void onDrained();
    void onSocketClosed(SocketEnd end, const std::string &reason);

    /// Processes one received frame; an error closes the link.
    auto onFrame(Frame &&frame) -> Result<void>;
    auto onHandshakeFrame(const Frame &frame) -> Result<void>;
    auto onAcceptorHello(const HelloFrame &hello) -> Result<void>;
    auto onDiallerHello(const HelloFrame &hello) -> Result<void>;
    auto onCall(CallFrame &&frame) -> Result<void>;
    auto onOpen(OpenFrame &&frame) -> Result<void>;
    auto onNotice(const NoticeFrame &frame) -> Result<void>;
    auto onReply(uint64_t id, Result<nlohmann::json> reply) -> Result<void>;
    auto onStreamEvent(const StreamEvent &event) -> Result<void>;
    void becomeReady(const HelloFrame &peer);
    void refuse(const std::string &reason);
    void failFrame(const Error &error);
    [[nodiscard]] auto inboundRefusal() const -> std::optional<Error>;
    void flush();
    void sendBuffered(size_t bytes);

    std::shared_ptr<PeerShared> shared_;
    std::shared_ptr<PeerSocket> socket_;
    LinkObserver observer_;
    Phase phase_ = Phase::Connecting;
    bool draining_ = false;
    bool flushScheduled_ = false;
    HelloFrame ownHello_;
    HelloFrame peerHello_;
    PeerIdentity peer_;
    std::unique_ptr<boost::asio::steady_timer> handshakeTimer_;
    StreamTable table_;
    std::unordered_map<uint64_t, std::shared_ptr<LinkStream>> streams_;
    std::unordered_map<uint64_t, PendingCall *> calls_;
    size_t inboundCalls_ = 0;
    std::string out_;
    TimePoint lastUsed_ = BootClock::now();
    /// Number of consecutive ticks at which nothing had arrived since the tick before.
    int64_t silentTicks_ = 0;
    TimePoint receivedAtTick_{};
};

} // namespace snipestream
