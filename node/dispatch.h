#pragma once

#include "core/exchange.h"
#include "node/node_state.h"
#include "retry/budget.h"

#include <optional>
#include <string>

namespace snipestream
{

/// Result of sending a request to the targets of its service.
struct DispatchResult {
    /// Set if no target's response was passed on.
    std::optional<Refusal> refusal;
    /// Head of the response that was passed on.
    std::optional<ResponseHead> head;
    /// The whole response was passed on.
    bool complete = false;
    /// Whether any attempt may have had an effect.
    RunState run = RunState::NotRun;
    /// Body of the response as far as it fits the capture limit.
    std::string captured;
    /// `captured` is the whole body.
    bool capturedWhole = false;
};

/// Sends the request of an exchange to a target of its service, retries where that is allowed, and passes the response
/// back. `head` is sent to the nodes of the targets; its attempts left and time left are set here for each attempt. At
/// most `captureBytes` bytes of the response body are captured. Blocks the calling fiber.
auto dispatchRequest(NodeState &state, Exchange &exchange, RequestHead head, TimePoint deadline, AttemptBudget &budget, size_t captureBytes) -> DispatchResult;

} // namespace snipestream
