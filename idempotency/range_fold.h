#pragma once

#include "idempotency/claim_record.h"

#include <map>
#include <optional>
#include <unordered_map>

namespace snipestream
{

/// State of one range, computed by applying the records on the log in log order. Every reader of the same records
/// computes the same state.
struct RangeFold {
    uint32_t range = 0;
    /// Domain of the current owner, whose records are applied; empty before the first record.
    DomainName domain;
    uint64_t epoch = 0;
    uint64_t homeRevision = 0;
    bool handedOver = false;
    /// Highest epoch seen of each domain.
    std::map<DomainName, uint64_t> maxEpochs;

    uint64_t lastSequence = 0;
    /// Log offset from which this pass has read without a gap.
    uint64_t readFrom = 0;
    /// Sequence number from which on the fold provably contains every record; empty if nothing is proven.
    std::optional<uint64_t> completeFrom;
    uint64_t liveFrom = 0;
    Duration quarantineLeft{};

    struct FoldedClaim {
        ClaimEntry entry;
        uint64_t sequence = 0;
    };
    std::unordered_map<ClaimKey, FoldedClaim, ClaimKeyHash> claims;

    /// Number of records that were dropped as duplicates.
    uint64_t duplicates = 0;
    /// Number of records that were dropped with FoldVerdict::Fenced.
    uint64_t fenced = 0;
};

/// How a record was treated.
enum class FoldVerdict : uint8_t {
    Applied,
    Duplicate,
    /// Dropped: written under an older epoch or an older domain list than the current owner's fence.
    Fenced,
    OtherRange,
};

/// Applies the next record of the log. `retention` is the length of the quarantine if the range has changed its home
/// domain without a handover.
auto applyClaimsRecord(RangeFold &fold, const ClaimsRecord &record, Duration retention) -> FoldVerdict;

/// True if live claims may have expired from the log: the log has dropped records, and the remaining ones do not prove
/// that they contain the newest entry of every live claim.
auto mayMissClaims(const RangeFold &fold) -> bool;

} // namespace snipestream
