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
        {EventId::SettingsReloaded, Severity::Info, "settings-reloaded", "The settings file was read again; limits that can change at run time are in force."},
        {EventId::MemoryShort, Severity::Warning, "memory-short", "Requests in progress hold so much memory that a further one was refused."},
        {EventId::LinesLeftOut, Severity::Warning, "lines-left-out", "Log lines were left out to keep the volume bounded."},
        {EventId::ConfigChangeApplied, Severity::Info, "config-change-applied", "A change came into force on this node."},
        {EventId::ConfigChangeRejected, Severity::Warning, "config-change-rejected", "A change lost against an earlier one or was invalid."},
        {EventId::ConfigRecordUnreadable, Severity::Error, "config-record-unreadable", "A record of the log does not parse and is skipped."},
        {EventId::ConfigSnapshotTaken, Severity::Info, "config-snapshot-taken", "The node adopted a snapshot in place of older records."},
        {EventId::LogUnavailable, Severity::Warning, "log-unavailable", "The platform's log stopped answering."},
        {EventId::LogAvailable, Severity::Info, "log-available", "The platform's log answers again."},
        {EventId::PolicyApplied, Severity::Info, "policy-applied", "A newer configuration of the operator is in force on this node."},
        {EventId::PolicyRejected, Severity::Error, "policy-rejected", "A configuration cannot be read; the one before stays in force."},
        {EventId::KeyedServiceSuspended, Severity::Warning, "keyed-service-suspended",
         "The configuration was not confirmed in time, so keys might have been withdrawn; requests with a key are refused."},
        {EventId::KeyedServiceResumed, Severity::Info, "keyed-service-resumed", "The configuration is confirmed again; requests with a key are served."},
        {EventId::MembershipRead, Severity::Info, "roster-read", "The addresses of the other nodes were read from the store."},
        {EventId::WorkRecordWritten, Severity::Info, "work-record-written", "What requests cause at the service's targets was written to the store."},
        {EventId::WorkRecordNotWritten, Severity::Warning, "work-record-not-written", "The store did not take what requests cause at the service's targets."},
        {EventId::WorkRecordInvalid, Severity::Warning, "work-record-invalid", "What the store keeps of a service's work cannot be read; it is learned anew."},
        {EventId::LeaseAcquired, Severity::Info, "lease-acquired", "This node became the valid holder of a range."},
        {EventId::LeaseLost, Severity::Warning, "lease-lost", "This node stopped being the valid holder of a range."},
        {EventId::LeaseClaimed, Severity::Info, "lease-claimed", "This node appended a lease record for a range."},
        {EventId::UnloggedModeEntered, Severity::Warning, "unlogged-mode-entered", "Claims are kept in memory because the log does not take appends."},
        {EventId::UnloggedModeLeft, Severity::Info, "unlogged-mode-left", "All claims are on the log again."},
        {EventId::RangeQuarantined, Severity::Warning, "range-quarantined", "The previous owner may have run requests that are not on the log."},
        {EventId::ClaimRangeServing, Severity::Info, "claim-range-serving", "This node took over the claims of a range and grants new ones."},
        {EventId::ClaimRangeLost, Severity::Warning, "claim-range-lost", "This node no longer owns the claims of a range."},
        {EventId::RequestAnswered, Severity::Info, "request-answered", "A caller got the answer of a target."},
        {EventId::RequestRefused, Severity::Warning, "request-refused", "A request was refused and has not run."},
        {EventId::RequestFailed, Severity::Warning, "request-failed", "A caller got an error although the request may have run."},
        {EventId::RequestRetried, Severity::Warning, "request-retried", "A request is sent to another target; the outcome of the one before is given."},
        {EventId::RequestAbandoned, Severity::Info, "request-abandoned", "The caller left before its answer."},
        {EventId::TargetRefusedRequest, Severity::Warning, "target-refused-request", "The node beside the target, or the target, did not run a request."},
        {EventId::TargetResponseInvalid, Severity::Warning, "target-answer-invalid", "A target's answer was incomplete or belongs to another request."},
        {EventId::TargetLoadSampled, Severity::Info, "target-load-sampled", "Load of the local target and of its queue, once a second."},
        {EventId::TargetEjected, Severity::Warning, "target-ejected", "A target failed repeatedly and gets no work."},
        {EventId::TargetReturned, Severity::Info, "target-returned", "An ejected target gets work again."},
        {EventId::TargetAnnounced, Severity::Info, "target-announced", "A target announced itself to this node."},
        {EventId::TargetDraining, Severity::Info, "target-draining", "A target is leaving and gets no new work."},
        {EventId::TargetExpired, Severity::Warning, "target-expired", "A target stopped renewing its announcement."},
        {EventId::TargetUnreachable, Severity::Warning, "target-unreachable", "The target refused a connection and gets no work until it announces itself."},
        {EventId::TargetMessageInvalid, Severity::Warning, "target-message-invalid", "An announcement names no target to use and is ignored."},
        {EventId::TargetLeft, Severity::Info, "target-left", "The target said that it leaves and gets no new work."},
        {EventId::PeerFound, Severity::Info, "peer-found", "A node reported itself for the first time, or after a restart."},
        {EventId::PeerSilent, Severity::Warning, "peer-silent", "A node was not heard of for several reports."},
        {EventId::PeerUnreachable, Severity::Warning, "peer-unreachable", "A request could not be sent to a node, which is avoided for a moment."},
        {EventId::ReportInvalid, Severity::Warning, "report-invalid", "A datagram is no report of a node and is ignored."},
        {EventId::PeerConnected, Severity::Info, "peer-connected", "A link to a peer node is open."},
        {EventId::PeerLost, Severity::Warning, "peer-lost", "A link to a peer node closed."},
        {EventId::PeerRefused, Severity::Warning, "peer-refused", "A peer was refused, such as for its protocol version."},
        {EventId::PeerFrameInvalid, Severity::Warning, "peer-frame-invalid", "A frame from a peer does not decode and closed the link."},
        {EventId::HttpRequestInvalid, Severity::Warning, "http-request-invalid", "A request over HTTP is malformed or too large."},
        {EventId::HttpListening, Severity::Info, "http-listening", "The HTTP server accepts connections."},
        {EventId::AcceptFailed, Severity::Warning, "accept-failed", "A connection could not be accepted, such as for want of descriptors."},
        {EventId::ConnectionRefused, Severity::Warning, "connection-refused", "A connection was closed at once because there are too many."},
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

namespace
{

auto eventSink() -> EventSink &
{
    static EventSink sink;
    return sink;
}

} // namespace

void setEventSink(EventSink sink)
{
    eventSink() = std::move(sink);
}

void logEvent(EventId id, std::initializer_list<EventField> fields)
{
    const std::string line = formatEvent(id, fields);
    if (eventSink()) {
        eventSink()(eventRow(id).severity, line);
        return;
    }
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
