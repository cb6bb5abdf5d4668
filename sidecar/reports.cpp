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

/// Work below which no demand is told, in slots.
constexpr double kLeastSlots = 0.001;
/// Reports of one node a second, over all peers, at most; the interval grows with the number of nodes beyond that.
constexpr double kReportsPerSecond = 120;
constexpr Duration kLeastInterval = milliseconds(300);

} // namespace

struct ReportExchange::State : std::enable_shared_from_this<ReportExchange::State> {
    explicit State(SidecarState &sidecarUsed)
        : sidecar(sidecarUsed)
        , socket(sidecarUsed.runtime.context())
    {
    }

    void receive();
    void take(std::string_view bytes);

    SidecarState &sidecar;
    asio::ip::udp::socket socket;
    asio::ip::udp::endpoint sender;
    std::array<char, 65536> buffer{};
};

namespace
{

/// Returns the load that arrives at the target, raised while requests wait, so that the queue is worked off.
auto reportedLoad(const SidecarState &state, TimePoint now) -> double
{
    /// Time, in seconds, in which a queue should be worked off. Counted in requests instead, a queue of 20 ms at a target
    /// with fast and few slots looked like an overload of a third.
    constexpr double kWorkOffSeconds = 0.3;
    const TargetLoad load = localLoad(state);
    const double queued = load.waiting * state.gate.meanServiceSeconds / std::max(load.limit, 1);
    return offeredLoadAt(state.gate.offered, now) + queued / kWorkOffSeconds;
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
    report.leaving = state.leaving;
    report.load = localLoad(state);
    report.serviceMs = state.gate.meanServiceSeconds * 1000;
    report.offeredLoad = reportedLoad(state, now);
    report.kinds = kindReports(state);
    for (const auto &[service, control] : state.admission) {
        const auto arriving = arrivingWork(control, now);
        if (std::any_of(arriving.begin(), arriving.end(), [](double slots) {
                return slots >= kLeastSlots;
            })) {
            report.serviceDemand.push_back({service, arriving});
        }
    }
    report.policyVersion = state.policy ? state.policy->version : 0;
    report.demand = reportDemand(state.rates, now);
    return report;
}

void ReportExchange::State::take(std::string_view bytes)
{
    const auto report = decodeReport(bytes);
    if (!report) {
        logEvent(EventId::ReportInvalid, {{"from", sender.address().to_string()}, {"error", report.error().message}});
        return;
    }
    const auto &told = report.value();
    if (told.address == sidecar.settings.address) {
        return;
    }
    const auto known = sidecar.peers.rows.find(told.address);
    const bool isNew = known == sidecar.peers.rows.end() || !known->second.report || known->second.report->incarnation != told.incarnation;
    if (!applyReport(sidecar.peers, told, BootClock::now()) || !isNew) {
        return;
    }
    logEvent(EventId::PeerFound, {{"peer", told.address}, {"node", told.node.value}, {"service", told.service.value}, {"instance", told.instance}});
    if (sidecar.firstHeardAt == TimePoint()) {
        sidecar.firstHeardAt = BootClock::now();
    }
    sidecar.peerPool.closeIdle({told.address, sidecar.settings.peerListen.port});
    // The node knows nothing yet; the next report in turn would let it wait.
    sidecar.reportSoon = true;
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
            self->take({self->buffer.data(), size});
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
    const auto spread = duration_cast<Duration>(std::chrono::duration<double>(nodes / kReportsPerSecond));
    sidecar.peers.reportInterval = std::max(kLeastInterval, spread);
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
            // A report that the system does not take is as good as a lost one; the next follows soon.
            state_->socket.send_to(asio::buffer(bytes), {to, sidecar.settings.reportPort}, 0, error);
        }
    }
    sidecar.reportSoon = false;
}

} // namespace snipestream
