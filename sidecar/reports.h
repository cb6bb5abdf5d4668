#pragma once

#include "core/result.h"
#include "sidecar/state.h"

#include <memory>

namespace snipestream
{

/// Exchanges reports with all other nodes over UDP. Each report replaces the previous one, so lost datagrams are neither
/// retransmitted nor acknowledged.
class ReportExchange
{
public:
    explicit ReportExchange(SidecarState &state);
    ~ReportExchange();
    ReportExchange(const ReportExchange &) = delete;
    auto operator=(const ReportExchange &) -> ReportExchange & = delete;

    /// Binds the report port. Returns ErrorCode::Unavailable if it cannot be bound.
    auto open() -> Result<void>;

    void close();

    /// Sends a report to all other nodes. Called when the report interval has passed or `SidecarState::reportDue` is set.
    void send(TimePoint now);

private:
    struct State;
    std::shared_ptr<State> state_;
};

/// Returns the current report of this node, with the next sequence number.
auto makeReport(SidecarState &state, TimePoint now) -> NodeReport;

} // namespace snipestream
