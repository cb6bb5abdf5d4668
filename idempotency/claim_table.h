#pragma once

#include "idempotency/claim.h"
#include "idempotency/claim_record.h"
#include "idempotency/range_fold.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace snipestream
{

/// A claim in the owner's memory.
struct Claim {
    uint64_t fingerprint = 0;
    RequestId attempt;
    /// Attempts with a lower number are refused.
    uint32_t attemptNumber = 1;
    ClaimState state = ClaimState::Claimed;
    /// True once the attempt may have been told to run.
    bool granted = false;
    /// True while the state in memory is newer than the one on the log.
    bool dirty = false;
    /// True if any state of the key may be on the log.
    bool maybeOnLog = false;
    /// True if the attempt was granted in unlogged mode and no entry of it is known to be on the log.
    bool grantedUnlogged = false;
    /// When the state was entered; the retention counts from here.
    TimePoint since{};
    /// When a claimed key without outcome becomes unknown.
    TimePoint deadline{};
    /// When the newest entry was appended.
    TimePoint loggedAt{};
    TimePoint timerAt{};
    /// Sequence number of the record with the newest entry; zero if there is none.
    uint64_t sequence = 0;
    /// The packed response, empty if none is recorded.
    std::string response;
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
struct InFlightAppend {
    ClaimsRecord record;
    /// When the outstanding try was sent; empty if the next try waits for the append budget.
    std::optional<TimePoint> sentAt;
    /// True once a try failed or its answer was lost; the record may already be on the log.
    bool repeated = false;
};

/// One range as its owner sees it. All functions below run on one table and are told the time and the lease.
struct ClaimTable {
    ClaimTable() = default;
    ClaimTable(ClaimTable &&) = default;
    ClaimTable(const ClaimTable &) = delete;
    auto operator=(ClaimTable &&) -> ClaimTable & = default;
    auto operator=(const ClaimTable &) -> ClaimTable & = delete;
    ~ClaimTable() = default;

    ClaimSettings settings;
    DomainName domain;
    uint32_t range = 0;

    OwnerPhase phase = OwnerPhase::NotOwner;
    LogMode mode = LogMode::Logged;
    uint64_t epoch = 0;
    uint64_t homeRevision = 0;
    RangeFold fold;
    /// Offset up to which this pass has read, empty before the first records.
    std::optional<uint64_t> readUpTo;
    bool predecessorUnlogged = false;
    TimePoint readingSince{};
    /// Identifies one pass over the range's records; records of an earlier pass are ignored.
    uint64_t readId = 0;

    std::unordered_map<ClaimKey, Claim, ClaimKeyHash> claims;
    /// Claims that wait for the log, and other states to be appended. A key may stand in a queue more than once.
    std::deque<ClaimKey> urgentQueue;
    std::deque<ClaimKey> normalQueue;
    /// Estimated memory of all claims.
    size_t claimBytes = 0;
    /// When to look at each claim again: deadline, renewal on the log or expiry. The pointers are to the keys in
    /// `claims`.
    std::set<std::pair<TimePoint, const ClaimKey *>> timers;

    std::optional<InFlightAppend> inFlight;
    double budget = 0;
    TimePoint budgetAt{};
    uint64_t lastSequence = 0;
    /// The next record can only be stored at this offset or above.
    uint64_t notBefore = 0;
    /// How many claims have their newest entry in each record.
    std::map<uint64_t, uint32_t> liveBySequence;
    /// When to append a record even if no claim has changed.
    TimePoint checkpointAt{};
    bool lastAppendSlow = false;

    /// Granted claims that are not on the log yet.
    size_t unloggedGrants = 0;
    bool unloggedBitRequested = false;
    uint64_t bitRequestNumber = 0;
    std::optional<TimePoint> quarantinedUntil;
    bool handoverRequested = false;

    uint64_t refusedFull = 0;
    uint64_t refusedBusy = 0;
    uint64_t refusedOtherFingerprint = 0;
    uint64_t voidAppends = 0;
    uint64_t lateOutcomes = 0;
};

/// A verdict that follows on an earlier Wait.
struct DeferredClaimDecision {
    RequestId attempt;
    ClaimKey key;
    ClaimDecision decision;
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
struct OwnerOutputs {
    /// Append this record and report the result with onAppendResult().
    std::optional<ClaimsRecord> append;
    std::vector<DeferredClaimDecision> decisions;
    /// The bit that the witnesses must hold for this epoch. Witnesses ignore a request with a lower number.
    bool unloggedBitRequested = false;
    uint64_t bitRequestNumber = 0;
    /// True while the node must feed the range's records with onLogRecords(). A `readId` not seen before means to start
    /// again at the earliest retained offset.
    bool readRequested = false;
    uint64_t readId = 0;
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
auto beginClaim(ClaimTable &table, const BeginRequest &request, const OwnerView &view, TimePoint now) -> ClaimDecision;

/// Records how an attempt ended. Returns false if this node is not the valid owner: the entry node reports again, to
/// the range's next owner. An outcome of an attempt that does not hold the claim is counted and dropped.
auto endClaim(ClaimTable &table, const ClaimKey &key, const RequestId &attempt, const Outcome &outcome, const OwnerView &view, TimePoint now) -> bool;

/// Returns NotRun only if this node is the valid owner, knows all claims of the range, and no attempt of the key with a
/// number up to `attemptNumber` has run or can still run.
auto peekClaim(const ClaimTable &table, const ClaimKey &key, uint32_t attemptNumber, const OwnerView &view, TimePoint now) -> RunState;

/// Reports the end of the append of the record with this epoch and sequence number. A result for another record is
/// ignored. `offset` is where an acknowledged record stands on the log. Every append must be reported within a few
/// seconds, as Lost if there was no answer.
auto onAppendResult(ClaimTable &table, uint64_t epoch, uint64_t sequence, AppendResult result, uint64_t offset, const OwnerView &view, TimePoint now)
    -> OwnerOutputs;

/// Some records of the log, in log order and without a gap to those of the read before.
struct LogRead {
    /// From the outputs that asked for the records.
    uint64_t readId = 0;
    /// The records of the range among those read; the reader leaves out other ranges and other types.
    std::vector<ClaimsRecord> records;
    /// Earliest offset that the log retained when the read was answered.
    uint64_t earliestOffset = 0;
    /// Offset after the last record that was read, of any type.
    uint64_t nextOffset = 0;
    /// True if no further record was on the log.
    bool reachedEnd = false;
};

/// Feeds records while OwnerOutputs::readRequested is set. A read whose records the log dropped in the meantime starts the
/// pass again with a new read id.
auto onLogRecords(ClaimTable &table, const LogRead &read, const OwnerView &view, TimePoint now) -> OwnerOutputs;

/// Tells the table whether the domain list still names its domain as the home of the range. If it does not, the table
/// takes no new claims, flushes the others and appends a handover record; OwnerPhase::HandedOver follows.
void setHome(ClaimTable &table, bool isHome);

} // namespace snipestream
