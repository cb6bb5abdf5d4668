#pragma once

#include "core/exchange.h"
#include "core/hash.h"
#include "core/ids.h"
#include "core/refusal.h"
#include "core/time.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace snipestream
{

/// Identifies one logical request. Idempotency keys are scoped to a team.
struct ClaimKey {
    TeamName team;
    std::string idempotencyKey;

    friend auto operator==(const ClaimKey &a, const ClaimKey &b) -> bool
    {
        return a.team == b.team && a.idempotencyKey == b.idempotencyKey;
    }
    friend auto operator!=(const ClaimKey &a, const ClaimKey &b) -> bool
    {
        return !(a == b);
    }
    friend auto operator<(const ClaimKey &a, const ClaimKey &b) -> bool
    {
        return std::tie(a.team, a.idempotencyKey) < std::tie(b.team, b.idempotencyKey);
    }
};

/// Hashes a ClaimKey for in-memory tables; the value may differ between builds.
struct ClaimKeyHash {
    auto operator()(const ClaimKey &key) const noexcept -> size_t
    {
        return std::hash<std::string>{}(key.team.value) * 31 + std::hash<std::string>{}(key.idempotencyKey);
    }
};

/// Requests with a longer idempotency key are refused as BadRequest before the claim.
inline constexpr size_t kMaxIdempotencyKeyBytes = 255;

/// The complete first response to a request, replayed to later attempts.
struct RecordedResponse {
    int status = 200;
    HeaderList headers;
    std::string body;

    friend auto operator==(const RecordedResponse &a, const RecordedResponse &b) -> bool
    {
        return a.status == b.status && a.headers == b.headers && a.body == b.body;
    }
    friend auto operator!=(const RecordedResponse &a, const RecordedResponse &b) -> bool
    {
        return !(a == b);
    }
};

/// State of a claim, and what it proves about the run that it permits.
enum class ClaimState : uint8_t {
    /// The key is reserved for one attempt, which may be running.
    Claimed,
    /// The attempt ended with a response of the target.
    Done,
    /// The attempt may have run, and its outcome is unknown. A late outcome is still recorded.
    Unknown,
    /// The attempt provably did not run; the key may be claimed again.
    Released,
};

/// How an attempt ended, as reported by its entry node.
enum class OutcomeKind : uint8_t {
    Done,
    NotRun,
    Unknown,
};

/// Outcome of an attempt. `response` is set for Done if the complete response is small enough to be recorded.
struct Outcome {
    OutcomeKind kind = OutcomeKind::Unknown;
    std::optional<RecordedResponse> response;
};

/// The payload of `claim.begin`.
struct BeginRequest {
    ClaimKey key;
    /// From requestFingerprint(). All attempts of a key must have the same fingerprint.
    uint64_t fingerprint = 0;
    /// Random id that the entry node generates for each attempt.
    RequestId attempt;
    /// From the caller's Snipestream-Attempt header, 1 if it is absent. An attempt with a lower number than one already
    /// seen is refused; otherwise a delayed earlier attempt could run after a later one was refused with not-run.
    uint32_t attemptNumber = 1;
    NodeName entryNode;
    /// Time from sending this message to the deadline of the request.
    Duration timeLeft{};
};

/// The claim is granted; the entry node may dispatch this attempt once.
struct Granted {
};

/// The claim is not yet written to the log. The decision follows in OwnerOutputs::decisions, or as the result of a later
/// beginClaim() with the same attempt id.
struct Wait {
};

/// The request has already run; `response` is its recorded response.
struct Replay {
    RecordedResponse response;
};

/// The claim is refused. The reason is InProgress, AlreadyRun, ClaimUnavailable, DeadlinePassed, or BadRequest for an
/// invalid key or a different fingerprint.
struct Refused {
    Refusal refusal;
};

/// The response to `claim.begin`.
using ClaimDecision = std::variant<Granted, Wait, Replay, Refused>;

/// This node's lease on a range of its home domain. Evaluate it anew for each call that takes it.
struct OwnerView {
    /// True while a majority of the witnesses confirms the lease.
    bool valid = false;
    uint64_t epoch = 0;
    /// True if the witnesses store the unlogged bit of any earlier epoch that no later owner has cleared.
    bool predecessorMayBeUnlogged = false;
    /// True once a majority of the witnesses stores the unlogged bit of this epoch; false again once a majority has
    /// cleared it. Must refer to the latest request (OwnerOutputs::bitRequestNumber).
    bool unloggedConfirmed = false;
};

/// Limits and time constants of the claim system.
struct ClaimSettings {
    /// How long a claim is kept after its last state change.
    Duration retention = std::chrono::hours(24);
    /// How long the log keeps records. If shorter than `retention`, live claims are appended again after half of it.
    Duration logRetention = std::chrono::hours(48);
    double appendsPerSecond = 6;
    double appendBurst = 6;
    size_t maxBatchBytes = size_t{128} * 1024;
    size_t maxBatchClaims = 2000;
    size_t maxClaims = 100'000;
    /// Memory limit for the claims of one range. At the limit new keys are refused and responses are not recorded; no
    /// claim is dropped before its retention ends.
    size_t maxClaimBytes = size_t{24} * 1024 * 1024;
    /// New claims are refused while this many are queued for the log, about one second's worth.
    size_t maxQueuedClaims = 3000;
    size_t maxRecordedBodyBytes = size_t{4} * 1024;
    /// Limit for the total size of the header names and values recorded with a response.
    size_t maxRecordedHeaderBytes = size_t{2} * 1024;
    /// A slower append counts as failed when deciding whether to enter unlogged mode.
    Duration slowAppendThreshold = milliseconds(250);
    /// How long a new home domain waits for the previous one to hand the range over. A configuration change takes effect
    /// everywhere within 7 s unless a domain is partitioned.
    Duration handoverTimeout = seconds(30);
    /// How long a released claim stays in memory, so that a delayed duplicate of its `claim.begin` is recognized.
    Duration releasedRetention = std::chrono::minutes(2);
};

/// Returns a hash of the method, the path with its query, and the body length. All attempts of a key must have the same.
auto requestFingerprint(std::string_view method, std::string_view path, std::optional<uint64_t> bodyLength) -> uint64_t;

/// Returns the hash range that the key belongs to, from 0 to kRangeCount - 1.
auto claimRange(const ClaimKey &key) -> uint32_t;

/// Returns the home domain of a range by rendezvous hashing over `domains`, the failure domains listed on the log, or an
/// empty name if there are none. The result does not depend on the order of the list.
auto homeDomainOf(uint32_t range, const std::vector<DomainName> &domains) -> DomainName;

/// Returns "claimed", "done", "unknown" or "released".
auto claimStateName(ClaimState state) -> std::string_view;

/// Returns the state with this name, or nothing if the name is unknown.
auto parseClaimState(std::string_view name) -> std::optional<ClaimState>;

} // namespace snipestream
