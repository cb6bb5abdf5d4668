#include "idempotency/claim_internal.h"

#include "idempotency/packed_response.h"

#include <algorithm>

namespace snipestream::claims
{

namespace
{

/// Memory of a claim without its key and response; bench/claims_bench measures the memory per claim.
constexpr size_t kClaimOverheadBytes = 400;

auto keyBytes(const ClaimKey &key) -> size_t
{
    return key.team.value.size() + key.idempotencyKey.size();
}

} // namespace

auto isServing(const ClaimTable &table, const OwnerView &view) -> bool
{
    return view.valid && view.epoch == table.epoch && table.phase == OwnerPhase::Serving;
}

auto needsRenewal(const ClaimSettings &settings) -> bool
{
    return settings.logRetention < settings.retention;
}

auto refuse(RefusalReason reason, RunState run, Duration retryAfter, std::string detail) -> Refused
{
    return Refused{Refusal{reason, run, retryAfter, std::move(detail)}};
}

void markDirty(ClaimTable &table, const ClaimKey &key, Claim &claim, bool isUrgent)
{
    if (claim.dirty && !isUrgent) {
        return;
    }
    claim.dirty = true;
    (isUrgent ? table.urgentQueue : table.normalQueue).push_back(key);
}

void enterState(ClaimTable &table, const ClaimKey &key, Claim &claim, ClaimState state, TimePoint now)
{
    claim.state = state;
    claim.since = now;
    if (state == ClaimState::Released && !claim.maybeOnLog) {
        claim.dirty = false;
        clearUnlogged(table, claim);
    } else {
        markDirty(table, key, claim, false);
    }
    scheduleTimer(table, key, claim);
}

void grantUnlogged(ClaimTable &table, Claim &claim)
{
    claim.granted = true;
    if (!claim.grantedUnlogged) {
        claim.grantedUnlogged = true;
        ++table.unloggedGrants;
    }
}

void clearUnlogged(ClaimTable &table, Claim &claim)
{
    if (claim.grantedUnlogged) {
        claim.grantedUnlogged = false;
        --table.unloggedGrants;
    }
}

void moveToSequence(ClaimTable &table, Claim &claim, uint64_t sequence)
{
    if (claim.sequence != 0) {
        const auto old = table.liveClaimsBySequence.find(claim.sequence);
        if (old != table.liveClaimsBySequence.end() && --old->second == 0) {
            table.liveClaimsBySequence.erase(old);
        }
    }
    claim.sequence = sequence;
    if (sequence != 0) {
        ++table.liveClaimsBySequence[sequence];
    }
}

void scheduleTimer(ClaimTable &table, const ClaimKey &key, Claim &claim)
{
    const auto &settings = table.settings;
    TimePoint due = claim.since + (claim.state == ClaimState::Released ? settings.releasedRetention : settings.retention);
    if (claim.state == ClaimState::Claimed) {
        due = claim.deadline;
    }
    if (needsRenewal(settings) && claim.sequence != 0) {
        due = std::min(due, claim.loggedAt + settings.logRetention / 2);
    }
    if (due != claim.timerAt) {
        table.timers.erase({claim.timerAt, &key});
        claim.timerAt = due;
        table.timers.emplace(due, &key);
    }
}

auto findOrAddClaim(ClaimTable &table, const ClaimKey &key) -> std::pair<const ClaimKey &, Claim &>
{
    const auto [added, isNew] = table.claims.try_emplace(key);
    if (isNew) {
        table.claimBytes += kClaimOverheadBytes + keyBytes(key);
    }
    return {added->first, added->second};
}

void recordResponse(ClaimTable &table, Claim &claim, const std::optional<RecordedResponse> &response)
{
    table.claimBytes -= claim.response.size();
    claim.response.clear();
    if (response && table.claimBytes < table.settings.maxClaimBytes) {
        claim.response = packResponse(*response);
    }
    table.claimBytes += claim.response.size();
}

void eraseClaim(ClaimTable &table, const ClaimKey &key)
{
    const auto found = table.claims.find(key);
    if (found == table.claims.end()) {
        return;
    }
    clearUnlogged(table, found->second);
    moveToSequence(table, found->second, 0);
    table.timers.erase({found->second.timerAt, &found->first});
    table.claimBytes -= kClaimOverheadBytes + keyBytes(key) + found->second.response.size();
    table.claims.erase(found);
}

namespace
{

/// Handles the expired timer of one claim. Returns false if the claim is to be dropped.
auto runClaimTimer(ClaimTable &table, const ClaimKey &key, Claim &claim, TimePoint now, std::vector<DeferredClaimDecision> &decisions) -> bool
{
    const auto &settings = table.settings;
    if (claim.state == ClaimState::Claimed && now >= claim.deadline) {
        if (claim.granted) {
            // The entry node may have crashed while the request was running.
            enterState(table, key, claim, ClaimState::Unknown, now);
        } else {
            decisions.push_back(
                {claim.attempt, key, refuse(RefusalReason::DeadlinePassed, RunState::NotRun, {}, "the claim was not on the log before the deadline")});
            enterState(table, key, claim, ClaimState::Released, now);
        }
    }
    if (claim.state == ClaimState::Released && now >= claim.since + settings.releasedRetention && !claim.dirty) {
        return false;
    }
    if (claim.state != ClaimState::Claimed && now >= claim.since + settings.retention) {
        return false;
    }
    if (needsRenewal(settings) && claim.sequence != 0 && now >= claim.loggedAt + settings.logRetention / 2) {
        claim.loggedAt = now;
        markDirty(table, key, claim, false);
    }
    scheduleTimer(table, key, claim);
    if (claim.timerAt <= now) {
        // The retention has ended, but the release is still queued for the log; check again later.
        table.timers.erase({claim.timerAt, &key});
        claim.timerAt = now + seconds(1);
        table.timers.emplace(claim.timerAt, &key);
    }
    return true;
}

/// Moves claims from the queue into the record until `bytes`, the size of the record, would exceed `limit` or the record
/// has the maximum number of claims.
void fillBatch(ClaimTable &table, std::deque<ClaimKey> &queue, ClaimsRecord &record, size_t &bytes, size_t limit, TimePoint now)
{
    while (!queue.empty() && record.claims.size() < table.settings.maxBatchClaims) {
        const auto found = table.claims.find(queue.front());
        if (found == table.claims.end() || !found->second.dirty) {
            queue.pop_front();
            continue;
        }
        auto &claim = found->second;
        ClaimEntry entry{found->first, claim.fingerprint, claim.attempt, claim.attemptNumber, claim.state, now - claim.since, std::nullopt};
        if (!claim.response.empty()) {
            entry.response = unpackResponse(claim.response);
        }
        const size_t size = maxEntryBytes(entry);
        if (!record.claims.empty() && bytes + size > limit) {
            return;
        }
        bytes += size;
        claim.dirty = false;
        claim.maybeOnLog = true;
        claim.loggedAt = now;
        moveToSequence(table, claim, record.sequence);
        scheduleTimer(table, found->first, claim);
        record.claims.push_back(std::move(entry));
        queue.pop_front();
    }
}

} // namespace

void runTimers(ClaimTable &table, TimePoint now, std::vector<DeferredClaimDecision> &decisions)
{
    while (!table.timers.empty() && table.timers.begin()->first <= now) {
        const ClaimKey &key = *table.timers.begin()->second;
        if (!runClaimTimer(table, key, table.claims.at(key), now, decisions)) {
            eraseClaim(table, key);
        }
    }
}

auto makeRecord(const ClaimTable &table, RecordKind kind, TimePoint now) -> ClaimsRecord
{
    ClaimsRecord record;
    record.kind = kind;
    record.domain = table.domain;
    record.range = table.range;
    record.epoch = table.epoch;
    record.sequence = table.lastSequence + 1;
    record.notBefore = table.notBefore;
    record.homeRevision = table.homeRevision;
    record.liveFrom = table.liveClaimsBySequence.empty() ? record.sequence : table.liveClaimsBySequence.begin()->first;
    if (table.quarantinedUntil && *table.quarantinedUntil > now) {
        record.quarantineLeft = *table.quarantinedUntil - now;
    }
    return record;
}

auto buildBatch(ClaimTable &table, TimePoint now) -> std::optional<ClaimsRecord>
{
    ClaimsRecord record = makeRecord(table, RecordKind::Claims, now);
    size_t bytes = 0;
    // A quarter of each batch is left to the normal queue, so that a backlog of outcomes makes progress while new claims
    // keep arriving.
    const size_t limit = table.settings.maxBatchBytes;
    fillBatch(table, table.urgentQueue, record, bytes, table.normalQueue.empty() ? limit : limit / 4 * 3, now);
    fillBatch(table, table.normalQueue, record, bytes, limit, now);
    const bool isProbe = table.mode == LogMode::Unlogged;
    if (record.claims.empty() && !isProbe && now < table.checkpointAt) {
        return std::nullopt;
    }
    record.liveFrom = table.liveClaimsBySequence.empty() ? record.sequence : table.liveClaimsBySequence.begin()->first;
    return record;
}

} // namespace snipestream::claims
