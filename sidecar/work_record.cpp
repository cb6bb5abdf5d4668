#include "sidecar/work_record.h"

#include "core/events.h"
#include "core/hash.h"
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

/// Maximum number of kinds of work in a report; the most frequent ones are reported. Few routes of a large configuration
/// are busy.
constexpr size_t kMaxReportedKinds = 8;
/// Rate below which a kind of work is left out of the report.
constexpr double kMinReportedRunsPerSecond = 0.05;
/// How often the stored record is compared with the measured figures.
constexpr Duration kCheckInterval = seconds(5);
/// Rate from which the measured figures of a kind are precise enough to be stored.
constexpr double kMinStoredRunsPerSecond = 1;
/// Difference between stored and measured figures above which the record is written again, as a fraction of the measured
/// figure.
constexpr double kMinRelativeDifference = 0.3;

/// Number of nodes of a service that keep its record up to date. The second one does so less often, in case that the first
/// one does not run.
constexpr size_t kRecordNodes = 2;
constexpr int kSecondNodeIntervals = 4;

/// Returns the position of this node among those that keep the record of its service, or `kRecordNodes` if it does not.
auto recordRank(const SidecarState &state) -> size_t
{
    const auto members = state.peers.members.find(state.settings.service);
    if (members == state.peers.members.end()) {
        return kRecordNodes;
    }
    const std::vector<std::string> addresses(members->second.begin(), members->second.end());
    const auto order = rendezvousOrder("work-record-" + state.settings.service.value, addresses, std::min(kRecordNodes, addresses.size()));
    for (size_t rank = 0; rank < order.size(); ++rank) {
        if (addresses[order[rank]] == state.settings.address) {
            return rank;
        }
    }
    return kRecordNodes;
}

auto differs(double stored, double measured) -> bool
{
    return std::abs(stored - measured) > kMinRelativeDifference * std::max(measured, 0.05);
}

/// Returns whether a measured kind differs from the stored one by more than the usual noise.
auto differs(const KindReport &stored, const KindReport &measured) -> bool
{
    if (differs(stored.secondsPerRun, measured.secondsPerRun)) {
        return true;
    }
    return std::any_of(measured.callsPerRun.begin(), measured.callsPerRun.end(), [&stored](const auto &call) {
        const auto found = stored.callsPerRun.find(call.first);
        return differs(found == stored.callsPerRun.end() ? 0 : found->second, call.second);
    });
}

/// Returns the stored kinds with new and changed measurements merged in. Returns an empty value if nothing has changed.
auto mergeMeasuredKinds(const std::vector<KindReport> &stored, const std::vector<KindReport> &measured) -> std::optional<std::vector<KindReport>>
{
    std::vector<KindReport> kinds = stored;
    bool changed = false;
    for (const auto &kind : measured) {
        if (kind.runsPerSecond < kMinStoredRunsPerSecond) {
            continue;
        }
        const auto found = std::find_if(kinds.begin(), kinds.end(), [&kind](const KindReport &row) {
            return row.kind == kind.kind;
        });
        if (found == kinds.end()) {
            kinds.push_back(kind);
            changed = true;
        } else if (differs(*found, kind)) {
            *found = kind;
            changed = true;
        }
    }
    return changed ? std::make_optional(kinds) : std::nullopt;
}

/// Reads the stored record of the service; it has no kinds if there is none or it is invalid. Returns an empty value if the
/// read failed.
auto readStoredKinds(SidecarState &state, const StoreClient &store) -> std::optional<std::vector<KindReport>>
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
    for (const auto &[kind, row] : state.callPattern.kinds) {
        if (runsPerSecond(row) >= kMinReportedRunsPerSecond) {
            const double service = std::chrono::duration<double>(expectedServiceTime(state.limiter, kind)).count();
            reports.push_back({kind, runsPerSecond(row), service, callsPerRun(row)});
        }
    }
    std::sort(reports.begin(), reports.end(), [](const KindReport &a, const KindReport &b) {
        return a.runsPerSecond > b.runsPerSecond;
    });
    reports.resize(std::min(reports.size(), kMaxReportedKinds));
    return reports;
}

void syncWorkRecord(SidecarState &state)
{
    const StoreClient store = storeClient(state);
    std::optional<std::vector<KindReport>> stored;
    if (state.settings.isFirstStart) {
        stored.emplace();
    }
    int failures = 0;
    while (!state.ended && !stored) {
        stored = readStoredKinds(state, store);
        if (!stored) {
            pauseAfterFailure(state, ++failures);
        }
    }
    for (const auto &kind : stored.value_or(std::vector<KindReport>())) {
        seedKind(state.callPattern, kind.kind, kind.callsPerRun);
        state.limiter.serviceSecondsByKind.emplace(kind.kind, kind.secondsPerRun);
    }
    for (int interval = 1; waitUnlessEnded(state, kCheckInterval); ++interval) {
        const size_t rank = recordRank(state);
        if (rank >= kRecordNodes || (rank > 0 && interval % kSecondNodeIntervals != 0)) {
            continue;
        }
        if (rank > 0) {
            // The first node may have written the record since.
            stored = readStoredKinds(state, store).value_or(*stored);
        }
        const auto kinds = mergeMeasuredKinds(*stored, kindReports(state));
        if (!kinds) {
            continue;
        }
        const auto written = writeRecord(store, workTopic(), state.settings.service.value, encodeKinds(*kinds));
        if (!written) {
            logEvent(EventId::WorkRecordNotWritten, {{"service", state.settings.service.value}, {"error", written.error().message}});
            continue;
        }
        stored = kinds;
        logEvent(EventId::WorkRecordWritten, {{"service", state.settings.service.value}, {"kinds", std::to_string(kinds->size())}});
    }
}

} // namespace snipestream
