#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "mesh/peer_table.h"
#include "mesh/policy.h"

#include <string_view>
#include <tuple>
#include <vector>

namespace snipestream
{

/// Constants of the admission of callers' requests.
struct AdmissionControlSettings {
    /// Time between two steps.
    Duration window = milliseconds(100);
    /// Load of the slots that the admitted work is steered to. Below one, so that a queue gets shorter again.
    double wantedLoad = 0.95;
    /// Part by which one window corrects the estimate of the work that requests cause. Its effect shows in the load half
    /// a second later, so ten windows must not correct much more than the error.
    double gain = 0.05;
    /// Bounds of that correction. Estimates are means of measured runs; beyond a factor of two, something else is wrong.
    double leastCorrection = 0.4;
    double mostCorrection = 1.6;
    /// Part of the mean admission that every priority gets, and in it every class. A team or a kind of request counts as
    /// starved if it is served a quarter as often as all; the difference is for what fails later.
    double leastPriorityPart = 0.4;
    double leastClassPart = 0.3;
};

/// Admission, at the node where they enter, of callers' requests that cause work at one service, directly or by the
/// calls that they lead to: before any work was done for them, and the least important first.
struct AdmissionControl {
    /// Work of this node's arriving requests by class, in slots, averaged over a fraction of a second. Classes are in the
    /// order in which they are shed.
    std::vector<double> arrivals;
    TimePoint decayedAt;
    /// Work that arrives at all nodes, by class.
    std::vector<double> wanted;
    /// Part of that work that is let through.
    double admittedFraction = 1;
    /// Part of each class that is shed.
    std::vector<double> shed;
    /// Measured effect of the admitted work on the service's load, against the estimated one.
    double correction = 1;
    TimePoint updatedAt;
};

/// Room of a service's targets.
struct ServiceCapacity {
    /// Slots of those that take requests.
    double slots = 0;
    /// Work that arrives there, as a part of the slots.
    double load = 0;
    /// Targets of the service are known, whether they take requests or not.
    bool isKnown = false;
};

/// Importance of a caller's request. Lower numbers are more important; the first one decides.
struct Importance {
    /// Priority of the team, or of the route if the team has none.
    int priority = 0;
    /// Orders requests of one priority.
    int routePriority = 0;

    friend auto operator==(const Importance &a, const Importance &b) -> bool
    {
        return a.priority == b.priority && a.routePriority == b.routePriority;
    }
    friend auto operator<(const Importance &a, const Importance &b) -> bool
    {
        return std::tie(a.priority, a.routePriority) < std::tie(b.priority, b.routePriority);
    }
};

/// Returns the importance that callers' requests can have under the policy, the least important first.
auto importanceLevels(const Policy &policy) -> std::vector<Importance>;

/// Returns the importance of a request; `team` is null if the request has none.
auto importanceOf(const RoutePolicy &route, const TeamPolicy *team) -> Importance;

/// Returns the class of a request. Within an importance, a request that comes back after a refusal is shed after those that
/// come for the first time: its caller was told to come back, and waits already.
auto shedClass(const std::vector<Importance> &known, const Importance &importance, bool isReturning) -> size_t;

/// Returns the room of the service, by the reports of nodes that are alive.
auto serviceCapacity(const PeerTable &table, const ServiceName &service, TimePoint now) -> ServiceCapacity;

/// Counts an arrival that causes the given slot time at the service.
void countArrival(AdmissionControl &control, size_t shedClass, double slotSeconds, TimePoint now);

/// Returns the work of this node's arrivals by class, as of now.
auto arrivingWork(const AdmissionControl &control, TimePoint now) -> std::vector<double>;

/// Sums the work that arrives for the service at this node and, by their reports, at the others that are alive.
auto totalDemand(const PeerTable &table, const ServiceName &service, const AdmissionControl &own, TimePoint now) -> std::vector<double>;

/// Sets what is admitted, if a window has passed: the part of the wanted work that fits into the room, most important
/// first. `known` gives the importance of the classes. Without a target that takes requests, nothing is admitted:
/// requests would fail after their work began.
void updateAdmission(AdmissionControl &control, const AdmissionControlSettings &settings, const std::vector<Importance> &known, const ServiceCapacity &room,
                     std::vector<double> wanted, TimePoint now);

/// Divides work that fits among those that want it, the least important first. Each gets `leastPart` of the mean; what is
/// left goes to the most important.
auto divideWork(double fits, const std::vector<double> &wanted, double leastPart) -> std::vector<double>;

/// Returns the part of the class that is shed.
auto shedFraction(const AdmissionControl &control, size_t shedClass) -> double;

/// Returns whether a request is shed if `part` of its class is; the hash of the request id decides, so that services
/// that shed the same part shed the same requests.
auto isShed(double part, std::string_view requestId) -> bool;

} // namespace snipestream
