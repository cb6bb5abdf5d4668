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

/// The part of a request body that was read before the request was sent on. A body that fits into it whole can be sent
/// again.
struct RequestBodyStart {
    std::string bytes;
    bool whole = false;
};

/// Reads the first piece of the request body, so that a small body can be sent more than once.
auto readBodyStart(Exchange &exchange) -> Result<RequestBodyStart>;

/// Decides on the head of an answer: returns true to pass the answer on, after changing the head if need be, or false
/// to keep it from the sender, such as a refusal that leads to another attempt.
using HeadFilter = std::function<bool(ResponseHead &)>;

/// What became of a request that was sent on.
struct ForwardResult {
    /// Head of the answer, as it arrived.
    std::optional<ResponseHead> head;
    /// The head was passed on, so the sender can get no other answer.
    bool passedOn = false;
    /// The whole answer was passed on.
    bool complete = false;
    /// A byte of the request may have reached the receiver.
    bool mayHaveBeenSent = false;
    /// First failure of either side.
    std::optional<Error> error;
    /// Body of the answer as far as it fits the capture limit.
    std::string captured;
    /// `captured` is the whole body.
    bool capturedWhole = false;
};

/// Sends the request of an exchange on and passes the answer back piece by piece. Blocks the calling fiber until both
/// bodies have ended or failed. A failure on one side cancels the other, so a cut body never looks whole. The first
/// `captureBytes` bytes of the answer are kept.
auto forwardExchange(FiberRuntime &runtime, Exchange &exchange, OutboundCall &call, const RequestBodyStart &start, const HeadFilter &filter,
                     size_t captureBytes = 0) -> ForwardResult;

} // namespace snipestream
