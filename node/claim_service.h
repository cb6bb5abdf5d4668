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

/// A fiber that waits for the decision on a claim.
struct ClaimWait {
    FiberEvent event;
    std::optional<ClaimDecision> decision;
    bool isDecided = false;
};

/// A range of claims that this node owns, or owned until its lease ended.
struct OwnedRange {
    ClaimTable table;
    /// Number of the newest request to change the unlogged bit that was passed on to the lease holder for the witnesses.
    uint64_t forwardedBitRequest = 0;
    /// Id of the log read that a fiber is working on; 0 if there is none.
    uint64_t activeReadId = 0;
};

/// Claims that this node owns, and the fibers that wait for them.
struct ClaimOwner {
    std::map<uint32_t, OwnedRange> ranges;
    /// Fibers that wait for a decision, indexed by attempt id.
    std::unordered_map<RequestId, ClaimWait *> waits;
    /// Begin requests of this entry node that are being retried because their range has no serving owner at present.
    size_t retryingBegins = 0;
    /// Set by a graceful shutdown: all ranges are handed over and no further ones are acquired.
    bool isHandingOver = false;
};

/// Registers the peer methods of claim owners. Must be called before the peer links listen.
void serveClaims(NodeState &state);

/// Updates the owned ranges periodically until the node ends. Runs in a fiber of its own.
void runClaims(NodeState &state);

/// Requests a claim from the owner of the key and waits for the decision, at most for the request's time left. On an
/// error, the claim may or may not have been granted.
auto beginAtOwner(NodeState &state, const BeginRequest &request) -> Result<ClaimDecision>;

/// Reports the outcome of an attempt to the owner of the key. Returns at once; a fiber retries the report for up to two
/// minutes until an owner accepts it.
void reportToOwner(NodeState &state, const ClaimKey &key, const RequestId &attempt, const Outcome &outcome);

/// Asks the owner of the key whether another attempt may have run. Has a short timeout, because the result is needed only
/// for the run state in a refusal.
auto peekAtOwner(NodeState &state, const ClaimKey &key, uint32_t attemptNumber) -> PeekResult;

/// Starts to hand over all ranges at a graceful shutdown. No new claims are granted, and a last record of each range
/// states that all its claims are on the log, so that the next owner need not quarantine the range.
void beginClaimHandover(NodeState &state);

/// Returns whether the last record of every range is on the log.
auto areClaimsHandedOver(const NodeState &state) -> bool;

} // namespace snipestream
