#include "sidecar/reports.h"

#include "core/events.h"
#include "mesh/report_codec.h"
#include "sidecar/work_record.h"

#include <algorithm>
#include <array>

#include <boost/asio/ip/udp.hpp>

namespace snipestream
{

namespace asio = boost::asio;

namespace
{

/// Demand for a service below which it is left out of the report, in slots.
constexpr double kMinReportedSlots = 0.001;
/// Maximum number of reports that a node sends per second, over all peers. The report interval grows with the number of
/// nodes to stay within it.
constexpr double kMaxReportsPerSecond = 120;
constexpr Duration kMinReportInterval = milliseconds(300);

} // namespace

struct ReportExchange::State : std::enable_shared_from_this<ReportExchange::State> {
    explicit State(SidecarState &sidecarState)
        : sidecar(sidecarState)
        , socket(sidecarState.runtime.context())
    {
    }

    void receive();
    void handleDatagram(std::string_view bytes);

    SidecarState &sidecar;
    asio::ip::udp::socket socket;
    asio::ip::udp::endpoint sender;
    std::array<char, 65536> buffer{};
};

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
    report.demand = reportDemand(state.rates, now);
    return report;
}

void ReportExchange::State::handleDatagram(std::string_view bytes)
{
    const auto report = decodeReport(bytes);
    if (!report) {
        logEvent(EventId::ReportInvalid, {{"from", sender.address().to_string()}, {"error", report.error().message}});
        return;
    }
    const auto &received = report.value();
    if (received.address == sidecar.settings.address) {
        return;
    }
    const auto row = sidecar.peers.rows.find(received.address);
    const bool isNew = row == sidecar.peers.rows.end() || !row->second.report || row->second.report->incarnation != received.incarnation;
    if (!applyReport(sidecar.peers, received, BootClock::now()) || !isNew) {
        return;
    }
    logEvent(EventId::PeerFound,
             {{"peer", received.address}, {"node", received.node.value}, {"service", received.service.value}, {"instance", received.instance}});
    if (sidecar.firstReportAt == TimePoint()) {
        sidecar.firstReportAt = BootClock::now();
    }
    sidecar.peerPool.closeIdle({received.address, sidecar.settings.peerListen.port});
    // The new node has no reports yet, so it gets one now instead of after the report interval.
    sidecar.reportDue = true;
}

void ReportExchange::State::receive()
{
    socket.async_wait(asio::ip::udp::socket::wait_read, [self = shared_from_this()](const boost::system::error_code &error) {
        if (error) {
            return;
        }
        while (true) {
            boost::system::error_code failed;
            const size_t size = self->socket.receive_from(asio::buffer(self->buffer), self->sender, 0, failed);
            if (failed) {
                break;
            }
            self->handleDatagram({self->buffer.data(), size});
        }
        self->receive();
    });
}

ReportExchange::ReportExchange(SidecarState &state)
    : state_(std::make_shared<State>(state))
{
}

ReportExchange::~ReportExchange()
{
    close();
}

void ReportExchange::close()
{
    boost::system::error_code ignored;
    state_->socket.close(ignored);
}

auto ReportExchange::open() -> Result<void>
{
    boost::system::error_code error;
    const auto address = asio::ip::make_address(state_->sidecar.settings.address, error);
    if (!error) {
        state_->socket.open(asio::ip::udp::v4(), error);
    }
    if (!error) {
        state_->socket.bind({address, state_->sidecar.settings.reportPort}, error);
    }
    if (!error) {
        state_->socket.non_blocking(true, error);
    }
    if (error) {
        return failure(ErrorCode::Unavailable, "cannot bind the report port " + std::to_string(state_->sidecar.settings.reportPort) + ": " + error.message());
    }
    state_->receive();
    return success();
}

void ReportExchange::send(TimePoint now)
{
    auto &sidecar = state_->sidecar;
    const auto nodes = static_cast<double>(sidecar.peers.rows.size());
    const auto minInterval = duration_cast<Duration>(std::chrono::duration<double>(nodes / kMaxReportsPerSecond));
    sidecar.peers.reportInterval = std::max(kMinReportInterval, minInterval);
    const NodeReport report = makeReport(sidecar, now);
    applyReport(sidecar.peers, report, now);
    const auto bytes = encodeReport(report);
    for (const auto &[address, row] : sidecar.peers.rows) {
        if (address == sidecar.settings.address) {
            continue;
        }
        boost::system::error_code error;
        const auto to = asio::ip::make_address(address, error);
        if (!error) {
            // A failed send is ignored like a lost datagram, since the next report follows soon.
            state_->socket.send_to(asio::buffer(bytes), {to, sidecar.settings.reportPort}, 0, error);
        }
    }
    sidecar.reportDue = false;
}

} // namespace snipestream
