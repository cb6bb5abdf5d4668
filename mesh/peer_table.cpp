#include "mesh/peer_table.h"

namespace snipestream
{

namespace
{

/// Reports that may be missing before a node counts as silent. Single datagrams get lost, but not four in a row.
constexpr int kMaxMissedReports = 4;
/// How long a silent node stays in the table, so that it is still there when a partition ends. The platform describes
/// partitions of up to 12 s.
constexpr Duration kSilentPeerRetention = seconds(60);
/// How long a node is avoided after a failed connection: about the time that a killed process takes to restart.
constexpr Duration kAvoidDuration = milliseconds(700);
/// Weight of the latest outcome in the failure rate, which thus covers about 20 requests.
constexpr double kOutcomeWeight = 0.05;

} // namespace

auto addMember(PeerTable &table, const Member &member) -> bool
{
    auto &row = table.rows[member.address];
    row.address = member.address;
    if (row.member == member) {
        return false;
    }
    row.member = member;
    return true;
}

auto applyReport(PeerTable &table, const NodeReport &report, TimePoint now) -> bool
{
    auto &row = table.rows[report.address];
    row.address = report.address;
    if (row.report) {
        if (report.incarnation == row.previousIncarnation) {
            return false;
        }
        if (report.incarnation == row.report->incarnation && report.sequence <= row.report->sequence) {
            return false;
        }
        if (report.incarnation != row.report->incarnation) {
            row.previousIncarnation = row.report->incarnation;
            row.failureRate = 0;
        }
    }
    if (!row.report || row.report->instance != report.instance) {
        row.failureRate = 0;
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
        const bool silent = row->second.report && now - row->second.lastReportAt > kSilentPeerRetention;
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
    return row.report && now - row.lastReportAt <= table.reportInterval * kMaxMissedReports;
}

void observeLoad(PeerRow &row, const TargetLoad &load)
{
    row.load = load;
    row.sentSinceLoadUpdate = 0;
}

void observeOutcome(PeerRow &row, bool failed)
{
    row.failureRate += ((failed ? 1.0 : 0.0) - row.failureRate) * kOutcomeWeight;
}

void avoidPeer(PeerRow &row, TimePoint now)
{
    row.avoidUntil = now + kAvoidDuration;
}

} // namespace snipestream
