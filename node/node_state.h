#pragma once

#include "admission/admission.h"
#include "config/fold.h"
#include "config/relay.h"
#include "config/settings.h"
#include "core/metrics.h"
#include "core/random.h"
#include "http/http_client.h"
#include "lease/lease.h"
#include "net/fiber_event.h"
#include "net/fiber_runtime.h"
#include "node/claim_service.h"
#include "node/failure_detector.h"
#include "node/quota_service.h"
#include "node/request_context.h"
#include "node/request_stats_table.h"
#include "peer/peer_network.h"
#include "platform/log_client.h"
#include "retry/ratio.h"
#include "routing/directory.h"
#include "routing/endpoint_table.h"
#include "routing/local_targets.h"
#include "routing/node_table.h"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace snipestream
{

/// A fiber that waits for admission to a local target.
struct AdmissionWait {
    FiberEvent event;
    std::optional<DequeueResult> decision;
    bool cancelled = false;
};

/// Connections to one local target.
struct TargetConnections {
    Endpoint endpoint;
    int connections = 0;
    std::shared_ptr<HttpClient> client;
    /// Times from the admission of a request to the end of its response, in seconds.
    Summary *serviceTime = nullptr;
};

/// A fiber that waits until a further record of the configuration is applied.
struct FoldWait {
    FiberEvent event;
    bool isOver = false;
};

/// A snapshot of the configuration for nodes that need records which this node no longer has. It is cached while they
/// fetch its parts one by one.
struct StateParts {
    uint64_t nextOffset = 0;
    std::vector<std::string> parts;
    TimePoint madeAt;
    TimePoint usedAt;
};

/// How up to date this node's configuration is.
struct ConfigFreshness {
    /// When the log last confirmed that there are no newer records, either to this node or to a peer that it polled.
    TimePoint confirmedAt;
    /// Whether the last call of this node to the log succeeded.
    bool logReachable = false;
    /// Whether this node has read the configuration up to the end of the log at least once.
    bool caughtUp = false;
};

/// All state of one node. It needs no locks: all fibers run on one thread and switch only where they wait.
struct NodeState {
    NodeState(FiberRuntime &fiberRuntime, Settings initialSettings);

    FiberRuntime &runtime;
    Settings settings;
    /// Wall clock time of the start in milliseconds, so that it grows with each start of the node.
    uint64_t incarnation;
    MetricsRegistry metrics;
    /// Durations of answered requests by priority; null until the first one.
    std::array<Summary *, kPriorityCount> requestTimes{};
    Random random;

    ConfigFold fold;
    RecordHistory history;
    LogClient log;
    ConfigFreshness freshness;
    /// Since when a configuration snapshot is due; empty if none is due.
    std::optional<TimePoint> snapshotDueSince;
    /// Configuration revision from which the team weights of admission were taken.
    uint64_t weightsRevision = 0;
    StateParts stateParts;
    /// Long polls of other nodes that wait for new records.
    std::set<FoldWait *> foldWaits;

    NodeTable nodes;
    /// When this node last saw a change of the membership.
    TimePoint nodesChangedAt;
    DirectoryCache directoryCache;
    DirectoryTable directory;
    EndpointTable endpoints;
    LocalTargetTable localTargets;
    std::map<TargetName, TargetConnections> targetConnections;
    /// Services that this node calls, with the time of the last call.
    std::map<ServiceName, TimePoint> calledServices;

    AdmissionTable admission;
    std::unordered_map<AdmissionId, AdmissionWait *> admissionWaits;
    RetryRatio retryRatio;
    RequestContextTable contexts;
    RequestStatsTable requestStats;

    LeaseTable leases;
    LeaseNode leaseNode;
    FailureDetector failureDetector;
    ClaimOwner claimOwner;
    QuotaState quota;

    std::unique_ptr<PeerNetwork> peers;
    /// Starts a graceful shutdown; set by Node.
    std::function<void()> onStopRequest;
    /// Set when a graceful shutdown starts.
    bool stopping = false;
    /// Set when the background fibers have to end.
    bool ending = false;
};

/// Returns how out of date the configuration in force may be: the time since it was last confirmed as the newest.
auto configAge(const NodeState &state, TimePoint now) -> Duration;

} // namespace snipestream
