#pragma once

#include "core/ids.h"
#include "core/random.h"
#include "core/time.h"
#include "mesh/call_pattern.h"
#include "mesh/member.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
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
    /// How long work takes on the target's machine at the moment, where 1 is as usual; 0 if the target does not report it.
    double pace = 0;

    friend auto operator==(const TargetLoad &a, const TargetLoad &b) -> bool
    {
        return a.running == b.running && a.waiting == b.waiting && a.limit == b.limit && a.pace == b.pace;
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

/// Report that a node sends several times a second to the nodes that subscribe to its target.
struct NodeReport {
    /// IP address of the VM; ports are the same on all VMs.
    std::string address;
    /// Random number drawn at each start of the process.
    uint64_t incarnation = 0;
    /// Increases with each report of an incarnation.
    uint64_t sequence = 0;
    /// The target on the VM. Its instance is empty if it has not announced itself to this incarnation.
    TargetId target;
    /// New requests may be sent to the target.
    bool serving = false;
    /// The node is shutting down; other nodes send it new requests only while no other home of the service serves.
    bool leaving = false;
    TargetLoad load;
    /// Mean service time of the target's requests, in milliseconds.
    double serviceMs = 0;
    /// Time for which the target remains slow after its start.
    Duration warmupLeft{};
    /// Work that arrives at the target, as a ratio to the capacity of its slots; see offered_load.h.
    double offeredLoad = 0;
    /// Time in which the target would work off its queue.
    Duration queueDelay{};
    /// Work that callers' requests at the subscribers would cause at this target, before any is shed, in slots by class;
    /// see subscriptions.h.
    std::vector<double> demand;
    /// Time until the next report to the receiver.
    Duration interval = milliseconds(300);
    /// Cost of the target's requests by kind; empty in most reports, since it changes slowly.
    std::vector<KindReport> kinds;

    friend auto operator==(const NodeReport &a, const NodeReport &b) -> bool
    {
        return a.address == b.address && a.incarnation == b.incarnation && a.sequence == b.sequence && a.target == b.target && a.serving == b.serving
            && a.leaving == b.leaving && a.load == b.load && a.serviceMs == b.serviceMs && a.warmupLeft == b.warmupLeft && a.offeredLoad == b.offeredLoad
            && a.queueDelay == b.queueDelay && a.demand == b.demand && a.interval == b.interval && a.kinds == b.kinds;
    }
};

/// State of one node as observed by this node.
struct PeerRow {
    std::string address;
    Member member;
    /// `PeerTable::revision` when the VM at the address became this member. A result of a request that was sent before says
    /// nothing about it.
    uint64_t memberSince = 0;
    /// Order in which this node subscribes to the members of a service, drawn from both addresses.
    uint64_t affinity = 0;
    /// Latest report; empty until the first one arrives.
    std::optional<NodeReport> report;
    /// Cost of the target's requests according to the latest report that contained it.
    std::vector<KindReport> kinds;
    /// Incarnation before the current one, whose delayed reports are ignored.
    uint64_t previousIncarnation = 0;
    /// Incarnation that reported a target of another service last.
    uint64_t otherServiceIncarnation = 0;
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
    /// Addresses of the members by service.
    std::map<ServiceName, std::set<std::string>> members;
    /// Addresses of the nodes that this node subscribes to, by service; see subscriptions.h. Requests are sent to them only.
    std::map<ServiceName, std::vector<std::string>> homes;
    /// Increases with each change of the members.
    uint64_t revision = 0;
    /// Failure domains whose targets get no requests.
    std::set<DomainName> evacuatedDomains;
};

/// Adds a member, or updates what is known of it. A member of another service than before is another VM, so nothing that is
/// known of the earlier one is kept. Returns whether the members have changed.
auto addMember(PeerTable &table, const Member &member) -> bool;

/// Removes a member. A member with requests in progress stays until they have ended and gets no new ones.
void removeMember(PeerTable &table, const std::string &address);

/// Stores the report of a member. Returns false and changes nothing if its node is not a member, if the report is about a
/// target of another service than the member's, or if it is not newer than the stored one.
auto applyReport(PeerTable &table, const NodeReport &report, TimePoint now) -> bool;

/// Forgets the report of a node that sends no more of them, since this node no longer subscribes to it.
void forgetReport(PeerRow &row);

/// Forgets the report of a node that has refused a request since the target in it is not beside it any more. A report that
/// has arrived since, about another target, stays.
void dropOutdatedReport(PeerRow &row, const TargetId &refused);

/// Returns the rows of the homes of a service, without those whose address has become a member of another one since the homes
/// were chosen.
auto homesOf(const PeerTable &table, const ServiceName &service) -> std::vector<const PeerRow *>;
auto homesOf(PeerTable &table, const ServiceName &service) -> std::vector<PeerRow *>;

/// Returns whether the operator has ordered to send nothing to the targets of the row's failure domain.
auto isEvacuated(const PeerTable &table, const PeerRow &row) -> bool;

/// Returns whether the node has sent a report recently, as often as it said that it would.
auto isAlive(const PeerRow &row, TimePoint now) -> bool;

/// Returns whether new requests may be sent to the node's target according to its latest report.
auto isServing(const PeerRow &row) -> bool;

/// Returns whether the node is shutting down but still takes requests for its target.
auto isServingLast(const PeerRow &row) -> bool;

/// Records the load that a response or report carried.
void observeLoad(PeerRow &row, const TargetLoad &load);

/// Updates the failure rate with the outcome of a request at the node's target.
void observeOutcome(PeerRow &row, bool failed);

/// Makes load balancing avoid the node for a short time after a connection to it failed.
void avoidPeer(PeerRow &row, TimePoint now);

} // namespace snipestream
