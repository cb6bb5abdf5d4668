#include "node/claim_service.h"

#include "core/events.h"
#include "lease/holder.h"
#include "net/await.h"
#include "node/claim_messages.h"
#include "node/config_service.h"
#include "node/lease_service.h"
#include "node/node_state.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

namespace snipestream
{

namespace
{

constexpr const char *kBeginMethod = "claim.begin";
constexpr const char *kEndMethod = "claim.end";
constexpr const char *kPeekMethod = "claim.peek";

constexpr Duration kTick = milliseconds(20);
constexpr Duration kPeekTimeout = milliseconds(200);
constexpr Duration kReportFor = std::chrono::minutes(2);
constexpr Duration kReportPause = milliseconds(200);
/// How long a new owner waits for the witnesses to say whether its predecessor kept claims in memory only.
constexpr Duration kPriorWait = seconds(3);
/// Records of one read. Records hold up to 128 KiB, and a whole page is in memory at once.
constexpr size_t kPageRecords = 20;
/// How long a begin is repeated while its range changes hands. A planned hand-over takes about half a second, and up to
/// three seconds if witnesses have just been restarted.
constexpr Duration kHandOverWait = seconds(4);
constexpr Duration kHandOverPause = milliseconds(50);
/// Begins that are repeated at once; each keeps a fiber, and a node has to stay within 32 MB.
constexpr size_t kMaxHandOverWaiters = 256;

auto leaseKeyOf(const NodeState &state, uint32_t range) -> LeaseKey
{
    return LeaseKey{state.settings.domain, range};
}

auto claimSettings(const NodeState &state) -> ClaimSettings
{
    ClaimSettings settings;
    settings.logRetention = state.settings.retention.age;
    return settings;
}

/// Returns what the lease says about this node's ownership of a range at this moment.
auto ownerView(const NodeState &state, const OwnedRange &range, TimePoint now) -> OwnerView
{
    const LeaseKey key = leaseKeyOf(state, range.table.range);
    const LeaseHolder &holder = state.leaseNode.holder;
    const HeldLease *const held = findHeldLease(holder, key);
    OwnerView view;
    if (held == nullptr || !isLeaseValid(holder, key, now)) {
        return view;
    }
    const UnloggedBit prior = priorUnlogged(holder, state.leaseNode.params, key, now);
    const bool mayWait = held->validFrom && now - *held->validFrom < kPriorWait;
    view.valid = prior != UnloggedBit::Unknown || !mayWait;
    view.epoch = held->epoch;
    view.predecessorMayBeUnlogged = prior != UnloggedBit::Clear;
    const bool passedOn = range.bitRequestPassed == range.table.bitRequestNumber;
    const bool stored = isUnloggedStored(holder, key);
    // A bit that is being cleared counts as set until a majority has cleared it.
    view.unloggedConfirmed = held->unlogged ? stored && passedOn : held->unloggedNumber > 0 && !stored;
    return view;
}

void logOwnerEvent(uint32_t range, OwnerEvent event)
{
    const std::string number = std::to_string(range);
    switch (event) {
    case OwnerEvent::UnloggedModeEntered:
        logEvent(EventId::UnloggedModeEntered, {{"range", number}});
        break;
    case OwnerEvent::UnloggedModeLeft:
        logEvent(EventId::UnloggedModeLeft, {{"range", number}});
        break;
    case OwnerEvent::RangeQuarantined:
        logEvent(EventId::RangeQuarantined, {{"range", number}});
        break;
    case OwnerEvent::ServingStarted:
        logEvent(EventId::ClaimRangeServing, {{"range", number}});
        break;
    case OwnerEvent::OwnershipLost:
        logEvent(EventId::ClaimRangeLost, {{"range", number}});
        break;
    }
}

void applyOutputs(NodeState &state, uint32_t number, const OwnerOutputs &outputs);

/// Appends a record of an owned range and reports the result to its table.
void appendRecord(NodeState &state, uint32_t number, const ClaimsRecord &record)
{
    const auto appended = state.log.append(claimsStream(number), toJson(record));
    const auto range = state.claimOwner.ranges.find(number);
    if (range == state.claimOwner.ranges.end()) {
        return;
    }
    AppendResult result = AppendResult::Acknowledged;
    const uint64_t offset = appended ? appended.value() : 0;
    if (!appended) {
        result = appended.error().code == ErrorCode::Unavailable ? AppendResult::Failed : AppendResult::Lost;
    }
    const TimePoint now = BootClock::now();
    const OwnerView view = ownerView(state, range->second, now);
    applyOutputs(state, number, onAppendResult(range->second.table, record.epoch, record.sequence, result, offset, view, now));
}

/// Reads the records of a range from the earliest one to the end of its stream, for one reading pass.
void readRange(NodeState &state, uint32_t number, uint64_t pass)
{
    uint64_t offset = 0;
    while (!state.ending) {
        const auto page = state.log.read(claimsStream(number), offset, kPageRecords);
        const auto range = state.claimOwner.ranges.find(number);
        if (range == state.claimOwner.ranges.end() || range->second.readingPass != pass) {
            return;
        }
        if (!page) {
            if (const auto earliest = earliestOfExpired(page.error())) {
                offset = *earliest;
                continue;
            }
            state.runtime.sleepFor(kReportPause);
            continue;
        }
        LogRead read;
        read.readId = pass;
        read.earliestOffset = page.value().earliest;
        for (const auto &record : page.value().records) {
            offset = record.offset + 1;
            if (auto parsed = claimsRecordFromJson(record.payload)) {
                read.records.push_back(std::move(parsed).value());
            }
        }
        read.nextOffset = offset;
        read.reachedEnd = offset >= page.value().head;
        const bool reachedEnd = read.reachedEnd;
        const TimePoint now = BootClock::now();
        const OwnerView view = ownerView(state, range->second, now);
        applyOutputs(state, number, onLogRecords(range->second.table, read, view, now));
        if (!reachedEnd) {
            continue;
        }
        if (range->second.readingPass != pass || range->second.table.phase == OwnerPhase::Serving) {
            return;
        }
        state.runtime.sleepFor(kTick);
    }
}

void applyOutputs(NodeState &state, uint32_t number, const OwnerOutputs &outputs)
{
    OwnedRange &range = state.claimOwner.ranges.at(number);
    for (const auto &late : outputs.decisions) {
        const auto wait = state.claimOwner.waits.find(late.attempt);
        if (wait != state.claimOwner.waits.end()) {
            wait->second->verdict = late.decision;
            wait->second->isDecided = true;
            wait->second->event.notify();
        }
    }
    for (const OwnerEvent event : outputs.events) {
        logOwnerEvent(number, event);
        if (event == OwnerEvent::ServingStarted) {
            // What the predecessor may have kept in memory is now accounted for on the log.
            markPriorResolved(state.leaseNode.holder, leaseKeyOf(state, number));
        }
    }
    if (outputs.bitRequestNumber != range.bitRequestPassed
        && setUnlogged(state.leaseNode.holder, leaseKeyOf(state, number), outputs.unloggedBitRequested, BootClock::now())) {
        range.bitRequestPassed = outputs.bitRequestNumber;
    }
    if (outputs.append) {
        state.runtime.spawn([&state, number, record = *outputs.append] {
            appendRecord(state, number, record);
        });
    }
    if (outputs.readRequested && range.readingPass != outputs.readId) {
        range.readingPass = outputs.readId;
        state.runtime.spawn([&state, number, pass = outputs.readId] {
            readRange(state, number, pass);
        });
    }
    if (!outputs.readRequested) {
        range.readingPass = 0;
    }
}

/// Creates tables for ranges that this node newly owns.
void adoptRanges(NodeState &state, const std::vector<DomainName> &domains)
{
    for (uint32_t number = 0; number < kRangeCount; ++number) {
        const bool isHome = homeDomainOf(number, domains) == state.settings.domain && !state.claimOwner.isHandingOver;
        const auto known = state.claimOwner.ranges.find(number);
        if (known != state.claimOwner.ranges.end()) {
            setHome(known->second.table, isHome);
            continue;
        }
        if (isHome && findHeldLease(state.leaseNode.holder, leaseKeyOf(state, number)) != nullptr) {
            state.claimOwner.ranges.emplace(number, OwnedRange{makeClaimTable(claimSettings(state), state.settings.domain, number), 0, 0});
        }
    }
}

/// Returns whether this node may decide on claims of a range at this moment, as beginClaim() judges it.
auto servesRange(const NodeState &state, const OwnedRange &range) -> bool
{
    const OwnerView view = ownerView(state, range, BootClock::now());
    return view.valid && view.epoch == range.table.epoch && range.table.phase == OwnerPhase::Serving && !range.table.handoverRequested;
}

/// Serves a begin at the owner; keeps the caller's fiber until the claim is on the log.
auto beginHere(NodeState &state, const BeginRequest &request) -> Result<ClaimDecision>
{
    const uint32_t number = claimRange(request.key);
    const auto range = state.claimOwner.ranges.find(number);
    if (range == state.claimOwner.ranges.end()) {
        return failure(ErrorCode::Unavailable, "this node does not own range " + std::to_string(number));
    }
    const TimePoint now = BootClock::now();
    if (!servesRange(state, range->second)) {
        // An error instead of a verdict, so that the entry node asks again while the range changes hands.
        return failure(ErrorCode::Unavailable, "this node does not serve range " + std::to_string(number));
    }
    const ClaimDecision first = beginClaim(range->second.table, request, ownerView(state, range->second, now), now);
    if (!std::holds_alternative<Wait>(first)) {
        return first;
    }
    const auto wait = std::make_shared<ClaimWait>();
    state.claimOwner.waits[request.attempt] = wait.get();
    applyOutputs(state, number, tickClaims(range->second.table, ownerView(state, range->second, now), domainListRevision(state), now));
    waitFor(state.runtime.context(), wait->event, request.timeLeft, wait->isDecided);
    state.claimOwner.waits.erase(request.attempt);
    if (!wait->isDecided) {
        return failure(ErrorCode::Timeout, "the claim did not reach the log in time");
    }
    if (std::holds_alternative<Refused>(*wait->verdict) && !servesRange(state, range->second)) {
        return failure(ErrorCode::Unavailable, "this node lost range " + std::to_string(number));
    }
    return *wait->verdict;
}

auto endHere(NodeState &state, const EndRequest &request) -> bool
{
    const auto range = state.claimOwner.ranges.find(claimRange(request.key));
    if (range == state.claimOwner.ranges.end()) {
        return false;
    }
    const TimePoint now = BootClock::now();
    return endClaim(range->second.table, request.key, request.attempt, request.outcome, ownerView(state, range->second, now), now);
}

auto peekHere(const NodeState &state, const PeekRequest &request) -> RunState
{
    const auto range = state.claimOwner.ranges.find(claimRange(request.key));
    if (range == state.claimOwner.ranges.end()) {
        return RunState::Unknown;
    }
    const TimePoint now = BootClock::now();
    return peekClaim(range->second.table, request.key, request.attemptNumber, ownerView(state, range->second, now), now);
}

auto ownerOf(const NodeState &state, const ClaimKey &key) -> std::optional<std::pair<NodeName, Endpoint>>
{
    const uint32_t range = claimRange(key);
    return holderOf(state, LeaseKey{homeDomainOf(range, domainNames(state)), range});
}

/// Asks the owner that the log names at this moment.
auto askOwner(NodeState &state, const BeginRequest &request) -> Result<ClaimDecision>
{
    const auto owner = ownerOf(state, request.key);
    if (!owner) {
        return failure(ErrorCode::Unavailable, "the range of the idempotency key has no owner");
    }
    if (owner->first == state.settings.node) {
        return beginHere(state, request);
    }
    BOOST_OUTCOME_TRY(const nlohmann::json answer, state.peers->call(owner->second, kBeginMethod, toJson(request), request.timeLeft));
    return claimVerdictFromJson(answer);
}

} // namespace

void serveClaims(NodeState &state)
{
    state.peers->onCall(kBeginMethod, [&state](const PeerIdentity &, const nlohmann::json &payload) -> Result<nlohmann::json> {
        BOOST_OUTCOME_TRY(const BeginRequest request, beginRequestFromJson(payload));
        BOOST_OUTCOME_TRY(const ClaimDecision verdict, beginHere(state, request));
        return toJson(verdict);
    });
    state.peers->onCall(kEndMethod, [&state](const PeerIdentity &, const nlohmann::json &payload) -> Result<nlohmann::json> {
        BOOST_OUTCOME_TRY(const EndRequest request, endRequestFromJson(payload));
        return nlohmann::json(endHere(state, request));
    });
    state.peers->onCall(kPeekMethod, [&state](const PeerIdentity &, const nlohmann::json &payload) -> Result<nlohmann::json> {
        BOOST_OUTCOME_TRY(const PeekRequest request, peekRequestFromJson(payload));
        return nlohmann::json(peekHere(state, request) == RunState::NotRun);
    });
}

void runClaims(NodeState &state)
{
    while (!state.ending) {
        adoptRanges(state, domainNames(state));
        const uint64_t revision = domainListRevision(state);
        for (auto &[number, range] : state.claimOwner.ranges) {
            const TimePoint now = BootClock::now();
            applyOutputs(state, number, tickClaims(range.table, ownerView(state, range, now), revision, now));
        }
        state.runtime.sleepFor(kTick);
    }
}

auto beginAtOwner(NodeState &state, const BeginRequest &request) -> Result<ClaimDecision>
{
    const TimePoint start = BootClock::now();
    const TimePoint deadline = start + request.timeLeft;
    const TimePoint giveUp = std::min(deadline, start + kHandOverWait);
    BeginRequest repeated = request;
    while (true) {
        auto verdict = askOwner(state, repeated);
        const bool mayChangeHands = !verdict && (verdict.error().code == ErrorCode::Unavailable || verdict.error().code == ErrorCode::Closed);
        if (!mayChangeHands || state.ending || BootClock::now() + kHandOverPause >= giveUp || state.claimOwner.handOverWaiters >= kMaxHandOverWaiters) {
            return verdict;
        }
        // The attempt id is the same each time, so an owner that granted it before grants it again and no other.
        ++state.claimOwner.handOverWaiters;
        state.runtime.sleepFor(kHandOverPause);
        --state.claimOwner.handOverWaiters;
        repeated.timeLeft = deadline - BootClock::now();
    }
}

void reportToOwner(NodeState &state, const ClaimKey &key, const RequestId &attempt, const Outcome &outcome)
{
    state.runtime.spawn([&state, request = EndRequest{key, attempt, outcome}] {
        const TimePoint end = BootClock::now() + kReportFor;
        while (BootClock::now() < end && !state.ending) {
            const auto owner = ownerOf(state, request.key);
            if (owner && owner->first == state.settings.node) {
                if (endHere(state, request)) {
                    return;
                }
            } else if (owner) {
                const auto taken = state.peers->call(owner->second, kEndMethod, toJson(request), state.settings.timeouts.peer);
                if (taken && taken.value() == nlohmann::json(true)) {
                    return;
                }
            }
            state.runtime.sleepFor(kReportPause);
        }
    });
}

auto peekAtOwner(NodeState &state, const ClaimKey &key, uint32_t attemptNumber) -> PeekResult
{
    const auto owner = ownerOf(state, key);
    if (!owner) {
        return PeekResult::NotRequested;
    }
    const PeekRequest request{key, attemptNumber};
    if (owner->first == state.settings.node) {
        return peekHere(state, request) == RunState::NotRun ? PeekResult::NoOtherAttempt : PeekResult::OtherMayHaveRun;
    }
    const auto answer = state.peers->call(owner->second, kPeekMethod, toJson(request), kPeekTimeout);
    if (!answer) {
        return PeekResult::NotRequested;
    }
    return answer.value() == nlohmann::json(true) ? PeekResult::NoOtherAttempt : PeekResult::OtherMayHaveRun;
}

void beginClaimHandover(NodeState &state)
{
    state.claimOwner.isHandingOver = true;
}

auto areClaimsHandedOver(const NodeState &state) -> bool
{
    return std::none_of(state.claimOwner.ranges.begin(), state.claimOwner.ranges.end(), [](const auto &entry) {
        return entry.second.table.phase == OwnerPhase::Serving;
    });
}

} // namespace snipestream
