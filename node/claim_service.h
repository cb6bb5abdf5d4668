#pragma once

#include "idempotency/attempt_state.h"
#include "idempotency/claim_table.h"
#include "net/fiber_event.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace snipestream
{

struct NodeState;

/// A fiber that waits for the verdict on a claim.
struct ClaimWait {
    FiberEvent event;
    std::optional<ClaimDecision> verdict;
    bool isDecided = false;
};

/// A range whose claims this node owns, or owned until its lease ended.
struct OwnedRange {
    ClaimTable table;
    /// Newest bit request that was passed on to the witnesses.
    uint64_t bitRequestPassed = 0;
    /// Reading pass that a fiber is working on; zero if none.
    uint64_t readingPass = 0;
};

/// The claims that this node owns.
struct ClaimOwner {
    std::map<uint32_t, OwnedRange> ranges;
    /// By attempt id.
    std::unordered_map<RequestId, ClaimWait *> waits;
    /// Begins of this entry node that wait for a range to change hands.
    size_t handOverWaiters = 0;
    /// Set by a graceful shutdown.
    bool isHandingOver = false;
};

/// Registers the owner's methods with the peer links. Call before the links listen.
void serveClaims(NodeState &state);

/// Advances the owned ranges until the node ends. Runs in a fiber of its own.
void runClaims(NodeState &state);

/// Asks the owner of the key for a claim and waits for the verdict, at most for the request's time left. An Error means
/// that the claim may or may not have been granted.
auto beginAtOwner(NodeState &state, const BeginRequest &request) -> Result<ClaimDecision>;

/// Reports the outcome of an attempt to the owner, again and again for two minutes until one takes it. Returns at once.
void reportToOwner(NodeState &state, const ClaimKey &key, const RequestId &attempt, const Outcome &outcome);

/// Asks the owner whether any attempt of the key may have run; bounded to a short time, because it is only asked for
/// the sake of a truthful refusal.
auto peekAtOwner(NodeState &state, const ClaimKey &key, uint32_t attemptNumber) -> PeekResult;

/// Begins to hand all ranges over at a graceful shutdown: no new claims are taken, and a last record of each range says
/// that all its claims are on the log, so that the successor need not quarantine it.
void beginClaimHandover(NodeState &state);

/// Returns whether the last record of every range is on the log.
auto areClaimsHandedOver(const NodeState &state) -> bool;

} // namespace snipestream
