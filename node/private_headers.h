#pragma once

#include "core/exchange.h"

namespace snipestream
{

/// Names the request that a target is working on, for its own calls to other services.
inline constexpr const char *kContextHeader = "Snipestream-Context";
/// Time left to the deadline, in whole milliseconds; sent by callers and to targets.
inline constexpr const char *kTimeoutHeader = "Snipestream-Timeout-Ms";

/// Removes the fields that only snipestream sets, "Snipestream-" and whatever follows. A caller could use them to pose
/// as a node, and a target to make its own answer look like a refusal that can be trusted.
void stripPrivateHeaders(HeaderList &headers);

/// Makes the headers of a target's answer those that its caller gets: without private fields of the target, with the
/// id of the request.
void markAnswer(HeaderList &headers, const RequestId &id);

} // namespace snipestream
