#include "core/events.h"

#include <algorithm>

#include <glog/logging.h>

namespace snipestream
{

namespace
{

auto eventRow(EventId id) -> const EventRow &
{
    const auto &rows = eventCatalogue();
    const auto row = std::find_if(rows.begin(), rows.end(), [id](const EventRow &candidate) {
        return candidate.id == id;
    });
    CHECK(row != rows.end()) << "event " << static_cast<int>(id) << " is missing from the catalogue";
    return *row;
}

auto severityName(Severity severity) -> std::string_view
{
    switch (severity) {
    case Severity::Info:
        return "info";
    case Severity::Warning:
        return "warning";
    case Severity::Error:
        return "error";
    }
    return "error";
}

} // namespace

auto eventCatalogue() -> const std::vector<EventRow> &
{
    static const std::vector<EventRow> rows = {
        {EventId::NodeStarted, Severity::Info, "node-started", "The node accepts requests."},
        {EventId::NodeStopping, Severity::Info, "node-stopping", "A graceful shutdown began."},
        {EventId::NodeStopped, Severity::Info, "node-stopped", "The node ended; the count of cut requests is given."},
        {EventId::SettingsInvalid, Severity::Error, "settings-invalid", "A field of the settings file is wrong."},
        {EventId::RequestCutAtStop, Severity::Warning, "request-cut-at-stop", "The shutdown deadline or a second signal ended a request."},
        {EventId::NodeReportedDead, Severity::Warning, "node-reported-dead", "A node of the domain did not answer and this node appended its leave record."},
        {EventId::NodeRejoining, Severity::Warning, "node-rejoining",
         "Other nodes reported this node dead; it joins again with a new incarnation and without its leases."},
        {EventId::ConfigChangeApplied, Severity::Info, "config-change-applied", "A change came into force on this node."},
        {EventId::ConfigChangeRejected, Severity::Warning, "config-change-rejected", "A change lost against an earlier one or was invalid."},
        {EventId::ConfigRecordUnreadable, Severity::Error, "config-record-unreadable", "A record of the log does not parse and is skipped."},
        {EventId::ConfigSnapshotTaken, Severity::Info, "config-snapshot-taken", "The node adopted a snapshot in place of older records."},
        {EventId::LogUnavailable, Severity::Warning, "log-unavailable", "The platform's log stopped answering."},
        {EventId::LogAvailable, Severity::Info, "log-available", "The platform's log answers again."},
        {EventId::LeaseAcquired, Severity::Info, "lease-acquired", "This node became the valid holder of a range."},
        {EventId::LeaseLost, Severity::Warning, "lease-lost", "This node stopped being the valid holder of a range."},
        {EventId::LeaseClaimed, Severity::Info, "lease-claimed", "This node appended a lease record for a range."},
        {EventId::UnloggedModeEntered, Severity::Warning, "unlogged-mode-entered", "Claims are kept in memory because the log does not take appends."},
        {EventId::UnloggedModeLeft, Severity::Info, "unlogged-mode-left", "All claims are on the log again."},
        {EventId::RangeQuarantined, Severity::Warning, "range-quarantined", "The previous owner may have run requests that are not on the log."},
        {EventId::ClaimRangeServing, Severity::Info, "claim-range-serving", "This node took over the claims of a range and grants new ones."},
        {EventId::ClaimRangeLost, Severity::Warning, "claim-range-lost", "This node no longer owns the claims of a range."},
        {EventId::TargetEjected, Severity::Warning, "target-ejected", "A target failed repeatedly and gets no work."},
        {EventId::TargetReturned, Severity::Info, "target-returned", "An ejected target gets work again."},
        {EventId::TargetAnnounced, Severity::Info, "target-announced", "A target announced itself to this node."},
        {EventId::TargetDraining, Severity::Info, "target-draining", "A target is leaving and gets no new work."},
        {EventId::TargetExpired, Severity::Warning, "target-expired", "A target stopped renewing its announcement."},
        {EventId::PeerConnected, Severity::Info, "peer-connected", "A link to a peer node is open."},
        {EventId::PeerLost, Severity::Warning, "peer-lost", "A link to a peer node closed."},
        {EventId::PeerRefused, Severity::Warning, "peer-refused", "A peer was refused, such as for its protocol version."},
        {EventId::PeerFrameInvalid, Severity::Warning, "peer-frame-invalid", "A frame from a peer does not decode and closed the link."},
        {EventId::HttpRequestInvalid, Severity::Warning, "http-request-invalid", "A request over HTTP is malformed or too large."},
        {EventId::HttpListening, Severity::Info, "http-listening", "The HTTP server accepts connections."},
    };
    return rows;
}

auto formatEvent(EventId id, std::initializer_list<EventField> fields) -> std::string
{
    std::string line = "SNS" + std::to_string(static_cast<int>(id)) + " " + std::string(eventRow(id).name);
    for (const auto &[name, value] : fields) {
        line.append(" ").append(name).append("=").append(value);
    }
    return line;
}

void logEvent(EventId id, std::initializer_list<EventField> fields)
{
    const std::string line = formatEvent(id, fields);
    switch (eventRow(id).severity) {
    case Severity::Info:
        LOG(INFO) << line;
        return;
    case Severity::Warning:
        LOG(WARNING) << line;
        return;
    case Severity::Error:
        LOG(ERROR) << line;
        return;
    }
}

auto eventCatalogueMarkdown() -> std::string
{
    std::string table = "| event | name | severity | meaning |\n| --- | --- | --- | --- |\n";
    for (const auto &row : eventCatalogue()) {
        table.append("| SNS").append(std::to_string(static_cast<int>(row.id))).append(" | ").append(row.name);
        table.append(" | ").append(severityName(row.severity)).append(" | ").append(row.meaning).append(" |\n");
    }
    return table;
}

} // namespace snipestream
