#pragma once

#include "idempotency/claim_record.h"

#include <map>
#include <optional>
#include <unordered_map>

namespace snipestream
{

/// The state of one range as the records on the log, applied in log order, define it. Every reader of the same records
/// comes to the same state.
struct RangeFold {
    uint32_t range = 0;
    /// The owner whose records count, empty before the first record.
    DomainName domain;
    uint64_t epoch = 0;
    uint64_t homeRevision = 0;
    bool handedOver = false;
    std::map<DomainName, uint64_t> highestEpochs;

    uint64_t lastSequence = 0;
    /// Offset from which this pass has read the log without a gap.
    uint64_t readFrom = 0;
    /// Sequence number from which on the fold provably has every record; empty if it proves nothing.
    std::optional<uint64_t> provenFrom;
    uint64_t liveFrom = 0;
    Duration quarantineLeft{};

    struct FoldedClaim {
        ClaimEntry entry;
        uint64_t sequence = 0;
    };
    std::unordered_map<ClaimKey, FoldedClaim, ClaimKeyHash> claims;

    uint64_t duplicates = 0;
    uint64_t fenced = 0;
};

/// How a record changed the fold.
enum class FoldVerdict : uint8_t {
    Applied,
    Duplicate,
    /// Written under an older epoch or an older domain list than the current owner's fence.
    Fenced,
    OtherRange,
};

/// Applies the next record of the log. `retention` is the quarantine that follows when the range changed its home
/// domain without a handover.
auto applyClaimsRecord(RangeFold &fold, const ClaimsRecord &record, Duration retention) -> FoldVerdict;

/// True if live claims may have expired from the log: the log has dropped records, and those that are left do not prove
/// that they contain the newest entry of every live claim.
auto mayMissClaims(const RangeFold &fold) -> bool;

} // namespace snipestream
