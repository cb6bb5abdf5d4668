#pragma once

#include "core/result.h"
#include "sidecar/home.h"

namespace snipestream
{

/// Returns the message that carries a routed request to the node beside its target.
auto encodeRoutedRequest(const RoutedRequest &request, TimePoint now) -> RequestMessage;

/// Reads a routed request from another node's message. Returns ErrorCode::InvalidInput if the message has no valid routing
/// field.
auto decodeRoutedRequest(RequestMessage message, TimePoint now) -> Result<RoutedRequest>;

/// Returns the response that carries the outcome at a target to the entry node.
auto encodeOutcome(TargetResult result) -> ResponseMessage;

/// Reads the outcome from another node's response. The outcome is Unknown if the response has no valid outcome field, since
/// it was then not sent by a node of the fleet.
auto decodeOutcome(ResponseMessage response) -> TargetResult;

/// Sends the request to the node at the address and waits for the outcome.
auto runAtPeer(SidecarState &state, const std::string &address, RoutedRequest &request, CancelSignal &cancel) -> TargetResult;

} // namespace snipestream
