#include "sidecar/work_record.h"

#include "core/events.h"
#include "mesh/report_codec.h"
#include "sidecar/store_access.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <vector>

namespace snipestream
{

namespace
{

/// Kinds of work that a report tells of, the most frequent ones; few routes of a large configuration are busy.
constexpr size_t kMostKinds = 8;
/// Rate below which a kind of work is not worth telling, in runs a second.
constexpr double kLeastRuns = 0.05;
/// How often the record is compared with what is known, at least.
constexpr Duration kCheckInterval = seconds(5);
/// Runs a second from which a kind is known well enough to be kept.
constexpr double kLeastKeptRuns = 1;
/// Difference between the kept and the measured figures from which the record is written anew, as a part of them.
constexpr double kWorthWriting = 0.3;

/// Whether this node writes the record of its service: the first address among those alive, so that one does.
auto isWriter(const SidecarState &state, TimePoint now) -> bool
{
    return std::none_of(state.peers.rows.begin(), state.peers.rows.end(), [&state, now](const auto &entry) {
        const auto &[address, row] = entry;
        return address < state.peers.ownAddress && row.report && row.report->service == state.settings.service && isAlive(state.peers, row, now);
    });
}

auto differs(double kept, double measured) -> bool
{
    return std::abs(kept - measured) > kWorthWriting * std::max(measured, 0.05);
}

/// Whether the measured kind differs from the kept one by more than its usual noise.
auto differs(const KindReport &kept, const KindReport &measured) -> bool
{
    if (differs(kept.secondsPerRun, measured.secondsPerRun)) {
        return true;
    }
    return std::any_of(measured.callsPerRun.begin(), measured.callsPerRun.end(), [&kept](const auto &call) {
        const auto known = kept.callsPerRun.find(call.first);
        return differs(known == kept.callsPerRun.end() ? 0 : known->second, call.second);
    });
}

/// Returns the kept kinds with those replaced that were measured otherwise; empty if none was.
auto updated(const std::vector<KindReport> &kept, const std::vector<KindReport> &measured) -> std::optional<std::vector<KindReport>>
{
    std::vector<KindReport> kinds = kept;
    bool changed = false;
    for (const auto &kind : measured) {
        if (kind.runsPerSecond < kLeastKeptRuns) {
            continue;
        }
        const auto known = std::find_if(kinds.begin(), kinds.end(), [&kind](const KindReport &row) {
            return row.kind == kind.kind;
        });
        if (known == kinds.end()) {
            kinds.push_back(kind);
            changed = true;
        } else if (differs(*known, kind)) {
            *known = kind;
            changed = true;
        }
    }
    return changed ? std::make_optional(kinds) : std::nullopt;
}

/// Reads the record of the service. Empty if the store did not answer.
auto readKept(SidecarState &state, const StoreClient &store) -> std::optional<std::vector<KindReport>>
{
    const auto page = readNewest(store, workTopic());
    if (!page) {
        return std::nullopt;
    }
    for (const auto &record : page.value().records) {
        if (record.key != state.settings.service.value || record.value.empty()) {
            continue;
        }
        const auto kinds = decodeKinds(record.value);
        if (kinds) {
            return kinds.value();
        }
        logEvent(EventId::WorkRecordInvalid, {{"service", record.key}, {"error", kinds.error().message}});
    }
    return std::vector<KindReport>();
}

} // namespace

auto kindReports(const SidecarState &state) -> std::vector<KindReport>
{
    std::vector<KindReport> reports;
    for (const auto &[kind, row] : state.calls.kinds) {
        if (runsPerSecond(row) >= kLeastRuns) {
            const double service = std::chrono::duration<double>(expectedServiceTime(state.gate, kind)).count();
            reports.push_back({kind, runsPerSecond(row), service, callsPerRun(row)});
        }
    }
    std::sort(reports.begin(), reports.end(), [](const KindReport &a, const KindReport &b) {
        return a.runsPerSecond > b.runsPerSecond;
    });
    reports.resize(std::min(reports.size(), kMostKinds));
    return reports;
}

void followWork(SidecarState &state)
{
    const StoreClient store = storeClient(state);
    std::optional<std::vector<KindReport>> kept;
    while (!state.ended && !kept) {
        kept = readKept(state, store);
        if (!kept) {
            pauseAfterFailure(state);
        }
    }
    for (const auto &kind : kept.value_or(std::vector<KindReport>())) {
        seedKind(state.calls, kind.kind, kind.callsPerRun);
        state.gate.serviceSecondsByKind.emplace(kind.kind, kind.secondsPerRun);
    }
    state.reportSoon = true;
    while (waitUnlessEnded(state, kCheckInterval)) {
        const auto kinds = updated(*kept, kindReports(state));
        if (!kinds || !isWriter(state, BootClock::now())) {
            continue;
        }
        const auto written = writeRecord(store, workTopic(), state.settings.service.value, encodeKinds(*kinds));
        if (!written) {
            logEvent(EventId::WorkRecordNotWritten, {{"service", state.settings.service.value}, {"error", written.error().message}});
            continue;
        }
        kept = kinds;
        logEvent(EventId::WorkRecordWritten, {{"service", state.settings.service.value}, {"kinds", std::to_string(kinds->size())}});
    }
}

} // namespace snipestream
