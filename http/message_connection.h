#pragma once

#include "http/memory_budget.h"
#include "http/message_server.h"
#include "http/request_pipeline.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace snipestream
{

/// What the connections of one server share.
struct MessageServerShared {
    FiberRuntime &runtime;
    MessageServerOptions options;
    MessageHandler handler;
    /// Received bytes on their way to a connection's buffer. An idle connection has no buffer of its own.
    std::vector<char> received;
    size_t connections = 0;
    /// Requests whose handler has been started and whose response has not been sent completely.
    size_t activeRequests = 0;
    /// Memory that the requests in progress take.
    uint64_t activeRequestBytes = 0;
    /// Every connection closes after the next response behind which nothing has been received.
    bool closing = false;
    /// Connections without a request in progress are closed.
    bool closesIdle = false;
    PipelineCounts pipelineCounts;
    /// Connections that were ended for memory since that was logged.
    uint64_t endedForMemory = 0;
    TimePoint memoryLoggedAt;
};

/// A caller's connection. It reads requests as they arrive, also while earlier ones run, and sends the responses in the
/// order of the requests. While it reads, it notices at once that the caller has closed the connection. It needs a fiber
/// only while a handler runs.
class MessageConnection : public std::enable_shared_from_this<MessageConnection>
{
public:
    MessageConnection(boost::asio::ip::tcp::socket socket, std::shared_ptr<MessageServerShared> shared);

    /// Starts to wait for requests. `onEnd` is called once when the connection has ended.
    void start(std::function<void()> onEnd);

    /// Returns whether one of the timeouts of the connection has passed.
    [[nodiscard]] auto isOverdue(TimePoint now) const -> bool;
    /// Closes an overdue connection, or lets it close after its last response if only the time to receive a request has
    /// passed.
    void handleTimeout(TimePoint now);

    /// Closes the connection unless it is busy.
    void closeIfIdle();

    /// Returns whether the connection may be closed to make room for another one: it has no whole request in progress.
    [[nodiscard]] auto isReplaceable() const -> bool;

    /// Returns whether bytes have arrived that have not been read.
    [[nodiscard]] auto hasUnreadBytes() const -> bool;

    /// Returns when the connection was opened or last received a whole request.
    [[nodiscard]] auto lastRequestAt() const -> TimePoint;

    /// Returns whether a request is being received or is in progress, or a response is being sent or may not have arrived yet.
    [[nodiscard]] auto isBusy() const -> bool;

    /// Cancels the requests in progress. Their responses are still sent.
    void cancelRequests();

    /// Closes the connection at once and cancels the requests in progress.
    void close();

private:
    struct Request;

    [[nodiscard]] auto isWithoutRequest() const -> bool;
    [[nodiscard]] auto maxBufferedBytes() const -> size_t;
    void awaitBytes();
    auto receive() -> boost::system::error_code;
    void updateMemory();
    void handleReadable();
    void discardBytes();
    void parseRequests();
    auto parseRequest() -> bool;
    void handleHead();
    void handleParseError(const boost::system::error_code &error);
    void addParsedRequest();
    void addErrorResponse(int status);
    [[nodiscard]] auto incomingBodyBytes() const -> uint64_t;
    void endForMemory();
    void releasePending(Request &request);
    void stopReading();
    void startRequests();
    void runRequest(const std::shared_ptr<Request> &request);
    void sendResponses();
    void sendBytes(std::string bytes, bool closeAfter, std::shared_ptr<MemoryHold> held);
    void sendRest(std::string bytes, size_t sent, bool closeAfter, const std::shared_ptr<MemoryHold> &held);
    void handleSent(bool closeAfter);
    void countSentRequests();
    void beginLinger();
    void updateIdleDeadline();

    boost::asio::ip::tcp::socket socket_;
    std::shared_ptr<MessageServerShared> shared_;
    std::function<void()> onEnd_;
    boost::beast::flat_buffer buffer_;
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;
    /// Set while a request is being received.
    std::optional<Parser> parser_;
    RequestPipeline pipeline_;
    std::map<PipelinedRequestId, std::shared_ptr<Request>> requests_;
    /// Bodies of whole requests whose handler has not been started.
    uint64_t pendingBytes_ = 0;
    /// Memory of the connection, without its whole requests.
    MemoryHold hold_;
    bool isAbortable_ = false;
    uint64_t discardedBytes_ = 0;
    TimePoint lastRequestAt_ = BootClock::now();
    bool hasServed_ = false;
    /// Requests that still count in MessageServerShared::activeRequests because their response is being sent.
    size_t unsentRequests_ = 0;
    /// End of the time to receive the head or body that is being read, to wait for a request, or to discard bytes.
    TimePoint readDeadline_ = TimePoint::max();
    TimePoint writeDeadline_ = TimePoint::max();
    bool isHeadParsed_ = false;
    bool isAwaitingBytes_ = false;
    bool isSending_ = false;
    /// No further request of this connection is parsed.
    bool isReadingStopped_ = false;
    /// The last response has been sent; bytes that still arrive are discarded.
    bool isLingering_ = false;
    bool hasEnded_ = false;
};

} // namespace snipestream
