#pragma once

#include "idempotency/claim_table.h"

namespace snipestream::claims
{

/// True if this node holds a valid lease and has finished the takeover, so that it may decide on claims.
auto isServing(const ClaimTable &table, const OwnerView &view) -> bool;

/// True if the log retains records for less time than claims are retained, so that they must be appended again.
auto needsRenewal(const ClaimSettings &settings) -> bool;

/// Returns a refusal as a claim decision.
auto refuse(RefusalReason reason, RunState run, Duration retryAfter, std::string detail) -> Refused;

/// Queues the claim's state to be appended to the log.
void markDirty(ClaimTable &table, const ClaimKey &key, Claim &claim, bool isUrgent);

/// Sets the state of a claim and queues it to be appended to the log. A release of a claim that cannot be on the log is
/// not appended.
void enterState(ClaimTable &table, const ClaimKey &key, Claim &claim, ClaimState state, TimePoint now);

/// Marks the claim as granted before it is on the log.
void grantUnlogged(ClaimTable &table, Claim &claim);

/// Marks that the claim is on the log or need not be.
void clearUnlogged(ClaimTable &table, Claim &claim);

/// Sets the sequence number of the record that holds the claim's newest entry; zero if there is none.
void moveToSequence(ClaimTable &table, Claim &claim, uint64_t sequence);

/// Sets the claim's timer to its deadline, renewal or expiry, whichever comes first. `key` must be the key stored in the
/// table, since the timers point to it.
void scheduleTimer(ClaimTable &table, const ClaimKey &key, Claim &claim);

/// Returns the claim of a key and the key stored in the table. Adds an empty claim if there is none.
auto findOrAddClaim(ClaimTable &table, const ClaimKey &key) -> std::pair<const ClaimKey &, Claim &>;

/// Replaces the recorded response of a claim. The response is dropped if the table has reached its memory limit.
void recordResponse(ClaimTable &table, Claim &claim, const std::optional<RecordedResponse> &response);

void eraseClaim(ClaimTable &table, const ClaimKey &key);

/// Handles the claims whose timer has expired: ends queued and granted claims whose deadline has passed, queues renewals
/// and drops claims whose retention has ended.
void runTimers(ClaimTable &table, TimePoint now, std::vector<DeferredClaimDecision> &decisions);

/// Builds the next record of queued claims. Returns nothing if there is no claim to append and no empty record is due.
auto buildBatch(ClaimTable &table, TimePoint now) -> std::optional<ClaimsRecord>;

/// Makes a record without claims, with the time left of the quarantine and the sequence number of the oldest live record.
auto makeRecord(const ClaimTable &table, RecordKind kind, TimePoint now) -> ClaimsRecord;

} // namespace snipestream::claims
