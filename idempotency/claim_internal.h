#pragma once

#include "idempotency/claim_table.h"

namespace snipestream::claims
{

/// True if the owner may decide about claims at this moment.
auto isServing(const ClaimTable &table, const OwnerView &view) -> bool;

/// True if the log keeps records for less time than claims live.
auto needsRenewal(const ClaimSettings &settings) -> bool;

/// Makes a refusal as a verdict.
auto refuse(RefusalReason reason, RunState run, Duration retryAfter, std::string detail) -> Refused;

/// Queues the claim's state for the log.
void markDirty(ClaimTable &table, const ClaimKey &key, Claim &claim, bool isUrgent);

/// Puts a claim into a new state at `now` and queues it for the log if the log may hold an older state.
void enterState(ClaimTable &table, const ClaimKey &key, Claim &claim, ClaimState state, TimePoint now);

/// Marks the claim as granted without an entry on the log.
void grantUnlogged(ClaimTable &table, Claim &claim);

/// Notes that an entry of the claim is on the log or no longer needed there.
void clearUnlogged(ClaimTable &table, Claim &claim);

/// Moves the claim's newest entry to the record with this sequence number.
void moveToSequence(ClaimTable &table, Claim &claim, uint64_t sequence);

/// Sets the claim's timer to the next moment at which something is due. `key` is the key in the table.
void schedule(ClaimTable &table, const ClaimKey &key, Claim &claim);

/// Returns the claim of a key that is not in the table yet, and its key in the table.
auto addClaim(ClaimTable &table, const ClaimKey &key) -> std::pair<const ClaimKey &, Claim &>;

/// Records the response of a claim if there is memory for it.
void keepResponse(ClaimTable &table, Claim &claim, const std::optional<RecordedResponse> &response);

/// Removes the claim from the table.
void eraseClaim(ClaimTable &table, const ClaimKey &key);

/// Ends waiting claims and running ones whose deadline has passed, renews entries and drops what is past its retention.
void runTimers(ClaimTable &table, TimePoint now, std::vector<DeferredClaimDecision> &decisions);

/// Builds the next record of claims if anything has to be appended.
auto buildBatch(ClaimTable &table, TimePoint now) -> std::optional<ClaimsRecord>;

/// Makes a record without claims that carries the table's present quarantine and oldest live record.
auto makeRecord(const ClaimTable &table, RecordKind kind, TimePoint now) -> ClaimsRecord;

} // namespace snipestream::claims
