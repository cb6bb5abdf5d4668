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
    /// Times from the grant of a slot to the end of the answer, in seconds.
    Summary *serviceTime = nullptr;
};

/// A fiber that waits until the configuration moves.
struct FoldWait {
    FiberEvent event;
    bool isOver = false;
};

/// The whole state as it is sent to nodes that lack records; kept while they fetch its parts one by one.
struct StateParts {
    uint64_t nextOffset = 0;
    std::vector<std::string> parts;
    TimePoint madeAt;
    TimePoint usedAt;
};

/// How up to date this node's configuration is.
struct ConfigFreshness {
    /// When the log, or a peer that is no further behind than one poll, last confirmed that nothing newer is known.
    TimePoint confirmedAt;
    /// The log answered the last call of this node.
    bool logReachable = false;
    /// The configuration was read to an end of the log at least once.
    bool caughtUp = false;
};

/// All state of one node. The functions of this package run on one thread and change it between two waits.
struct NodeState {
    NodeState(FiberRuntime &runtimeUsed, Settings chosen);

    FiberRuntime &runtime;
    Settings settings;
    /// Grows with each start of the node (wall clock in milliseconds).
    uint64_t incarnation;
    MetricsRegistry metrics;
    /// Times of answered requests by priority; null until the first one.
    std::array<Summary *, kPriorityCount> requestTimes{};
    Random random;

    ConfigFold fold;
    RecordHistory history;
    LogClient log;
    ConfigFreshness freshness;
    /// Since when a snapshot is due; empty if none is.
    std::optional<TimePoint> snapshotDueSince;
    /// Revision that the team weights of admission were taken from.
    uint64_t weightsRevision = 0;
    StateParts stateParts;
    /// Long polls that wait for the fold to move.
    std::set<FoldWait *> foldWaits;

    NodeTable nodes;
    /// When a node last joined or left, as far as this node knows.
    TimePoint nodesChangedAt;
    DirectoryCache directoryCache;
    DirectoryTable directory;
    EndpointTable endpoints;
    LocalTargetTable localTargets;
    std::map<TargetName, TargetConnections> targetConnections;
    /// Services that this node calls, and when it last did.
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
    /// Begins a graceful shutdown; set by the node program.
    std::function<void()> onStopRequest;
    /// Set once a graceful shutdown began.
    bool stopping = false;
    /// Set when the background fibers have to end.
    bool ending = false;
};

/// Returns the time to this moment of the configuration clock: how old the configuration in force may be.
auto configAge(const NodeState &state, TimePoint now) -> Duration;

} // namespace snipestream
