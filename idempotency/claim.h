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

/// Names one logical request: the same idempotency key of two teams is two keys.
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

/// Hashes a ClaimKey for tables; not stable between versions.
struct ClaimKeyHash {
    auto operator()(const ClaimKey &key) const noexcept -> size_t
    {
        return std::hash<std::string>{}(key.team.value) * 31 + std::hash<std::string>{}(key.idempotencyKey);
    }
};

/// Longest idempotency key that a claim accepts, in bytes; longer ones are refused as BadRequest before the claim.
inline constexpr size_t kMaxIdempotencyKeyBytes = 255;

/// The first response to a request, kept whole so that a repeat gets the same answer.
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

/// What is known about the run that a claim allows.
enum class ClaimState : uint8_t {
    /// The key is reserved for one attempt, which may be running.
    Claimed,
    /// The attempt ended with a response of the target.
    Done,
    /// The attempt may have run; nobody will report how it ended.
    Unknown,
    /// The attempt is proven not to have run; the key may be claimed again.
    Released,
};

/// How an attempt ended, as its entry node reports it.
enum class OutcomeKind : uint8_t {
    Done,
    NotRun,
    Unknown,
};

/// The report of an attempt's end. `response` is set for Done if the complete response is small enough to be recorded.
struct Outcome {
    OutcomeKind kind = OutcomeKind::Unknown;
    std::optional<RecordedResponse> response;
};

/// The payload of `claim.begin`.
struct BeginRequest {
    ClaimKey key;
    /// From requestFingerprint(); a repeat must describe the same request.
    uint64_t fingerprint = 0;
    /// Drawn by the entry node for this attempt and for no other.
    RequestId attempt;
    /// From the caller's Snipestream-Attempt header, 1 if it is absent. An attempt with a lower number than one already
    /// seen is refused, so that a delayed earlier attempt cannot run after a later one was refused with not-run.
    uint32_t attemptNumber = 1;
    NodeName entryNode;
    /// Time left to the deadline of the request when it was sent.
    Duration timeLeft{};
};

/// The claim holds; the entry node may dispatch this attempt once.
struct Granted {
};

/// The claim is not yet on the log; the verdict follows from a later call with the same attempt id.
struct Wait {
};

/// The key has run; this is the first response.
struct Replay {
    RecordedResponse response;
};

/// The claim is refused. `reason` is InProgress, AlreadyRun, ClaimUnavailable or BadRequest (other fingerprint).
struct Refused {
    Refusal refusal;
};

/// The answer to `claim.begin`.
using ClaimDecision = std::variant<Granted, Wait, Replay, Refused>;

/// What the lease package says about this node's ownership of a (home domain, range), computed at the moment of the
/// call that it is passed to.
struct OwnerView {
    /// True while a majority of witnesses confirms this node.
    bool valid = false;
    uint64_t epoch = 0;
    /// True if the witnesses hold the unlogged bit of any earlier epoch that no later owner has cleared.
    bool predecessorMayBeUnlogged = false;
    /// True once a majority of witnesses holds the bit set by this epoch; false again once a majority has cleared it.
    /// It must refer to the latest bit request (OwnerOutputs::bitRequestNumber).
    bool unloggedConfirmed = false;
};

/// Limits of the claim system; the defaults are those of the design page.
struct ClaimSettings {
    Duration retention = std::chrono::hours(24);
    /// How long the log keeps records. If that is shorter than `retention`, live claims are appended again at its half.
    Duration logRetention = std::chrono::hours(48);
    double appendsPerSecond = 6;
    double appendBurst = 6;
    size_t maxBatchBytes = size_t{128} * 1024;
    size_t maxBatchClaims = 2000;
    size_t maxClaims = 100'000;
    /// Memory that the claims of one range may take, in bytes. New claims are refused beyond it, and responses are no
    /// longer recorded; no claim is forgotten early.
    size_t maxClaimBytes = size_t{24} * 1024 * 1024;
    /// New claims are refused while this many wait for the log, which is about a second's worth.
    size_t maxWaiting = 3000;
    size_t maxRecordedBodyBytes = size_t{4} * 1024;
    /// Largest sum of header names and values that is recorded with a response.
    size_t maxRecordedHeaders = size_t{2} * 1024;
    /// An append that takes longer than this counts as failed for the decision to keep claims in memory.
    Duration slowAppend = milliseconds(250);
    /// How long a new home domain waits for the old one to hand the range over; a configuration change is in force
    /// everywhere within 7 s unless a domain is partitioned.
    Duration handoverWait = seconds(30);
    /// How long a released claim stays in memory, so that a delayed duplicate of its begin is recognised.
    Duration releasedKept = std::chrono::minutes(2);
};

/// Returns the hash of method, path with query and body length that a repeated key must match.
auto requestFingerprint(std::string_view method, std::string_view path, std::optional<uint64_t> bodyLength) -> uint64_t;

/// Returns the range of an idempotency key, from 0 to kRangeCount - 1.
auto claimRange(const ClaimKey &key) -> uint32_t;

/// Returns the home domain of a range by rendezvous hash over the failure domains on the log, or an empty name if there
/// are none. The order of the list has no influence.
auto homeDomainOf(uint32_t range, const std::vector<DomainName> &domains) -> DomainName;

/// Returns "claimed", "done", "unknown" or "released".
auto claimStateName(ClaimState state) -> std::string_view;

/// Parses a state name; empty if there is no such state.
auto parseClaimState(std::string_view name) -> std::optional<ClaimState>;

} // namespace snipestream
