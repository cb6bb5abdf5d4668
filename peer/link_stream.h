#pragma once

#include "net/fiber_event.h"
#include "peer/link.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace snipestream
{

/// Blocking interface for fibers to one stream. One fiber may read while another writes.
class LinkStream : public std::enable_shared_from_this<LinkStream>
{
public:
    LinkStream(std::shared_ptr<PeerLink> link, std::shared_ptr<StreamState> state);

    auto read() -> Result<BodyChunk>;
    auto write(const std::string &bytes) -> Result<void>;
    auto finish() -> Result<void>;
    auto respond(const ResponseHead &head) -> Result<void>;
    auto awaitHead() -> Result<ResponseHead>;

    /// Aborts the stream at this end and sends an abort frame to the peer; does nothing if the stream has ended.
    void abort(const Error &error);

    /// Aborts whatever is still open after the handler has returned.
    void endHandler();

    /// Wakes the waiting fibers after a change of state, and runs the cancel functions if the peer aborted the stream or
    /// the link was lost.
    void wake();
    /// Wakes only the writing fiber.
    void wakeWriter();

    [[nodiscard]] auto isCancelled() const -> bool;
    void onCancel(std::function<void()> function);
    [[nodiscard]] auto state() const -> const StreamState &;

    auto makeExchange(RequestHead head) -> Exchange;
    auto makeOutboundCall() -> OutboundCall;

private:
    std::shared_ptr<PeerLink> link_;
    std::shared_ptr<StreamState> state_;
    FiberEvent readable_;
    FiberEvent writable_;
    FiberEvent headReady_;
    std::vector<std::function<void()>> cancelFunctions_;
    bool abortedHere_ = false;
};

} // namespace snipestream
