#include "mesh/stop_schedule.h"

#include <algorithm>

namespace snipestream
{

namespace
{

auto servingTime(const StopSettings &settings) -> Duration
{
    const auto fraction = duration_cast<Duration>(std::chrono::duration<double>(settings.stopTime) * settings.servingFraction);
    return std::min(fraction, settings.maxServingTime);
}

auto conclusionMargin(const StopSettings &settings) -> Duration
{
    return std::min(settings.maxConclusionMargin, settings.stopTime / 10);
}

auto responseMargin(const StopSettings &settings) -> Duration
{
    return std::min(settings.maxResponseMargin, settings.stopTime / 60);
}

auto endMargin(const StopSettings &settings) -> Duration
{
    return std::min(settings.maxEndMargin, settings.stopTime / 20);
}

/// Returns the step that follows from the time and the load alone.
auto dueStep(const StopSchedule &schedule, const StopSettings &settings, const StopLoad &load, TimePoint now) -> StopStep
{
    const Duration since = now - schedule.requestedAt;
    if (since >= settings.stopTime - endMargin(settings)) {
        return StopStep::Ended;
    }
    if (schedule.step == StopStep::Closing) {
        const bool isLingerTimeOver = now - schedule.closingSince >= settings.maxLingerTime;
        return load.requests == 0 && (load.busyConnections == 0 || isLingerTimeOver) ? StopStep::Ended : StopStep::Closing;
    }
    const bool isServing = since < servingTime(settings);
    const bool isIdle = load.requests == 0 && now - load.lastRequestAt > settings.idleTime;
    if (isServing ? isIdle && since >= settings.minTime : load.requests == 0) {
        return StopStep::Closing;
    }
    if (since >= settings.stopTime - conclusionMargin(settings)) {
        return StopStep::Concluding;
    }
    return isServing ? StopStep::Serving : StopStep::Refusing;
}

} // namespace

void beginStop(StopSchedule &schedule, TimePoint now)
{
    if (schedule.step != StopStep::None) {
        return;
    }
    schedule.step = StopStep::Serving;
    schedule.requestedAt = now;
}

void advanceStop(StopSchedule &schedule, const StopSettings &settings, const StopLoad &load, TimePoint now)
{
    if (schedule.step == StopStep::None) {
        return;
    }
    // The stop time may be changed by a reload, but requests that were refused must not be served again.
    StopStep step = std::max(schedule.step, dueStep(schedule, settings, load, now));
    if (step == StopStep::Ended && schedule.step < StopStep::Concluding && load.requests > 0) {
        step = StopStep::Concluding;
    }
    if (step == StopStep::Closing && schedule.step != StopStep::Closing) {
        schedule.closingSince = now;
    }
    schedule.step = step;
}

auto isStopping(const StopSchedule &schedule) -> bool
{
    return schedule.step != StopStep::None;
}

auto refusesRequests(const StopSchedule &schedule) -> bool
{
    return schedule.step >= StopStep::Refusing;
}

auto deadlineWithin(const StopSchedule &schedule, const StopSettings &settings, TimePoint senderDeadline) -> TimePoint
{
    return isStopping(schedule) ? std::min(senderDeadline, conclusionTime(schedule, settings) - responseMargin(settings)) : senderDeadline;
}

auto mayTakeCall(const StopSchedule &schedule, const StopSettings &settings, TimePoint senderDeadline) -> bool
{
    return !refusesRequests(schedule) || senderDeadline <= conclusionTime(schedule, settings);
}

auto conclusionTime(const StopSchedule &schedule, const StopSettings &settings) -> TimePoint
{
    return schedule.step == StopStep::None ? TimePoint::max() : schedule.requestedAt + settings.stopTime - conclusionMargin(settings);
}

} // namespace snipestream
