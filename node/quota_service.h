#pragma once

#include "core/ids.h"
#include "core/refusal.h"
#include "core/result.h"
#include "core/time.h"
#include "net/decision_wait.h"
#include "quota/quota_node.h"

#include <cstdint>
#include <optional>
#include <unordered_map>

#include <nlohmann/json_fwd.hpp>

namespace snipestream
{

struct NodeState;

/// A fiber that waits for the decision on its token request.
using TokenWait = DecisionWait<TokenDecision>;

/// Quota state of this node.
struct QuotaState {
    QuotaNode node;
    /// By id of the token request.
    std::unordered_map<uint64_t, TokenWait *> waits;
    uint64_t nextTokenRequestId = 1;
    /// Configuration revision from which the rules in `node` were taken.
    uint64_t rulesRevision = 0;
    /// Requests that wait for the handover of a range to another holder.
    size_t handoverWaiters = 0;
};

/// Initializes the quota state for the current incarnation of this node.
void startQuota(NodeState &state);

/// Adds the domain weights in force to the history if they changed. Call after every applied record: holders start with
/// the smallest share in the history, so it has to be the same on every node that has applied the same records.
void recordDomainWeights(NodeState &state);

/// Returns the history of the domain weights for a snapshot.
auto dumpWeightHistory(const QuotaState &quota) -> nlohmann::json;

/// Replaces the history of the domain weights by that of a snapshot; InvalidInput if it is malformed.
auto loadWeightHistory(QuotaState &quota, const nlohmann::json &dumped) -> Result<void>;

/// Registers the handlers of quota messages with the peer links. Call before the links listen.
void serveQuota(NodeState &state);

/// Runs the holder side and the entry side every few milliseconds until the node ends. Runs in a fiber of its own.
void runQuota(NodeState &state);

/// Takes one token of the team's rate and blocks the calling fiber for the holder's response until the deadline at
/// most. Returns a refusal if the team has no tokens left, no holder can be reached or the deadline passes.
auto acquireToken(NodeState &state, const TeamName &team, TimePoint deadline) -> std::optional<Refusal>;

} // namespace snipestream
