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

/// What all links of a network share: settings, handlers, metrics and counts.
struct PeerShared {
    PeerShared(FiberRuntime &runtimeToUse, PeerOptions optionsToUse, MetricsRegistry &metrics);

    FiberRuntime &runtime;
    PeerOptions options;
    std::map<std::string, PeerNetwork::CallHandler> callHandlers;
    std::map<std::string, PeerNetwork::NoticeHandler> noticeHandlers;
    PeerNetwork::StreamHandler streamHandler;

    /// Inbound calls and streams are refused as not started.
    bool refusesInbound = false;
    /// Inbound calls and streams whose handlers run.
    size_t inboundRunning = 0;
    /// Notified when a handler ends or a link changes; shutdown() waits on it.
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

/// Returns how often tick() is called on each link.
auto tickInterval(const PeerOptions &options) -> Duration;

/// What a link tells the network that owns it. Called between fibers.
struct LinkObserver {
    /// The handshake succeeded.
    std::function<void()> ready;
    /// The link carries nothing more; called once.
    std::function<void(const Error &why)> closed;
    /// The socket behind it is gone as well; called once and last.
    std::function<void()> gone;
};

/// One link: the handshake, then calls, notices and streams over one socket.
class PeerLink : public std::enable_shared_from_this<PeerLink>
{
public:
    PeerLink(std::shared_ptr<PeerShared> shared, std::shared_ptr<PeerSocket> socket, LinkRole role);

    void start(LinkObserver observer);

    /// See PeerNetwork for the calls of the dialling side; the link must be ready.
    auto call(const std::string &method, nlohmann::json payload, Duration timeout) -> Result<nlohmann::json>;
    auto notify(const std::string &method, nlohmann::json payload) -> bool;
    auto openStream(const RequestHead &head) -> Result<OutboundCall>;

    /// Tells the dialler to open nothing more here.
    void sayGoodbye();

    /// Ends the link: everything on it fails with the error, the queue is written, and the socket is closed.
    void close(const Error &why);

    /// Pings, and closes a dead or unused link.
    void tick(TimePoint now);

    /// True after the handshake and before the end.
    [[nodiscard]] auto isReady() const -> bool;
    /// True if the acceptor takes nothing more.
    [[nodiscard]] auto isDraining() const -> bool;
    /// True while calls or streams of this end are running.
    [[nodiscard]] auto inUse() const -> bool;
    [[nodiscard]] auto queuedBytes() const -> size_t;
    [[nodiscard]] auto unreadBytes() const -> size_t;
    [[nodiscard]] auto role() const -> LinkRole;
    [[nodiscard]] auto remote() const -> Endpoint;

    // For LinkStream:

    /// Queues a frame; it leaves together with the other frames of the current handler or fiber. TooLarge if it does
    /// not fit into a message.
    auto queue(const Frame &frame) -> Result<void>;
    /// True while body writers should wait.
    [[nodiscard]] auto isQueueFull() const -> bool;
    [[nodiscard]] auto table() -> StreamTable &;
    /// Forgets the stream if it is over.
    void settle(const StreamState &stream);

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

    /// Applies one frame; the error closes the link.
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
    /// Ticks in a row at which nothing had arrived since the tick before.
    int64_t silentTicks_ = 0;
    TimePoint receivedAtTick_{};
};

} // namespace snipestream
