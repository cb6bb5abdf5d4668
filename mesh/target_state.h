#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace snipestream
{

/// What a target says of itself in one announcement.
struct TargetAnnouncement {
    /// Differs between targets; a target that restarts may keep it.
    std::string instance;
    ServiceName service;
    DomainName domain;
    Endpoint endpoint;
    int slots = 1;
    bool draining = false;
    /// How much longer the target is slow after its start.
    Duration warmupLeft{};
    /// Grows with each announcement of one start of the target.
    uint64_t sequence = 0;
    /// Start of the target, in milliseconds since the Unix epoch. A later start starts `sequence` anew.
    int64_t startedAtMs = 0;

    friend auto operator==(const TargetAnnouncement &a, const TargetAnnouncement &b) -> bool
    {
        return a.instance == b.instance && a.service == b.service && a.domain == b.domain && a.endpoint == b.endpoint && a.slots == b.slots
            && a.draining == b.draining && a.warmupLeft == b.warmupLeft && a.sequence == b.sequence && a.startedAtMs == b.startedAtMs;
    }
};

/// What this node believes of the target on its VM.
struct TargetState {
    std::optional<TargetAnnouncement> latest;
    /// Earlier instance that left; a late announcement of it must not bring it back.
    std::string leftInstance;
    int64_t leftStartedAtMs = 0;
    /// When the last announcement that counted arrived.
    TimePoint lastAnnouncementAt;
    /// The target refused connections since its last announcement.
    bool unreachable = false;
    /// When `latest.warmupLeft` was true.
    TimePoint warmupUntil;
};

/// What an announcement did.
enum class AnnouncementEffect {
    /// Nothing but a renewal.
    Renewed,
    /// The target is new, restarted or ready again.
    Ready,
    /// The target started to drain with this announcement.
    Draining,
    /// The announcement is older than what is known and changes nothing.
    Stale,
};

/// Takes an announcement into account.
auto applyAnnouncement(TargetState &state, const TargetAnnouncement &announcement, TimePoint now) -> AnnouncementEffect;

/// Takes into account that the instance leaves and gets no new work. Returns false if it is not the current one.
auto applyDeparture(TargetState &state, const std::string &instance, int64_t startedAtMs) -> bool;

/// Returns whether new requests may be sent to the target.
auto isServing(const TargetState &state) -> bool;

} // namespace snipestream
