#include "mesh/target_state.h"

namespace snipestream
{

namespace
{

auto hasDeparted(const TargetState &state, const std::string &instance, int64_t startedAtMs) -> bool
{
    return !state.departedInstance.empty() && state.departedInstance == instance && startedAtMs <= state.departedStartedAtMs;
}

auto isOlder(const TargetAnnouncement &announcement, const TargetAnnouncement &latest) -> bool
{
    if (announcement.startedAtMs != latest.startedAtMs) {
        return announcement.startedAtMs < latest.startedAtMs;
    }
    return announcement.instance == latest.instance && announcement.sequence <= latest.sequence;
}

} // namespace

auto applyAnnouncement(TargetState &state, const TargetAnnouncement &announcement, TimePoint now) -> AnnouncementEffect
{
    if (hasDeparted(state, announcement.instance, announcement.startedAtMs)) {
        return AnnouncementEffect::Stale;
    }
    const bool hasLatest = state.latest.has_value();
    if (hasLatest && isOlder(announcement, *state.latest)) {
        return AnnouncementEffect::Stale;
    }
    const bool sameStart = hasLatest && state.latest->instance == announcement.instance && state.latest->startedAtMs == announcement.startedAtMs;
    // A target never stops draining before it restarts, so an announcement that says so is a delayed one.
    if (sameStart && state.latest->draining && !announcement.draining) {
        return AnnouncementEffect::Stale;
    }
    const bool wasServing = sameStart && isServing(state);
    const bool wasDraining = sameStart && state.latest->draining;
    state.latest = announcement;
    state.lastAnnouncementAt = now;
    state.unreachable = false;
    state.warmupUntil = now + announcement.warmupLeft;
    if (announcement.draining) {
        return wasDraining ? AnnouncementEffect::Renewed : AnnouncementEffect::Draining;
    }
    return wasServing ? AnnouncementEffect::Renewed : AnnouncementEffect::Ready;
}

auto applyDeparture(TargetState &state, const std::string &instance, int64_t startedAtMs) -> bool
{
    if (startedAtMs == 0 && state.latest && state.latest->instance == instance) {
        startedAtMs = state.latest->startedAtMs;
    }
    state.departedInstance = instance;
    state.departedStartedAtMs = startedAtMs;
    if (!state.latest || state.latest->instance != instance || state.latest->startedAtMs > startedAtMs) {
        return false;
    }
    state.latest.reset();
    return true;
}

auto isServing(const TargetState &state) -> bool
{
    return state.latest && !state.latest->draining && !state.unreachable;
}

} // namespace snipestream
