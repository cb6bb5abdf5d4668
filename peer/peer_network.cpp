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

/// A fiber that waits for a link.
struct Waiter {
    FiberEvent event;
    bool done = false;
    std::optional<Error> error;
};

/// The outbound link to one endpoint.
struct Dial {
    std::shared_ptr<PeerLink> link;
    std::vector<Waiter *> waiters;
    bool wasReady = false;
    Duration backoff{};
    /// No new attempt is made before this moment.
    TimePoint notBefore{};
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
    /// Starts a connect unless one is under way; the error says why none may start now.
    auto dial(const Endpoint &peer) -> Result<void>;
    void dialEnded(const Endpoint &peer, const std::shared_ptr<PeerLink> &link, const std::optional<Error> &error);
    /// Returns a ready link, connecting if there is none; blocks the calling fiber.
    auto obtain(const Endpoint &peer, Duration timeout) -> Result<std::shared_ptr<PeerLink>>;
    [[nodiscard]] auto readyLink(const Endpoint &peer) const -> std::shared_ptr<PeerLink>;
    /// Waits until the condition holds or the moment has come.
    template<typename Condition>
    void waitUntil(TimePoint deadline, Condition condition);
    [[nodiscard]] auto outboundInUse() const -> bool;

    std::shared_ptr<PeerShared> shared;
    std::shared_ptr<PeerSocketFactory> factory;
    tcp::acceptor acceptor;
    boost::asio::steady_timer ticker;
    std::map<Endpoint, Dial> dials;
    /// Every link whose socket is not gone.
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
        for (auto dial = self->dials.begin(); dial != self->dials.end();) {
            const bool isForgotten = !dial->second.link && dial->second.waiters.empty() && now > dial->second.notBefore + self->shared->options.idleTimeout;
            dial = isForgotten ? self->dials.erase(dial) : std::next(dial);
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
    const auto dial = dials.find(peer);
    if (dial == dials.end() || !dial->second.link || !dial->second.link->isReady() || dial->second.link->isDraining()) {
        return nullptr;
    }
    return dial->second.link;
}

auto PeerNetwork::State::dial(const Endpoint &peer) -> Result<void>
{
    Dial &dial = dials[peer];
    if (dial.link && !dial.link->isDraining()) {
        return success();
    }
    if (BootClock::now() < dial.notBefore) {
        return failure(ErrorCode::Unavailable, "connect to " + toString(peer) + " failed shortly before: " + dial.lastError.message);
    }
    const auto link = std::make_shared<PeerLink>(shared, factory->dialled(peer), LinkRole::Dialler);
    dial.link = link;
    dial.wasReady = false;
    add(
        link,
        [weak = weak_from_this(), peer, raw = link.get()] {
            if (const auto self = weak.lock()) {
                self->dialEnded(peer, raw->shared_from_this(), std::nullopt);
            }
        },
        [weak = weak_from_this(), peer, raw = link.get()](const Error &error) {
            if (const auto self = weak.lock()) {
                self->dialEnded(peer, raw->shared_from_this(), error);
            }
        });
    return success();
}

void PeerNetwork::State::dialEnded(const Endpoint &peer, const std::shared_ptr<PeerLink> &link, const std::optional<Error> &error)
{
    Dial &dial = dials[peer];
    if (dial.link != link) {
        // A draining link that another one has replaced.
        return;
    }
    if (!error) {
        dial.wasReady = true;
        dial.backoff = {};
    } else {
        dial.link = nullptr;
        dial.lastError = *error;
        // A link that worked is connected again at once; only attempts that fail are spaced out.
        if (!dial.wasReady) {
            dial.backoff = std::clamp(dial.backoff * 2, shared->options.backoffMin, shared->options.backoffMax);
            dial.notBefore = BootClock::now() + dial.backoff;
        }
    }
    for (Waiter *waiter : std::exchange(dial.waiters, {})) {
        waiter->done = true;
        if (error) {
            waiter->error = Error{ErrorCode::Unavailable, "connect to " + toString(peer) + ": " + error->message};
        }
        waiter->event.notify();
    }
}

auto PeerNetwork::State::obtain(const Endpoint &peer, Duration timeout) -> Result<std::shared_ptr<PeerLink>>
{
    if (refusesOutbound) {
        return failure(ErrorCode::Unavailable, "the node is shutting down");
    }
    if (auto link = readyLink(peer)) {
        return link;
    }
    BOOST_OUTCOME_TRY(dial(peer));
    Waiter waiter;
    dials[peer].waiters.push_back(&waiter);
    if (!waitFor(shared->runtime.context(), waiter.event, timeout, waiter.done)) {
        auto &waiters = dials[peer].waiters;
        waiters.erase(std::remove(waiters.begin(), waiters.end(), &waiter), waiters.end());
        return failure(ErrorCode::Unavailable, "no link to " + toString(peer) + " within the timeout");
    }
    if (waiter.error) {
        return std::move(*waiter.error);
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
    BOOST_OUTCOME_TRY(const auto link, state->obtain(peer, deadline - BootClock::now()));
    return link->call(method, std::move(payload), deadline - BootClock::now());
}

auto PeerNetwork::notify(const Endpoint &peer, const std::string &method, json payload) -> bool
{
    if (const auto link = state_->readyLink(peer); link && link->notify(method, std::move(payload))) {
        return true;
    }
    state_->shared->noticesDropped.add();
    if (!state_->refusesOutbound) {
        static_cast<void>(state_->dial(peer));
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
    BOOST_OUTCOME_TRY(const auto link, state->obtain(peer, state->shared->options.connectTimeout));
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
        link->sayGoodbye();
    }
    // Running requests may still need calls of their own, so outbound calls are refused only after them.
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
    // Handlers end by themselves now that their streams fail; there is nothing to give up on.
    state->waitUntil(BootClock::now() + kNoDeadline, [&state] {
        return state->links.empty() && state->shared->inboundRunning == 0;
    });
    state->stopped = true;
    state->ticker.cancel();
}

} // namespace snipestream
