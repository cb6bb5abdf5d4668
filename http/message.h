#pragma once

#include "core/exchange.h"
#include "core/time.h"

#include <functional>
#include <optional>
#include <string>

namespace snipestream
{

/// A request whose body is in memory.
struct RequestMessage {
    std::string method;
    /// Path with query, as received.
    std::string target;
    /// End-to-end fields; those that concern one connection are left out.
    HeaderList headers;
    std::string body;
    bool keepAlive = true;
};

/// An answer whose body is in memory.
struct ResponseMessage {
    int status = 200;
    HeaderList headers;
    std::string body;
    /// The connection can carry another request.
    bool keepAlive = true;
    /// How long the server keeps an idle connection, if it said so.
    std::optional<Duration> idleTimeout;
};

/// Tells work in progress that nobody waits for it any more. Lives on one thread.
class CancelSignal
{
public:
    /// Calls the function that is registered at present, once.
    void cancel();
    [[nodiscard]] auto isCancelled() const -> bool;
    /// Registers what to do on cancel and replaces what was registered before. Called at once if it is cancelled already.
    void onCancel(std::function<void()> action);
    /// Forgets what was registered.
    void clear();

private:
    std::function<void()> action_;
    bool cancelled_ = false;
};

/// Returns the request as bytes, with a Content-Length if it has a body or its method usually carries one.
auto serializeRequest(const RequestMessage &request) -> std::string;

/// Returns the answer as bytes. `closing` adds "Connection: close". `withoutBody` is set for answers to HEAD.
auto serializeResponse(const ResponseMessage &answer, bool closing, bool withoutBody) -> std::string;

} // namespace snipestream
