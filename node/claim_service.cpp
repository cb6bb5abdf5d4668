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

constexpr Duration kTickInterval = milliseconds(20);
constexpr Duration kPeekTimeout = milliseconds(200);
/// How long the report of an outcome is retried.
constexpr Duration kReportTimeout = std::chrono::minutes(2);
constexpr Duration kRetryInterval = milliseconds(200);
/// How long a new owner waits for the witnesses to report whether its predecessor kept claims only in memory.
constexpr Duration kUnloggedBitTimeout = seconds(3);
/// Maximum number of records in one read of the log. A record has up to 128 KiB, and a whole page is held in memory.
constexpr size_t kMaxPageRecords = 20;
/// How long a begin request is retried while its range is handed over. A planned handover takes about half a second, and
/// up to three seconds if witnesses have just restarted.
constexpr Duration kHandoverRetryTimeout = seconds(4);
constexpr Duration kHandoverRetryInterval = milliseconds(50);
/// Maximum number of begin requests that are retried at the same time. Each of them occupies a fiber, and a node has to
/// stay within 32 MB.
constexpr size_t kMaxRetryingBegins = 256;

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

/// Returns this node's ownership of a range at this moment, as derived from its lease.
auto ownerView(const NodeState &state, const OwnedRange &range, TimePoint now) -> OwnerView
{
    const LeaseKey key = leaseKeyOf(state, range.table.range);
    const LeaseHolder &holder = state.leaseNode.holder;
    const HeldLease *const held = findHeldLease(holder, key);
    OwnerView view;
    if (held == nullptr || !isLeaseValid(holder, key, now)) {
        return view;
    }
    const UnloggedBit predecessorBit = priorUnlogged(holder, state.leaseNode.params, key, now);
    const bool isWithinTimeout = held->validFrom && now - *held->validFrom < kUnloggedBitTimeout;
    view.valid = predecessorBit != UnloggedBit::Unknown || !isWithinTimeout;
    view.epoch = held->epoch;
    view.predecessorMayBeUnlogged = predecessorBit != UnloggedBit::Clear;
    const bool isForwarded = range.forwardedBitRequest == range.table.bitRequestNumber;
    const bool isStored = isUnloggedStored(holder, key);
    // A bit that is being cleared counts as set until a majority of the witnesses has cleared it.
    view.unloggedConfirmed = held->unlogged ? isStored && isForwarded : held->unloggedNumber > 0 && !isStored;
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

/// Appends a record of an owned range to the log and applies the result to the range's claim table.
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

/// Reads the records of a range from the earliest one to the end of its stream and adds them to its claim table. Ends
/// early if another read of the range replaces this one.
void readRange(NodeState &state, uint32_t number, uint64_t readId)
{
    uint64_t offset = 0;
    while (!state.ending) {
        const auto page = state.log.read(claimsStream(number), offset, kMaxPageRecords);
        const auto range = state.claimOwner.ranges.find(number);
        if (range == state.claimOwner.ranges.end() || range->second.activeReadId != readId) {
            return;
        }
        if (!page) {
            if (const auto earliest = earliestOfExpired(page.error())) {
                offset = *earliest;
                continue;
            }
            state.runtime.sleepFor(kRetryInterval);
            continue;
        }
        LogRead read;
        read.readId = readId;
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
        if (range->second.activeReadId != readId || range->second.table.phase == OwnerPhase::Serving) {
            return;
        }
        state.runtime.sleepFor(kTickInterval);
    }
}

void applyOutputs(NodeState &state, uint32_t number, const OwnerOutputs &outputs)
{
    OwnedRange &range = state.claimOwner.ranges.at(number);
    for (const auto &deferred : outputs.decisions) {
        const auto wait = state.claimOwner.waits.find(deferred.attempt);
        if (wait != state.claimOwner.waits.end()) {
            wait->second->decision = deferred.decision;
            wait->second->isDecided = true;
            wait->second->event.notify();
        }
    }
    for (const OwnerEvent event : outputs.events) {
        logOwnerEvent(number, event);
        if (event == OwnerEvent::ServingStarted) {
            // Claims that the predecessor may have kept only in memory are now accounted for on the log.
            markPriorResolved(state.leaseNode.holder, leaseKeyOf(state, number));
        }
    }
    if (outputs.bitRequestNumber != range.forwardedBitRequest
        && setUnlogged(state.leaseNode.holder, leaseKeyOf(state, number), outputs.unloggedBitRequested, BootClock::now())) {
        range.forwardedBitRequest = outputs.bitRequestNumber;
    }
    if (outputs.append) {
        state.runtime.spawn([&state, number, record = *outputs.append] {
            appendRecord(state, number, record);
        });
    }
    if (outputs.readRequested && range.activeReadId != outputs.readId) {
        range.activeReadId = outputs.readId;
        state.runtime.spawn([&state, number, readId = outputs.readId] {
            readRange(state, number, readId);
        });
    }
    if (!outputs.readRequested) {
        range.activeReadId = 0;
    }
}

/// Creates claim tables for ranges that this node newly owns, and updates which ranges have their home in this domain.
void updateOwnedRanges(NodeState &state, const std::vector<DomainName> &domains)
{
    for (uint32_t number = 0; number < kRangeCount; ++number) {
        const bool isHome = homeDomainOf(number, domains) == state.settings.domain && !state.claimOwner.isHandingOver;
        const auto existing = state.claimOwner.ranges.find(number);
        if (existing != state.claimOwner.ranges.end()) {
            setHome(existing->second.table, isHome);
            continue;
        }
        if (isHome && findHeldLease(state.leaseNode.holder, leaseKeyOf(state, number)) != nullptr) {
            state.claimOwner.ranges.emplace(number, OwnedRange{makeClaimTable(claimSettings(state), state.settings.domain, number), 0, 0});
        }
    }
}

/// Returns whether this node may decide on claims of a range at this moment, by the same conditions as beginClaim().
auto isServingRange(const NodeState &state, const OwnedRange &range) -> bool
{
    const OwnerView view = ownerView(state, range, BootClock::now());
    return view.valid && view.epoch == range.table.epoch && range.table.phase == OwnerPhase::Serving && !range.table.handoverRequested;
}

/// Handles a begin request at the owner. Blocks the calling fiber until the claim is on the log.
auto beginLocally(NodeState &state, const BeginRequest &request) -> Result<ClaimDecision>
{
    const uint32_t number = claimRange(request.key);
    const auto range = state.claimOwner.ranges.find(number);
    if (range == state.claimOwner.ranges.end()) {
        return failure(ErrorCode::Unavailable, "this node does not own range " + std::to_string(number));
    }
    const TimePoint now = BootClock::now();
    if (!isServingRange(state, range->second)) {
        // An error and not a decision, so that the entry node retries while the range is handed over.
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
    if (std::holds_alternative<Refused>(*wait->decision) && !isServingRange(state, range->second)) {
        return failure(ErrorCode::Unavailable, "this node lost range " + std::to_string(number));
    }
    return *wait->decision;
}

auto endLocally(NodeState &state, const EndRequest &request) -> bool
{
    const auto range = state.claimOwner.ranges.find(claimRange(request.key));
    if (range == state.claimOwner.ranges.end()) {
        return false;
    }
    const TimePoint now = BootClock::now();
    return endClaim(range->second.table, request.key, request.attempt, request.outcome, ownerView(state, range->second, now), now);
}

auto peekLocally(const NodeState &state, const PeekRequest &request) -> RunState
{
    const auto range = state.claimOwner.ranges.find(claimRange(request.key));
    if (range == state.claimOwner.ranges.end()) {
        return RunState::Unknown;
    }
    const TimePoint now = BootClock::now();
    return peekClaim(range->second.table, request.key, request.attemptNumber, ownerView(state, range->second, now), now);
}

auto findOwner(const NodeState &state, const ClaimKey &key) -> std::optional<std::pair<NodeName, Endpoint>>
{
    const uint32_t range = claimRange(key);
    return holderOf(state, LeaseKey{homeDomainOf(range, domainNames(state)), range});
}

/// Sends a begin request to the owner that holds the range's lease at this moment.
auto beginAtCurrentOwner(NodeState &state, const BeginRequest &request) -> Result<ClaimDecision>
{
    const auto owner = findOwner(state, request.key);
    if (!owner) {
        return failure(ErrorCode::Unavailable, "the range of the idempotency key has no owner");
    }
    if (owner->first == state.settings.node) {
        return beginLocally(state, request);
    }
    BOOST_OUTCOME_TRY(const nlohmann::json response, state.peers->call(owner->second, kBeginMethod, toJson(request), request.timeLeft));
    return claimDecisionFromJson(response);
}

} // namespace

void serveClaims(NodeState &state)
{
    state.peers->onCall(kBeginMethod, [&state](const PeerIdentity &, const nlohmann::json &payload) -> Result<nlohmann::json> {
        BOOST_OUTCOME_TRY(const BeginRequest request, beginRequestFromJson(payload));
        BOOST_OUTCOME_TRY(const ClaimDecision decision, beginLocally(state, request));
        return toJson(decision);
    });
    state.peers->onCall(kEndMethod, [&state](const PeerIdentity &, const nlohmann::json &payload) -> Result<nlohmann::json> {
        BOOST_OUTCOME_TRY(const EndRequest request, endRequestFromJson(payload));
        return nlohmann::json(endLocally(state, request));
    });
    state.peers->onCall(kPeekMethod, [&state](const PeerIdentity &, const nlohmann::json &payload) -> Result<nlohmann::json> {
        BOOST_OUTCOME_TRY(const PeekRequest request, peekRequestFromJson(payload));
        return nlohmann::json(peekLocally(state, request) == RunState::NotRun);
    });
}

void runClaims(NodeState &state)
{
    while (!state.ending) {
        updateOwnedRanges(state, domainNames(state));
        const uint64_t revision = domainListRevision(state);
        for (auto &[number, range] : state.claimOwner.ranges) {
            const TimePoint now = BootClock::now();
            applyOutputs(state, number, tickClaims(range.table, ownerView(state, range, now), revision, now));
        }
        state.runtime.sleepFor(kTickInterval);
    }
}

auto beginAtOwner(NodeState &state, const BeginRequest &request) -> Result<ClaimDecision>
{
    const TimePoint start = BootClock::now();
    const TimePoint deadline = start + request.timeLeft;
    const TimePoint retryUntil = std::min(deadline, start + kHandoverRetryTimeout);
    BeginRequest retried = request;
    while (true) {
        auto decision = beginAtCurrentOwner(state, retried);
        const bool isRetryable = !decision && (decision.error().code == ErrorCode::Unavailable || decision.error().code == ErrorCode::Closed);
        if (!isRetryable || state.ending || BootClock::now() + kHandoverRetryInterval >= retryUntil || state.claimOwner.retryingBegins >= kMaxRetryingBegins) {
            return decision;
        }
        // The attempt id stays the same, so an owner that granted the claim before grants it again, and to this attempt only.
        ++state.claimOwner.retryingBegins;
        state.runtime.sleepFor(kHandoverRetryInterval);
        --state.claimOwner.retryingBegins;
        retried.timeLeft = deadline - BootClock::now();
    }
}

void reportToOwner(NodeState &state, const ClaimKey &key, const RequestId &attempt, const Outcome &outcome)
{
    state.runtime.spawn([&state, request = EndRequest{key, attempt, outcome}] {
        const TimePoint end = BootClock::now() + kReportTimeout;
        while (BootClock::now() < end && !state.ending) {
            const auto owner = findOwner(state, request.key);
            if (owner && owner->first == state.settings.node) {
                if (endLocally(state, request)) {
                    return;
                }
            } else if (owner) {
                const auto accepted = state.peers->call(owner->second, kEndMethod, toJson(request), state.settings.timeouts.peer);
                if (accepted && accepted.value() == nlohmann::json(true)) {
                    return;
                }
            }
            state.runtime.sleepFor(kRetryInterval);
        }
    });
}

auto peekAtOwner(NodeState &state, const ClaimKey &key, uint32_t attemptNumber) -> PeekResult
{
    const auto owner = findOwner(state, key);
    if (!owner) {
        return PeekResult::NotRequested;
    }
    const PeekRequest request{key, attemptNumber};
    if (owner->first == state.settings.node) {
        return peekLocally(state, request) == RunState::NotRun ? PeekResult::NoOtherAttempt : PeekResult::OtherMayHaveRun;
    }
    const auto response = state.peers->call(owner->second, kPeekMethod, toJson(request), kPeekTimeout);
    if (!response) {
        return PeekResult::NotRequested;
    }
    return response.value() == nlohmann::json(true) ? PeekResult::NoOtherAttempt : PeekResult::OtherMayHaveRun;
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
