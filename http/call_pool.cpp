#include "http/call_pool.h"

#include "core/response_head.h"
#include "http/client_socket.h"
#include "http/http_fields.h"
#include "http/tcp_options.h"
#include "net/await.h"

#include <algorithm>
#include <array>
#include <list>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace snipestream
{

namespace http = boost::beast::http;
namespace asio = boost::asio;

namespace
{

/// How often call deadlines are checked. A timer for each call would cost more than its precision is worth.
constexpr Duration kSweepInterval = milliseconds(20);
/// Number of sweeps between two searches for idle connections that can no longer be used, which makes one search per second.
constexpr int kSweepsPerIdleCheck = 50;
/// Number of bytes that one system call reads at most.
constexpr size_t kReadBytes = size_t{8} * 1024;

struct Connection {
    explicit Connection(asio::io_context &context)
        : socket(context)
    {
    }

    void close()
    {
        boost::system::error_code ignored;
        socket.tcp().close(ignored);
    }

    ClientSocket socket;
    boost::beast::flat_buffer buffer{kMaxUnparsedResponseBytes};
    TimePoint usableUntil;
    TimePoint deadline;
    bool timedOut = false;
    /// The connection was closed because its response took too much memory.
    bool exceedsMemory = false;
};

using ConnectionPtr = std::shared_ptr<Connection>;
using ResponseParser = http::response_parser<http::string_body>;

/// Returns the status of a call whose response could not be read.
auto failureStatus(const Connection &connection, const boost::system::error_code &error) -> CallStatus
{
    if (connection.exceedsMemory || error == http::error::header_limit || error == http::error::body_limit || error == http::error::buffer_overflow) {
        return CallStatus::TooLarge;
    }
    return isProtocolError(error) ? CallStatus::Malformed : CallStatus::Broken;
}

/// Returns the `timeout` parameter of a Keep-Alive field.
auto readIdleTimeout(std::string_view field) -> std::optional<Duration>
{
    const auto at = field.find("timeout=");
    if (at == std::string_view::npos) {
        return std::nullopt;
    }
    int64_t value = 0;
    for (const char c : field.substr(at + 8)) {
        if (c < '0' || c > '9' || value > 100000) {
            break;
        }
        value = value * 10 + (c - '0');
    }
    return seconds(value);
}

} // namespace

auto callStatusName(CallStatus status) -> const char *
{
    switch (status) {
    case CallStatus::Answered:
        return "answered";
    case CallStatus::NotSent:
        return "not-sent";
    case CallStatus::Broken:
        return "broken";
    case CallStatus::Malformed:
        return "malformed";
    case CallStatus::TooLarge:
        return "too-large";
    case CallStatus::TimedOut:
        return "timed-out";
    case CallStatus::Cancelled:
        return "cancelled";
    }
    return "unknown";
}

struct CallPool::State : std::enable_shared_from_this<CallPool::State> {
    State(FiberRuntime &fiberRuntime, CallPoolOptions poolOptions)
        : runtime(fiberRuntime)
        , options(std::move(poolOptions))
        , sweepTimer(fiberRuntime.context())
    {
    }

    auto acquireIdle(const Endpoint &server) -> ConnectionPtr;
    auto connect(const Endpoint &server, CancelSignal &cancel, TimePoint deadline, std::string &detail) -> ConnectionPtr;
    auto exchange(const ConnectionPtr &connection, RequestMessage &request, CallResult &result) -> bool;
    auto readResponse(const ConnectionPtr &connection, bool withoutBody, MemoryHold &held, std::optional<ResponseParser> &parser) -> boost::system::error_code;
    auto readMessage(const ConnectionPtr &connection, MemoryHold &held, ResponseParser &parser) -> boost::system::error_code;
    auto readMore(Connection &connection, ResponseParser &parser) -> boost::system::error_code;
    auto receive(Connection &connection) -> boost::system::error_code;
    void scheduleSweep();
    void closeExpiredIdle(TimePoint now);

    FiberRuntime &runtime;
    CallPoolOptions options;
    asio::steady_timer sweepTimer;
    std::map<Endpoint, std::vector<ConnectionPtr>> idle;
    std::set<ConnectionPtr> active;
    /// Received bytes on their way to a connection's buffer. A connection that waits for a response needs no buffer of its own.
    std::vector<char> received = std::vector<char>(kReadBytes);
    uint64_t openedCount = 0;
    int sweeps = 0;
    bool sweeping = false;
    bool closed = false;
};

auto CallPool::State::acquireIdle(const Endpoint &server) -> ConnectionPtr
{
    const auto found = idle.find(server);
    if (found == idle.end()) {
        return nullptr;
    }
    auto &connections = found->second;
    const TimePoint now = BootClock::now();
    while (!connections.empty()) {
        ConnectionPtr connection = connections.back();
        connections.pop_back();
        if (connection->usableUntil > now && connection->socket.isIdle()) {
            return connection;
        }
        connection->close();
    }
    return nullptr;
}

auto CallPool::State::connect(const Endpoint &server, CancelSignal &cancel, TimePoint deadline, std::string &detail) -> ConnectionPtr
{
    boost::system::error_code invalid;
    const auto address = asio::ip::make_address(server.address, invalid);
    if (invalid) {
        detail = "'" + server.address + "' is not an IP address";
        return nullptr;
    }
    ++openedCount;
    auto connection = std::make_shared<Connection>(runtime.context());
    cancel.onCancel([connection] {
        connection->close();
    });
    const Duration timeout = std::min(options.connectTimeout, deadline - BootClock::now());
    const IoResult result = awaitIoFor(
        runtime.context(), timeout,
        [&](auto done) {
            connection->socket.tcp().async_connect({address, server.port}, done);
        },
        [connection] {
            connection->close();
        });
    cancel.clear();
    if (result.error || cancel.isCancelled()) {
        detail = "connect to " + toString(server) + ": " + result.error.message();
        return nullptr;
    }
    setTcpOptions(connection->socket.tcp(), options.deadPeerTimeout);
    boost::system::error_code ignored;
    connection->socket.tcp().non_blocking(true, ignored);
    return connection;
}

auto CallPool::State::exchange(const ConnectionPtr &connection, RequestMessage &request, CallResult &result) -> bool
{
    struct PendingWrite {
        std::string head;
        std::string body;
        bool done = false;
        bool failed = false;
    };
    // A server may answer before it has read the whole request, so the request is sent while the response is read. The
    // handler owns the bytes, because the write may end after this function has returned.
    const auto pendingWrite = std::make_shared<PendingWrite>();
    pendingWrite->head = serializeRequestHead(request);
    pendingWrite->body = std::move(request.body);
    const std::array<asio::const_buffer, 2> bytes{asio::buffer(pendingWrite->head), asio::buffer(pendingWrite->body)};
    asio::async_write(connection->socket, bytes, [pendingWrite, connection](const boost::system::error_code &error, size_t) {
        pendingWrite->done = true;
        pendingWrite->failed = static_cast<bool>(error);
    });
    std::optional<ResponseParser> parser;
    const auto held = std::make_shared<MemoryHold>(options.memory);
    held->setAbort([connection] {
        connection->exceedsMemory = true;
        connection->close();
    });
    const auto error = readResponse(connection, request.method == "HEAD", *held, parser);
    held->setAbort(nullptr);
    // A write that has not ended may still use its copy.
    request.body = pendingWrite->done ? std::move(pendingWrite->body) : pendingWrite->body;
    if (error) {
        result.status = failureStatus(*connection, error);
        result.detail = error.message();
        return false;
    }
    auto &parsed = parser->get();
    result.status = CallStatus::Answered;
    result.response.status = static_cast<int>(parsed.result_int());
    result.response.headers = copyEndToEndFields(parsed);
    result.response.keepAlive = parsed.keep_alive() && !parser->need_eof();
    result.response.idleTimeout = readIdleTimeout(std::string(parsed["Keep-Alive"]));
    result.response.body = std::move(parsed.body());
    held->setBytes(result.response.body.size());
    result.response.held = held;
    return result.response.keepAlive && pendingWrite->done && !pendingWrite->failed && connection->buffer.size() == 0;
}

/// Reads the response, leaving out interim ones.
auto CallPool::State::readResponse(const ConnectionPtr &connection, bool withoutBody, MemoryHold &held, std::optional<ResponseParser> &parser)
    -> boost::system::error_code
{
    for (int i = 0; i <= kMaxInterimResponses; ++i) {
        parser.emplace();
        parser->eager(true);
        parser->header_limit(options.maxHeaderBytes);
        parser->body_limit(options.maxResponseBytes);
        parser->skip(withoutBody);
        const auto error = readMessage(connection, held, *parser);
        if (error || parser->get().result_int() / 100 != 1) {
            return error;
        }
    }
    return http::error::header_limit;
}

/// Reads one message. Counts the bytes that wait to be parsed and those of the body.
auto CallPool::State::readMessage(const ConnectionPtr &connection, MemoryHold &held, ResponseParser &parser) -> boost::system::error_code
{
    auto &buffer = connection->buffer;
    bool isHeadChecked = false;
    while (!parser.is_done()) {
        boost::system::error_code error = http::error::need_more;
        if (buffer.size() > 0) {
            buffer.consume(parser.put(buffer.data(), error));
        }
        if (!isHeadChecked && parser.is_header_done()) {
            isHeadChecked = true;
            const auto &fields = parser.get().base();
            if (const auto invalid = checkResponseHead(fields)) {
                return invalid;
            }
            if (static_cast<size_t>(std::distance(fields.begin(), fields.end())) > options.maxFields) {
                return http::error::header_limit;
            }
        }
        held.setBytes(buffer.size() + parser.get().body().size());
        if (error == http::error::need_more) {
            error = readMore(*connection, parser);
        }
        if (error) {
            return error;
        }
    }
    return {};
}

/// Waits for bytes and moves them into the connection's buffer, which must have room.
auto CallPool::State::receive(Connection &connection) -> boost::system::error_code
{
    auto &buffer = connection.buffer;
    const size_t room = std::min(received.size(), buffer.max_size() - buffer.size());
    while (true) {
        boost::system::error_code error;
        const size_t bytes = connection.socket.readSome(asio::buffer(received.data(), room), error);
        if (error != asio::error::would_block) {
            buffer.commit(asio::buffer_copy(buffer.prepare(bytes), asio::buffer(received.data(), bytes)));
            return error;
        }
        const IoResult ready = awaitIo([&](auto done) {
            connection.socket.tcp().async_wait(asio::ip::tcp::socket::wait_read, done);
        });
        if (ready.error) {
            return ready.error;
        }
    }
}

/// Receives bytes into the connection's buffer. Returns an error if it is full, or if the connection has ended and the end does
/// not complete the message.
auto CallPool::State::readMore(Connection &connection, ResponseParser &parser) -> boost::system::error_code
{
    if (connection.buffer.size() >= connection.buffer.max_size()) {
        return http::error::buffer_overflow;
    }
    boost::system::error_code error = receive(connection);
    if (error != asio::error::eof) {
        return error;
    }
    if (!parser.got_some()) {
        return http::error::end_of_stream;
    }
    error = {};
    parser.put_eof(error);
    return error;
}

void CallPool::State::scheduleSweep()
{
    if (sweeping || closed) {
        return;
    }
    sweeping = true;
    sweepTimer.expires_after(kSweepInterval);
    sweepTimer.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        self->sweeping = false;
        if (error) {
            return;
        }
        const TimePoint now = BootClock::now();
        for (const auto &connection : self->active) {
            if (connection->deadline <= now && !connection->timedOut) {
                connection->timedOut = true;
                connection->close();
            }
        }
        if (++self->sweeps % kSweepsPerIdleCheck == 0) {
            self->closeExpiredIdle(now);
        }
        if (!self->active.empty() || !self->idle.empty()) {
            self->scheduleSweep();
        }
    });
}

