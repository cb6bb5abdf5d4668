#include "sidecar/reports.h"

#include "core/events.h"
#include "mesh/report_codec.h"
#include "sidecar/state.h"
#include "sidecar/work_record.h"

#include <algorithm>

namespace snipestream
{

namespace
{

/// Demand for a service below which it is left out of the report, in slots.
constexpr double kMinReportedSlots = 0.001;
/// Maximum number of reports that a node sends per second, over all peers. The report interval grows with the number of
/// nodes to stay within it.
constexpr double kMaxReportsPerSecond = 120;
constexpr Duration kMinReportInterval = milliseconds(300);

} // namespace

namespace
{

/// Returns the load that arrives at the target, increased while requests are queued, so that the queue is drained.
auto reportedLoad(const SidecarState &state, TimePoint now) -> double
{
    /// Time in which a queue should be drained. The length of the queue is measured as a time. When it was measured in
    /// requests, a queue of 20 ms at a target with few, fast slots looked like an overload by a third.
    constexpr double kQueueDrainSeconds = 0.3;
    const TargetLoad load = localLoad(state);
    const double queued = load.waiting * state.limiter.meanServiceSeconds / std::max(load.limit, 1);
    return offeredLoadAt(state.limiter.offered, now) + queued / kQueueDrainSeconds;
}

} // namespace

auto makeReport(SidecarState &state, TimePoint now) -> NodeReport
{
    NodeReport report;
    report.node = state.settings.node;
    report.address = state.settings.address;
    report.incarnation = state.incarnation;
    report.sequence = ++state.reportSequence;
    report.domain = state.settings.domain;
    report.service = state.settings.service;
    if (state.target.latest) {
        report.service = state.target.latest->service;
        report.instance = state.target.latest->instance;
        report.warmupLeft = std::max(Duration::zero(), state.target.warmupUntil - now);
    }
    report.serving = isServing(state.target);
    report.leaving = state.isStopping;
    report.load = localLoad(state);
    report.serviceMs = state.limiter.meanServiceSeconds * 1000;
    report.offeredLoad = reportedLoad(state, now);
    report.kinds = kindReports(state);
    for (const auto &[service, control] : state.admission) {
        const auto arriving = arrivingWork(control, now);
        if (std::any_of(arriving.begin(), arriving.end(), [](double slots) {
                return slots >= kMinReportedSlots;
            })) {
            report.serviceDemand.push_back({service, arriving});
        }
    }
    report.policyVersion = state.policy ? state.policy->version : 0;
    return report;
}

namespace
{

void handleReport(SidecarState &state, const std::string &from, std::string_view bytes)
{
    const auto report = decodeReport(bytes);
    if (!report) {
        logEvent(EventId::DatagramInvalid, {{"from", from}, {"error", report.error().message}});
        return;
    }
    const auto &received = report.value();
    if (received.address == state.settings.address) {
        return;
    }
    const auto row = state.peers.rows.find(received.address);
    const bool isNew = row == state.peers.rows.end() || !row->second.report || row->second.report->incarnation != received.incarnation;
    if (!applyReport(state.peers, received, BootClock::now()) || !isNew) {
        return;
    }
    logEvent(EventId::PeerFound,
             {{"peer", received.address}, {"node", received.node.value}, {"service", received.service.value}, {"instance", received.instance}});
    if (state.firstReportAt == TimePoint()) {
        state.firstReportAt = BootClock::now();
    }
    if (addMember(state.peers, {received.address, received.node, received.domain, received.service})) {
        updateTokenMembers(state);
    }
    state.peerPool.closeIdle({received.address, state.settings.peerListen.port});
    // The new node has no reports yet, so it gets one now instead of after the report interval.
    state.reportDue = true;
}

} // namespace

void startReports(SidecarState &state)
{
    state.datagrams.onReceive(DatagramKind::Report, [&state](const std::string &from, std::string_view bytes) {
        handleReport(state, from, bytes);
    });
}

void sendReports(SidecarState &state, TimePoint now)
{
    const auto nodes = static_cast<double>(state.peers.rows.size());
    const auto minInterval = duration_cast<Duration>(std::chrono::duration<double>(nodes / kMaxReportsPerSecond));
    state.peers.reportInterval = std::max(kMinReportInterval, minInterval);
    const NodeReport report = makeReport(state, now);
    applyReport(state.peers, report, now);
    const auto bytes = encodeReport(report);
    for (const auto &[address, row] : state.peers.rows) {
        if (address != state.settings.address) {
            state.datagrams.send(address, DatagramKind::Report, bytes);
        }
    }
    state.reportDue = false;
}

} // namespace snipestream
