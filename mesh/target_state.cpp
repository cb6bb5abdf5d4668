#include "mesh/target_state.h"

#include <algorithm>
#include <utility>

namespace snipestream
{

namespace
{

auto hasDeparted(const TargetState &state, const std::string &instance, int64_t startedAtMs) -> bool
{
    return std::any_of(state.departures.begin(), state.departures.end(), [&](const DepartedTarget &departed) {
        return departed.instance == instance && startedAtMs <= departed.startedAtMs;
    });
}

void addDeparture(TargetState &state, const std::string &instance, int64_t startedAtMs)
{
    auto &departures = state.departures;
    const auto found = std::find_if(departures.begin(), departures.end(), [&](const DepartedTarget &departed) {
        return departed.instance == instance;
    });
    if (found != departures.end()) {
        found->startedAtMs = std::max(found->startedAtMs, startedAtMs);
        return;
    }
    departures.push_back({instance, startedAtMs});
    if (departures.size() > kMaxDepartures) {
        departures.erase(departures.begin());
    }
}

/// Returns the start up to which the departure of the instance counts.
auto startOfDeparture(const TargetState &state, const std::string &instance, int64_t startedAtMs, int64_t nowMs) -> int64_t
{
    if (startedAtMs != 0) {
        return startedAtMs;
    }
    return state.latest && state.latest->instance == instance ? state.latest->startedAtMs : nowMs;
}

auto isOlder(const TargetAnnouncement &announcement, const TargetAnnouncement &latest) -> bool
{
    if (announcement.startedAtMs != latest.startedAtMs) {
        return announcement.startedAtMs < latest.startedAtMs;
    }
    return announcement.instance == latest.instance && announcement.sequence <= latest.sequence;
}

} // namespace

auto applyAnnouncement(TargetState &state, TargetAnnouncement announcement, TimePoint now, int64_t nowMs) -> AnnouncementEffect
{
    if (announcement.draining) {
        announcement.startedAtMs = startOfDeparture(state, announcement.instance, announcement.startedAtMs, nowMs);
    }
    const bool isDeparted = hasDeparted(state, announcement.instance, announcement.startedAtMs);
    if (announcement.draining) {
        addDeparture(state, announcement.instance, announcement.startedAtMs);
    }
    const bool hasLatest = state.latest.has_value();
    if (hasLatest && isOlder(announcement, *state.latest)) {
        if (state.latest->draining || !hasDeparted(state, state.latest->instance, state.latest->startedAtMs)) {
            return AnnouncementEffect::Stale;
        }
        state.latest->draining = true;
        return AnnouncementEffect::Draining;
    }
    const bool sameStart = hasLatest && state.latest->instance == announcement.instance && state.latest->startedAtMs == announcement.startedAtMs;
    // A target never stops draining before it restarts, so an announcement that says so is a delayed one.
    const bool leaves = isDeparted || (sameStart && state.latest->draining);
    if (leaves && !(sameStart && announcement.draining)) {
        return AnnouncementEffect::Stale;
    }
    const bool wasServing = sameStart && isServing(state);
    const bool wasDraining = sameStart && state.latest->draining;
    state.latest = announcement;
    state.lastAnnouncementAt = now;
    state.hasDeregistered = false;
    state.unreachable = false;
    state.warmupUntil = now + announcement.warmupLeft;
    if (announcement.draining) {
        return wasDraining ? AnnouncementEffect::Renewed : AnnouncementEffect::Draining;
    }
    return wasServing ? AnnouncementEffect::Renewed : AnnouncementEffect::Ready;
}

auto applyDeparture(TargetState &state, const std::string &instance, int64_t startedAtMs, int64_t nowMs) -> bool
{
    startedAtMs = startOfDeparture(state, instance, startedAtMs, nowMs);
    addDeparture(state, instance, startedAtMs);
    if (!state.latest || state.latest->instance != instance || state.latest->startedAtMs > startedAtMs) {
        return false;
    }
    state.latest.reset();
    state.hasDeregistered = true;
    return true;
}

auto restoreDepartures(TargetState &state, const std::vector<DepartedTarget> &departures) -> bool
{
    const auto later = std::exchange(state.departures, {});
    for (const auto *const list : {&departures, &later}) {
        for (const auto &departed : *list) {
            addDeparture(state, departed.instance, departed.startedAtMs);
        }
    }
    if (!state.latest || state.latest->draining || !hasDeparted(state, state.latest->instance, state.latest->startedAtMs)) {
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
