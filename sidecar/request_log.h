#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "mesh/policy.h"
#include "sidecar/state.h"

#include <string>

namespace snipestream
{

/// What every event of a request contains.
struct RequestOrigin {
    std::string requestId;
    /// Null if no route was found.
    const RoutePolicy *route = nullptr;
    /// Null on open routes and for an unknown API key.
    const TeamPolicy *team = nullptr;
    ServiceName service;
    uint64_t policyVersion = 0;
    /// What a refusal was based on, such as the holder that has no tokens; may be empty.
    std::string detail;
};

/// Logs and counts a refusal. The request has not run.
void logRefusal(SidecarState &state, const RequestOrigin &origin, int status, const std::string &reason, Duration retryAfter, Duration elapsed);

/// Logs and counts the response of a target that is returned to the caller. A line may be left out if the response is
/// neither late nor an error.
void logAnswered(SidecarState &state, const RequestOrigin &origin, const std::string &address, int status, int attempts, Duration elapsed);

/// Logs that another target is tried after an error response.
void logRetry(SidecarState &state, const RequestOrigin &origin, const std::string &address, int status, const std::string &reason, Duration elapsed);

/// Logs an attempt whose outcome is not TargetOutcome::Answered.
void logTargetRefusal(SidecarState &state, const RequestOrigin &origin, const std::string &address, const std::string &outcome, const std::string &reason,
                      Duration elapsed);

/// Logs and counts an error that is returned to the caller although the request may have run.
void logFailure(SidecarState &state, const RequestOrigin &origin, int status, const std::string &reason, int attempts, Duration elapsed);

/// Logs and counts a request whose caller disconnected.
void logAbandoned(SidecarState &state, const RequestOrigin &origin, const std::string &address, Duration elapsed);

} // namespace snipestream
