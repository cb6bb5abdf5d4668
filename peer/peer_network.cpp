#include "peer/peer_network.h"

#include "net/await.h"
#include "peer/link.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace snipestream
{

using boost::asio::ip::tcp;
using nlohmann::json;

namespace
{

constexpr Duration kNoDeadline = std::chrono::hours(24 * 365);

/// State of a fiber that waits for a link to become ready.
struct LinkWait {
    FiberEvent event;
    bool done = false;
    std::optional<Error> error;
};

/// The outbound link to one endpoint.
struct OutboundLink {
    std::shared_ptr<PeerLink> link;
    std::vector<LinkWait *> waits;
    bool wasReady = false;
    Duration backoff{};
    /// Earliest time of the next connect.
    TimePoint nextConnectAt{};
    Error lastError;
};

} // namespace

struct PeerNetwork::State : public std::enable_shared_from_this<PeerNetwork::State> {
    State(FiberRuntime &runtime, PeerOptions options, MetricsRegistry &metrics)
        : shared(std::make_shared<PeerShared>(runtime, std::move(options), metrics))
        , factory(PeerSocketFactory::make(runtime.context(), shared->options.maxFrameBytes))
        , acceptor(runtime.context())
        , ticker(runtime.context())
    {
    }

    auto bind() -> Result<uint16_t>;
    void accept();
    void startTicking();
    void add(const std::shared_ptr<PeerLink> &link, std::function<void()> ready, std::function<void(const Error &)> closed);
    /// Starts a connect unless there is a link that is not draining. Returns Unavailable during the backoff.
    auto connect(const Endpoint &peer) -> Result<void>;
    void onOutboundLinkChanged(const Endpoint &peer, const std::shared_ptr<PeerLink> &link, const std::optional<Error> &error);
    /// Returns a ready link and connects first if there is none; blocks the calling fiber.
    auto obtainLink(const Endpoint &peer, Duration timeout) -> Result<std::shared_ptr<PeerLink>>;
    [[nodiscard]] auto readyLink(const Endpoint &peer) const -> std::shared_ptr<PeerLink>;
    /// Blocks the calling fiber until the condition holds or the deadline has passed.
    template<typename Condition>
    void waitUntil(TimePoint deadline, Condition condition);
    [[nodiscard]] auto outboundInUse() const -> bool;

    std::shared_ptr<PeerShared> shared;
    std::shared_ptr<PeerSocketFactory> factory;
    tcp::acceptor acceptor;
    boost::asio::steady_timer ticker;
    std::map<Endpoint, OutboundLink> outboundLinks;
    /// All links whose socket is not closed yet, inbound and outbound.
    std::set<std::shared_ptr<PeerLink>> links;
    bool refusesOutbound = false;
    bool stopped = false;
};

auto PeerNetwork::State::bind() -> Result<uint16_t>
{
    const auto &listen = shared->options.listen;
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(listen.address, error);
    if (error) {
        return failure(ErrorCode::InvalidInput, "'" + listen.address + "' is not an IP address");
    }
    const tcp::endpoint endpoint(address, listen.port);
    acceptor.open(endpoint.protocol(), error);
    if (!error) {
        acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    }
    if (!error) {
        acceptor.bind(endpoint, error);
    }
    if (!error) {
        acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return failure(ErrorCode::Unavailable, "listen on " + toString(listen) + ": " + error.message());
    }
    accept();
    startTicking();
    return acceptor.local_endpoint().port();
}

void PeerNetwork::State::accept()
{
    acceptor.async_accept([weak = weak_from_this()](const boost::system::error_code &error, tcp::socket socket) {
        const auto self = weak.lock();
        if (!self || !self->acceptor.is_open()) {
            return;
        }
        if (!error) {
            self->add(
                std::make_shared<PeerLink>(self->shared, self->factory->accepted(std::move(socket)), LinkRole::Acceptor), [] {}, [](const Error &) {});
        }
        self->accept();
    });
}

void PeerNetwork::State::startTicking()
{
    ticker.expires_after(tickInterval(shared->options));
    ticker.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
        const auto self = weak.lock();
        if (!self || error || self->stopped) {
            return;
        }
        const TimePoint now = BootClock::now();
        const auto links = self->links;
        for (const auto &link : links) {
            link->tick(now);
        }
        for (auto outbound = self->outboundLinks.begin(); outbound != self->outboundLinks.end();) {
            const bool isExpired =
                !outbound->second.link && outbound->second.waits.empty() && now > outbound->second.nextConnectAt + self->shared->options.idleTimeout;
            outbound = isExpired ? self->outboundLinks.erase(outbound) : std::next(outbound);
        }
        self->startTicking();
    });
}

