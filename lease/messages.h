#pragma once

#include "lease/record.h"

namespace snipestream
{

/// What a witness knows about the claims of earlier epochs that may be missing on the log.
enum class UnloggedBit {
    Clear,
    Set,
    /// The witness restarted after the bit may have been set. A successor counts it as set unless a majority is clear.
    Unknown,
};

/// A holder asks a witness to confirm it (method lease.ping). The same message carries the unlogged bit of the epoch,
/// so that setting the bit is a ping to all witnesses.
struct LeasePing {
    LeaseKey key;
    uint64_t epoch = 0;
    NodeName holder;
    uint64_t incarnation = 0;
    /// Send time on the holder's clock in nanoseconds; the witness only returns it.
    int64_t sentAt = 0;
    /// Incarnation of the witness that the holder last heard from, zero if none. A witness that restarted since learns
    /// nothing from this ping about earlier state, because the ping may be older than that state.
    uint64_t witnessIncarnation = 0;
    uint64_t unloggedNumber = 0;
    bool unlogged = false;
    /// The bits of all earlier epochs have been dealt with on the log.
    bool priorResolved = false;
};

/// The answer of a witness to a ping.
struct LeasePong {
    LeaseKey key;
    uint64_t epoch = 0;
    /// Incarnation of the holder as in the ping.
    uint64_t incarnation = 0;
    int64_t sentAt = 0;
    NodeName witness;
    uint64_t witnessIncarnation = 0;
    bool vouched = false;
    /// The unlogged state with this number is stored at the witness; valid only with `stored`.
    uint64_t unloggedNumber = 0;
    bool stored = false;
    /// State of the earlier epochs.
    UnloggedBit prior = UnloggedBit::Unknown;
};

/// A holder that stopped for good tells its witnesses, so that its successor need not wait (method lease.release).
struct LeaseRelease {
    LeaseKey key;
    uint64_t epoch = 0;
    NodeName holder;
    uint64_t incarnation = 0;
};

auto toJson(const LeasePing &ping) -> nlohmann::json;
auto toJson(const LeasePong &pong) -> nlohmann::json;
auto toJson(const LeaseRelease &release) -> nlohmann::json;

/// These return InvalidInput with the name of the field that is missing or wrong.
auto leasePingFromJson(const nlohmann::json &json) -> Result<LeasePing>;
auto leasePongFromJson(const nlohmann::json &json) -> Result<LeasePong>;
auto leaseReleaseFromJson(const nlohmann::json &json) -> Result<LeaseRelease>;

} // namespace snipestream
