#include "http/message_server.h"

#include "core/events.h"
#include "http/message_connection.h"
#include "http/tcp_options.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace snipestream
{

namespace asio = boost::asio;

namespace
{

/// How often the timeouts of connections are checked. They are seconds long, so a timer for each request would cost more
/// than its precision is worth.
constexpr Duration kSweepInterval = milliseconds(250);
/// Delay before the next accept after an error such as too many open files.
constexpr Duration kAcceptBackoff = milliseconds(50);
/// Time that a new connection has for its first request, or a used one for the next, before it may be closed to make room. An
/// ordinary caller sends its request at once.
constexpr Duration kMinTimeToRequest = milliseconds(250);
constexpr Duration kMinLogInterval = milliseconds(500);

} // namespace

struct MessageServer::State : std::enable_shared_from_this<MessageServer::State> {
    State(FiberRuntime &runtime, MessageServerOptions options, MessageHandler handler)
        : shared(
            std::make_shared<MessageServerShared>(MessageServerShared{runtime, std::move(options), std::move(handler), {}, 0, 0, 0, false, false, {}, 0, {}}))
        , acceptor(runtime.context())
        , sweepTimer(runtime.context())
    {
        if (!shared->options.memory) {
            shared->options.memory = std::make_shared<MemoryBudget>();
        }
    }

    void acceptNext();
    void addConnection(asio::ip::tcp::socket socket);
    void makeRoom();
    void logRefused();
    void scheduleSweep();
    /// Returns a copy of the set, since connections remove themselves when they end.
    [[nodiscard]] auto allConnections() const -> std::vector<std::shared_ptr<MessageConnection>>;

    std::shared_ptr<MessageServerShared> shared;
    asio::ip::tcp::acceptor acceptor;
    asio::steady_timer sweepTimer;
    std::set<std::shared_ptr<MessageConnection>> connections;
    /// Connections that were closed for others or refused since that was logged.
    uint64_t replacedCount = 0;
    uint64_t refusedCount = 0;
    TimePoint refusedLoggedAt;
    bool stopped = false;
};

void MessageServer::State::acceptNext()
{
    acceptor.async_accept([self = shared_from_this()](const boost::system::error_code &error, asio::ip::tcp::socket socket) {
        if (self->stopped || error == asio::error::operation_aborted) {
            return;
        }
        if (error) {
            logEvent(EventId::AcceptFailed, {{"server", self->shared->options.name}, {"error", error.message()}});
            auto timer = std::make_shared<asio::steady_timer>(self->shared->runtime.context(), kAcceptBackoff);
            timer->async_wait([self, timer](const boost::system::error_code &) {
                self->acceptNext();
            });
            return;
        }
        self->addConnection(std::move(socket));
        self->acceptNext();
    });
}

void MessageServer::State::addConnection(asio::ip::tcp::socket socket)
{
    const auto &options = shared->options;
    if (connections.size() >= options.maxConnections) {
        makeRoom();
    }
    if (connections.size() >= options.maxConnections) {
        ++refusedCount;
        logRefused();
        return;
    }
    setTcpOptions(socket, options.deadPeerTimeout);
    const auto connection = std::make_shared<MessageConnection>(std::move(socket), shared);
    connections.insert(connection);
    shared->connections = connections.size();
    connection->start([state = weak_from_this(), weak = std::weak_ptr<MessageConnection>(connection)] {
        if (const auto self = state.lock()) {
            self->connections.erase(weak.lock());
            self->shared->connections = self->connections.size();
        }
    });
}

/// Closes the connection that has been without a whole request for the longest time, if there is one, so that connections that
/// are left open do not keep callers out.
void MessageServer::State::makeRoom()
{
    std::shared_ptr<MessageConnection> oldest;
    for (const auto &connection : connections) {
        if (connection->isReplaceable() && (!oldest || connection->lastRequestAt() < oldest->lastRequestAt())) {
            oldest = connection;
        }
    }
    if (oldest && BootClock::now() - oldest->lastRequestAt() >= kMinTimeToRequest && !oldest->hasUnreadBytes()) {
        oldest->close();
        ++replacedCount;
        logRefused();
    }
}

void MessageServer::State::logRefused()
{
    const TimePoint now = BootClock::now();
    if (now - refusedLoggedAt < kMinLogInterval) {
        return;
    }
    refusedLoggedAt = now;
    logEvent(EventId::ConnectionRefused,
             {{"server", shared->options.name},
              {"connections", std::to_string(connections.size())},
              {"refused", std::to_string(std::exchange(refusedCount, 0))},
              {"replaced", std::to_string(std::exchange(replacedCount, 0))}});
}

void MessageServer::State::scheduleSweep()
{
    sweepTimer.expires_after(kSweepInterval);
    sweepTimer.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        if (error) {
            return;
        }
        const TimePoint now = BootClock::now();
        std::vector<std::shared_ptr<MessageConnection>> overdue;
        std::copy_if(self->connections.begin(), self->connections.end(), std::back_inserter(overdue), [now](const auto &connection) {
            return connection->isOverdue(now);
        });
        for (const auto &connection : overdue) {
            connection->handleTimeout(now);
        }
        self->scheduleSweep();
    });
}

