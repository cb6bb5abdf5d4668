#include "mesh/peer_table.h"

#include "core/hash.h"

#include <utility>

namespace snipestream
{

namespace
{

/// Reports that may be missing before a node counts as silent. Single datagrams get lost, but not four in a row.
constexpr int kMaxMissedReports = 4;
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
    ++table.revision;
    if (row.member.service != member.service) {
        table.members[row.member.service].erase(member.address);
        row = PeerRow();
        row.address = member.address;
        row.memberSince = table.revision;
    }
    table.members[member.service].insert(member.address);
    row.member = member;
    row.affinity = stableHash(member.address, stableHash(table.ownAddress));
    return true;
}

void removeMember(PeerTable &table, const std::string &address)
{
    const auto found = table.rows.find(address);
    if (found == table.rows.end() || address == table.ownAddress) {
        return;
    }
    ++table.revision;
    table.members[found->second.member.service].erase(address);
    if (found->second.inFlight == 0) {
        table.rows.erase(found);
        return;
    }
    forgetReport(found->second);
    found->second.member = Member();
}

auto applyReport(PeerTable &table, const NodeReport &report, TimePoint now) -> bool
{
    const auto found = table.rows.find(report.address);
    if (found == table.rows.end() || found->second.member.address.empty()) {
        return false;
    }
    auto &row = found->second;
    if (row.member.service != report.target.service) {
        row.otherServiceIncarnation = report.incarnation;
        return false;
    }
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
    if (!row.report || row.report->target != report.target) {
        row.failureRate = 0;
    }
    row.report = report;
    row.lastReportAt = now;
    if (!report.kinds.empty()) {
        row.kinds = report.kinds;
    }
    observeLoad(row, report.load);
    return true;
}

void forgetReport(PeerRow &row)
{
    row.report.reset();
    row.kinds.clear();
}

void dropOutdatedReport(PeerRow &row, const TargetId &refused)
{
    if (row.report && row.report->target == refused) {
        row.report.reset();
    }
}

auto homesOf(const PeerTable &table, const ServiceName &service) -> std::vector<const PeerRow *>
{
    std::vector<const PeerRow *> rows;
    const auto homes = table.homes.find(service);
    if (homes == table.homes.end()) {
        return rows;
    }
    for (const auto &address : homes->second) {
        const auto row = table.rows.find(address);
        if (row != table.rows.end() && row->second.member.service == service) {
            rows.push_back(&row->second);
        }
    }
    return rows;
}

auto homesOf(PeerTable &table, const ServiceName &service) -> std::vector<PeerRow *>
{
    std::vector<PeerRow *> rows;
    for (const PeerRow *const row : homesOf(std::as_const(table), service)) {
        rows.push_back(&table.rows.at(row->address));
    }
    return rows;
}

auto isEvacuated(const PeerTable &table, const PeerRow &row) -> bool
{
    return table.evacuatedDomains.count(row.member.domain) != 0;
}

auto isAlive(const PeerRow &row, TimePoint now) -> bool
{
    return row.report && now - row.lastReportAt <= row.report->interval * kMaxMissedReports;
}

auto isServing(const PeerRow &row) -> bool
{
    return row.report && row.report->serving && !row.report->leaving;
}

auto isServingLast(const PeerRow &row) -> bool
{
    return row.report && row.report->serving && row.report->leaving;
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
