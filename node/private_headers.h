#pragma once

#include "core/exchange.h"

namespace snipestream
{

/// Handle of the request context. Sent to a target with each request; the target copies it to its nested calls.
inline constexpr const char *kContextHeader = "Snipestream-Context";
/// Time left to the deadline in whole milliseconds. Accepted from callers and sent to targets.
inline constexpr const char *kTimeoutHeader = "Snipestream-Timeout-Ms";

/// Removes all header fields whose name begins with "Snipestream-", in any case of letters. Only snipestream may set
/// them: a caller could use them to impersonate a node, and a target to make its own response look like a trusted refusal.
void stripPrivateHeaders(HeaderList &headers);

/// Prepares the headers of a target's response for the caller: removes private fields that the target set and adds the
/// request id.
void prepareResponseHeaders(HeaderList &headers, const RequestId &id);

} // namespace snipestream
