#pragma once

#include "core/exchange.h"
#include "node/node_state.h"
#include "retry/budget.h"

#include <optional>
#include <string>

namespace snipestream
{

/// What became of a request that was sent to the targets of its service.
struct DispatchResult {
    /// Set if no target's answer was passed on.
    std::optional<Refusal> refusal;
    /// Head of the answer that was passed on.
    std::optional<ResponseHead> head;
    /// The whole answer was passed on.
    bool complete = false;
    /// Whether any attempt may have had an effect.
    RunState run = RunState::NotRun;
    /// Body of the answer if it fits the capture limit.
    std::string captured;
    bool capturedWhole = false;
};

/// Sends the request of an exchange to a target of its service, tries again where that is allowed, and passes the
/// answer back. `head` is what the targets' nodes get; its attempts and time left are set here. Blocks the calling
/// fiber.
auto dispatchRequest(NodeState &state, Exchange &exchange, RequestHead head, TimePoint deadline, AttemptBudget &budget, size_t captureBytes) -> DispatchResult;

} // namespace snipestream
