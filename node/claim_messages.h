#pragma once

#include "core/result.h"
#include "idempotency/claim.h"

#include <nlohmann/json_fwd.hpp>

namespace snipestream
{

/// Payload of the peer method `claim.end`.
struct EndRequest {
    ClaimKey key;
    RequestId attempt;
    Outcome outcome;
};

/// Payload of the peer method `claim.peek`.
struct PeekRequest {
    ClaimKey key;
    uint32_t attemptNumber = 1;
};

auto toJson(const BeginRequest &request) -> nlohmann::json;
auto toJson(const EndRequest &request) -> nlohmann::json;
auto toJson(const PeekRequest &request) -> nlohmann::json;
auto toJson(const ClaimDecision &decision) -> nlohmann::json;

/// These functions return InvalidInput if a field is missing or has the wrong type or value. They never throw.
auto beginRequestFromJson(const nlohmann::json &json) -> Result<BeginRequest>;
auto endRequestFromJson(const nlohmann::json &json) -> Result<EndRequest>;
auto peekRequestFromJson(const nlohmann::json &json) -> Result<PeekRequest>;
auto claimDecisionFromJson(const nlohmann::json &json) -> Result<ClaimDecision>;

} // namespace snipestream
