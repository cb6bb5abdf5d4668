#include "idempotency/claim_table.h"

#include "idempotency/claim_internal.h"
#include "idempotency/packed_response.h"

namespace snipestream
{

using claims::enterState;
using claims::isServing;
using claims::refuse;

namespace
{

constexpr Duration kUnavailableRetryAfter = seconds(1);
constexpr Duration kInProgressRetryAfter = seconds(1);
constexpr Duration kTableFullRetryAfter = seconds(5);

auto isQuarantined(const ClaimTable &table, TimePoint now) -> bool
{
    return table.quarantinedUntil && now < *table.quarantinedUntil;
}

auto replayOrRefuse(const Claim &claim) -> ClaimDecision
{
    if (!claim.response.empty()) {
        return Replay{unpackResponse(claim.response)};
    }
    const bool isDone = claim.state == ClaimState::Done;
    return refuse(RefusalReason::AlreadyRun, RunState::Unknown, {},
                  isDone ? "the request has run and its response was not recorded" : "an earlier attempt may have run");
}

/// True if neither this attempt nor an earlier one has run or can still run. Attempts with a lower number than that of a
/// released claim are refused, and attempt 1 has no earlier ones.
auto isProvenNotRun(const Claim *claim, uint32_t attemptNumber) -> bool
{
    if (claim == nullptr) {
        return attemptNumber <= 1;
    }
    return claim->state == ClaimState::Released && attemptNumber <= claim->attemptNumber + 1;
}

auto keyRunState(const Claim *claim, uint32_t attemptNumber) -> RunState
{
    return isProvenNotRun(claim, attemptNumber) ? RunState::NotRun : RunState::Unknown;
}

auto handoverRefusal() -> ClaimDecision
{
    return refuse(RefusalReason::ClaimUnavailable, RunState::Unknown, kUnavailableRetryAfter, "the range is moving to another failure domain");
}

/// Returns the decision for another beginClaim() of the attempt that holds the claim.
auto decisionForHolder(const Claim &claim) -> ClaimDecision
{
    switch (claim.state) {
    case ClaimState::Claimed:
        return claim.granted ? ClaimDecision(Granted{}) : ClaimDecision(Wait{});
    case ClaimState::Released:
        return refuse(RefusalReason::ClaimUnavailable, RunState::NotRun, kUnavailableRetryAfter, "this attempt was given up before it ran");
    case ClaimState::Done:
    case ClaimState::Unknown:
        break;
    }
    return replayOrRefuse(claim);
}

auto quarantineRefusal() -> ClaimDecision
{
    return refuse(RefusalReason::ClaimUnavailable, RunState::Unknown, {}, "the previous owner of the range may have run requests that are not on the log");
}

/// Claims a new or released key. In unlogged mode the claim is granted at once, otherwise when it is on the log.
auto startClaim(ClaimTable &table, const BeginRequest &request, const OwnerView &view, TimePoint now) -> ClaimDecision
{
    auto [key, claim] = claims::findOrAddClaim(table, request.key);
    claim.fingerprint = request.fingerprint;
    claim.attempt = request.attempt;
    claim.attemptNumber = request.attemptNumber;
    claim.state = ClaimState::Claimed;
    claim.granted = false;
    claim.since = now;
    claim.deadline = now + request.timeLeft;
    claims::recordResponse(table, claim, std::nullopt);
    claims::scheduleTimer(table, key, claim);
    const bool isUnlogged = table.mode == LogMode::Unlogged && view.unloggedConfirmed;
    claims::markDirty(table, key, claim, !isUnlogged);
    if (!isUnlogged) {
        return Wait{};
    }
    claims::grantUnlogged(table, claim);
    return Granted{};
}

} // namespace

auto makeClaimTable(const ClaimSettings &settings, DomainName domain, uint32_t range) -> ClaimTable
{
    ClaimTable table;
    table.settings = settings;
    table.domain = std::move(domain);
    table.range = range;
    table.fold.range = range;
    return table;
}

auto beginClaim(ClaimTable &table, const BeginRequest &request, const OwnerView &view, TimePoint now) -> ClaimDecision
{
    if (request.key.idempotencyKey.empty() || request.key.idempotencyKey.size() > kMaxIdempotencyKeyBytes) {
        return refuse(RefusalReason::BadRequest, RunState::NotRun, {},
                      "the idempotency key has " + std::to_string(request.key.idempotencyKey.size()) + " bytes; 1 to 255 are allowed");
    }
    if (!isServing(table, view)) {
        return refuse(RefusalReason::ClaimUnavailable, RunState::Unknown, kUnavailableRetryAfter,
                      "this node is not the valid owner of range " + std::to_string(table.range));
    }
    const auto found = table.claims.find(request.key);
    Claim *const claim = found == table.claims.end() ? nullptr : &found->second;
    const bool isClaimable = claim == nullptr || claim->state == ClaimState::Released;
    if (isClaimable && isQuarantined(table, now)) {
        // The previous owner may have granted a new or released key without writing the claim to the log.
        return quarantineRefusal();
    }
    if (claim != nullptr) {
        if (claim->state == ClaimState::Claimed && claim->granted && now >= claim->deadline) {
            enterState(table, found->first, *claim, ClaimState::Unknown, now);
        }
        if (claim->attempt == request.attempt) {
            return decisionForHolder(*claim);
        }
        if (claim->fingerprint != request.fingerprint) {
            ++table.refusedFingerprintMismatch;
            return refuse(RefusalReason::BadRequest, keyRunState(claim, request.attemptNumber), {},
                          "the idempotency key was used for a request with another method, path or body length");
        }
        if (claim->state == ClaimState::Claimed) {
            return refuse(RefusalReason::InProgress, RunState::Unknown, kInProgressRetryAfter, "another attempt of this request is running");
        }
        if (!isClaimable) {
            return replayOrRefuse(*claim);
        }
        if (request.attemptNumber < claim->attemptNumber) {
            return refuse(RefusalReason::ClaimUnavailable, RunState::Unknown, {}, "a later attempt of this request was seen already");
        }
    }
    if (table.handoverRequested) {
        return handoverRefusal();
    }
    if (request.timeLeft <= Duration::zero()) {
        return refuse(RefusalReason::DeadlinePassed, keyRunState(claim, request.attemptNumber), {}, "no time is left for the request");
    }
    const bool isFull = table.claims.size() >= table.settings.maxClaims || table.claimBytes >= table.settings.maxClaimBytes;
    if (claim == nullptr && isFull) {
        // Dropping an old claim to free memory could let its request run twice.
        ++table.refusedTableFull;
        return refuse(RefusalReason::ClaimUnavailable, keyRunState(claim, request.attemptNumber), kTableFullRetryAfter,
                      "the owner has no memory for more than its " + std::to_string(table.claims.size()) + " claims");
    }
    if (table.urgentQueue.size() >= table.settings.maxQueuedClaims) {
        ++table.refusedQueueFull;
        return refuse(RefusalReason::ClaimUnavailable, keyRunState(claim, request.attemptNumber), kUnavailableRetryAfter,
                      std::to_string(table.urgentQueue.size()) + " claims wait for the log");
    }
    return startClaim(table, request, view, now);
}

auto endClaim(ClaimTable &table, const ClaimKey &key, const RequestId &attempt, const Outcome &outcome, const OwnerView &view, TimePoint now) -> bool
{
    if (!isServing(table, view)) {
        return false;
    }
    const auto found = table.claims.find(key);
    if (found == table.claims.end() || found->second.attempt != attempt) {
        ++table.droppedOutcomes;
        return true;
    }
    auto &claim = found->second;
    if (claim.state == ClaimState::Done || claim.state == ClaimState::Released) {
        return true;
    }
    switch (outcome.kind) {
    case OutcomeKind::Done:
        claim.granted = true;
        claims::recordResponse(table, claim, outcome.response);
        enterState(table, found->first, claim, ClaimState::Done, now);
        break;
    case OutcomeKind::NotRun:
        enterState(table, found->first, claim, ClaimState::Released, now);
        break;
    case OutcomeKind::Unknown:
        if (claim.state != ClaimState::Unknown) {
            enterState(table, found->first, claim, ClaimState::Unknown, now);
        }
        break;
    }
    return true;
}

auto peekClaim(const ClaimTable &table, const ClaimKey &key, uint32_t attemptNumber, const OwnerView &view, TimePoint now) -> RunState
{
    if (!isServing(table, view) || isQuarantined(table, now)) {
        return RunState::Unknown;
    }
    const auto found = table.claims.find(key);
    return keyRunState(found == table.claims.end() ? nullptr : &found->second, attemptNumber);
}

void setHome(ClaimTable &table, bool isHome)
{
    table.handoverRequested = !isHome;
}

} // namespace snipestream
