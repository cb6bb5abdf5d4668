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

/// Settings of the admission control of callers' requests.
struct AdmissionControlSettings {
    /// Interval between two updates of the admitted work.
    Duration window = milliseconds(100);
    /// Utilization of the service's slots that admission aims at. It is below 1 so that queues drain.
    double desiredUtilization = 0.95;
    /// Time in which queued work is drained, by admitting less. The reports of queues are up to half a second old; if they
    /// were drained faster, admission would swing.
    Duration queueDrainTime = seconds(1);
    /// Time from the admission of requests until their work shows in the reported load: that of calls in between and of a
    /// report.
    Duration loadDelay = milliseconds(500);
    /// Fraction of the relative error by which one update corrects the estimated work of requests.
    double gain = 0.05;
    /// Work in slots below which the load says too little about the estimate.
    double minConclusiveSlots = 1;
    /// Bounds of the correction. Estimates are means of measured runs, so an error by more than a factor of about two
    /// has another cause.
    double minCorrection = 0.4;
    double maxCorrection = 1.6;
    /// Minimum admitted fraction of each priority, and of each class within it, relative to the mean. A team or a kind
    /// of request counts as starved if it is served a quarter as often as the mean; the margin is for requests that
    /// fail after their admission.
    double minPriorityFraction = 0.4;
    double minClassFraction = 0.3;
};

/// Admission control at the entry node for callers' requests that cause work at one service, directly or by nested
/// calls. Requests are shed before any work is done for them, the least important first.
struct AdmissionControl {
    /// Work of the requests that arrive at this node by class, in slots, as a decayed mean over a fraction of a second.
    /// Classes are in the order in which they are shed.
    std::vector<double> arrivals;
    TimePoint decayedAt;
    /// Work of the requests that arrive at all nodes by class, in slots, at the targets that this node knows.
    std::vector<double> demand;
    /// Fraction of the demand that is admitted.
    double admittedFraction = 1;
    /// Fraction of the requests of each class that is shed.
    std::vector<double> shedFractions;
    /// `admittedFraction` as a mean that lags behind like the reported load.
    double delayedFraction = 1;
    /// Factor on the work that may be admitted, which corrects the estimated work of requests by the measured load of
    /// the service.
    double correction = 1;
    TimePoint updatedAt;
};

/// Capacity and load of the targets of a service, or of those that this node knows.
struct ServiceCapacity {
    /// Total slots of the targets that take requests.
    double slots = 0;
    /// Work that callers' requests at all nodes would cause at these targets, before any is shed, in slots by class.
    std::vector<double> demand;
    /// Work that arrives at these targets, as a ratio to their slots.
    double load = 0;
    /// Work that is queued at these targets, in slot seconds.
    double queuedSlotSeconds = 0;
    /// Some node has reported a target of the service, whether it takes requests or not.
    bool hasTargets = false;
};

/// Importance of a caller's request. Lower values are more important; `priority` is compared first.
struct Importance {
    /// Priority of the team, or of the route if the team has none.
    int priority = 0;
    /// Priority of the route; compared among requests of one priority.
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

/// Maximum number of classes in the messages between nodes. Each class takes 5 bytes of a message, and a node sends over 100
/// messages a second.
inline constexpr size_t kMaxSheddingClasses = 64;
/// Each importance level has one class for first attempts and one for retries.
inline constexpr size_t kMaxImportanceLevels = kMaxSheddingClasses / 2;

/// Returns the levels of importance that callers' requests have under the policy, the least important first. Each level is
/// named by the least important request in it. Every importance has its own level unless that needs more than
/// `kMaxImportanceLevels`; then neighbouring importances of a priority share one. Neighbouring priorities do so only if there
/// are more priorities than levels.
auto importanceLevels(const Policy &policy) -> std::vector<Importance>;

/// Returns the importance of a request. `team` is nullptr if the request has no team.
auto importanceOf(const RoutePolicy &route, const TeamPolicy *team) -> Importance;

/// Returns the class of a request, below `kMaxSheddingClasses`. `classes` is the result of `importanceLevels`, possibly for
/// another version of the policy than that of the request. Retries are shed after first attempts, because their callers were
/// asked to retry and have already waited.
auto shedClass(const std::vector<Importance> &classes, const Importance &importance, bool isRetry) -> size_t;

/// Returns the capacity of the service according to the reports of its nodes. Only targets whose nodes are alive count in
/// its slots, load and demand.
auto serviceCapacity(const PeerTable &table, const ServiceName &service, TimePoint now) -> ServiceCapacity;

/// Counts the arrival of a request that would take the given slot time at the service, in seconds.
void countArrival(AdmissionControl &control, size_t shedClass, double slotSeconds, TimePoint now);

/// Returns `arrivals` decayed to `now`, in slots by class.
auto arrivingWork(const AdmissionControl &control, TimePoint now) -> std::vector<double>;

/// Updates the fraction of each class that is shed if a window has passed since the last update. Demand that exceeds
/// the capacity is shed, the least important first. `classes` is the result of `importanceLevels`. If no target takes
/// requests, nothing is admitted, since requests would fail after work has been done for them.
void updateAdmission(AdmissionControl &control, const AdmissionControlSettings &settings, const std::vector<Importance> &classes,
                     const ServiceCapacity &capacity, TimePoint now);

/// Divides capacity among demands that are ordered from the least to the most important. Each demand gets `minFraction`
/// of its proportional share; the rest goes to the most important ones.
auto divideCapacity(double capacity, const std::vector<double> &demand, double minFraction) -> std::vector<double>;

/// Returns the fraction of the class that is shed.
auto shedFraction(const AdmissionControl &control, size_t shedClass) -> double;

/// Returns whether a request is shed when `fraction` of its class is. The hash of the request id decides, so that
/// services that shed the same fraction shed the same requests.
auto isShed(double fraction, std::string_view requestId) -> bool;

} // namespace snipestream
