#pragma once

#include "core/result.h"
#include "idempotency/claim.h"

#include <string>
#include <string_view>
#include <vector>

namespace snipestream
{

/// The whole state of one claim as it stands on the log. A later entry of the same key replaces an earlier one.
struct ClaimEntry {
    ClaimKey key;
    uint64_t fingerprint = 0;
    RequestId attempt;
    uint32_t attemptNumber = 1;
    ClaimState state = ClaimState::Claimed;
    /// Age of the state when the record was made, rounded down. Moments of different VMs cannot be compared, so a
    /// reader keeps the claim for the rest of the retention from the time it reads: longer than needed, never shorter.
    Duration age{};
    std::optional<RecordedResponse> response;

    friend auto operator==(const ClaimEntry &a, const ClaimEntry &b) -> bool
    {
        return a.key == b.key && a.fingerprint == b.fingerprint && a.attempt == b.attempt && a.attemptNumber == b.attemptNumber && a.state == b.state
            && a.age == b.age && a.response == b.response;
    }
};

/// What a record on a range's stream does.
enum class RecordKind : uint8_t {
    /// The first record of an owner: records of earlier owners after it are void.
    Fence,
    /// Claims and outcomes.
    Claims,
    /// The last record of an owner whose range moves to another home domain; all its claims are on the log.
    Handover,
};

/// One append of an owner. (domain, epoch, sequence) identifies it; a repeated append has the same three values.
struct ClaimsRecord {
    RecordKind kind = RecordKind::Claims;
    DomainName domain;
    uint32_t range = 0;
    uint64_t epoch = 0;
    /// Grows by one with each record of the range, over all owners.
    uint64_t sequence = 0;
    /// No live claim has its newest entry below this sequence number, so older records may be missing from the log.
    uint64_t liveFrom = 0;
    /// Log offset below which no copy of this record can stand. A reader that has everything from here on knows that it
    /// sees the first copy and not a delayed repetition, whose successors may have expired.
    uint64_t notBefore = 0;
    /// Revision of the domain list that made `domain` the home of the range.
    uint64_t homeRevision = 0;
    /// How much longer new keys of the range are refused; zero if the range is not in quarantine.
    Duration quarantineLeft{};
    std::vector<ClaimEntry> claims;

    friend auto operator==(const ClaimsRecord &a, const ClaimsRecord &b) -> bool
    {
        return a.kind == b.kind && a.domain == b.domain && a.range == b.range && a.epoch == b.epoch && a.sequence == b.sequence && a.liveFrom == b.liveFrom
            && a.notBefore == b.notBefore && a.homeRevision == b.homeRevision && a.quarantineLeft == b.quarantineLeft && a.claims == b.claims;
    }
};

/// Returns the record as JSON of type "claims" on one line.
auto toJson(const ClaimsRecord &record) -> std::string;

/// Returns the bytes that the entry adds to a record; a close upper bound used to limit the size of a batch.
auto entryBytes(const ClaimEntry &entry) -> size_t;

/// Parses a record. InvalidInput names the first bad field; NotFound means that the JSON is of another type.
auto claimsRecordFromJson(std::string_view text) -> Result<ClaimsRecord>;

} // namespace snipestream
