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
        {EventId::NodeStopped, Severity::Info, "node-stopped", "The node stopped; the event gives the number of requests that were cut off."},
        {EventId::SettingsInvalid, Severity::Error, "settings-invalid", "A field of the settings file is invalid."},
        {EventId::RequestCutAtStop, Severity::Warning, "request-cut-at-stop", "The shutdown deadline or a second signal ended a request."},
        {EventId::NodeReportedDead, Severity::Warning, "node-reported-dead",
         "A node of the domain did not respond, so this node appended a leave record for it."},
        {EventId::NodeRejoining, Severity::Warning, "node-rejoining",
         "Other nodes reported this node dead; it joins again with a new incarnation and without its leases."},
        {EventId::SettingsReloaded, Severity::Info, "settings-reloaded", "The settings file was read again; limits that can change at run time are in force."},
        {EventId::MemoryShort, Severity::Warning, "memory-short",
         "A request was refused or a connection ended because requests in progress or connections hold too much memory."},
        {EventId::LinesLeftOut, Severity::Warning, "lines-left-out", "Log lines were dropped to bound the log volume."},
        {EventId::StopTimeShort, Severity::Warning, "stop-time-short",
         "Requests were still in progress near the end of the stop time; they get their final responses."},
        {EventId::TickLate, Severity::Warning, "tick-late",
         "The node's timer ran late; the event gives the delay, and the processor time and suspended time within it."},
        {EventId::ConfigChangeApplied, Severity::Info, "config-change-applied", "A change came into force on this node."},
        {EventId::ConfigChangeRejected, Severity::Warning, "config-change-rejected", "A change conflicted with an earlier one or was invalid."},
        {EventId::ConfigRecordUnreadable, Severity::Error, "config-record-unreadable", "A record of the log cannot be parsed and is skipped."},
        {EventId::ConfigSnapshotTaken, Severity::Info, "config-snapshot-taken", "The node adopted a snapshot in place of older records."},
        {EventId::LogUnavailable, Severity::Warning, "log-unavailable", "The platform's log stopped responding."},
        {EventId::LogAvailable, Severity::Info, "log-available", "The platform's log responds again."},
        {EventId::PolicyApplied, Severity::Info, "policy-applied", "A newer configuration of the operator is in force on this node."},
        {EventId::PolicyRejected, Severity::Error, "policy-rejected", "A configuration cannot be parsed; the previous one stays in force."},
        {EventId::KeyedServiceSuspended, Severity::Warning, "keyed-service-suspended",
         "The configuration was not confirmed in time, so API keys may have been withdrawn; requests with a key are refused."},
        {EventId::KeyedServiceResumed, Severity::Info, "keyed-service-resumed", "The configuration is confirmed again; requests with a key are served."},
        {EventId::MembershipRead, Severity::Info, "roster-read", "The members were read from the store or got from another node, and have changed."},
        {EventId::WorkRecordWritten, Severity::Info, "work-record-written", "The work that requests cause at the service's targets was written to the store."},
        {EventId::WorkRecordNotWritten, Severity::Warning, "work-record-not-written",
         "The store did not accept the record of the work that requests cause at the service's targets."},
        {EventId::WorkRecordInvalid, Severity::Warning, "work-record-invalid",
         "The stored record of a service's work cannot be parsed; the work is measured again."},
        {EventId::MemberRecordInvalid, Severity::Warning, "member-record-invalid", "The stored record of a node cannot be parsed; the node is not used."},
        {EventId::MemberRecordNotRemoved, Severity::Warning, "member-record-not-removed",
         "The store did not accept the record that says that this node has left; other nodes find that it is silent."},
        {EventId::MemberRecordNotWritten, Severity::Warning, "member-record-not-written",
         "The store did not accept this node's record; the write is repeated."},
        {EventId::MemberReplaced, Severity::Warning, "member-replaced",
         "The record of an address names another service than before, so another VM has got the address."},
        {EventId::EvacuationChanged, Severity::Warning, "evacuation-changed",
         "The operator has ordered or withdrawn the evacuation of failure domains; targets in those listed get no requests."},
        {EventId::LeaseAcquired, Severity::Info, "lease-acquired", "This node became the valid holder of a range."},
        {EventId::LeaseLost, Severity::Warning, "lease-lost", "This node stopped being the valid holder of a range."},
        {EventId::LeaseClaimed, Severity::Info, "lease-claimed", "This node appended a lease record for a range."},
        {EventId::UnloggedModeEntered, Severity::Warning, "unlogged-mode-entered", "Claims are kept in memory because the log does not accept appends."},
        {EventId::UnloggedModeLeft, Severity::Info, "unlogged-mode-left", "All claims are on the log again."},
        {EventId::RangeQuarantined, Severity::Warning, "range-quarantined", "The previous owner of a range may have run requests that are not on the log."},
        {EventId::ClaimRangeServing, Severity::Info, "claim-range-serving", "This node took over the claims of a range and grants new ones."},
        {EventId::ClaimRangeLost, Severity::Warning, "claim-range-lost", "This node no longer owns the claims of a range."},
        {EventId::RequestAnswered, Severity::Info, "request-answered", "A caller got the response of a target."},
        {EventId::RequestRefused, Severity::Warning, "request-refused", "A request was refused and did not run."},
        {EventId::RequestFailed, Severity::Warning, "request-failed", "A caller got an error although the request may have run."},
        {EventId::RequestRetried, Severity::Warning, "request-retried",
         "A request is sent to another target; the event gives the outcome of the previous attempt."},
        {EventId::RequestAbandoned, Severity::Info, "request-abandoned", "The caller disconnected before it got a response."},
        {EventId::TargetRefusedRequest, Severity::Warning, "target-refused-request", "The node beside the target, or the target, did not run a request."},
        {EventId::TargetResponseInvalid, Severity::Warning, "target-answer-invalid", "A target's response was incomplete or belongs to another request."},
        {EventId::TargetLoadSampled, Severity::Info, "target-load-sampled", "Load of the local target and of its queue, once a second."},
        {EventId::RequestForOtherTarget, Severity::Warning, "request-for-other-target",
         "A request arrived for another target than the local one, so its sender has outdated information about this address."},
        {EventId::LimitLearned, Severity::Info, "limit-learned",
         "The number of requests that the local target takes at once has changed, or another one is tried for a moment."},
        {EventId::TargetEjected, Severity::Warning, "target-ejected", "A target failed repeatedly and gets no requests."},
        {EventId::TargetReturned, Severity::Info, "target-returned", "An ejected target gets requests again."},
        {EventId::TargetAnnounced, Severity::Info, "target-announced", "A target announced itself to this node."},
        {EventId::TargetDraining, Severity::Info, "target-draining", "A target is draining and gets no new requests."},
        {EventId::TargetExpired, Severity::Warning, "target-expired", "A target stopped renewing its announcement."},
        {EventId::TargetUnreachable, Severity::Warning, "target-unreachable",
         "The target refused a connection and gets no requests until its next announcement."},
        {EventId::TargetMessageInvalid, Severity::Warning, "target-message-invalid", "An announcement does not name a usable target and is ignored."},
        {EventId::TargetLeft, Severity::Info, "target-left", "A target deregistered and gets no new requests."},
        {EventId::PeerFound, Severity::Info, "peer-found", "The first report of a node arrived, or its first report after a restart."},
        {EventId::PeerSilent, Severity::Warning, "peer-silent", "No report of a node arrived for several report intervals."},
        {EventId::PeerUnreachable, Severity::Warning, "peer-unreachable", "A request could not be sent to a node, so the node is avoided for a short time."},
        {EventId::DatagramInvalid, Severity::Warning, "datagram-invalid", "A datagram of another node cannot be decoded and is ignored."},
        {EventId::DepartureNotRecorded, Severity::Warning, "departure-not-recorded",
         "The departure of the target is not in the store yet, so the target gets no acknowledgement. It gets no new requests."},
        {EventId::ReportOfOtherService, Severity::Warning, "report-of-other-service",
         "A node reports a target of another service than the list of members names for its address."},
        {EventId::PeerConnected, Severity::Info, "peer-connected", "A link to a peer node is open."},
        {EventId::PeerLost, Severity::Warning, "peer-lost", "A link to a peer node closed."},
        {EventId::PeerRefused, Severity::Warning, "peer-refused", "A link to a peer node was refused, for example because of its protocol version."},
        {EventId::PeerFrameInvalid, Severity::Warning, "peer-frame-invalid", "A frame from a peer node could not be decoded, so the link was closed."},
        {EventId::HttpRequestInvalid, Severity::Warning, "http-request-invalid", "An HTTP request is malformed or too large."},
        {EventId::HttpListening, Severity::Info, "http-listening", "The HTTP server accepts connections."},
        {EventId::AcceptFailed, Severity::Warning, "accept-failed", "A connection could not be accepted, for example because no file descriptor was free."},
        {EventId::ConnectionRefused, Severity::Warning, "connection-refused",
         "Connections were refused because too many are open, or replaced: closed for others because they were without a request."},
        {EventId::ResponseCut, Severity::Warning, "response-cut",
         "A connection was closed while it was sent a response, since responses hold too much memory and this one was the largest."},
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
