#pragma once

#include "idempotency/claim.h"
#include "idempotency/claim_record.h"
#include "idempotency/range_fold.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace snipestream {

/// A claim in the owner's memory.
struct Claim
{
    uint64_t fingerprint = 0;
    RequestId attempt;
    ClaimState state = ClaimState::Claimed;
    /// True once the attempt may have been told to run.
    bool granted = false;
    /// True while the state in memory is newer than the one on the log.
    bool dirty = false;
    /// True if any state of the key may be on the log.
    bool maybeOnLog = false;
    /// When the state was entered; the retention counts from here.
    TimePoint since {};
    /// When a claimed key without outcome becomes unknown.
    TimePoint deadline {};
    /// When the newest entry was appended.
    TimePoint loggedAt {};
    TimePoint timerAt {};
    /// Sequence number of the newest entry on the log; zero if there is none.
    uint64_t sequence = 0;
    std::optional<RecordedResponse> response;
};

/// How far this node is in taking over a range.
enum class OwnerPhase : uint8_t {
    NotOwner,
    /// Reads the range's records up to the end of the log.
    Reading,
    /// Appended its fence and waits until it reads the fence back.
    Fencing,
    Serving,
    /// Gave the range to another home domain; grants nothing any more.
    HandedOver,
};

/// Where claims are kept before the run is allowed.
enum class LogMode : uint8_t {
    Logged,
    /// Appends fail; the witnesses are being told.
    Entering,
    /// Claims are granted from memory; the successor would quarantine the range.
    Unlogged,
    /// The log is back: new claims wait for it again and the older ones are flushed.
    Draining,
    /// Everything is on the log; the witnesses are being told.
    Clearing,
};

/// The record that is being appended.
struct InFlightAppend
{
    ClaimsRecord record;
    /// When the outstanding try was sent; empty if the next try waits for the append budget.
    std::optional<TimePoint> sentAt;
    /// True once a try failed or its answer was lost; the record may already be on the log.
    bool repeated = false;
};

/// One range as its owner sees it. All functions below run on one table and are told the time and the lease.
struct ClaimTable
{
    ClaimSettings settings;
    DomainName domain;
    uint32_t range = 0;

    OwnerPhase phase = OwnerPhase::NotOwner;
    LogMode mode = LogMode::Logged;
    uint64_t epoch = 0;
    uint64_t homeRevision = 0;
    RangeFold fold;
    bool logDroppedRecords = false;
    TimePoint readingSince {};

    std::unordered_map<ClaimKey, Claim, ClaimKeyHash> claims;
    /// Claims that wait for the log, and other states to be appended. A key may stand in a queue more than once.
    std::deque<ClaimKey> urgent;
    std::deque<ClaimKey> lazy;
    /// When to look at a claim again: deadline, renewal on the log or expiry. An entry counts only if the claim's
    /// `timerAt` is still the same moment.
    std::multimap<TimePoint, ClaimKey> timers;

    std::optional<InFlightAppend> inFlight;
    double budget = 0;
    TimePoint budgetAt {};
    uint64_t lastSequence = 0;
    TimePoint lastAppendAt {};

    /// Granted claims that are not on the log yet.
    size_t unloggedGrants = 0;
    bool wantUnloggedBit = false;
    uint64_t bitRequest = 0;
    std::optional<TimePoint> quarantinedUntil;
    bool handoverWanted = false;

    uint64_t refusedFull = 0;
    uint64_t refusedOtherFingerprint = 0;
    uint64_t voidAppends = 0;
    uint64_t lateOutcomes = 0;
};

/// A verdict that follows on an earlier Wait.
struct LateVerdict
{
    RequestId attempt;
    ClaimKey key;
    Verdict verdict;
};

/// Changes that the node reports as log events.
enum class OwnerEvent : uint8_t {
    UnloggedModeEntered,
    UnloggedModeLeft,
    RangeQuarantined,
    ServingStarted,
    OwnershipLost,
};

/// What the caller of a function has to do next.
struct OwnerOutputs
{
    /// Append this record and report the result with onAppendResult(), with its sequence number.
    std::optional<ClaimsRecord> append;
    std::vector<LateVerdict> verdicts;
    /// The bit that the witnesses must hold for this epoch. Witnesses ignore a request with a lower number.
    bool wantUnloggedBit = false;
    uint64_t bitRequest = 0;
    /// True while the node must feed the range's records with onLogRecords(), from the earliest retained offset when
    /// `restartRead` is set.
    bool wantRead = false;
    bool restartRead = false;
    std::vector<OwnerEvent> events;
};

/// How an append ended. Failed and Lost are treated alike: the record may have taken effect, so it is repeated
/// unchanged.
enum class AppendResult : uint8_t {
    Acknowledged,
    Failed,
    Lost,
};

/// Returns the table of a range for a node in the home domain; `homeRevision` is the revision of the domain list.
auto makeClaimTable(const ClaimSettings &settings, DomainName domain, uint32_t range) -> ClaimTable;

/// Advances the table: takeover, deadlines, expiry, renewal and the next append. Call it at least every 50 ms and after
/// every call below that returned nothing to append.
auto tickClaims(ClaimTable &table, const OwnerView &view, uint64_t homeRevision, TimePoint now) -> OwnerOutputs;

/// Claims a key for one attempt. A repeated call with the same attempt id returns the state of that claim.
auto beginClaim(ClaimTable &table, const BeginRequest &request, const OwnerView &view, TimePoint now) -> Verdict;

/// Records how an attempt ended. Returns true if the owner holds the claim of this attempt and took the outcome; false
/// means that the entry node may report it again to the range's next owner.
auto endClaim(ClaimTable &table, const ClaimKey &key, const RequestId &attempt, const Outcome &outcome,
              const OwnerView &view, TimePoint now) -> bool;

/// Returns NotRun only if this node is the valid owner, knows all claims of the range and none of the key's attempts
/// may have run or may still run.
auto peekClaim(const ClaimTable &table, const ClaimKey &key, const OwnerView &view, TimePoint now) -> RunState;

/// Reports the end of the append with this sequence number. A result for another number is ignored.
auto onAppendResult(ClaimTable &table, uint64_t sequence, AppendResult result, const OwnerView &view, TimePoint now)
    -> OwnerOutputs;

/// Feeds records of the range in log order. `reachedEnd` is true if no further record was on the log;
/// `logDroppedRecords` is true if the earliest retained offset is above the first one.
auto onLogRecords(ClaimTable &table, const std::vector<ClaimsRecord> &records, bool reachedEnd, bool logDroppedRecords,
                  const OwnerView &view, TimePoint now) -> OwnerOutputs;

/// Asks the table to give the range up because the domain list names another home domain. It grants nothing more,
/// flushes its claims and appends a handover record; OwnerPhase::HandedOver follows.
void handOverRange(ClaimTable &table);

} // namespace snipestream
