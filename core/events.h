#pragma once

#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace snipestream
{

/// Severity of an event; selects the glog level.
enum class Severity {
    Info,
    Warning,
    Error,
};

/// Numbered log events. Numbers are stable: that of a removed event is not reused. Each subsystem has its own thousand:
/// 1 node, 2 configuration, 3 lease, 4 quota, 5 idempotency, 6 admission and retries, 7 routing, 8 peer links, 9 HTTP.
enum class EventId : int {
    NodeStarted = 1001,
    NodeStopping = 1002,
    NodeStopped = 1003,
    SettingsInvalid = 1004,
    RequestCutAtStop = 1005,
    NodeReportedDead = 1006,
    NodeRejoining = 1007,
    SettingsReloaded = 1008,
    MemoryShort = 1009,
    LinesLeftOut = 1011,
    StopTimeShort = 1012,
    TickLate = 1013,
    ConfigChangeApplied = 2001,
    ConfigChangeRejected = 2002,
    ConfigRecordUnreadable = 2003,
    ConfigSnapshotTaken = 2004,
    LogUnavailable = 2005,
    LogAvailable = 2006,
    PolicyApplied = 2007,
    PolicyRejected = 2008,
    KeyedServiceSuspended = 2009,
    KeyedServiceResumed = 2010,
    MembershipRead = 2011,
    WorkRecordWritten = 2012,
    WorkRecordNotWritten = 2013,
    WorkRecordInvalid = 2014,
    MemberRecordInvalid = 2015,
    MemberRecordNotRemoved = 2016,
    MemberRecordNotWritten = 2017,
    MemberReplaced = 2018,
    EvacuationChanged = 2019,
    LeaseAcquired = 3001,
    LeaseLost = 3002,
    LeaseClaimed = 3003,
    UnloggedModeEntered = 5001,
    UnloggedModeLeft = 5002,
    RangeQuarantined = 5003,
    ClaimRangeServing = 5004,
    ClaimRangeLost = 5005,
    RequestAnswered = 6001,
    RequestRefused = 6002,
    RequestFailed = 6003,
    RequestRetried = 6004,
    RequestAbandoned = 6005,
    TargetRefusedRequest = 6006,
    TargetResponseInvalid = 6007,
    TargetLoadSampled = 6008,
    RequestForOtherTarget = 6009,
    LimitLearned = 6010,
    TargetEjected = 7001,
    TargetReturned = 7002,
    TargetAnnounced = 7003,
    TargetDraining = 7004,
    TargetExpired = 7005,
    TargetUnreachable = 7006,
    TargetMessageInvalid = 7007,
    TargetLeft = 7008,
    PeerFound = 7009,
    PeerSilent = 7010,
    PeerUnreachable = 7011,
    DatagramInvalid = 7013,
    DepartureNotRecorded = 7014,
    ReportOfOtherService = 7015,
    PeerConnected = 8001,
    PeerLost = 8002,
    PeerRefused = 8003,
    PeerFrameInvalid = 8004,
    HttpRequestInvalid = 9001,
    HttpListening = 9002,
    AcceptFailed = 9003,
    ConnectionRefused = 9004,
    ResponseCut = 9005,
};

/// One row of the catalogue in docs/EVENTS.md.
struct EventRow {
    EventId id;
    Severity severity;
    std::string_view name;
    std::string_view meaning;
};

/// Returns all events in the order of their numbers.
auto eventCatalogue() -> const std::vector<EventRow> &;

/// A field of an event: a name and a value.
using EventField = std::pair<std::string_view, std::string>;

/// Returns the line of the event as it is logged: "SNS1001 node-started node=a domain=b".
auto formatEvent(EventId id, std::initializer_list<EventField> fields) -> std::string;

/// Writes the event to the log with the severity of its catalogue row.
void logEvent(EventId id, std::initializer_list<EventField> fields);

/// Receives the formatted lines of events in place of glog.
using EventSink = std::function<void(Severity severity, const std::string &line)>;

/// Sends all later events to the sink; an empty sink restores glog.
void setEventSink(EventSink sink);

/// Returns the catalogue as the Markdown table of docs/EVENTS.md.
auto eventCatalogueMarkdown() -> std::string;

} // namespace snipestream
