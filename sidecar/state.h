#pragma once

#include "core/line_log.h"
#include "core/metrics.h"
#include "core/random.h"
#include "http/call_pool.h"
#include "http/message_server.h"
#include "mesh/admission_control.h"
#include "mesh/concurrency_limiter.h"
#include "mesh/load_balancing.h"
#include "mesh/peer_table.h"
#include "mesh/policy.h"
#include "mesh/rate_share.h"
#include "mesh/split.h"
#include "mesh/target_state.h"
#include "mesh/work_graph.h"
#include "net/fiber_event.h"
#include "net/fiber_runtime.h"
#include "platform/store_client.h"
#include "retry/ratio.h"
#include "sidecar/settings.h"

#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace snipestream
{

/// A request that waits at the gate.
struct GateWait {
    FiberEvent event;
    bool decided = false;
    bool start = false;
};

/// Rows of the metrics of one route that are used with every answer.
struct RouteMetrics {
    Counter *answered = nullptr;
    Histogram *seconds = nullptr;
};

/// Everything that the process knows. All of it lives on one thread; fibers look rows up again after each wait.
struct SidecarState {
    SidecarState(FiberRuntime &runtimeUsed, SidecarSettings chosen);

    FiberRuntime &runtime;
    SidecarSettings settings;
    Random random;
    MetricsRegistry metrics;
    std::unordered_map<RouteName, RouteMetrics> routeMetrics;
    LineLog log;
    uint64_t incarnation = 0;
    uint64_t reportSequence = 0;

    /// Empty until the store or a peer gave one.
    std::shared_ptr<const Policy> policy;
    /// Importance of callers' requests under the policy, the least important first.
    std::vector<Importance> importance;
    /// When the read that confirmed the policy was sent: keys withdrawn before are known here.
    TimePoint policyConfirmedAt;
    bool keyedSuspended = true;

    PeerTable peers;
    LoadBalancingSettings placement;
    SplitTable splits;
    RateTable rates;
    AdmissionControlSettings admissionSettings;
    /// By service that does work for callers' requests, directly or by calls.
    std::map<ServiceName, AdmissionControl> admission;
    /// Work that a caller's request causes, by its kind; rebuilt from the reports several times a second.
    std::unordered_map<WorkKind, WorkByService> workByKind;
    TimePoint workBuiltAt;
    /// Longest time that callers of a route gave; one who gives clearly less comes back after a refusal.
    std::unordered_map<RouteName, Duration> longestTimeLeft;
    /// The other nodes were read from the store.
    bool rosterRead = false;
    /// When the first report of another node arrived.
    TimePoint firstHeardAt;

    TargetState target;
    ConcurrencyLimiter gate;
    /// First and repeated requests that reached the local target.
    RetryRatio repeats;
    std::unordered_map<LimiterRequestId, GateWait *> waits;
    /// Calls that the local target makes.
    CallPattern calls;

    CallPool peerPool;
    CallPool targetPool;
    CallPool storePool;
    std::unique_ptr<MessageServer> callerServer;
    std::unique_ptr<MessageServer> peerServer;
    std::unique_ptr<MessageServer> readyServer;
    std::unique_ptr<MessageServer> targetServer;
    std::unique_ptr<MessageServer> metricsServer;

    bool leaving = false;
    /// The node has ended; its fibers end with their next wait.
    bool ended = false;
    TimePoint lastRequestAt;
    /// Set by whoever changed what other nodes should know at once.
    bool reportSoon = false;
};

/// Returns whether requests with a key may be served: the policy was confirmed so recently that no key can have been
/// withdrawn for longer than allowed, and the node knows with how many others it shares the rates.
auto mayServeKeys(const SidecarState &state, TimePoint now) -> bool;

/// Returns whether the node takes requests of callers.
auto isReady(const SidecarState &state, TimePoint now) -> bool;

/// Returns whether the node knows the others: from the store, or since they had the time to report themselves. After the
/// first report alone, it would take half of every team's rate for its own.
auto knowsPeers(const SidecarState &state, TimePoint now) -> bool;

/// Returns the load of the local target.
auto localLoad(const SidecarState &state) -> TargetLoad;

} // namespace snipestream