/// Closes the idle connections that can no longer be used, so that a server that keeps sending after its response is not
/// kept until the next call.
void CallPool::State::closeExpiredIdle(TimePoint now)
{
    for (auto server = idle.begin(); server != idle.end();) {
        auto &connections = server->second;
        connections.erase(std::remove_if(connections.begin(), connections.end(),
                                         [now](const ConnectionPtr &connection) {
                                             return connection->usableUntil <= now || !connection->socket.isIdle();
                                         }),
                          connections.end());
        server = connections.empty() ? idle.erase(server) : std::next(server);
    }
}

CallPool::CallPool(FiberRuntime &runtime, CallPoolOptions options)
    : state_(std::make_shared<State>(runtime, std::move(options)))
{
    if (!state_->options.memory) {
        state_->options.memory = std::make_shared<MemoryBudget>();
    }
}

CallPool::~CallPool()
{
    close();
}

void CallPool::close()
{
    state_->closed = true;
    state_->sweepTimer.cancel();
    state_->idle.clear();
    for (const auto &connection : state_->active) {
        connection->close();
    }
}

auto CallPool::call(const Endpoint &server, const RequestMessage &request, CancelSignal &cancel, TimePoint deadline) -> CallResult
{
    RequestMessage copy = request;
    return call(server, copy, cancel, deadline);
}

