#pragma once

#include "net/fiber_event.h"
#include "peer/link.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace snipestream
{

/// One stream as fibers see it: blocking functions over the stream's state. One fiber may read while another writes.
class LinkStream : public std::enable_shared_from_this<LinkStream>
{
public:
    LinkStream(std::shared_ptr<PeerLink> link, std::shared_ptr<StreamState> state);

    auto read() -> Result<BodyChunk>;
    auto write(const std::string &bytes) -> Result<void>;
    auto finish() -> Result<void>;
    auto respond(const ResponseHead &head) -> Result<void>;
    auto awaitHead() -> Result<ResponseHead>;

    /// Ends the stream at this end and tells the peer; harmless after its end.
    void abort(const Error &error);

    /// Ends what a handler left open when it returned.
    void endHandler();

    /// Wakes the waiting fibers after the state changed, and runs the cancel functions if the peer gave up.
    void wake();
    /// Wakes only the writer.
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
