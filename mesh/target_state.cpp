#include "mesh/target_state.h"

namespace snipestream
{

namespace
{

auto hasLeft(const TargetState &state, const std::string &instance, int64_t startedAtMs) -> bool
{
    return !state.leftInstance.empty() && state.leftInstance == instance && startedAtMs <= state.leftStartedAtMs;
}

auto isOlder(const TargetAnnouncement &announcement, const TargetAnnouncement &known) -> bool
{
    if (announcement.startedAtMs != known.startedAtMs) {
        return announcement.startedAtMs < known.startedAtMs;
    }
    return announcement.instance == known.instance && announcement.sequence <= known.sequence;
}

} // namespace

auto applyAnnouncement(TargetState &state, const TargetAnnouncement &announcement, TimePoint now) -> AnnouncementEffect
{
    if (hasLeft(state, announcement.instance, announcement.startedAtMs)) {
        return AnnouncementEffect::Stale;
    }
    const bool known = state.latest.has_value();
    if (known && isOlder(announcement, *state.latest)) {
        return AnnouncementEffect::Stale;
    }
    const bool sameStart = known && state.latest->instance == announcement.instance && state.latest->startedAtMs == announcement.startedAtMs;
    // A target does not come back from draining within one start; such an announcement was overtaken.
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
    state.leftInstance = instance;
    state.leftStartedAtMs = startedAtMs;
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
