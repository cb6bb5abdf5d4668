#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "mesh/policy.h"
#include "sidecar/state.h"

#include <string>

namespace snipestream
{

/// What every line about a request says.
struct RequestOrigin {
    std::string requestId;
    /// Null if no route was found.
    const RoutePolicy *route = nullptr;
    /// Null on open routes and if the key is not known.
    const TeamPolicy *team = nullptr;
    ServiceName service;
    uint64_t policyVersion = 0;
};

/// A request that has not run was refused with this status.
void logRefusal(SidecarState &state, const RequestOrigin &origin, int status, const std::string &reason, Duration retryAfter, Duration taken);

/// A target's answer goes to the caller.
void logAnswered(SidecarState &state, const RequestOrigin &origin, const std::string &address, int status, int arrivals, Duration taken);

/// The request is sent again.
void logRetry(SidecarState &state, const RequestOrigin &origin, const std::string &address, int status, const std::string &reason, Duration taken);

/// A node or its target did not answer the request.
void logTargetRefusal(SidecarState &state, const RequestOrigin &origin, const std::string &address, const std::string &outcome, const std::string &reason,
                      Duration taken);

/// The caller gets an error although the request may have run.
void logFailure(SidecarState &state, const RequestOrigin &origin, int status, const std::string &reason, int arrivals, Duration taken);

/// The caller left.
void logAbandoned(SidecarState &state, const RequestOrigin &origin, const std::string &address, Duration taken);

} // namespace snipestream