auto CallPool::call(const Endpoint &server, RequestMessage &request, CancelSignal &cancel, TimePoint deadline) -> CallResult
{
    const auto state = state_;
    CallResult result;
    if (cancel.isCancelled()) {
        result.status = CallStatus::Cancelled;
        return result;
    }
    if (state->closed) {
        result.detail = "the pool is closed";
        return result;
    }
    ConnectionPtr connection = state->acquireIdle(server);
    result.reusedConnection = connection != nullptr;
    if (!connection) {
        connection = state->connect(server, cancel, deadline, result.detail);
    }
    if (!connection) {
        result.status = cancel.isCancelled() ? CallStatus::Cancelled : CallStatus::NotSent;
        return result;
    }
    connection->deadline = deadline;
    connection->timedOut = false;
    state->active.insert(connection);
    state->scheduleSweep();
    cancel.onCancel([connection] {
        connection->close();
    });
    const bool reusable = state->exchange(connection, request, result);
    cancel.clear();
    state->active.erase(connection);
    if (result.status != CallStatus::Answered) {
        if (cancel.isCancelled()) {
            result.status = CallStatus::Cancelled;
        } else if (connection->timedOut) {
            result.status = CallStatus::TimedOut;
        }
    }
    if (!reusable || state->closed) {
        connection->close();
        return result;
    }
    const auto &options = state->options;
    const Duration idleTimeout = result.response.idleTimeout
        ? duration_cast<Duration>(std::chrono::duration<double>(*result.response.idleTimeout) * options.idleTimeoutFraction)
        : options.idleTimeout;
    connection->usableUntil = BootClock::now() + idleTimeout;
    connection->buffer.shrink_to_fit();
    state->idle[server].push_back(connection);
    return result;
}

void CallPool::closeIdle(const Endpoint &server)
{
    state_->idle.erase(server);
}

auto CallPool::openedConnections() const -> uint64_t
{
    return state_->openedCount;
}

} // namespace snipestream
