#pragma once

#include "core/ids.h"
#include "core/refusal.h"
#include "core/result.h"
#include "core/time.h"
#include "net/fiber_event.h"
#include "quota/entry.h"
#include "quota/holder.h"

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>

#include <nlohmann/json_fwd.hpp>

namespace snipestream
{

struct NodeState;

/// A fiber that waits for a token.
struct TokenWait {
    FiberEvent event;
    TokenDecision verdict;
    bool isDecided = false;
};

/// Quota state of one node: it may hold ranges, and it is the entry of requests.
struct QuotaState {
    QuotaParams params;
    HolderTable holder;
    HolderInputs holderInputs;
    EntryTable entry;
    EntryInputs entryInputs;
    std::unordered_map<uint64_t, TokenWait *> waits;
    uint64_t nextTicket = 1;
    /// Revision of the configuration that the rules in the inputs were taken from.
    uint64_t rulesRevision = 0;
    /// Asks that holders have not answered yet, and whether their answer goes to the entry side.
    std::map<std::pair<NodeName, uint64_t>, std::pair<bool, TimePoint>> openAsks;
    /// Requests that wait for a range to change hands.
    size_t handOverWaiters = 0;
    /// Set while messages are being processed, so that messages to this node itself are queued and not nested.
    bool isProcessing = false;
};

/// Sets the state up for this node's incarnation.
void startQuota(NodeState &state);

/// Adds the domain weights in force to the history if they changed. Call after every folded record: holders start with
/// the smallest share of the history, so it has to be the same on every node that folded the same records.
void recordDomainWeights(NodeState &state);

/// Returns the history of the domain weights for a snapshot.
auto dumpWeightHistory(const QuotaState &quota) -> nlohmann::json;

/// Replaces the history of the domain weights by that of a snapshot; InvalidInput if it is malformed.
auto loadWeightHistory(QuotaState &quota, const nlohmann::json &dumped) -> Result<void>;

/// Registers the messages of quota with the peer links. Call before the links listen.
void serveQuota(NodeState &state);

/// Runs both sides every few milliseconds until the node ends. Runs in a fiber of its own.
void runQuota(NodeState &state);

/// Takes one token of the team's rate, waiting for the holder's answer at most until the deadline. Returns the refusal
/// if the team has none left or no holder can be reached.
auto acquireToken(NodeState &state, const TeamName &team, TimePoint deadline) -> std::optional<Refusal>;

} // namespace snipestream
