#pragma once

#include "core/result.h"
#include "sidecar/state.h"

#include <memory>

namespace snipestream
{

/// Sends this node's report to all others and takes theirs into account, over UDP. A lost datagram is replaced by the
/// next one, so nothing is repeated or acknowledged.
class ReportExchange
{
public:
    explicit ReportExchange(SidecarState &state);
    ~ReportExchange();
    ReportExchange(const ReportExchange &) = delete;
    auto operator=(const ReportExchange &) -> ReportExchange & = delete;

    /// Binds the port. An Error if it is taken.
    auto open() -> Result<void>;

    /// Closes the port.
    void close();

    /// Sends a report now. Called by the ticker when the interval has passed or something changed.
    void send(TimePoint now);

private:
    struct State;
    std::shared_ptr<State> state_;
};

/// Returns what this node reports at present.
auto makeReport(SidecarState &state, TimePoint now) -> NodeReport;

} // namespace snipestream
