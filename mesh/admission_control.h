#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "mesh/peer_table.h"
#include "mesh/policy.h"

#include <deque>
#include <string_view>
#include <vector>

namespace snipestream
{

/// Constants of the admission of callers' requests to one service.
struct AdmissionControlSettings {
    /// Time between two steps.
    Duration window = milliseconds(100);
    /// Load of the slots that the admitted part is steered to. Below one, so that a queue gets shorter again.
    double wantedLoad = 0.95;
    /// Time from the admission of a request to the report of the load that it caused below: a report's interval, the
    /// averaging of the load, and the calls in between.
    Duration reportDelay = milliseconds(500);
    /// Part of the difference to the right admission that one window corrects.
    double gain = 0.3;
    /// Largest growth against the admission that caused the load, since little load says little about much.
    double mostGrowth = 1.5;
    /// Part that is always let through, so that the end of an overload is noticed.
    double leastAdmitted = 0.03;
};

/// Admission of callers' requests to one service at the node where they enter: before any work was done for them, and
/// the least important first.
struct AdmissionControl {
    /// Part of the arriving requests that is let through.
    double admitted = 1;
    TimePoint steppedAt;
    /// Admitted part of the last windows, the latest one last.
    std::deque<double> history;
    /// Arrivals by class, decayed over about a second. Classes are in the order in which they are shed.
    std::vector<double> arrivals;
    TimePoint decayedAt;
};

/// Returns the priorities that callers' requests can have under the policy, the least important one first.
auto clientPriorities(const Policy &policy) -> std::vector<int>;

/// Returns the class of a request. Within a priority, a request that comes back after a refusal is shed after those that
/// come for the first time: its caller was told to come back, and waits already.
auto shedClass(const std::vector<int> &priorities, int priority, bool isReturning) -> size_t;

/// Returns the load of the targets of the service together, or of the service called by them, at any depth, where it is
/// highest.
auto serviceLoad(const PeerTable &table, const ServiceName &service, TimePoint now) -> double;

/// Counts an arrival.
void countArrival(AdmissionControl &control, size_t shedClass, TimePoint now);

/// Moves the admitted part towards the one that causes the wanted load, if a window has passed. `load` was caused by what
/// was admitted before the report delay; correcting what is admitted now by it would make the admission swing.
void stepAdmission(AdmissionControl &control, const AdmissionControlSettings &settings, double load, TimePoint now);

/// Returns the part of the class that is shed.
auto shedPart(const AdmissionControl &control, size_t shedClass) -> double;

/// Returns whether a request of the class is shed; which ones are, the hash of the request id decides.
auto isShed(const AdmissionControl &control, size_t shedClass, std::string_view requestId) -> bool;

} // namespace snipestream