void PeerNetwork::State::add(const std::shared_ptr<PeerLink> &link, std::function<void()> ready, std::function<void(const Error &)> closed)
{
    links.insert(link);
    link->start({std::move(ready), std::move(closed), [weak = weak_from_this(), raw = link.get()] {
                     if (const auto self = weak.lock()) {
                         self->links.erase(raw->shared_from_this());
                     }
                 }});
}

auto PeerNetwork::State::readyLink(const Endpoint &peer) const -> std::shared_ptr<PeerLink>
{
    const auto outbound = outboundLinks.find(peer);
    if (outbound == outboundLinks.end() || !outbound->second.link || !outbound->second.link->isReady() || outbound->second.link->isDraining()) {
        return nullptr;
    }
    return outbound->second.link;
}

auto PeerNetwork::State::connect(const Endpoint &peer) -> Result<void>
{
    OutboundLink &outbound = outboundLinks[peer];
    if (outbound.link && !outbound.link->isDraining()) {
        return success();
    }
    if (BootClock::now() < outbound.nextConnectAt) {
        return failure(ErrorCode::Unavailable, "connect to " + toString(peer) + " failed shortly before: " + outbound.lastError.message);
    }
    const auto link = std::make_shared<PeerLink>(shared, factory->dialled(peer), LinkRole::Dialler);
    outbound.link = link;
    outbound.wasReady = false;
    add(
        link,
        [weak = weak_from_this(), peer, raw = link.get()] {
            if (const auto self = weak.lock()) {
                self->onOutboundLinkChanged(peer, raw->shared_from_this(), std::nullopt);
            }
        },
        [weak = weak_from_this(), peer, raw = link.get()](const Error &error) {
            if (const auto self = weak.lock()) {
                self->onOutboundLinkChanged(peer, raw->shared_from_this(), error);
            }
        });
    return success();
}

void PeerNetwork::State::onOutboundLinkChanged(const Endpoint &peer, const std::shared_ptr<PeerLink> &link, const std::optional<Error> &error)
{
    OutboundLink &outbound = outboundLinks[peer];
    if (outbound.link != link) {
        // The event belongs to a draining link that a new link has replaced.
        return;
    }
    if (!error) {
        outbound.wasReady = true;
        outbound.backoff = {};
    } else {
        outbound.link = nullptr;
        outbound.lastError = *error;
        // The backoff applies only to failed connects; a link that was ready before may be connected again at once.
        if (!outbound.wasReady) {
            outbound.backoff = std::clamp(outbound.backoff * 2, shared->options.minBackoff, shared->options.maxBackoff);
            outbound.nextConnectAt = BootClock::now() + outbound.backoff;
        }
    }
    for (LinkWait *linkWait : std::exchange(outbound.waits, {})) {
        linkWait->done = true;
        if (error) {
            linkWait->error = Error{ErrorCode::Unavailable, "connect to " + toString(peer) + ": " + error->message};
        }
        linkWait->event.notify();
    }
}

auto PeerNetwork::State::obtainLink(const Endpoint &peer, Duration timeout) -> Result<std::shared_ptr<PeerLink>>
{
    if (refusesOutbound) {
        return failure(ErrorCode::Unavailable, "the node is shutting down");
    }
    if (auto link = readyLink(peer)) {
        return link;
    }
    BOOST_OUTCOME_TRY(connect(peer));
    LinkWait linkWait;
    outboundLinks[peer].waits.push_back(&linkWait);
    if (!waitFor(shared->runtime.context(), linkWait.event, timeout, linkWait.done)) {
        auto &waits = outboundLinks[peer].waits;
        waits.erase(std::remove(waits.begin(), waits.end(), &linkWait), waits.end());
        return failure(ErrorCode::Unavailable, "no link to " + toString(peer) + " within the timeout");
    }
    if (linkWait.error) {
        return std::move(*linkWait.error);
    }
    if (auto link = readyLink(peer)) {
        return link;
    }
    return failure(ErrorCode::Unavailable, "the link to " + toString(peer) + " closed at once");
}

