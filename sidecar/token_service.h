#pragma once

#include "http/message.h"
#include "mesh/policy.h"
#include "net/decision_wait.h"
#include "quota/voted_quota.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace snipestream
{

struct SidecarState;

/// State of the teams' rates at this node.
struct SidecarTokens {
    VotedQuota quota;
    /// Fibers that wait for a token, by id of the token request.
    std::unordered_map<uint64_t, DecisionWait<TokenDecision> *> waits;
    uint64_t nextTokenRequestId = 1;
    /// Ranges that this node holds, for the log.
    std::map<uint32_t, TimePoint> heldRanges;
};

/// Registers the datagram handlers and initializes the state.
void startTokens(SidecarState &state);

/// Applies a change of the membership or of the policy.
void updateTokenMembers(SidecarState &state);

/// Sends what is due and decides about token requests that have waited too long. Must be called with each tick.
void tickTokens(SidecarState &state, TimePoint now);

/// Takes a token of the team's rate and blocks the calling fiber until a holder has responded. Refused if the team has no
/// tokens left, no holder can be reached or the caller left.
auto takeToken(SidecarState &state, const TeamPolicy &team, TimePoint deadline, CancelSignal &cancel) -> TokenDecision;

/// Gives back the token of a request that is refused and has not run. `token` is that of the decision.
void giveBackToken(SidecarState &state, const TeamPolicy &team, const std::vector<TokenPart> &token);

/// Returns which holder decided about the team's latest token request and how long ago, for the log.
auto describeHolder(const SidecarState &state, const TeamName &team, TimePoint now) -> std::string;

/// Refuses all token requests that wait, because the node ends.
void refuseTokenRequests(SidecarState &state);

} // namespace snipestream
