#include "idempotency/claim_internal.h"

#include <algorithm>

namespace snipestream
{

using claims::isServing;
using claims::refuse;

namespace
{

/// Refuses every claim that is still queued for the log. The run state is Unknown, since the next owner may grant the key.
void refuseQueuedClaims(ClaimTable &table, std::vector<DeferredClaimDecision> &decisions)
{
    for (const auto &[key, claim] : table.claims) {
        if (claim.state == ClaimState::Claimed && !claim.granted) {
            decisions.push_back(
                {claim.attempt, key,
                 refuse(RefusalReason::ClaimUnavailable, RunState::Unknown, seconds(1), "the owner lost the range before the claim was on the log")});
        }
    }
}

/// Resets the table to `phase` with a new read id. Keeps the append rate limit, the handover request and the counters, and
/// within the same epoch also the state of the unlogged bits.
void resetTable(ClaimTable &table, OwnerPhase phase, uint64_t epoch, TimePoint now)
{
    ClaimTable fresh = makeClaimTable(table.settings, table.domain, table.range);
    fresh.phase = phase;
    fresh.epoch = epoch;
    fresh.homeRevision = table.homeRevision;
    fresh.handoverRequested = table.handoverRequested;
    fresh.readId = table.readId + 1;
    fresh.readingSince = now;
    fresh.appendTokens = table.appendTokensAt == TimePoint{} ? table.settings.appendBurst : table.appendTokens;
    fresh.appendTokensAt = table.appendTokensAt == TimePoint{} ? now : table.appendTokensAt;
    // The number must not decrease within an epoch, so that witnesses ignore a delayed earlier request.
    fresh.bitRequestNumber = table.bitRequestNumber;
    fresh.unloggedBitRequested = epoch == table.epoch && table.unloggedBitRequested;
    fresh.predecessorUnlogged = epoch == table.epoch && table.predecessorUnlogged;
    fresh.refusedTableFull = table.refusedTableFull;
    fresh.refusedQueueFull = table.refusedQueueFull;
    fresh.refusedFingerprintMismatch = table.refusedFingerprintMismatch;
    fresh.voidedClaims = table.voidedClaims;
    fresh.droppedOutcomes = table.droppedOutcomes;
    table = std::move(fresh);
}

void requestUnloggedBit(ClaimTable &table, bool requested)
{
    if (table.unloggedBitRequested != requested) {
        table.unloggedBitRequested = requested;
        ++table.bitRequestNumber;
    }
}

auto takeAppendToken(ClaimTable &table, TimePoint now) -> bool
{
    const double elapsed = std::chrono::duration<double>(now - table.appendTokensAt).count();
    table.appendTokens = std::min(table.settings.appendBurst, table.appendTokens + elapsed * table.settings.appendsPerSecond);
    table.appendTokensAt = now;
    if (table.appendTokens < 1) {
        return false;
    }
    table.appendTokens -= 1;
    return true;
}

/// Sends or resends the record in flight if the append rate limit allows it.
void sendInFlight(ClaimTable &table, TimePoint now, OwnerOutputs &outputs)
{
    if (!table.inFlight || table.inFlight->sentAt || !takeAppendToken(table, now)) {
        return;
    }
    table.inFlight->sentAt = now;
    outputs.append = table.inFlight->record;
}

/// Prepares the fence once the previous home domain has handed the range over or handoverTimeout has passed.
void startFence(ClaimTable &table, TimePoint now)
{
    const auto &fold = table.fold;
    const bool isOtherDomain = !fold.domain.empty() && fold.domain != table.domain && !fold.handedOver;
    if (isOtherDomain && now < table.readingSince + table.settings.handoverTimeout) {
        return;
    }
    table.lastSequence = fold.lastSequence;
    ClaimsRecord fence = claims::makeRecord(table, RecordKind::Fence, now);
    fence.liveFrom = fold.domain.empty() ? fence.sequence : fold.liveFrom;
    fence.quarantineLeft = fold.quarantineLeft;
    const bool hasGap = claims::needsRenewal(table.settings) && mayMissClaims(fold);
    // A predecessor that has handed the range over had all its claims on the log and granted none after that record, so
    // its unlogged bit no longer matters, whether the witnesses still store it, have cleared it or have lost it.
    if ((table.predecessorUnlogged && !fold.handedOver) || hasGap) {
        fence.quarantineLeft = table.settings.retention;
    }
    table.inFlight = InFlightAppend{std::move(fence), std::nullopt, false};
    table.phase = OwnerPhase::Fencing;
}

/// Sets when a record is due even if no claim changes: during a quarantine, so that a successor reads the shorter time
/// left from the log; and if the log retains records for less time than claims, to keep records close enough to each other
/// for a successor to prove that none is missing.
void setCheckpoint(ClaimTable &table, TimePoint now)
{
    table.checkpointAt = TimePoint::max();
    if (claims::needsRenewal(table.settings)) {
        table.checkpointAt = now + table.settings.logRetention / 8;
    }
    if (table.quarantinedUntil) {
        table.checkpointAt = std::min(table.checkpointAt, now + table.settings.retention / 24);
    }
}

/// Loads the claims read from the log and starts to grant claims.
void startServing(ClaimTable &table, TimePoint now, OwnerOutputs &outputs)
{
    table.phase = OwnerPhase::Serving;
    table.inFlight.reset();
    table.lastSequence = table.fold.lastSequence;
    setCheckpoint(table, now);
    if (table.fold.quarantineLeft > Duration::zero()) {
        table.quarantinedUntil = now + table.fold.quarantineLeft;
        setCheckpoint(table, now);
        outputs.events.push_back(OwnerEvent::RangeQuarantined);
    }
    for (auto &[foldedKey, folded] : table.fold.claims) {
        auto [key, claim] = claims::findOrAddClaim(table, foldedKey);
        claim.fingerprint = folded.entry.fingerprint;
        claim.attempt = folded.entry.attempt;
        claim.attemptNumber = folded.entry.attemptNumber;
        // The previous owner may have granted the claim; only the entry node of the attempt can report the outcome.
        claim.state = folded.entry.state == ClaimState::Claimed ? ClaimState::Unknown : folded.entry.state;
        claim.granted = true;
        claim.maybeOnLog = true;
        claim.since = now - folded.entry.age;
        // The age of the entry on the log is unknown, so it is renewed at once if the log may drop it.
        claim.loggedAt = now - table.settings.logRetention / 2;
        claims::recordResponse(table, claim, folded.entry.response);
        claims::moveToSequence(table, claim, folded.sequence);
        claims::scheduleTimer(table, key, claim);
    }
    table.fold.claims.clear();
    // The quarantine is now on the log, so the witnesses need not store the bit any more.
    if (table.unloggedBitRequested) {
        requestUnloggedBit(table, false);
        table.mode = LogMode::ClearingBit;
    }
    outputs.events.push_back(OwnerEvent::ServingStarted);
}

/// Grants the claims that are not yet on the log: those in the record in flight and in the urgent queue.
void grantQueuedClaims(ClaimTable &table, OwnerOutputs &outputs)
{
    const auto grant = [&](const ClaimKey &key) {
        const auto found = table.claims.find(key);
        if (found != table.claims.end() && found->second.state == ClaimState::Claimed && !found->second.granted) {
            claims::grantUnlogged(table, found->second);
            outputs.decisions.push_back({found->second.attempt, key, Granted{}});
        }
    };
    if (table.inFlight) {
        for (const auto &entry : table.inFlight->record.claims) {
            grant(entry.key);
        }
    }
    for (auto &key : table.urgentQueue) {
        grant(key);
        table.normalQueue.push_back(std::move(key));
    }
    table.urgentQueue.clear();
}

/// Switches between logged and unlogged mode.
void updateMode(ClaimTable &table, const OwnerView &view, TimePoint now, OwnerOutputs &outputs)
{
    const auto &flight = table.inFlight;
    const bool isSlow = flight && (flight->retried || (flight->sentAt && now - *flight->sentAt > table.settings.slowAppendThreshold));
    switch (table.mode) {
    case LogMode::Logged:
        if (isSlow) {
            requestUnloggedBit(table, true);
            table.mode = LogMode::SettingBit;
        }
        break;
    case LogMode::SettingBit:
        if (!isSlow) {
            requestUnloggedBit(table, false);
            table.mode = LogMode::ClearingBit;
        } else if (view.unloggedConfirmed) {
            table.mode = LogMode::Unlogged;
            outputs.events.push_back(OwnerEvent::UnloggedModeEntered);
            grantQueuedClaims(table, outputs);
        }
        break;
    case LogMode::Unlogged:
        if (!isSlow && !table.lastAppendSlow) {
            table.mode = LogMode::Draining;
        } else if (view.unloggedConfirmed) {
            // Grants the claims that arrived while the bit was not confirmed, for example during a change of witnesses.
            grantQueuedClaims(table, outputs);
        }
        break;
    case LogMode::Draining:
        if (isSlow) {
            table.mode = LogMode::Unlogged;
        } else if (table.unloggedGrants == 0) {
            requestUnloggedBit(table, false);
            table.mode = LogMode::ClearingBit;
        }
        break;
    case LogMode::ClearingBit:
        if (!view.unloggedConfirmed) {
            table.mode = LogMode::Logged;
            outputs.events.push_back(OwnerEvent::UnloggedModeLeft);
        }
        break;
    }
}

void startNextAppend(ClaimTable &table, TimePoint now)
{
    // The batch is built only when it can be sent, so that it includes claims that arrive while the rate limit delays it.
    const double elapsed = std::chrono::duration<double>(now - table.appendTokensAt).count();
    if (table.inFlight || table.appendTokens + elapsed * table.settings.appendsPerSecond < 1) {
        return;
    }
    auto batch = claims::buildBatch(table, now);
    if (!batch) {
        const bool isFlushed = table.mode == LogMode::Logged && table.unloggedGrants == 0;
        if (!table.handoverRequested || !isFlushed) {
            return;
        }
        batch = claims::makeRecord(table, RecordKind::Handover, now);
    }
    table.lastSequence = batch->sequence;
    setCheckpoint(table, now);
    table.inFlight = InFlightAppend{std::move(*batch), std::nullopt, false};
}

void fillOutputs(const ClaimTable &table, OwnerOutputs &outputs)
{
    outputs.unloggedBitRequested = table.unloggedBitRequested;
    outputs.bitRequestNumber = table.bitRequestNumber;
    outputs.readRequested = table.phase == OwnerPhase::Reading || table.phase == OwnerPhase::Fencing;
    outputs.readId = table.readId;
}

/// Applies changes of the lease and of the home domain. In a new epoch the table is always rebuilt from the log.
void updateOwnership(ClaimTable &table, const OwnerView &view, TimePoint now, OwnerOutputs &outputs)
{
    if (table.phase != OwnerPhase::NotOwner && view.epoch != table.epoch) {
        refuseQueuedClaims(table, outputs.decisions);
        outputs.events.push_back(OwnerEvent::OwnershipLost);
        resetTable(table, OwnerPhase::NotOwner, 0, now);
    }
    const bool isBackHome = table.phase == OwnerPhase::HandedOver && !table.handoverRequested;
    if (view.valid && (table.phase == OwnerPhase::NotOwner || isBackHome) && !table.handoverRequested) {
        resetTable(table, OwnerPhase::Reading, view.epoch, now);
    }
    const bool isStarting = table.phase == OwnerPhase::Reading || table.phase == OwnerPhase::Fencing;
    if (isStarting && view.valid && view.predecessorMayBeUnlogged && !table.predecessorUnlogged) {
        table.predecessorUnlogged = true;
        requestUnloggedBit(table, true);
        if (table.phase == OwnerPhase::Fencing) {
            // The fence in flight does not include the quarantine.
            resetTable(table, OwnerPhase::Reading, view.epoch, now);
        }
    }
}

} // namespace

auto tickClaims(ClaimTable &table, const OwnerView &view, uint64_t homeRevision, TimePoint now) -> OwnerOutputs
{
    OwnerOutputs outputs;
    if (table.phase != OwnerPhase::Serving && homeRevision > table.homeRevision) {
        table.homeRevision = homeRevision;
        if (table.phase == OwnerPhase::Fencing) {
            // The fence in flight names an older domain list and may be ignored by readers.
            resetTable(table, OwnerPhase::Reading, table.epoch, now);
        }
    }
    updateOwnership(table, view, now, outputs);
    if (!view.valid) {
        fillOutputs(table, outputs);
        return outputs;
    }
    if (isServing(table, view)) {
        if (table.quarantinedUntil && now >= *table.quarantinedUntil) {
            table.quarantinedUntil.reset();
            table.checkpointAt = now;
        }
        claims::runTimers(table, now, outputs.decisions);
        updateMode(table, view, now, outputs);
        startNextAppend(table, now);
    }
    sendInFlight(table, now, outputs);
    fillOutputs(table, outputs);
    return outputs;
}

auto onAppendResult(ClaimTable &table, uint64_t epoch, uint64_t sequence, AppendResult result, uint64_t offset, const OwnerView &view, TimePoint now)
    -> OwnerOutputs
{
    OwnerOutputs outputs;
    updateOwnership(table, view, now, outputs);
    if (!table.inFlight || table.inFlight->record.epoch != epoch || table.inFlight->record.sequence != sequence) {
        fillOutputs(table, outputs);
        return outputs;
    }
    auto &flight = *table.inFlight;
    if (result != AppendResult::Acknowledged) {
        flight.retried = true;
        flight.sentAt.reset();
        fillOutputs(table, outputs);
        return outputs;
    }
    if (table.phase == OwnerPhase::Fencing) {
        // The fence takes effect only when it is read back, because only the read shows which records precede it.
        fillOutputs(table, outputs);
        return outputs;
    }
    table.lastAppendSlow = flight.retried || (flight.sentAt && now - *flight.sentAt > table.settings.slowAppendThreshold);
    const ClaimsRecord record = std::move(flight.record);
    table.inFlight.reset();
    table.notBefore = std::max(table.notBefore, offset + 1);
    if (record.kind == RecordKind::Handover) {
        table.phase = OwnerPhase::HandedOver;
    }
    for (const auto &entry : record.claims) {
        const auto found = table.claims.find(entry.key);
        if (found == table.claims.end() || found->second.attempt != entry.attempt) {
            continue;
        }
        auto &claim = found->second;
        claims::clearUnlogged(table, claim);
        if (claim.state != ClaimState::Claimed || claim.granted) {
            continue;
        }
        if (view.valid) {
            claim.granted = true;
            outputs.decisions.push_back({entry.attempt, entry.key, Granted{}});
            continue;
        }
        // A successor may have appended its fence before this record, which would make the claim void.
        ++table.voidedClaims;
        outputs.decisions.push_back(
            {entry.attempt, entry.key,
             refuse(RefusalReason::ClaimUnavailable, RunState::Unknown, seconds(1), "the owner's lease was not valid when the claim was acknowledged")});
        claims::enterState(table, found->first, claim, ClaimState::Released, now);
    }
    fillOutputs(table, outputs);
    return outputs;
}

auto onLogRecords(ClaimTable &table, const LogRead &read, const OwnerView &view, TimePoint now) -> OwnerOutputs
{
    OwnerOutputs outputs;
    updateOwnership(table, view, now, outputs);
    const bool isReading = table.phase == OwnerPhase::Reading || table.phase == OwnerPhase::Fencing;
    if (!isReading || read.readId != table.readId) {
        fillOutputs(table, outputs);
        return outputs;
    }
    if (!table.readUpTo) {
        table.fold.readFrom = read.earliestOffset;
    } else if (read.earliestOffset > *table.readUpTo) {
        // The log has dropped records between two reads.
        resetTable(table, OwnerPhase::Reading, table.epoch, now);
        fillOutputs(table, outputs);
        return outputs;
    }
    table.readUpTo = read.nextOffset;
    for (const auto &record : read.records) {
        applyClaimsRecord(table.fold, record, table.settings.retention);
    }
    const bool isOwnFence = table.fold.domain == table.domain && table.fold.epoch == table.epoch && table.fold.homeRevision == table.homeRevision;
    table.notBefore = read.nextOffset;
    if (table.phase == OwnerPhase::Fencing && isOwnFence) {
        startServing(table, now, outputs);
    } else if (read.reachedEnd && table.phase == OwnerPhase::Reading && view.valid) {
        startFence(table, now);
    }
    if (view.valid) {
        sendInFlight(table, now, outputs);
    }
    fillOutputs(table, outputs);
    return outputs;
}

} // namespace snipestream
