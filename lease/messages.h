#pragma once

#include "lease/record.h"

namespace snipestream
{

/// Whether idempotency claims of earlier epochs may be missing on the log, as far as a witness knows. A holder sets the
/// bit before it keeps claims in memory only.
enum class UnloggedBit {
    Clear,
    Set,
    /// The witness restarted after the bit may have been set. A successor treats it as set unless a majority of the
    /// witnesses reports Clear.
    Unknown,
};

/// A holder asks a witness for its confirmation (method lease.ping). The message also carries the unlogged bit of the
/// epoch, so that the bit is set by a ping to all witnesses.
struct LeasePing {
    LeaseKey key;
    uint64_t epoch = 0;
    NodeName holder;
    uint64_t incarnation = 0;
    /// Send time on the holder's clock in nanoseconds, returned unchanged by the witness.
    int64_t sentAt = 0;
    /// The last incarnation of the witness that the holder has seen, zero if none. If the witness has restarted since,
    /// it does not store a clear bit from this ping, because the ping may be older than a set bit that the restart
    /// lost.
    uint64_t witnessIncarnation = 0;
    uint64_t unloggedNumber = 0;
    bool unlogged = false;
    /// The claims behind the unlogged bits of all earlier epochs have been resolved on the log.
    bool priorResolved = false;
};

/// The response of a witness to a ping.
struct LeasePong {
    LeaseKey key;
    uint64_t epoch = 0;
    /// Incarnation of the holder, copied from the ping.
    uint64_t incarnation = 0;
    int64_t sentAt = 0;
    NodeName witness;
    uint64_t witnessIncarnation = 0;
    /// The witness confirms (vouches for) the holder.
    bool vouched = false;
    /// Number of the unlogged state in the ping. The witness stores the state with this number if `stored` is set.
    uint64_t unloggedNumber = 0;
    bool stored = false;
    /// Unlogged bit of the earlier epochs.
    UnloggedBit prior = UnloggedBit::Unknown;
};

/// A holder that has stopped for good informs its witnesses, so that they confirm its successor without the usual delay
/// (method lease.release).
struct LeaseRelease {
    LeaseKey key;
    uint64_t epoch = 0;
    NodeName holder;
    uint64_t incarnation = 0;
};

auto toJson(const LeasePing &ping) -> nlohmann::json;
auto toJson(const LeasePong &pong) -> nlohmann::json;
auto toJson(const LeaseRelease &release) -> nlohmann::json;

/// These functions return InvalidInput with the name of the missing or invalid field.
auto leasePingFromJson(const nlohmann::json &json) -> Result<LeasePing>;
auto leasePongFromJson(const nlohmann::json &json) -> Result<LeasePong>;
auto leaseReleaseFromJson(const nlohmann::json &json) -> Result<LeaseRelease>;

} // namespace snipestream
