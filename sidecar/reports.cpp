#include "sidecar/reports.h"

#include "core/events.h"
#include "mesh/report_codec.h"
#include "sidecar/state.h"
#include "sidecar/work_record.h"

#include <algorithm>
#include <set>

namespace snipestream
{

namespace
{

/// Maximum number of services of a policy that a node subscribes to before it has requests for them.
constexpr size_t kMaxPreloadedServices = 16;
/// How long a node stays subscribed to a service that it has no requests for.
constexpr Duration kServiceRetention = seconds(60);
/// How often the homes are chosen again, so that silent ones are replaced.
constexpr Duration kHomeUpdateInterval = milliseconds(500);
/// How often the node updates its own row.
constexpr Duration kOwnReportInterval = milliseconds(100);
/// How long the first request for a service waits for a report of one of its homes.
constexpr Duration kFirstReportTimeout = milliseconds(100);
constexpr Duration kFirstReportCheckInterval = milliseconds(5);

} // namespace

auto makeReport(SidecarState &state, TimePoint now) -> NodeReport
{
    NodeReport report;
    report.address = state.settings.address;
    report.incarnation = state.incarnation;
    report.sequence = ++state.reportSequence;
    report.target = localTarget(state);
    if (state.target.latest) {
        report.warmupLeft = std::max(Duration::zero(), state.target.warmupUntil - now);
    }
    report.serving = isTargetServing(state) && !refusesRequests(state.stop);
    report.leaving = isStopping(state.stop);
    report.load = localLoad(state);
    report.serviceMs = state.limiter.meanServiceSeconds * 1000;
    report.offeredLoad = offeredLoadAt(state.limiter.offered, now);
    report.queueDelay = queueDelay(state.limiter);
    report.demand = totalDemand(state.subscribers);
    return report;
}

namespace
{

/// Logs the first report of an incarnation about a target of another service than that of the member at its address.
void logOtherService(SidecarState &state, const PeerRow &row, const NodeReport &report)
{
    if (row.otherServiceIncarnation == report.incarnation) {
        return;
    }
    logEvent(EventId::ReportOfOtherService,
             {{"peer", report.address},
              {"instance", report.target.instance},
              {"service", report.target.service.value},
              {"member-service", row.member.service.value}});
    // These connections lead to the earlier VM.
    state.peerPool.closeIdle({report.address, state.settings.peerListen.port});
}

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
    if (row != state.peers.rows.end() && row->second.member.service != received.target.service) {
        logOtherService(state, row->second, received);
    }
    const bool isNew = row == state.peers.rows.end() || !row->second.report || row->second.report->incarnation != received.incarnation;
    if (!applyReport(state.peers, received, BootClock::now()) || !isNew) {
        return;
    }
    const auto &member = state.peers.rows.at(received.address).member;
    logEvent(EventId::PeerFound,
             {{"peer", received.address}, {"node", member.node.value}, {"service", member.service.value}, {"instance", received.target.instance}});
    state.peerPool.closeIdle({received.address, state.settings.peerListen.port});
}

void handleSubscription(SidecarState &state, const std::string &from, std::string_view bytes)
{
    const auto subscription = decodeSubscription(bytes);
    if (!subscription) {
        logEvent(EventId::DatagramInvalid, {{"from", from}, {"error", subscription.error().message}});
        return;
    }
    learnFromPeer(state, from);
    applySubscription(state.subscribers, state.settings.service, subscription.value(), BootClock::now());
}

/// Returns the services whose targets this node needs to know: those of its requests, those that they call, and in small
/// deployments all.
auto neededServices(SidecarState &state, TimePoint now) -> std::vector<ServiceName>
{
    std::set<ServiceName> needed;
    if (state.policy) {
        std::set<ServiceName> all;
        for (const auto &route : state.policy->routes) {
            for (const auto &weighted : route.weightedServices) {
                all.insert(weighted.service);
            }
        }
        if (all.size() <= kMaxPreloadedServices) {
            needed = std::move(all);
        }
    }
    for (auto used = state.usedServices.begin(); used != state.usedServices.end();) {
        if (now - used->second > kServiceRetention) {
            used = state.usedServices.erase(used);
            continue;
        }
        needed.insert(used->first);
        ++used;
    }
    for (const auto &[service, control] : state.admission) {
        if (!arrivingWork(control, now).empty()) {
            needed.insert(service);
        }
    }
    return {needed.begin(), needed.end()};
}

void updateHomes(SidecarState &state, TimePoint now)
{
    if (now - state.homesUpdatedAt < kHomeUpdateInterval && state.homesRevision == state.peers.revision && !state.areServicesRequired) {
        return;
    }
    state.homesUpdatedAt = now;
    state.homesRevision = state.peers.revision;
    state.areServicesRequired = false;
    for (const auto &[service, home] : updateSubscriptions(state.subscriptions, state.peers, neededServices(state, now), now)) {
        Subscription end;
        end.address = state.settings.address;
        end.service = service;
        end.incarnation = state.incarnation;
        end.sequence = ++state.subscriptions.sequence;
        end.ends = true;
        state.datagrams.send(home, DatagramKind::Subscription, encodeSubscription(end));
    }
}

void sendSubscriptions(SidecarState &state, TimePoint now)
{
    std::map<ServiceName, std::vector<double>> demand;
    for (const auto &[service, control] : state.admission) {
        demand[service] = arrivingWork(control, now);
    }
    for (const auto &[home, subscription] : dueSubscriptions(state.subscriptions, state.peers, demand, state.incarnation, now)) {
        if (home == state.settings.address) {
            applySubscription(state.subscribers, state.settings.service, subscription, now);
        } else {
            state.datagrams.send(home, DatagramKind::Subscription, encodeSubscription(subscription));
        }
    }
}

void sendReports(SidecarState &state, TimePoint now)
{
    expireSubscribers(state.subscribers, now);
    const auto due = dueReports(state.subscribers, state.reportDue, now);
    state.reportDue = false;
    if (due.empty() && now - state.ownReportAt < kOwnReportInterval) {
        return;
    }
    state.ownReportAt = now;
    NodeReport report = makeReport(state, now);
    const auto kinds = kindReports(state);
    // Most subscribers get the same bytes.
    std::map<std::pair<Duration, bool>, std::vector<uint8_t>> encoded;
    for (const auto &[address, interval, withKinds] : due) {
        if (address == state.settings.address) {
            continue;
        }
        auto &bytes = encoded[{interval, withKinds}];
        if (bytes.empty()) {
            report.interval = interval;
            report.kinds = withKinds ? kinds : std::vector<KindReport>();
            bytes = encodeReport(report);
        }
        state.datagrams.send(address, DatagramKind::Report, bytes);
    }
    report.kinds = kinds;
    applyReport(state.peers, report, now);
}

} // namespace

void startReports(SidecarState &state)
{
    state.datagrams.onReceive(DatagramKind::Report, [&state](const std::string &from, std::string_view bytes) {
        handleReport(state, from, bytes);
    });
    state.datagrams.onReceive(DatagramKind::Subscription, [&state](const std::string &from, std::string_view bytes) {
        handleSubscription(state, from, bytes);
    });
}

void tickReports(SidecarState &state, TimePoint now)
{
    updateHomes(state, now);
    sendSubscriptions(state, now);
    sendReports(state, now);
}

void requireService(SidecarState &state, const ServiceName &service)
{
    state.usedServices[service] = BootClock::now();
    const auto hasReport = [&state, &service] {
        const auto homes = homesOf(std::as_const(state.peers), service);
        return std::any_of(homes.begin(), homes.end(), [](const PeerRow *row) {
            return row->report.has_value();
        });
    };
    if (hasReport()) {
        return;
    }
    state.areServicesRequired = true;
    const TimePoint end = BootClock::now() + kFirstReportTimeout;
    while (!state.ended && BootClock::now() < end && !hasReport()) {
        state.runtime.sleepFor(kFirstReportCheckInterval);
    }
}

} // namespace snipestream
