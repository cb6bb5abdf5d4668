#pragma once

#include "core/ids.h"
#include "core/random.h"
#include "core/time.h"
#include "mesh/call_pattern.h"
#include "mesh/member.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace snipestream
{

/// Load of a target as measured by the node beside it.
struct TargetLoad {
    int running = 0;
    /// Requests in the node's queue for the target.
    int waiting = 0;
    /// Maximum number of requests that the node lets run at once.
    int limit = 1;

    friend auto operator==(const TargetLoad &a, const TargetLoad &b) -> bool
    {
        return a.running == b.running && a.waiting == b.waiting && a.limit == b.limit;
    }
};

/// Cost of the requests of one kind at a target.
struct KindReport {
    WorkKind kind = 0;
    double runsPerSecond = 0;
    /// Mean duration of a run in seconds, including the calls that it makes.
    double secondsPerRun = 0;
    /// Mean number of calls that a run makes, by the kind of work called.
    std::map<WorkKind, double> callsPerRun;

    friend auto operator==(const KindReport &a, const KindReport &b) -> bool
    {
        return a.kind == b.kind && a.runsPerSecond == b.runsPerSecond && a.secondsPerRun == b.secondsPerRun && a.callsPerRun == b.callsPerRun;
    }
};

/// Work that the requests arriving at a node would cause at one service, before any is shed.
struct ServiceDemand {
    ServiceName service;
    /// Number of slots that the work would keep busy, by class, in the order in which classes are shed.
    std::vector<double> slotsByClass;

    friend auto operator==(const ServiceDemand &a, const ServiceDemand &b) -> bool
    {
        return a.service == b.service && a.slotsByClass == b.slotsByClass;
    }
};

/// Report that a node sends to all other nodes several times a second.
struct NodeReport {
    NodeName node;
    /// IP address of the VM; ports are the same on all VMs.
    std::string address;
    /// Random number drawn at each start of the process.
    uint64_t incarnation = 0;
    /// Increases with each report of an incarnation.
    uint64_t sequence = 0;
    DomainName domain;
    ServiceName service;
    /// Empty if the target has not announced itself to this incarnation.
    std::string instance;
    /// New requests may be sent to the target.
    bool serving = false;
    /// The node is shutting down; other nodes send it no new requests.
    bool leaving = false;
    TargetLoad load;
    /// Mean service time of the target's requests, in milliseconds.
    double serviceMs = 0;
    /// Time for which the target remains slow after its start.
    Duration warmupLeft{};
    /// Work that arrives at the target, as a ratio to the capacity of its slots; see offered_load.h.
    double offeredLoad = 0;
    /// Cost of the target's requests by kind.
    std::vector<KindReport> kinds;
    /// Work that callers' requests at this node would cause, by the service that would do it.
    std::vector<ServiceDemand> serviceDemand;
    uint64_t policyVersion = 0;

    friend auto operator==(const NodeReport &a, const NodeReport &b) -> bool
    {
        return a.node == b.node && a.address == b.address && a.incarnation == b.incarnation && a.sequence == b.sequence && a.domain == b.domain
            && a.service == b.service && a.instance == b.instance && a.serving == b.serving && a.leaving == b.leaving && a.load == b.load
            && a.serviceMs == b.serviceMs && a.warmupLeft == b.warmupLeft && a.offeredLoad == b.offeredLoad && a.kinds == b.kinds
            && a.serviceDemand == b.serviceDemand && a.policyVersion == b.policyVersion;
    }
};

/// State of one node as observed by this node.
struct PeerRow {
    std::string address;
    /// Empty fields if only the address is known.
    Member member;
    /// Latest report; empty until the first one arrives.
    std::optional<NodeReport> report;
    /// Incarnation before the current one, whose delayed reports are ignored.
    uint64_t previousIncarnation = 0;
    TimePoint lastReportAt;
    /// Load according to the latest response or report.
    TargetLoad load;
    /// Number of requests sent to the node since `load` was updated.
    int sentSinceLoadUpdate = 0;
    /// Number of requests sent by this node that are still in progress.
    int inFlight = 0;
    /// Fraction of recent requests that failed at the node's target, from 0 to 1.
    double failureRate = 0;
    /// The node is avoided until this time because a connection to it failed.
    TimePoint avoidUntil;
};

/// All nodes whose address is known to this node, including itself.
struct PeerTable {
    std::string ownAddress;
    DomainName ownDomain;
    /// By address.
    std::map<std::string, PeerRow> rows;
    /// Interval between the reports of one node. A node counts as silent after several intervals without a report.
    Duration reportInterval = milliseconds(300);
};

/// Adds a node, or updates what is known of it. Returns whether the membership has changed.
auto addMember(PeerTable &table, const Member &member) -> bool;

/// Stores a report and adds its node if the address is new. Returns false and changes nothing if the report is
/// not newer than the stored one.
auto applyReport(PeerTable &table, const NodeReport &report, TimePoint now) -> bool;

/// Removes nodes that have sent no report for a long time. Returns their addresses.
auto removeSilentPeers(PeerTable &table, TimePoint now) -> std::vector<std::string>;

/// Returns whether the node has sent a report recently.
auto isAlive(const PeerTable &table, const PeerRow &row, TimePoint now) -> bool;

/// Records the load that a response or report carried.
void observeLoad(PeerRow &row, const TargetLoad &load);

/// Updates the failure rate with the outcome of a request at the node's target.
void observeOutcome(PeerRow &row, bool failed);

/// Makes load balancing avoid the node for a short time after a connection to it failed.
void avoidPeer(PeerRow &row, TimePoint now);

} // namespace snipestream
