#include "idempotency/range_fold.h"

#include <algorithm>

namespace snipestream
{

namespace
{

/// Notes from which record on the fold is provably complete.
void noteProof(RangeFold &fold, const ClaimsRecord &record)
{
    if (!fold.provenFrom && record.notBefore >= fold.readFrom) {
        fold.provenFrom = record.sequence;
    }
}

/// A fence counts if it is newer than everything its own domain wrote and belongs to no older domain list.
auto acceptFence(RangeFold &fold, const ClaimsRecord &record, Duration retention) -> FoldVerdict
{
    auto &highest = fold.highestEpochs[record.domain];
    if (record.epoch == fold.epoch && record.domain == fold.domain && record.homeRevision == fold.homeRevision) {
        ++fold.duplicates;
        return FoldVerdict::Duplicate;
    }
    // An owner may fence again in the same epoch when the range comes back to its domain.
    const bool isOldEpoch = record.homeRevision > fold.homeRevision ? record.epoch < highest : record.epoch <= highest;
    if (isOldEpoch || record.homeRevision < fold.homeRevision) {
        ++fold.fenced;
        return FoldVerdict::Fenced;
    }
    highest = record.epoch;
    // Leases of different domains do not exclude each other, so the former home may still grant claims that this fence
    // makes void, unless it has handed the range over.
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
        fold.provenFrom.reset();
        fold.liveFrom = record.liveFrom;
    }
    noteProof(fold, record);
    fold.lastSequence = std::max(fold.lastSequence, record.sequence);
    return FoldVerdict::Applied;
}

/// True if the record's owner must have fenced before the first record that is still on the log. An owner writes
/// nothing before it has read its fence back, so a record of a newer owner than the one the fold knows proves that
/// fence. The fold may know an older owner from a void record that was stored after the fence and outlives it on the
/// log.
auto isFenceExpired(const RangeFold &fold, const ClaimsRecord &record) -> bool
{
    if (fold.domain.empty() || record.homeRevision > fold.homeRevision) {
        return true;
    }
    const auto highest = fold.highestEpochs.find(record.domain);
    return record.homeRevision == fold.homeRevision && record.domain == fold.domain && highest != fold.highestEpochs.end() && record.epoch > highest->second;
}

} // namespace

auto applyClaimsRecord(RangeFold &fold, const ClaimsRecord &record, Duration retention) -> FoldVerdict
{
    if (record.range != fold.range) {
        return FoldVerdict::OtherRange;
    }
    if (record.kind == RecordKind::Fence) {
        return acceptFence(fold, record, retention);
    }
    if (isFenceExpired(fold, record)) {
        fold.domain = record.domain;
        fold.epoch = record.epoch;
        fold.homeRevision = record.homeRevision;
        fold.highestEpochs[record.domain] = record.epoch;
        fold.provenFrom.reset();
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
        fold.provenFrom.reset();
    }
    noteProof(fold, record);
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
    return fold.readFrom > 0 && (!fold.provenFrom || *fold.provenFrom > fold.liveFrom);
}

} // namespace snipestream
