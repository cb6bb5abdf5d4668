#include "idempotency/claim_internal.h"

#include <algorithm>

namespace snipestream
{

using claims::isServing;
using claims::refuse;

namespace
{

/// Refuses every claim that still waits for the log. Whether a later owner runs the key is not known here.
void refuseWaiting(ClaimTable &table, std::vector<DeferredClaimDecision> &decisions)
{
    for (const auto &[key, claim] : table.claims) {
        if (claim.state == ClaimState::Claimed && !claim.granted) {
            decisions.push_back(
                {claim.attempt, key,
                 refuse(RefusalReason::ClaimUnavailable, RunState::Unknown, seconds(1), "the owner lost the range before the claim was on the log")});
        }
    }
}

/// Forgets everything and starts reading the range's records again.
void restart(ClaimTable &table, OwnerPhase phase, uint64_t epoch, TimePoint now)
{
    ClaimTable fresh = makeClaimTable(table.settings, table.domain, table.range);
    fresh.phase = phase;
    fresh.epoch = epoch;
    fresh.homeRevision = table.homeRevision;
    fresh.handoverRequested = table.handoverRequested;
    fresh.readId = table.readId + 1;
    fresh.readingSince = now;
    fresh.budget = table.budgetAt == TimePoint{} ? table.settings.appendBurst : table.budget;
    fresh.budgetAt = table.budgetAt == TimePoint{} ? now : table.budgetAt;
    // Numbers go on within an epoch, so that a delayed request to the witnesses stays the older one.
    fresh.bitRequestNumber = table.bitRequestNumber;
    fresh.unloggedBitRequested = epoch == table.epoch && table.unloggedBitRequested;
    fresh.predecessorUnlogged = epoch == table.epoch && table.predecessorUnlogged;
    fresh.refusedFull = table.refusedFull;
    fresh.refusedBusy = table.refusedBusy;
    fresh.refusedOtherFingerprint = table.refusedOtherFingerprint;
    fresh.voidAppends = table.voidAppends;
    fresh.lateOutcomes = table.lateOutcomes;
    table = std::move(fresh);
}

void setBit(ClaimTable &table, bool wanted)
{
    if (table.unloggedBitRequested != wanted) {
        table.unloggedBitRequested = wanted;
        ++table.bitRequestNumber;
    }
}

auto takeBudget(ClaimTable &table, TimePoint now) -> bool
{
    const double elapsed = std::chrono::duration<double>(now - table.budgetAt).count();
    table.budget = std::min(table.settings.appendBurst, table.budget + elapsed * table.settings.appendsPerSecond);
    table.budgetAt = now;
    if (table.budget < 1) {
        return false;
    }
    table.budget -= 1;
    return true;
}

/// Sends the record in flight, for the first time or again, if the budget allows it.
void sendInFlight(ClaimTable &table, TimePoint now, OwnerOutputs &outputs)
{
    if (!table.inFlight || table.inFlight->sentAt || !takeBudget(table, now)) {
        return;
    }
    table.inFlight->sentAt = now;
    outputs.append = table.inFlight->record;
}

/// Appends the fence once the former home domain has handed the range over or its time is up.
void startFence(ClaimTable &table, TimePoint now)
{
    const auto &fold = table.fold;
    const bool isForeign = !fold.domain.empty() && fold.domain != table.domain && !fold.handedOver;
    if (isForeign && now < table.readingSince + table.settings.handoverWait) {
        return;
    }
    table.lastSequence = fold.lastSequence;
    ClaimsRecord fence = claims::makeRecord(table, RecordKind::Fence, now);
    fence.liveFrom = fold.domain.empty() ? fence.sequence : fold.liveFrom;
    fence.quarantineLeft = fold.quarantineLeft;
    const bool isHole = claims::needsRenewal(table.settings) && mayMissClaims(fold);
    // A predecessor that handed the range over had all its claims on the log and granted none after that record, so
    // what the witnesses still know, or no longer know, of its bit does not matter.
    if ((table.predecessorUnlogged && !fold.handedOver) || isHole) {
        fence.quarantineLeft = table.settings.retention;
    }
    table.inFlight = InFlightAppend{std::move(fence), std::nullopt, false};
    table.phase = OwnerPhase::Fencing;
}

/// Sets when a record is due even if no claim changes: to shorten a quarantine that a successor would find on the log,
/// and to leave it records close enough to each other to prove that none between them is missing.
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

/// Takes the folded claims over and starts to grant.
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
    for (auto &[folding, folded] : table.fold.claims) {
        auto [key, claim] = claims::addClaim(table, folding);
        claim.fingerprint = folded.entry.fingerprint;
        claim.attempt = folded.entry.attempt;
        claim.attemptNumber = folded.entry.attemptNumber;
        // The previous owner granted the claim or may have; only its entry node can tell how it ended.
        claim.state = folded.entry.state == ClaimState::Claimed ? ClaimState::Unknown : folded.entry.state;
        claim.granted = true;
        claim.maybeOnLog = true;
        claim.since = now - folded.entry.age;
        // The age of the entry on the log is not known, so it is renewed at once if the log may drop it.
        claim.loggedAt = now - table.settings.logRetention / 2;
        claims::keepResponse(table, claim, folded.entry.response);
        claims::moveToSequence(table, claim, folded.sequence);
        claims::schedule(table, key, claim);
    }
    table.fold.claims.clear();
    // The quarantine is on the log now, so the witnesses need not remember it.
    if (table.unloggedBitRequested) {
        setBit(table, false);
        table.mode = LogMode::Clearing;
    }
    outputs.events.push_back(OwnerEvent::ServingStarted);
}

/// Grants the claims that wait for the log: they stand in the urgent queue or in the record in flight.
void grantWaiting(ClaimTable &table, OwnerOutputs &outputs)
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

/// Moves between logged and unlogged mode.
void updateMode(ClaimTable &table, const OwnerView &view, TimePoint now, OwnerOutputs &outputs)
{
    const auto &flight = table.inFlight;
    const bool isSlow = flight && (flight->repeated || (flight->sentAt && now - *flight->sentAt > table.settings.slowAppend));
    switch (table.mode) {
    case LogMode::Logged:
        if (isSlow) {
            setBit(table, true);
            table.mode = LogMode::Entering;
        }
        break;
    case LogMode::Entering:
        if (!isSlow) {
            setBit(table, false);
            table.mode = LogMode::Clearing;
        } else if (view.unloggedConfirmed) {
            table.mode = LogMode::Unlogged;
            outputs.events.push_back(OwnerEvent::UnloggedModeEntered);
            grantWaiting(table, outputs);
        }
        break;
    case LogMode::Unlogged:
        if (!isSlow && !table.lastAppendSlow) {
            table.mode = LogMode::Draining;
        } else if (view.unloggedConfirmed) {
            // Claims that came while the confirmation was missing, such as during a change of witnesses.
            grantWaiting(table, outputs);
        }
        break;
    case LogMode::Draining:
        if (isSlow) {
            table.mode = LogMode::Unlogged;
        } else if (table.unloggedGrants == 0) {
            setBit(table, false);
            table.mode = LogMode::Clearing;
        }
        break;
    case LogMode::Clearing:
        if (!view.unloggedConfirmed) {
            table.mode = LogMode::Logged;
            outputs.events.push_back(OwnerEvent::UnloggedModeLeft);
        }
        break;
    }
}

void nextRecord(ClaimTable &table, TimePoint now)
{
    // The batch is cut when it can be sent, so that claims which arrive while the budget is used up join it.
    const double elapsed = std::chrono::duration<double>(now - table.budgetAt).count();
    if (table.inFlight || table.budget + elapsed * table.settings.appendsPerSecond < 1) {
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

/// Follows the lease: a new epoch starts from the log, whatever this node knew before.
void followLease(ClaimTable &table, const OwnerView &view, TimePoint now, OwnerOutputs &outputs)
{
    if (table.phase != OwnerPhase::NotOwner && view.epoch != table.epoch) {
        refuseWaiting(table, outputs.decisions);
        outputs.events.push_back(OwnerEvent::OwnershipLost);
        restart(table, OwnerPhase::NotOwner, 0, now);
    }
    const bool isBackHome = table.phase == OwnerPhase::HandedOver && !table.handoverRequested;
    if (view.valid && (table.phase == OwnerPhase::NotOwner || isBackHome) && !table.handoverRequested) {
        restart(table, OwnerPhase::Reading, view.epoch, now);
    }
    const bool isStarting = table.phase == OwnerPhase::Reading || table.phase == OwnerPhase::Fencing;
    if (isStarting && view.valid && view.predecessorMayBeUnlogged && !table.predecessorUnlogged) {
        table.predecessorUnlogged = true;
        setBit(table, true);
        if (table.phase == OwnerPhase::Fencing) {
            // The fence under way does not carry the quarantine.
            restart(table, OwnerPhase::Reading, view.epoch, now);
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
            // The fence under way names an older domain list and may be ignored.
            restart(table, OwnerPhase::Reading, table.epoch, now);
        }
    }
    followLease(table, view, now, outputs);
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
        nextRecord(table, now);
    }
    sendInFlight(table, now, outputs);
    fillOutputs(table, outputs);
    return outputs;
}

auto onAppendResult(ClaimTable &table, uint64_t epoch, uint64_t sequence, AppendResult result, uint64_t offset, const OwnerView &view, TimePoint now)
    -> OwnerOutputs
{
    OwnerOutputs outputs;
    followLease(table, view, now, outputs);
    if (!table.inFlight || table.inFlight->record.epoch != epoch || table.inFlight->record.sequence != sequence) {
        fillOutputs(table, outputs);
        return outputs;
    }
    auto &flight = *table.inFlight;
    if (result != AppendResult::Acknowledged) {
        flight.repeated = true;
        flight.sentAt.reset();
        fillOutputs(table, outputs);
        return outputs;
    }
    if (table.phase == OwnerPhase::Fencing) {
        // The fence counts when it is read back, because only the read shows what stands before it.
        fillOutputs(table, outputs);
        return outputs;
    }
    table.lastAppendSlow = flight.repeated || (flight.sentAt && now - *flight.sentAt > table.settings.slowAppend);
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
        // A successor may have appended its fence before this record, which makes the claim void.
        ++table.voidAppends;
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
    followLease(table, view, now, outputs);
    const bool isReading = table.phase == OwnerPhase::Reading || table.phase == OwnerPhase::Fencing;
    if (!isReading || read.readId != table.readId) {
        fillOutputs(table, outputs);
        return outputs;
    }
    if (!table.readUpTo) {
        table.fold.readFrom = read.earliestOffset;
    } else if (read.earliestOffset > *table.readUpTo) {
        // The log dropped records between two reads.
        restart(table, OwnerPhase::Reading, table.epoch, now);
        fillOutputs(table, outputs);
        return outputs;
    }
    table.readUpTo = read.nextOffset;
    for (const auto &record : read.records) {
        applyClaimsRecord(table.fold, record, table.settings.retention);
    }
    const bool isOwn = table.fold.domain == table.domain && table.fold.epoch == table.epoch && table.fold.homeRevision == table.homeRevision;
    table.notBefore = read.nextOffset;
    if (table.phase == OwnerPhase::Fencing && isOwn) {
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
