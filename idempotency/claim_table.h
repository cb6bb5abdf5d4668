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

/// A claim in the memory of the range's owner.
struct Claim {
    uint64_t fingerprint = 0;
    RequestId attempt;
    /// Number of the attempt that holds or last held the claim. Attempts with a lower number are refused.
    uint32_t attemptNumber = 1;
    ClaimState state = ClaimState::Claimed;
    /// True once the attempt may have been granted the claim and may run.
    bool granted = false;
    /// True while the state in memory is newer than the one last put into a record.
    bool dirty = false;
    /// True if any state of the key may be on the log.
    bool maybeOnLog = false;
    /// True if the claim was granted in unlogged mode and no entry of it is known to be on the log.
    bool grantedUnlogged = false;
    /// When the state was entered; the retention starts here.
    TimePoint since{};
    /// When a granted claim without an outcome becomes Unknown, and one that is still queued for the log is released.
    TimePoint deadline{};
    /// When the newest entry was put into a record.
    TimePoint loggedAt{};
    /// Time of the entry in ClaimTable::timers.
    TimePoint timerAt{};
    /// Sequence number of the record that holds the newest entry; zero if there is none.
    uint64_t sequence = 0;
    /// The packed response, empty if none is recorded.
    std::string response;
};

/// Progress of this node in taking over a range.
enum class OwnerPhase : uint8_t {
    NotOwner,
    /// Reading the range's records up to the end of the log.
    Reading,
    /// Appending the node's own fence and waiting to read it back from the log.
    Fencing,
    Serving,
    /// Handed the range over; no claim is granted any more.
    HandedOver,
};

/// Where a claim must be stored before it is granted. In unlogged mode that is only the memory of the owner, and the
/// witnesses store a bit that makes a successor quarantine the range.
enum class LogMode : uint8_t {
    Logged,
    /// Appends fail or are slow. The witnesses have been requested to set the unlogged bit; claims still wait for the log.
    SettingBit,
    /// Claims are granted from memory. A successor would quarantine the range.
    Unlogged,
    /// The log is available again: new claims wait for it, and those granted from memory are appended.
    Draining,
    /// All claims are on the log. The witnesses have been requested to clear the unlogged bit.
    ClearingBit,
};

/// A record that is being appended.
struct InFlightAppend {
    ClaimsRecord record;
    /// When the outstanding append was sent; empty while the next one waits for the append rate limit.
    std::optional<TimePoint> sentAt;
    /// True once an append failed or its response was lost; the record may already be on the log.
    bool retried = false;
};

/// State of one range at its owner. It does no I/O: the functions below take the time and the lease as arguments and
/// return what to do.
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
    /// Log offset up to which this pass has read; empty before the first read.
    std::optional<uint64_t> readUpTo;
    /// True if an earlier owner may have granted claims that are not on the log.
    bool predecessorUnlogged = false;
    TimePoint readingSince{};
    /// Identifies one pass over the range's records. Records of an earlier pass are ignored.
    uint64_t readId = 0;

    std::unordered_map<ClaimKey, Claim, ClaimKeyHash> claims;
    /// Keys to be appended: claims that are granted once they are on the log, and all other states. A key may be in a
    /// queue more than once.
    std::deque<ClaimKey> urgentQueue;
    std::deque<ClaimKey> normalQueue;
    /// Estimated memory of all claims.
    size_t claimBytes = 0;
    /// Time of each claim's next deadline, renewal on the log or expiry. The pointers refer to the keys in `claims`.
    std::set<std::pair<TimePoint, const ClaimKey *>> timers;

    std::optional<InFlightAppend> inFlight;
    /// Token bucket that limits the rate of appends, and when it was last refilled.
    double appendTokens = 0;
    TimePoint appendTokensAt{};
    uint64_t lastSequence = 0;
    /// Log offset below which the next record cannot be stored.
    uint64_t notBefore = 0;
    /// Number of claims whose newest entry is in the record with this sequence number.
    std::map<uint64_t, uint32_t> liveClaimsBySequence;
    /// When a record is due even if no claim has changed.
    TimePoint checkpointAt{};
    /// True if the last append was retried or took longer than slowAppendThreshold.
    bool lastAppendSlow = false;

    /// Number of claims granted in unlogged mode that are not yet on the log.
    size_t unloggedGrants = 0;
    bool unloggedBitRequested = false;
    /// Number of the latest change of unloggedBitRequested.
    uint64_t bitRequestNumber = 0;
    /// Time until which new and released keys are refused; empty if the range is not in quarantine.
    std::optional<TimePoint> quarantinedUntil;
    bool handoverRequested = false;

    /// Numbers of refusals by reason.
    uint64_t refusedTableFull = 0;
    uint64_t refusedQueueFull = 0;
    uint64_t refusedFingerprintMismatch = 0;
    /// Number of claims whose append was acknowledged without a valid lease.
    uint64_t voidedClaims = 0;
    /// Number of outcomes of attempts that did not hold the claim.
    uint64_t droppedOutcomes = 0;
};

