#pragma once

#include "core/ids.h"
#include "http/message.h"
#include "net/fiber_runtime.h"

#include <cstddef>
#include <cstdint>
#include <memory>

namespace snipestream
{

/// How a call over HTTP ended.
enum class CallStatus {
    /// The whole answer is there.
    Answered,
    /// No connection could be made, so nothing was sent.
    NotSent,
    /// The connection broke after the request may have been sent; the server may have run it.
    Broken,
    /// The server sent bytes that are no answer; it may have run the request.
    Malformed,
    /// The deadline passed; the server may have run the request.
    TimedOut,
    /// The caller gave the call up.
    Cancelled,
};

/// Returns the name for logs, such as "not-sent".
auto callStatusName(CallStatus status) -> const char *;

/// Outcome of a call.
struct CallResult {
    CallStatus status = CallStatus::NotSent;
    ResponseMessage response;
    /// What failed, for the log.
    std::string detail;
    /// A connection was used that had carried a request before.
    bool reusedConnection = false;
};

/// Limits of the connections of a pool.
struct CallPoolOptions {
    Duration connectTimeout = milliseconds(400);
    /// Idle connections older than this are not used again, unless the server said another time.
    Duration idleTimeout = seconds(8);
    /// Part of a server's own idle timeout in which a connection is used again; later it may be closing already.
    double idleTimeoutFraction = 0.6;
    /// See setTcpOptions.
    Duration deadPeerTimeout{};
    uint64_t maxResponseBytes = 64ULL * 1024 * 1024;
};

/// Connections to any number of servers; each call takes an idle one or opens a new one.
class CallPool
{
public:
    CallPool(FiberRuntime &runtime, CallPoolOptions options);
    ~CallPool();
    CallPool(const CallPool &) = delete;
    auto operator=(const CallPool &) -> CallPool & = delete;

    /// Sends the request and waits for the whole answer, at most until the deadline (checked every few milliseconds).
    /// Cancelling the signal closes the connection.
    auto call(const Endpoint &server, const RequestMessage &request, CancelSignal &cancel, TimePoint deadline) -> CallResult;

    /// Closes the idle connections to a server, such as one that restarted.
    void closeIdle(const Endpoint &server);

    /// Returns the number of connections opened so far.
    [[nodiscard]] auto openedConnections() const -> uint64_t;

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace snipestream
