#include "node/forward.h"

#include "net/fiber_event.h"

#include <memory>
#include <utility>

namespace snipestream
{

namespace
{

/// Sends the request body, beginning with the prefix that was already read. Returns the first failure.
auto sendRequestBody(Exchange &exchange, OutboundCall &call, const RequestBodyPrefix &prefix) -> Result<void>
{
    if (!prefix.bytes.empty()) {
        BOOST_OUTCOME_TRY(call.requestBody.write(prefix.bytes));
    }
    bool last = prefix.whole;
    while (!last) {
        auto chunk = exchange.requestBody.read();
        if (!chunk) {
            call.requestBody.abort();
            return std::move(chunk).as_failure();
        }
        last = chunk.value().last;
        if (!chunk.value().bytes.empty()) {
            BOOST_OUTCOME_TRY(call.requestBody.write(std::move(chunk.value().bytes)));
        }
    }
    return call.requestBody.finish();
}

/// Streams the response body to the sender of the request and captures it as far as it fits the limit.
auto forwardResponseBody(Exchange &exchange, OutboundCall &call, size_t captureBytes, ForwardResult &result) -> Result<void>
{
    bool isWithinLimit = captureBytes > 0;
    while (true) {
        auto chunk = call.responseBody.read();
        if (!chunk) {
            exchange.responseBody.abort();
            return std::move(chunk).as_failure();
        }
        const bool last = chunk.value().last;
        std::string bytes = std::move(chunk.value().bytes);
        isWithinLimit = isWithinLimit && result.captured.size() + bytes.size() <= captureBytes;
        if (isWithinLimit) {
            result.captured.append(bytes);
        }
        if (!bytes.empty()) {
            BOOST_OUTCOME_TRY(exchange.responseBody.write(std::move(bytes)));
        }
        if (last) {
            result.capturedWhole = isWithinLimit;
            return exchange.responseBody.finish();
        }
    }
}

auto forwardResponse(Exchange &exchange, OutboundCall &call, const HeadFilter &filter, size_t captureBytes, ForwardResult &result) -> Result<void>
{
    BOOST_OUTCOME_TRY(ResponseHead head, call.awaitHead());
    result.head = head;
    if (!filter(head)) {
        call.cancel();
        return success();
    }
    BOOST_OUTCOME_TRY(exchange.respond(head));
    result.passedOn = true;
    BOOST_OUTCOME_TRY(forwardResponseBody(exchange, call, captureBytes, result));
    result.complete = true;
    return success();
}

} // namespace

auto readBodyPrefix(Exchange &exchange) -> Result<RequestBodyPrefix>
{
    if (exchange.head.bodyLength && *exchange.head.bodyLength == 0) {
        return RequestBodyPrefix{{}, true};
    }
    BOOST_OUTCOME_TRY(BodyChunk chunk, exchange.requestBody.read());
    return RequestBodyPrefix{std::move(chunk.bytes), chunk.last};
}

auto forwardExchange(FiberRuntime &runtime, Exchange &exchange, OutboundCall &call, const RequestBodyPrefix &prefix, const HeadFilter &filter,
                     size_t captureBytes) -> ForwardResult
{
    ForwardResult result;
    // The exchange can outlive the call, so its cancel handler must not own the call's functions.
    const auto cancel = std::make_shared<std::function<void()>>(call.cancel);
    exchange.onCancel([weak = std::weak_ptr<std::function<void()>>(cancel)] {
        if (const auto function = weak.lock()) {
            (*function)();
        }
    });
    std::optional<Error> sendError;
    if (prefix.whole) {
        if (const auto sendResult = sendRequestBody(exchange, call, prefix); !sendResult) {
            sendError = sendResult.error();
        }
    }
    // A body that has not been read completely is sent in a fiber of its own, because the response may begin before the
    // request body ends.
    FiberEvent sendEnded;
    bool isSending = !prefix.whole;
    if (isSending) {
        runtime.spawn([&] {
            if (const auto sendResult = sendRequestBody(exchange, call, prefix); !sendResult) {
                sendError = sendResult.error();
                // A receiver that refused the body may still respond. It sends no response to a body that broke off because
                // the sender left, so the call is cancelled.
                if (exchange.isCancelled()) {
                    call.cancel();
                }
            }
            isSending = false;
            sendEnded.notify();
        });
    }
    if (const auto forwardResult = forwardResponse(exchange, call, filter, captureBytes, result); !forwardResult) {
        result.error = sendError && !result.head ? *sendError : forwardResult.error();
        call.cancel();
    }
    while (isSending) {
        // The response is complete or has failed, so nothing reads the request body any more. Cancelling the call lets
        // the fiber that sends it end.
        call.cancel();
        sendEnded.wait();
    }
    result.mayHaveBeenSent = call.mayHaveBeenSent();
    return result;
}

} // namespace snipestream
