#pragma once

#include "core/exchange.h"
#include "core/result.h"
#include "net/fiber_runtime.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <string>

namespace snipestream
{

/// Start of a request body, read before the request is forwarded. If it is the whole body, the request can be sent
/// again.
struct RequestBodyPrefix {
    std::string bytes;
    bool whole = false;
};

/// Reads the first chunk of the request body, so that a body of a single chunk can be sent more than once.
auto readBodyPrefix(Exchange &exchange) -> Result<RequestBodyPrefix>;

/// Inspects the head of a response and may change it. Returns true to pass the response on to the sender of the request,
/// or false to withhold it, for example a refusal that leads to another attempt.
using HeadFilter = std::function<bool(ResponseHead &)>;

/// Result of forwarding a request.
struct ForwardResult {
    /// Head of the response as received, before the filter changed it.
    std::optional<ResponseHead> head;
    /// The head was passed on, so the sender can get no other response.
    bool passedOn = false;
    /// The whole response was passed on.
    bool complete = false;
    /// A byte of the request may have reached the receiver.
    bool mayHaveBeenSent = false;
    /// First failure of either side.
    std::optional<Error> error;
    /// Body of the response as far as it fits the capture limit.
    std::string captured;
    /// `captured` is the whole body.
    bool capturedWhole = false;
};

/// Forwards the request of an exchange to a call and streams the response back. Blocks the calling fiber until both
/// bodies have ended or failed. A failure on one side cancels the other, so a truncated body never looks complete. At
/// most `captureBytes` bytes of the response body are captured.
auto forwardExchange(FiberRuntime &runtime, Exchange &exchange, OutboundCall &call, const RequestBodyPrefix &prefix, const HeadFilter &filter,
                     size_t captureBytes = 0) -> ForwardResult;

} // namespace snipestream
