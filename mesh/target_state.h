#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace snipestream
{

/// Names one start of a target. Neither the address of its VM nor its instance does: a new VM with a target of another service
/// may get the address, and a target may keep its instance when it starts again.
struct TargetId {
    ServiceName service;
    /// Empty if the VM has no target.
    std::string instance;
    /// In milliseconds since the Unix epoch, or 0 if the target does not tell its start.
    int64_t startedAtMs = 0;

    friend auto operator==(const TargetId &a, const TargetId &b) -> bool
    {
        return a.service == b.service && a.instance == b.instance && a.startedAtMs == b.startedAtMs;
    }
    friend auto operator!=(const TargetId &a, const TargetId &b) -> bool
    {
        return !(a == b);
    }
};

/// Number of departures of a VM that are kept. A delayed announcement is seconds late, and a VM gets no more new targets in that
/// time.
inline constexpr size_t kMaxDepartures = 4;

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

/// A target that leaves or has left. It gets no new requests, whatever arrives from it later.
struct DepartedTarget {
    std::string instance;
    /// Announcements of this and earlier starts are ignored. In milliseconds since the Unix epoch, or 0 if the target does not
    /// tell its start.
    int64_t startedAtMs = 0;

    friend auto operator==(const DepartedTarget &a, const DepartedTarget &b) -> bool
    {
        return a.instance == b.instance && a.startedAtMs == b.startedAtMs;
    }
};

/// State of the target on this node's VM, according to its announcements.
struct TargetState {
    /// Empty if no target has announced itself, or if it has left.
    std::optional<TargetAnnouncement> latest;
    /// Targets that left last, the latest one at the end. Their delayed announcements are ignored.
    std::vector<DepartedTarget> departures;
    /// The target has deregistered and no other has announced itself since.
    bool hasDeregistered = false;
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

/// Updates the state with an announcement that arrived at `now`, and at `nowMs` by the time of day. An announcement that the
/// target drains holds even if it is a delayed one or does not give the target's start; see applyDeparture().
auto applyAnnouncement(TargetState &state, TargetAnnouncement announcement, TimePoint now, int64_t nowMs) -> AnnouncementEffect;

/// Records that the instance leaves, after which it gets no new requests. `startedAtMs` is its start in milliseconds
/// since the Unix epoch, or 0 if the message does not give it. If it is not known either, all starts until `nowMs`, the time
/// of day, count as departed. Returns false if the instance is not the current one.
auto applyDeparture(TargetState &state, const std::string &instance, int64_t startedAtMs, int64_t nowMs) -> bool;

/// Adds departures that an earlier process of this node recorded. Returns whether the current target is one of them and gets
/// no more requests.
auto restoreDepartures(TargetState &state, const std::vector<DepartedTarget> &departures) -> bool;

/// Returns whether new requests may be sent to the target.
auto isServing(const TargetState &state) -> bool;

} // namespace snipestream
