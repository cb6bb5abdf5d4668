#pragma once

#include "core/ids.h"
#include "http/memory_budget.h"
#include "http/message.h"
#include "net/fiber_runtime.h"

#include <cstddef>
#include <cstdint>
#include <memory>

namespace snipestream
{

/// How a call over HTTP ended.
enum class CallStatus {
    /// The whole response was received.
    Answered,
    /// No connection was established, so nothing was sent.
    NotSent,
    /// The connection broke after the request may have been sent; the server may have run it.
    Broken,
    /// The server sent bytes that are not a valid HTTP response; it may have run the request.
    Malformed,
    /// The response exceeded a limit of CallPoolOptions; the server may have run the request.
    TooLarge,
    /// The deadline passed; the server may have run the request.
    TimedOut,
    /// The caller cancelled the call; the server may have run the request if it was sent.
    Cancelled,
};

/// Returns the name for logs, such as "not-sent".
auto callStatusName(CallStatus status) -> const char *;

/// Outcome of a call.
struct CallResult {
    CallStatus status = CallStatus::NotSent;
    ResponseMessage response;
    /// Description of the failure, for the log.
    std::string detail;
    /// The call used a connection that had carried an earlier request.
    bool reusedConnection = false;
};

/// Limits that apply to every connection of a pool.
struct CallPoolOptions {
    Duration connectTimeout = milliseconds(400);
    /// Maximum time for which a connection may be idle before reuse, unless the server states its own idle timeout.
    Duration idleTimeout = seconds(8);
    /// Fraction of the server's stated idle timeout within which an idle connection is reused; after that the server may
    /// already be closing it.
    double idleTimeoutFraction = 0.6;
    /// See setTcpOptions.
    Duration deadPeerTimeout{};
    /// Maximum size of the head of a response, in bytes, below kMaxUnparsedResponseBytes, and its maximum number of fields.
    uint32_t maxHeaderBytes = 16 * 1024;
    size_t maxFields = 200;
    /// Maximum size of the body of a response, in bytes.
    uint64_t maxResponseBytes = 64ULL * 1024 * 1024;
    /// Shared with other pools of the process. If it is empty, the pool has a memory limit of its own.
    std::shared_ptr<MemoryBudget> memory;
};

/// Pool of HTTP/1.1 connections to any number of servers; each call reuses an idle connection or opens a new one.
class CallPool
{
public:
    CallPool(FiberRuntime &runtime, CallPoolOptions options);
    ~CallPool();
    CallPool(const CallPool &) = delete;
    auto operator=(const CallPool &) -> CallPool & = delete;

    /// Sends the request and waits for the whole response, at most until the deadline, which is checked every 20 ms.
    /// Cancelling the signal closes the connection.
    auto call(const Endpoint &server, const RequestMessage &request, CancelSignal &cancel, TimePoint deadline) -> CallResult;

    /// The same without a copy of the body, which is moved out of the request during the call.
    auto call(const Endpoint &server, RequestMessage &request, CancelSignal &cancel, TimePoint deadline) -> CallResult;

    /// Closes the idle connections to a server, for example after it restarted.
    void closeIdle(const Endpoint &server);

    /// Ends the calls in progress as if their connections had broken. Later calls are not sent.
    void close();

    /// Returns the number of connection attempts so far, including failed ones.
    [[nodiscard]] auto openedConnections() const -> uint64_t;

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace snipestream
