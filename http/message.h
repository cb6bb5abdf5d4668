#pragma once

#include "core/exchange.h"
#include "core/time.h"
#include "http/memory_budget.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace snipestream
{

/// A request whose body is in memory.
struct RequestMessage {
    std::string method;
    /// Path with query, as received.
    std::string target;
    /// End-to-end fields only; hop-by-hop fields are left out.
    HeaderList headers;
    std::string body;
    bool keepAlive = true;
};

/// A response whose body is in memory.
struct ResponseMessage {
    int status = 200;
    HeaderList headers;
    std::string body;
    /// The connection can be reused for another request.
    bool keepAlive = true;
    /// Idle timeout that the server stated in its Keep-Alive field, if any.
    std::optional<Duration> idleTimeout;
    /// Memory that the response occupies; empty if it was not received but made by this node.
    std::shared_ptr<MemoryHold> held;
};

/// Cancels work in progress whose result is no longer needed. Must be used from one thread only.
class CancelSignal
{
public:
    /// Calls the registered action, if any. Further calls have no effect.
    void cancel();
    [[nodiscard]] auto isCancelled() const -> bool;
    /// Registers the action for cancel() and replaces the previous one. Runs it at once if the signal is already
    /// cancelled.
    void onCancel(std::function<void()> action);
    /// Removes the registered action.
    void clear();

private:
    std::function<void()> action_;
    bool cancelled_ = false;
};

/// Returns the bytes of the request in front of its body. A Content-Length is added unless the body is empty and the method is GET or HEAD.
auto serializeRequestHead(const RequestMessage &request) -> std::string;

/// Returns the response as bytes. `closing` adds "Connection: close". `withoutBody` is set for responses to HEAD.
auto serializeResponse(const ResponseMessage &response, bool closing, bool withoutBody) -> std::string;

} // namespace snipestream
