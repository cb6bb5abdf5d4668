#pragma once

#include "core/result.h"
#include "idempotency/claim.h"

#include <string>
#include <string_view>
#include <vector>

namespace snipestream
{

/// The complete state of one claim as stored on the log. A later entry of the same key replaces an earlier one.
struct ClaimEntry {
    ClaimKey key;
    uint64_t fingerprint = 0;
    RequestId attempt;
    uint32_t attemptNumber = 1;
    ClaimState state = ClaimState::Claimed;
    /// Age of the state when the record was made, rounded down. Clocks of different VMs cannot be compared, so a reader
    /// counts the rest of the retention from the time it reads the record: too long, but never too short.
    Duration age{};
    std::optional<RecordedResponse> response;

    friend auto operator==(const ClaimEntry &a, const ClaimEntry &b) -> bool
    {
        return a.key == b.key && a.fingerprint == b.fingerprint && a.attempt == b.attempt && a.attemptNumber == b.attemptNumber && a.state == b.state
            && a.age == b.age && a.response == b.response;
    }
};

/// Purpose of a record on the stream of a range.
enum class RecordKind : uint8_t {
    /// The first record of an owner. Records of earlier owners that are stored after it are void.
    Fence,
    /// States of claims.
    Claims,
    /// The last record of an owner that hands its range over. All its claims are on the log.
    Handover,
};

/// One append of an owner, identified by (domain, epoch, sequence). A retried append has the same three values.
struct ClaimsRecord {
    RecordKind kind = RecordKind::Claims;
    DomainName domain;
    uint32_t range = 0;
    uint64_t epoch = 0;
    /// Increases by one with each record of the range, across owners.
    uint64_t sequence = 0;
    /// No live claim has its newest entry in a record below this sequence number, so older records may have expired from
    /// the log.
    uint64_t liveFrom = 0;
    /// Log offset below which no copy of this record can be stored. A reader that has read everything from here on has the
    /// first copy; a delayed duplicate could be stored after records of higher sequence, which may have expired.
    uint64_t notBefore = 0;
    /// Revision of the domain list from which `domain` was chosen as the home of the range.
    uint64_t homeRevision = 0;
    /// Time left of the quarantine, in which new keys of the range are refused; zero if there is none.
    Duration quarantineLeft{};
    std::vector<ClaimEntry> claims;

    friend auto operator==(const ClaimsRecord &a, const ClaimsRecord &b) -> bool
    {
        return a.kind == b.kind && a.domain == b.domain && a.range == b.range && a.epoch == b.epoch && a.sequence == b.sequence && a.liveFrom == b.liveFrom
            && a.notBefore == b.notBefore && a.homeRevision == b.homeRevision && a.quarantineLeft == b.quarantineLeft && a.claims == b.claims;
    }
};

/// Returns the record as one line of JSON of type "claims".
auto toJson(const ClaimsRecord &record) -> std::string;

/// Returns a close upper bound of the bytes that the entry adds to a record, used to limit the size of a batch.
auto maxEntryBytes(const ClaimEntry &entry) -> size_t;

/// Parses a record. Fails with InvalidInput, whose message names the first invalid field, or with NotFound if the JSON is
/// of another type.
auto claimsRecordFromJson(std::string_view text) -> Result<ClaimsRecord>;

} // namespace snipestream
