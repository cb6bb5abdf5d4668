#pragma once

#include "core/time.h"

#include <cstddef>

namespace snipestream
{

/// Steps of a planned stop, in their order.
enum class StopStep {
    /// No stop was requested.
    None,
    /// Callers and other nodes are told to leave. Requests that still arrive are served.
    Serving,
    /// New requests are refused, because there might not be enough time left for them. Those in progress go on.
    Refusing,
    /// Requests that are still in progress get their final responses.
    Concluding,
    /// No connection is accepted any more. The last responses are on their way.
    Closing,
    /// The process may end.
    Ended,
};

/// Durations of a planned stop.
struct StopSettings {
    /// Time from the stop request until the process is killed.
    Duration stopTime = seconds(6);
    /// Fraction of the stop time for which new requests are served.
    double servingFraction = 0.45;
    /// Maximum time for which new requests are served. Callers have learned by then that the node leaves, so a longer stop
    /// time is left to the requests in progress.
    Duration maxServingTime = milliseconds(2700);
    /// Minimum time for which the node goes on. Callers check readiness once a second, and within two checks they have
    /// learned that the node accepts no new requests.
    Duration minTime = milliseconds(2600);
    /// The node closes after this time without a request.
    Duration idleTime = milliseconds(300);
    /// Final responses are sent this long before the process is killed, or less if the stop time is short.
    Duration maxConclusionMargin = milliseconds(600);
    /// Targets get deadlines that end this long before the final responses are sent, or less if the stop time is short, so that
    /// their own responses still arrive.
    Duration maxResponseMargin = milliseconds(100);
    /// The process ends by itself this long before it would be killed, or less if the stop time is short.
    Duration maxEndMargin = milliseconds(250);
    /// Maximum time to wait until callers have closed connections on which everything has been sent.
    Duration maxLingerTime = milliseconds(300);
};

/// What keeps a stopping node from its end.
struct StopLoad {
    /// Requests that have been read and whose response has not been sent completely.
    size_t requests = 0;
    /// Connections with such requests, those on which a request arrives, and those on which everything has been sent and that
    /// their callers have not closed.
    size_t busyConnections = 0;
    TimePoint lastRequestAt;
};

/// Progress of a planned stop.
struct StopSchedule {
    StopStep step = StopStep::None;
    TimePoint requestedAt;
    TimePoint closingSince;
};

/// Begins the stop. Has no effect if it has already begun.
void beginStop(StopSchedule &schedule, TimePoint now);

/// Moves on to the step that is due. Steps are never repeated, and some are left out, but requests in progress get their final
/// responses however late this is called.
void advanceStop(StopSchedule &schedule, const StopSettings &settings, const StopLoad &load, TimePoint now);

auto isStopping(const StopSchedule &schedule) -> bool;

/// Returns whether new requests are refused.
auto refusesRequests(const StopSchedule &schedule) -> bool;

/// Returns the deadline of a request that is taken now: that of its sender, or an earlier one if the node stops, so that
/// queues and targets give up while their response can still be sent.
auto deadlineWithin(const StopSchedule &schedule, const StopSettings &settings, TimePoint senderDeadline) -> TimePoint;

/// Returns whether a call that the local target makes may be taken. Calls are taken until later than other requests, because
/// the request that makes them fails without them, but only if their sender gives up before the final responses are sent.
auto mayTakeCall(const StopSchedule &schedule, const StopSettings &settings, TimePoint senderDeadline) -> bool;

/// Returns when requests that are still in progress get their final responses, or TimePoint::max() if no stop was
/// requested.
auto conclusionTime(const StopSchedule &schedule, const StopSettings &settings) -> TimePoint;

} // namespace snipestream