template<typename Condition>
void PeerNetwork::State::waitUntil(TimePoint deadline, Condition condition)
{
    while (!condition()) {
        const Duration left = deadline - BootClock::now();
        if (left <= Duration{}) {
            return;
        }
        boost::asio::steady_timer timer(shared->runtime.context(), left);
        auto pending = std::make_shared<bool>(true);
        timer.async_wait([pending, &event = shared->changed](const boost::system::error_code &error) {
            if (!error && *pending) {
                event.notify();
            }
        });
        shared->changed.wait();
        *pending = false;
    }
}

auto PeerNetwork::State::outboundInUse() const -> bool
{
    return std::any_of(links.begin(), links.end(), [](const auto &link) {
        return link->inUse();
    });
}

PeerNetwork::PeerNetwork(FiberRuntime &runtime, PeerOptions options, MetricsRegistry &metrics)
    : state_(std::make_shared<State>(runtime, std::move(options), metrics))
{
    state_->startTicking();
}

PeerNetwork::~PeerNetwork()
{
    state_->stopped = true;
    boost::system::error_code ignored;
    state_->acceptor.close(ignored);
    state_->ticker.cancel();
    const auto links = state_->links;
    for (const auto &link : links) {
        link->close({ErrorCode::Closed, "the network is destroyed"});
    }
}

auto PeerNetwork::listen() -> Result<uint16_t>
{
    return state_->bind();
}

auto PeerNetwork::call(const Endpoint &peer, const std::string &method, json payload, Duration timeout) -> Result<json>
{
    const auto state = state_;
    const TimePoint deadline = BootClock::now() + (timeout > Duration{} ? timeout : state->shared->options.callTimeout);
    BOOST_OUTCOME_TRY(const auto link, state->obtainLink(peer, deadline - BootClock::now()));
    return link->call(method, std::move(payload), deadline - BootClock::now());
}

auto PeerNetwork::notify(const Endpoint &peer, const std::string &method, json payload) -> bool
{
    if (const auto link = state_->readyLink(peer); link && link->notify(method, std::move(payload))) {
        return true;
    }
    state_->shared->noticesDropped.add();
    if (!state_->refusesOutbound) {
        static_cast<void>(state_->connect(peer));
    }
    return false;
}

void PeerNetwork::onCall(const std::string &method, CallHandler handler)
{
    state_->shared->callHandlers[method] = std::move(handler);
}

void PeerNetwork::onNotice(const std::string &method, NoticeHandler handler)
{
    state_->shared->noticeHandlers[method] = std::move(handler);
}

auto PeerNetwork::openStream(const Endpoint &peer, const RequestHead &head) -> Result<OutboundCall>
{
    const auto state = state_;
    BOOST_OUTCOME_TRY(const auto link, state->obtainLink(peer, state->shared->options.connectTimeout));
    return link->openStream(head);
}

void PeerNetwork::onStream(StreamHandler handler)
{
    state_->shared->streamHandler = std::move(handler);
}

auto PeerNetwork::isConnected(const Endpoint &peer) const -> bool
{
    return state_->readyLink(peer) != nullptr;
}

auto PeerNetwork::linkCount() const -> size_t
{
    return state_->shared->openLinks;
}

auto PeerNetwork::queuedBytes() const -> size_t
{
    size_t bytes = 0;
    for (const auto &link : state_->links) {
        bytes += link->queuedBytes();
    }
    return bytes;
}

auto PeerNetwork::unreadBytes() const -> size_t
{
    size_t bytes = 0;
    for (const auto &link : state_->links) {
        bytes += link->unreadBytes();
    }
    return bytes;
}

void PeerNetwork::shutdown()
{
    const auto state = state_;
    const TimePoint deadline = BootClock::now() + state->shared->options.shutdownTimeout;
    boost::system::error_code ignored;
    state->acceptor.close(ignored);
    state->shared->refusesInbound = true;
    for (const auto &link : state->links) {
        link->sendGoodbye();
    }
    // Running requests may still make nested calls, so outbound calls are refused only after the requests have ended.
    state->waitUntil(deadline, [&state] {
        return state->shared->inboundRunning == 0;
    });
    state->refusesOutbound = true;
    state->waitUntil(deadline, [&state] {
        return !state->outboundInUse();
    });
    const auto links = state->links;
    for (const auto &link : links) {
        link->close({ErrorCode::Closed, "the node is shutting down"});
    }
    // No deadline is needed here: all streams have failed, so their handlers end by themselves.
    state->waitUntil(BootClock::now() + kNoDeadline, [&state] {
        return state->links.empty() && state->shared->inboundRunning == 0;
    });
    state->stopped = true;
    state->ticker.cancel();
}

} // namespace snipestream
