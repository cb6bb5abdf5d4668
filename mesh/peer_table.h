#pragma once

#include "core/ids.h"
#include "core/random.h"
#include "core/time.h"
#include "mesh/call_pattern.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace snipestream
{

/// How busy a target is, as the node next to it sees it.
struct TargetLoad {
    int running = 0;
    int waiting = 0;
    /// Requests that the node lets run at once.
    int limit = 1;

    friend auto operator==(const TargetLoad &a, const TargetLoad &b) -> bool
    {
        return a.running == b.running && a.waiting == b.waiting && a.limit == b.limit;
    }
};

/// Requests per second of one team at one node, before any was refused.
struct TeamDemand {
    TeamName team;
    double perSecond = 0;
    /// Part of the team's rate that the node lets pass a second.
    double share = 0;

    friend auto operator==(const TeamDemand &a, const TeamDemand &b) -> bool
    {
        return a.team == b.team && a.perSecond == b.perSecond && a.share == b.share;
    }
};

/// What requests of one kind cause at a target.
struct KindReport {
    WorkKind kind = 0;
    double runsPerSecond = 0;
    /// Mean time that a run takes, in seconds, its calls included.
    double secondsPerRun = 0;
    /// Mean number of calls of a run, by the kind of work called.
    std::map<WorkKind, double> callsPerRun;

    friend auto operator==(const KindReport &a, const KindReport &b) -> bool
    {
        return a.kind == b.kind && a.runsPerSecond == b.runsPerSecond && a.secondsPerRun == b.secondsPerRun && a.callsPerRun == b.callsPerRun;
    }
};

/// Work at one service that a node's arriving requests would cause, before any was shed.
struct ServiceDemand {
    ServiceName service;
    /// Slots that the work would keep busy, by class, in the order in which classes are shed.
    std::vector<double> slotsByClass;

    friend auto operator==(const ServiceDemand &a, const ServiceDemand &b) -> bool
    {
        return a.service == b.service && a.slotsByClass == b.slotsByClass;
    }
};

/// What a node tells all other nodes several times a second.
struct NodeReport {
    NodeName node;
    /// IP address of the VM; ports are the same on all VMs.
    std::string address;
    /// Drawn at each start of the process.
    uint64_t incarnation = 0;
    /// Grows with each report of an incarnation.
    uint64_t sequence = 0;
    DomainName domain;
    ServiceName service;
    /// Empty if the target has not announced itself to this incarnation.
    std::string instance;
    /// New requests may be sent to the target.
    bool serving = false;
    /// The node stops; others send it nothing new.
    bool leaving = false;
    TargetLoad load;
    /// Mean time that the target takes for a request, in milliseconds.
    double serviceMs = 0;
    Duration warmupLeft{};
    /// Work that arrives at the target, as a part of what its slots can do; see offered_load.h.
    double offeredLoad = 0;
    /// What the target does for requests of each kind.
    std::vector<KindReport> kinds;
    /// Work that arrives at the node from callers, by the service that does it.
    std::vector<ServiceDemand> serviceDemand;
    uint64_t policyVersion = 0;
    std::vector<TeamDemand> demand;

    friend auto operator==(const NodeReport &a, const NodeReport &b) -> bool
    {
        return a.node == b.node && a.address == b.address && a.incarnation == b.incarnation && a.sequence == b.sequence && a.domain == b.domain
            && a.service == b.service && a.instance == b.instance && a.serving == b.serving && a.leaving == b.leaving && a.load == b.load
            && a.serviceMs == b.serviceMs && a.warmupLeft == b.warmupLeft && a.offeredLoad == b.offeredLoad && a.kinds == b.kinds
            && a.serviceDemand == b.serviceDemand && a.policyVersion == b.policyVersion && a.demand == b.demand;
    }
};

/// One node as this node knows it.
struct PeerRow {
    std::string address;
    /// Empty until the first report.
    std::optional<NodeReport> report;
    /// Incarnation before the present one; its late reports are ignored.
    uint64_t previousIncarnation = 0;
    TimePoint lastReportAt;
    /// Load as of the latest answer or report.
    TargetLoad load;
    /// Requests sent since `load` was observed.
    int sentSinceLoadUpdate = 0;
    /// Requests of this node that are in progress there.
    int inFlight = 0;
    /// Part of the recent requests that failed there, from 0 to 1.
    double failureShare = 0;
    /// Connections failed; the node is avoided until then.
    TimePoint avoidUntil;
};

/// Nodes known to this node, itself included, by address.
struct PeerTable {
    std::string ownAddress;
    DomainName ownDomain;
    std::map<std::string, PeerRow> rows;
    /// Interval between reports of one node; the age of a report is judged by it.
    Duration reportInterval = milliseconds(300);
};

/// Adds an address without knowledge of what is there.
void addAddress(PeerTable &table, const std::string &address);

/// Takes a report into account. Returns false if it is older than what is known. A report with an unknown address adds
/// the node.
auto applyReport(PeerTable &table, const NodeReport &report, TimePoint now) -> bool;

/// Forgets nodes that were not heard of for a long time. Returns the addresses that were removed.
auto removeSilentPeers(PeerTable &table, TimePoint now) -> std::vector<std::string>;

/// Returns whether the node was heard of recently.
auto isAlive(const PeerTable &table, const PeerRow &row, TimePoint now) -> bool;

/// Notes the load that came with an answer.
void observeLoad(PeerRow &row, const TargetLoad &load);

/// Counts the outcome of a request at the node's target.
void observeOutcome(PeerRow &row, bool failed);

/// How a node should be regarded after it could not be reached.
void avoidPeer(PeerRow &row, TimePoint now);

} // namespace snipestream