auto MessageServer::State::allConnections() const -> std::vector<std::shared_ptr<MessageConnection>>
{
    return {connections.begin(), connections.end()};
}

MessageServer::MessageServer(FiberRuntime &runtime, MessageServerOptions options, MessageHandler handler)
    : state_(std::make_shared<State>(runtime, std::move(options), std::move(handler)))
{
}

MessageServer::~MessageServer()
{
    state_->stopped = true;
    boost::system::error_code ignored;
    state_->acceptor.close(ignored);
    state_->sweepTimer.cancel();
    for (const auto &connection : state_->allConnections()) {
        connection->close();
    }
}

auto MessageServer::listen() -> Result<uint16_t>
{
    const auto &options = state_->shared->options;
    const auto port = listenOn(state_->acceptor, options.listen);
    if (!port) {
        return port.error();
    }
    logEvent(EventId::HttpListening, {{"server", options.name}, {"address", toString({options.listen.address, port.value()})}});
    state_->acceptNext();
    state_->scheduleSweep();
    return port.value();
}

void MessageServer::setLimits(uint32_t maxHeaderBytes, uint64_t maxBodyBytes, Duration headTimeout, Duration idleTimeout)
{
    auto &options = state_->shared->options;
    options.maxHeaderBytes = maxHeaderBytes;
    options.maxBodyBytes = maxBodyBytes;
    options.headTimeout = headTimeout;
    options.idleTimeout = idleTimeout;
}

void MessageServer::announceClose()
{
    state_->shared->closing = true;
}

void MessageServer::stopAccepting()
{
    state_->stopped = true;
    state_->shared->closing = true;
    state_->shared->closesIdle = true;
    boost::system::error_code ignored;
    state_->acceptor.close(ignored);
    for (const auto &connection : state_->allConnections()) {
        connection->closeIfIdle();
    }
}

void MessageServer::closeIdle()
{
    stopAccepting();
    state_->sweepTimer.cancel();
}

void MessageServer::cancelRequests()
{
    for (const auto &connection : state_->allConnections()) {
        connection->cancelRequests();
    }
}

auto MessageServer::activeRequests() const -> size_t
{
    return state_->shared->activeRequests;
}

auto MessageServer::busyConnections() const -> size_t
{
    const auto &connections = state_->connections;
    return static_cast<size_t>(std::count_if(connections.begin(), connections.end(), [](const auto &connection) {
        return connection->isBusy();
    }));
}

auto MessageServer::activeRequestBytes() const -> uint64_t
{
    return state_->shared->activeRequestBytes;
}

auto MessageServer::pipelineCounts() const -> PipelineCounts
{
    return state_->shared->pipelineCounts;
}

} // namespace snipestream
