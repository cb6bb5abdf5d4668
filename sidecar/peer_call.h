#pragma once

#include "core/result.h"
#include "sidecar/home.h"

namespace snipestream
{

/// Turns a routed request into the message for the node beside its target.
auto encodeRouted(const RoutedRequest &request, TimePoint now) -> RequestMessage;

/// Reads a message of another node. Returns ErrorCode::InvalidInput if it is none.
auto decodeRouted(RequestMessage message, TimePoint now) -> Result<RoutedRequest>;

/// Turns the outcome at a target into the answer for the node where the request entered.
auto encodeOutcome(TargetResult result) -> ResponseMessage;

/// Reads the outcome from another node's answer. An answer that no node of the fleet sent leaves the fate of the request
/// unknown.
auto decodeOutcome(ResponseMessage answer) -> TargetResult;

/// Sends the request to the node and waits for the outcome.
auto runAtPeer(SidecarState &state, const std::string &address, const RoutedRequest &request, CancelSignal &cancel) -> TargetResult;

} // namespace snipestream
