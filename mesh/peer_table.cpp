#include "mesh/peer_table.h"

namespace snipestream
{

namespace
{

/// Reports that may be missing before a node counts as silent. Datagrams are lost now and then; four in a row are not.
constexpr int kMissedReports = 4;
/// How long a silent node stays in the table, so that the end of a partition finds it again. Longer than the partitions
/// that the platform describes (12 s), with room.
constexpr Duration kForgetAfter = seconds(60);
/// How long a node is avoided after a failed connection. About the time in which a killed process is started again.
constexpr Duration kAvoidTime = milliseconds(700);
/// Weight of the latest outcome in the share of failures: about 20 requests are remembered.
constexpr double kOutcomeWeight = 0.05;

} // namespace

void addAddress(PeerTable &table, const std::string &address)
{
    table.rows.try_emplace(address).first->second.address = address;
}

auto applyReport(PeerTable &table, const NodeReport &report, TimePoint now) -> bool
{
    addAddress(table, report.address);
    auto &row = table.rows[report.address];
    if (row.report) {
        if (report.incarnation == row.previousIncarnation) {
            return false;
        }
        if (report.incarnation == row.report->incarnation && report.sequence <= row.report->sequence) {
            return false;
        }
        if (report.incarnation != row.report->incarnation) {
            row.previousIncarnation = row.report->incarnation;
            row.failureShare = 0;
        }
    }
    if (!row.report || row.report->instance != report.instance) {
        row.failureShare = 0;
    }
    row.report = report;
    row.lastReportAt = now;
    observeLoad(row, report.load);
    return true;
}

auto removeSilentPeers(PeerTable &table, TimePoint now) -> std::vector<std::string>
{
    std::vector<std::string> removed;
    for (auto row = table.rows.begin(); row != table.rows.end();) {
        const bool silent = row->second.report && now - row->second.lastReportAt > kForgetAfter;
        if (silent && row->first != table.ownAddress && row->second.inFlight == 0) {
            removed.push_back(row->first);
            row = table.rows.erase(row);
        } else {
            ++row;
        }
    }
    return removed;
}

auto isAlive(const PeerTable &table, const PeerRow &row, TimePoint now) -> bool
{
    return row.report && now - row.lastReportAt <= table.reportInterval * kMissedReports;
}

void observeLoad(PeerRow &row, const TargetLoad &load)
{
    row.load = load;
    row.sentSinceLoadUpdate = 0;
}

void observeOutcome(PeerRow &row, bool failed)
{
    row.failureShare += ((failed ? 1.0 : 0.0) - row.failureShare) * kOutcomeWeight;
}

void avoidPeer(PeerRow &row, TimePoint now)
{
    row.avoidUntil = now + kAvoidTime;
}

} // namespace snipestream
