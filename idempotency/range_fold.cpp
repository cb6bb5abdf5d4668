#include "idempotency/range_fold.h"

#include <algorithm>

namespace snipestream
{

namespace
{

/// Sets the sequence number from which on the fold is provably complete, if it is not set and this record proves it.
void updateCompleteFrom(RangeFold &fold, const ClaimsRecord &record)
{
    if (!fold.completeFrom && record.notBefore >= fold.readFrom) {
        fold.completeFrom = record.sequence;
    }
}

/// Applies a fence if its epoch is newer than that of every record of its domain and its domain list is not older than
/// that of the current owner.
auto applyFence(RangeFold &fold, const ClaimsRecord &record, Duration retention) -> FoldVerdict
{
    auto &maxEpoch = fold.maxEpochs[record.domain];
    if (record.epoch == fold.epoch && record.domain == fold.domain && record.homeRevision == fold.homeRevision) {
        ++fold.duplicates;
        return FoldVerdict::Duplicate;
    }
    // An owner may append another fence in the same epoch when the range returns to its domain.
    const bool isOldEpoch = record.homeRevision > fold.homeRevision ? record.epoch < maxEpoch : record.epoch <= maxEpoch;
    if (isOldEpoch || record.homeRevision < fold.homeRevision) {
        ++fold.fenced;
        return FoldVerdict::Fenced;
    }
    maxEpoch = record.epoch;
    // Leases of different domains do not exclude each other. Unless the previous home has handed the range over, it may
    // still grant claims that this fence makes void.
    const bool movedWithoutHandover = !fold.domain.empty() && fold.domain != record.domain && !fold.handedOver;
    const bool isFirst = fold.domain.empty();
    fold.domain = record.domain;
    fold.epoch = record.epoch;
    fold.homeRevision = record.homeRevision;
    fold.handedOver = false;
    fold.quarantineLeft = std::max(fold.quarantineLeft, record.quarantineLeft);
    if (movedWithoutHandover) {
        fold.quarantineLeft = retention;
    }
    if (isFirst || record.sequence > fold.lastSequence + 1) {
        fold.completeFrom.reset();
        fold.liveFrom = record.liveFrom;
    }
    updateCompleteFrom(fold, record);
    fold.lastSequence = std::max(fold.lastSequence, record.sequence);
    return FoldVerdict::Applied;
}

/// True if the fence of the record's owner has expired from the log. An owner appends nothing before it has read its
/// fence back, so a record of a newer owner than that of the fold proves that its fence was stored. The fold may have an
/// older owner because of a void record that was stored after the fence and has not expired yet.
auto isFenceExpired(const RangeFold &fold, const ClaimsRecord &record) -> bool
{
    if (fold.domain.empty() || record.homeRevision > fold.homeRevision) {
        return true;
    }
    const auto maxEpoch = fold.maxEpochs.find(record.domain);
    return record.homeRevision == fold.homeRevision && record.domain == fold.domain && maxEpoch != fold.maxEpochs.end() && record.epoch > maxEpoch->second;
}

} // namespace

auto applyClaimsRecord(RangeFold &fold, const ClaimsRecord &record, Duration retention) -> FoldVerdict
{
    if (record.range != fold.range) {
        return FoldVerdict::OtherRange;
    }
    if (record.kind == RecordKind::Fence) {
        return applyFence(fold, record, retention);
    }
    if (isFenceExpired(fold, record)) {
        fold.domain = record.domain;
        fold.epoch = record.epoch;
        fold.homeRevision = record.homeRevision;
        fold.maxEpochs[record.domain] = record.epoch;
        fold.completeFrom.reset();
        fold.lastSequence = record.sequence - 1;
    }
    if (record.domain != fold.domain || record.epoch != fold.epoch) {
        ++fold.fenced;
        return FoldVerdict::Fenced;
    }
    if (record.sequence <= fold.lastSequence) {
        ++fold.duplicates;
        return FoldVerdict::Duplicate;
    }
    if (record.sequence != fold.lastSequence + 1) {
        fold.completeFrom.reset();
    }
    updateCompleteFrom(fold, record);
    fold.lastSequence = record.sequence;
    fold.liveFrom = record.liveFrom;
    fold.quarantineLeft = record.quarantineLeft;
    fold.handedOver = record.kind == RecordKind::Handover;
    for (const auto &entry : record.claims) {
        fold.claims[entry.key] = {entry, record.sequence};
    }
    return FoldVerdict::Applied;
}

auto mayMissClaims(const RangeFold &fold) -> bool
{
    return fold.readFrom > 0 && (!fold.completeFrom || *fold.completeFrom > fold.liveFrom);
}

} // namespace snipestream
