#pragma once

#include "core/line_log.h"
#include "core/metrics.h"
#include "core/random.h"
#include "http/call_pool.h"
#include "http/message_server.h"
#include "mesh/admission_control.h"
#include "mesh/cold_rate.h"
#include "mesh/concurrency_limiter.h"
#include "mesh/evacuation.h"
#include "mesh/learned_limit.h"
#include "mesh/load_balancing.h"
#include "mesh/peer_table.h"
#include "mesh/policy.h"
#include "mesh/split.h"
#include "mesh/stop_schedule.h"
#include "mesh/subscriptions.h"
#include "mesh/target_state.h"
#include "mesh/work_graph.h"
#include "net/fiber_event.h"
#include "net/fiber_runtime.h"
#include "platform/store_client.h"
#include "retry/ratio.h"
#include "sidecar/datagram_socket.h"
#include "sidecar/distribution.h"
#include "sidecar/memory_limit.h"
#include "sidecar/own_record.h"
#include "sidecar/settings.h"
#include "sidecar/token_service.h"

#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace snipestream
{

/// Wait of the fiber whose request is queued at the concurrency limiter.
struct LimiterWait {
    FiberEvent event;
    bool decided = false;
    bool admitted = false;
};

/// Metrics of one route that are updated with every successful response.
struct RouteMetrics {
    Counter *answered = nullptr;
    Histogram *seconds = nullptr;
};

/// State of the node. It is used on one thread only. Another fiber may change it during a wait, so fibers must look up rows
/// again after each wait.
struct SidecarState {
    SidecarState(FiberRuntime &fiberRuntime, SidecarSettings initialSettings);

    FiberRuntime &runtime;
    SidecarSettings settings;
    Random random;
    MetricsRegistry metrics;
    std::unordered_map<RouteName, RouteMetrics> routeMetrics;
    LineLog log;
    uint64_t incarnation = 0;
    uint64_t reportSequence = 0;

    /// Null until a configuration has been read from the store.
    std::shared_ptr<const Policy> policy;
    /// Importance values of callers' requests under the policy, the least important first.
    std::vector<Importance> importance;
    /// When the read that confirmed the policy was sent. Keys withdrawn before then are not accepted.
    TimePoint policyConfirmedAt;
    bool isKeyedServiceSuspended = true;

    PeerTable peers;
    /// The homes that this node subscribes to, and the nodes that subscribe to this one.
    SubscriptionTable subscriptions;
    SubscriberTable subscribers;
    /// When requests for each service arrived last.
    std::map<ServiceName, TimePoint> usedServices;
    /// A request for a service that this node does not subscribe to has arrived since the homes were updated.
    bool areServicesRequired = false;
    TimePoint homesUpdatedAt;
    /// Revision of the members from which the homes were chosen.
    uint64_t homesRevision = 0;
    TimePoint ownReportAt;
    StoreView storeView;
    Evacuation evacuation;
    /// This node reads the store on behalf of others; false until the members are known.
    bool isStoreReader = false;
    LoadBalancingSettings loadBalancing;
    SplitTable splits;
    SidecarTokens tokens;
    AdmissionControlSettings admissionSettings;
    /// By service that does work for callers' requests, directly or through nested calls.
    std::map<ServiceName, AdmissionControl> admission;
    /// Work that a caller's request causes, by its kind. Rebuilt from the reports several times a second.
    std::unordered_map<WorkKind, WorkByService> workByKind;
    TimePoint workGraphBuiltAt;
    /// Maximum time to the deadline seen on a route. A request with clearly less is a retry after a refusal.
    std::unordered_map<RouteName, Duration> maxTimeLeft;
    /// The list of the members has been read from the store or got from another node.
    bool isMembershipRead = false;

    OwnRecord ownRecord;
    TargetState target;
    ColdRate coldRate;
    ReportedPace pace;
    /// Used if the target reports its pace.
    LearnedLimit learnedLimit;
    ConcurrencyLimiter limiter;
    /// First attempts and retries at the local target.
    RetryRatio retryRatio;
    std::unordered_map<LimiterRequestId, LimiterWait *> limiterWaits;
    /// Calls that the local target makes.
    CallPattern callPattern;

    DatagramSocket datagrams;
    MemoryLimitLog memoryLimitLog;
    /// Shared by all servers.
    std::shared_ptr<MemoryBudget> connectionMemory;
    /// Shared by the three pools.
    std::shared_ptr<MemoryBudget> responseMemory;
    CallPool peerPool;
    CallPool targetPool;
    CallPool storePool;
    std::unique_ptr<MessageServer> callerServer;
    std::unique_ptr<MessageServer> peerServer;
    std::unique_ptr<MessageServer> readyServer;
    std::unique_ptr<MessageServer> targetServer;
    std::unique_ptr<MessageServer> metricsServer;

    StopSchedule stop;
    StopSettings stopSettings;
    /// Requests that may have run and that the stop has ended.
    size_t requestsCutByStop = 0;
    /// The node has ended; its fibers end after their next wait.
    bool ended = false;
    TimePoint lastRequestAt;
    /// Set after a change that the subscribers should know at once; the next tick sends reports and clears it.
    bool reportDue = false;
};

/// Derives the budgets of connections and responses from the memory limit in the settings.
void applyMemoryLimit(SidecarState &state);

/// Returns whether requests with an API key may be served: the policy was confirmed so recently that a withdrawn key does
/// not work longer than allowed, and the nodes that share the teams' rates are known.
auto mayServeKeyedRequests(const SidecarState &state, TimePoint now) -> bool;

/// Returns whether the node may decide requests by its policy. There must be one.
auto policyTrustOf(const SidecarState &state, TimePoint now) -> PolicyTrust;

/// Returns whether the node accepts requests of callers.
auto isReady(const SidecarState &state, TimePoint now) -> bool;

/// Returns whether the operator has ordered to send nothing to the targets of this node's failure domain.
auto isEvacuated(const SidecarState &state) -> bool;

/// Returns the requests a second that the local target bears while it is cold; 0 means no limit.
auto coldRatePerSecond(const SidecarState &state) -> double;

/// Returns whether new requests may be sent to the local target: its domain is not evacuated, it serves, and what an earlier process of this node has
/// recorded about its departure is known.
auto isTargetServing(const SidecarState &state) -> bool;

/// Returns the target on this VM. Its instance is empty if it has not announced itself or has left.
auto localTarget(const SidecarState &state) -> TargetId;

/// Returns the load of the local target.
auto localLoad(const SidecarState &state) -> TargetLoad;

} // namespace snipestream
