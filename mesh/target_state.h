#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace snipestream
{

/// Announcement that a target sends to the node on its VM.
struct TargetAnnouncement {
    /// Unique among targets. A target may keep it when it restarts.
    std::string instance;
    ServiceName service;
    DomainName domain;
    Endpoint endpoint;
    /// Number of requests that the target runs at once.
    int slots = 1;
    /// The target takes no new requests.
    bool draining = false;
    /// Time for which the target remains slow after its start.
    Duration warmupLeft{};
    /// Increases with each announcement after one start of the target.
    uint64_t sequence = 0;
    /// Time when the target started, in milliseconds since the Unix epoch. Each start restarts `sequence`.
    int64_t startedAtMs = 0;

    friend auto operator==(const TargetAnnouncement &a, const TargetAnnouncement &b) -> bool
    {
        return a.instance == b.instance && a.service == b.service && a.domain == b.domain && a.endpoint == b.endpoint && a.slots == b.slots
            && a.draining == b.draining && a.warmupLeft == b.warmupLeft && a.sequence == b.sequence && a.startedAtMs == b.startedAtMs;
    }
};

/// State of the target on this node's VM, according to its announcements.
struct TargetState {
    /// Empty if no target has announced itself, or if it has left.
    std::optional<TargetAnnouncement> latest;
    /// Instance that left last. Its delayed announcements are ignored, so that they do not bring it back.
    std::string departedInstance;
    int64_t departedStartedAtMs = 0;
    /// When the latest announcement that was not stale arrived.
    TimePoint lastAnnouncementAt;
    /// The target has refused a connection since its latest announcement.
    bool unreachable = false;
    /// End of the warm-up, calculated when the latest announcement arrived.
    TimePoint warmupUntil;
};

/// Effect of an announcement on the state of the target.
enum class AnnouncementEffect {
    /// The announcement confirms the current state.
    Renewed,
    /// The target is new, has restarted or can be reached again.
    Ready,
    /// The target has started to drain.
    Draining,
    /// The announcement was overtaken by a newer one or by the target's departure and is ignored.
    Stale,
};

/// Updates the state with an announcement that arrived at `now`.
auto applyAnnouncement(TargetState &state, const TargetAnnouncement &announcement, TimePoint now) -> AnnouncementEffect;

/// Records that the instance leaves, after which it gets no new requests. `startedAtMs` is its start in milliseconds
/// since the Unix epoch, or 0 if the message does not give it. Returns false if the instance is not the current one.
auto applyDeparture(TargetState &state, const std::string &instance, int64_t startedAtMs) -> bool;

/// Returns whether new requests may be sent to the target.
auto isServing(const TargetState &state) -> bool;

} // namespace snipestream
