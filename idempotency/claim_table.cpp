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

constexpr Duration kOwnerRetry = seconds(1);
constexpr Duration kRunningRetry = seconds(1);
constexpr Duration kFullRetry = seconds(5);

auto isQuarantined(const ClaimTable &table, TimePoint now) -> bool
{
    return table.quarantinedUntil && now < *table.quarantinedUntil;
}

auto alreadyRun(const Claim &claim) -> ClaimDecision
{
    if (!claim.response.empty()) {
        return Replay{unpackResponse(claim.response)};
    }
    const bool isDone = claim.state == ClaimState::Done;
    return refuse(RefusalReason::AlreadyRun, RunState::Unknown, {},
                  isDone ? "the request has run and its response was not recorded" : "an earlier attempt may have run");
}

/// True if neither this attempt nor an earlier one has run or can still run: lower numbers than that of a released
/// claim are refused, and an attempt with the number 1 has no earlier ones.
auto isProvenFree(const Claim *claim, uint32_t attemptNumber) -> bool
{
    if (claim == nullptr) {
        return attemptNumber <= 1;
    }
    return claim->state == ClaimState::Released && attemptNumber <= claim->attemptNumber + 1;
}

auto freeRunState(const Claim *claim, uint32_t attemptNumber) -> RunState
{
    return isProvenFree(claim, attemptNumber) ? RunState::NotRun : RunState::Unknown;
}

auto movingRefusal() -> ClaimDecision
{
    return refuse(RefusalReason::ClaimUnavailable, RunState::Unknown, kOwnerRetry, "the range is moving to another failure domain");
}

/// Answers a repeated begin of the attempt that holds the claim.
auto repeatedBegin(const Claim &claim) -> ClaimDecision
{
    switch (claim.state) {
    case ClaimState::Claimed:
        return claim.granted ? ClaimDecision(Granted{}) : ClaimDecision(Wait{});
    case ClaimState::Released:
        return refuse(RefusalReason::ClaimUnavailable, RunState::NotRun, kOwnerRetry, "this attempt was given up before it ran");
    case ClaimState::Done:
    case ClaimState::Unknown:
        break;
    }
    return alreadyRun(claim);
}

auto quarantineRefusal() -> ClaimDecision
{
    return refuse(RefusalReason::ClaimUnavailable, RunState::Unknown, {}, "the previous owner of the range may have run requests that are not on the log");
}

/// Makes a new claim, or takes a released one again.
auto takeClaim(ClaimTable &table, const BeginRequest &request, const OwnerView &view, TimePoint now) -> ClaimDecision
{
    auto [key, claim] = claims::addClaim(table, request.key);
    claim.fingerprint = request.fingerprint;
    claim.attempt = request.attempt;
    claim.attemptNumber = request.attemptNumber;
    claim.state = ClaimState::Claimed;
    claim.granted = false;
    claim.since = now;
    claim.deadline = now + request.timeLeft;
    claims::keepResponse(table, claim, std::nullopt);
    claims::schedule(table, key, claim);
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
        return refuse(RefusalReason::ClaimUnavailable, RunState::Unknown, kOwnerRetry,
                      "this node is not the valid owner of range " + std::to_string(table.range));
    }
    const auto found = table.claims.find(request.key);
    Claim *const claim = found == table.claims.end() ? nullptr : &found->second;
    const bool isFree = claim == nullptr || claim->state == ClaimState::Released;
    if (isFree && isQuarantined(table, now)) {
        // The previous owner may have granted the key, also a released one, without writing it to the log.
        return quarantineRefusal();
    }
    if (claim != nullptr) {
        if (claim->state == ClaimState::Claimed && claim->granted && now >= claim->deadline) {
            enterState(table, found->first, *claim, ClaimState::Unknown, now);
        }
        if (claim->attempt == request.attempt) {
            return repeatedBegin(*claim);
        }
        if (claim->fingerprint != request.fingerprint) {
            ++table.refusedOtherFingerprint;
            return refuse(RefusalReason::BadRequest, freeRunState(claim, request.attemptNumber), {},
                          "the idempotency key was used for a request with another method, path or body length");
        }
        if (claim->state == ClaimState::Claimed) {
            return refuse(RefusalReason::InProgress, RunState::Unknown, kRunningRetry, "another attempt of this request is running");
        }
        if (!isFree) {
            return alreadyRun(*claim);
        }
        if (request.attemptNumber < claim->attemptNumber) {
            return refuse(RefusalReason::ClaimUnavailable, RunState::Unknown, {}, "a later attempt of this request was seen already");
        }
    }
    if (table.handoverRequested) {
        return movingRefusal();
    }
    if (request.timeLeft <= Duration::zero()) {
        return refuse(RefusalReason::DeadlinePassed, freeRunState(claim, request.attemptNumber), {}, "no time is left for the request");
    }
    const bool isFull = table.claims.size() >= table.settings.maxClaims || table.claimBytes >= table.settings.maxClaimBytes;
    if (claim == nullptr && isFull) {
        // Forgetting an old claim to make room could let its request run twice.
        ++table.refusedFull;
        return refuse(RefusalReason::ClaimUnavailable, freeRunState(claim, request.attemptNumber), kFullRetry,
                      "the owner has no memory for more than its " + std::to_string(table.claims.size()) + " claims");
    }
    if (table.urgentQueue.size() >= table.settings.maxWaiting) {
        ++table.refusedBusy;
        return refuse(RefusalReason::ClaimUnavailable, freeRunState(claim, request.attemptNumber), kOwnerRetry,
                      std::to_string(table.urgentQueue.size()) + " claims wait for the log");
    }
    return takeClaim(table, request, view, now);
}

auto endClaim(ClaimTable &table, const ClaimKey &key, const RequestId &attempt, const Outcome &outcome, const OwnerView &view, TimePoint now) -> bool
{
    if (!isServing(table, view)) {
        return false;
    }
    const auto found = table.claims.find(key);
    if (found == table.claims.end() || found->second.attempt != attempt) {
        ++table.lateOutcomes;
        return true;
    }
    auto &claim = found->second;
    if (claim.state == ClaimState::Done || claim.state == ClaimState::Released) {
        return true;
    }
    switch (outcome.kind) {
    case OutcomeKind::Done:
        claim.granted = true;
        claims::keepResponse(table, claim, outcome.response);
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
    return freeRunState(found == table.claims.end() ? nullptr : &found->second, attemptNumber);
}

void setHome(ClaimTable &table, bool isHome)
{
    table.handoverRequested = !isHome;
}

} // namespace snipestream
