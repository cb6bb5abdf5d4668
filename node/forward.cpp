#include "node/forward.h"

#include "net/fiber_event.h"

#include <memory>
#include <utility>

namespace snipestream
{

namespace
{

/// Sends the rest of the request body; returns the first failure.
auto sendBody(Exchange &exchange, OutboundCall &call, const RequestBodyStart &start) -> Result<void>
{
    if (!start.bytes.empty()) {
        BOOST_OUTCOME_TRY(call.requestBody.write(start.bytes));
    }
    bool last = start.whole;
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

/// Passes the body of the answer on and captures its start.
auto passBody(Exchange &exchange, OutboundCall &call, size_t captureBytes, ForwardResult &result) -> Result<void>
{
    bool fits = captureBytes > 0;
    while (true) {
        auto chunk = call.responseBody.read();
        if (!chunk) {
            exchange.responseBody.abort();
            return std::move(chunk).as_failure();
        }
        const bool last = chunk.value().last;
        std::string bytes = std::move(chunk.value().bytes);
        fits = fits && result.captured.size() + bytes.size() <= captureBytes;
        if (fits) {
            result.captured.append(bytes);
        }
        if (!bytes.empty()) {
            BOOST_OUTCOME_TRY(exchange.responseBody.write(std::move(bytes)));
        }
        if (last) {
            result.capturedWhole = fits;
            return exchange.responseBody.finish();
        }
    }
}

auto passAnswer(Exchange &exchange, OutboundCall &call, const HeadFilter &filter, size_t captureBytes, ForwardResult &result) -> Result<void>
{
    BOOST_OUTCOME_TRY(ResponseHead head, call.awaitHead());
    result.head = head;
    if (!filter(head)) {
        call.cancel();
        return success();
    }
    BOOST_OUTCOME_TRY(exchange.respond(head));
    result.passedOn = true;
    BOOST_OUTCOME_TRY(passBody(exchange, call, captureBytes, result));
    result.complete = true;
    return success();
}

} // namespace

auto readBodyStart(Exchange &exchange) -> Result<RequestBodyStart>
{
    if (exchange.head.bodyLength && *exchange.head.bodyLength == 0) {
        return RequestBodyStart{{}, true};
    }
    BOOST_OUTCOME_TRY(BodyChunk chunk, exchange.requestBody.read());
    return RequestBodyStart{std::move(chunk.bytes), chunk.last};
}

auto forwardExchange(FiberRuntime &runtime, Exchange &exchange, OutboundCall &call, const RequestBodyStart &start, const HeadFilter &filter,
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
    if (start.whole) {
        if (const auto sent = sendBody(exchange, call, start); !sent) {
            sendError = sent.error();
        }
    }
    // A body that is not at hand is sent in a fiber of its own, because the answer may begin before its end.
    FiberEvent sendEnded;
    bool sending = !start.whole;
    if (sending) {
        runtime.spawn([&] {
            if (const auto sent = sendBody(exchange, call, start); !sent) {
                sendError = sent.error();
                // The receiver may still answer a request whose body it refused; a cut body gets no answer.
                if (exchange.isCancelled()) {
                    call.cancel();
                }
            }
            sending = false;
            sendEnded.notify();
        });
    }
    if (const auto passed = passAnswer(exchange, call, filter, captureBytes, result); !passed) {
        result.error = sendError && !result.head ? *sendError : passed.error();
        call.cancel();
    }
    while (sending) {
        // The answer is complete or failed; a body that nobody reads any more must not keep the fiber.
        call.cancel();
        sendEnded.wait();
    }
    result.mayHaveBeenSent = call.mayHaveBeenSent();
    return result;
}

} // namespace snipestream