/// A decision on a claim for which beginClaim() returned Wait.
struct DeferredClaimDecision {
    RequestId attempt;
    ClaimKey key;
    ClaimDecision decision;
};

/// State changes that the node logs as events.
enum class OwnerEvent : uint8_t {
    UnloggedModeEntered,
    UnloggedModeLeft,
    RangeQuarantined,
    ServingStarted,
    OwnershipLost,
};

/// Actions that the caller must carry out after a call.
struct OwnerOutputs {
    /// Append this record and report the result with onAppendResult().
    std::optional<ClaimsRecord> append;
    std::vector<DeferredClaimDecision> decisions;
    /// The unlogged bit to be stored by the witnesses for this epoch. Witnesses ignore a request with a lower number.
    bool unloggedBitRequested = false;
    uint64_t bitRequestNumber = 0;
    /// True while the node must read the range's records and pass them to onLogRecords(). A new `readId` means to start
    /// again at the earliest retained offset.
    bool readRequested = false;
    uint64_t readId = 0;
    std::vector<OwnerEvent> events;
};

/// Result of an append. Failed and Lost are treated alike: the record may have been stored, so the same record is
/// appended again.
enum class AppendResult : uint8_t {
    Acknowledged,
    Failed,
    Lost,
};

/// Returns the initial table of a range for a node in the home domain `domain`.
auto makeClaimTable(const ClaimSettings &settings, DomainName domain, uint32_t range) -> ClaimTable;

/// Runs everything that is due: takeover, deadlines, expiry, renewal and the next append. `homeRevision` is the revision
/// of the domain list. Call it at least every 50 ms and after every call below that returned nothing to append.
auto tickClaims(ClaimTable &table, const OwnerView &view, uint64_t homeRevision, TimePoint now) -> OwnerOutputs;

/// Claims a key for one attempt. Another call with the same attempt id returns the current decision on that claim.
auto beginClaim(ClaimTable &table, const BeginRequest &request, const OwnerView &view, TimePoint now) -> ClaimDecision;

/// Records the outcome of an attempt. Returns false if this node is not the valid owner; the entry node must then report
/// the outcome to the next owner of the range. The outcome of an attempt that does not hold the claim is counted and
/// dropped.
auto endClaim(ClaimTable &table, const ClaimKey &key, const RequestId &attempt, const Outcome &outcome, const OwnerView &view, TimePoint now) -> bool;

/// Returns NotRun only if this node is the valid owner, has all claims of the range, and no attempt of the key with a
/// number up to `attemptNumber` has run or can still run.
auto peekClaim(const ClaimTable &table, const ClaimKey &key, uint32_t attemptNumber, const OwnerView &view, TimePoint now) -> RunState;

/// Handles the result of appending the record with this epoch and sequence number; a result for another record is
/// ignored. `offset` is the log offset of an acknowledged record. The result of every append must be reported within a
/// few seconds, as Lost if there was no response.
auto onAppendResult(ClaimTable &table, uint64_t epoch, uint64_t sequence, AppendResult result, uint64_t offset, const OwnerView &view, TimePoint now)
    -> OwnerOutputs;

/// Records of one read from the log, in log order and without a gap after those of the previous read.
struct LogRead {
    /// From the OwnerOutputs that requested the read.
    uint64_t readId = 0;
    /// The records of the range; the reader leaves out other ranges and other types.
    std::vector<ClaimsRecord> records;
    /// Earliest offset that the log retained at the time of the read.
    uint64_t earliestOffset = 0;
    /// Offset after the last record read, of any type.
    uint64_t nextOffset = 0;
    /// True if the read reached the end of the log.
    bool reachedEnd = false;
};

/// Handles records read while OwnerOutputs::readRequested is set. If the log has dropped records between two reads, the
/// pass starts again with a new read id.
auto onLogRecords(ClaimTable &table, const LogRead &read, const OwnerView &view, TimePoint now) -> OwnerOutputs;

/// Sets whether the domain list still names this domain as the home of the range. If it does not, new claims are refused,
/// the other states are flushed, and a handover record is appended; the phase then becomes OwnerPhase::HandedOver.
void setHome(ClaimTable &table, bool isHome);

} // namespace snipestream
