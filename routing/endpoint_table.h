#pragma once

#include "routing/directory.h"
#include "routing/endpoint.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace snipestream
{

/// Settings of endpoint selection and ejection.
struct RoutingSettings {
    /// Number of consecutive failures that eject an endpoint.
    int consecutiveFailureThreshold = 5;
    Duration baseEjectionTime = seconds(5);
    Duration maxEjectionTime = seconds(60);
    /// Time without ejection after which the next ejection lasts `baseEjectionTime` again; each ejection until then
    /// doubles the time.
    Duration ejectionResetTime = seconds(60);
    /// Retention of endpoints that left, are suspect or are no longer listed. It exceeds the time for which a directory
    /// node keeps its own rows, so that a directory that was partitioned from the fleet cannot bring an older state
    /// back.
    Duration rowRetention = seconds(660);
};

/// A target in the table of a node that calls its service.
struct EndpointRow {
    EndpointRecord record;
    /// Requests of this node in flight to the endpoint.
    int inFlight = 0;
    /// Maximum number of requests that this node sends to the endpoint at once; decreases when the endpoint refuses
    /// requests as overloaded.
    double limit = 1;
    int consecutiveFailures = 0;
    int ejections = 0;
    TimePoint ejectedUntil;
    TimePoint returnedAt;
    /// The home node refused a call because the target is leaving; valid until the target starts again with a new
    /// incarnation.
    bool reportedLeaving = false;
    /// When the record last changed its state or became suspect; used for its removal.
    TimePoint stateChangedAt;
    /// A complete update did not contain the endpoint, and no update has contained it since.
    bool unlisted = false;
    TimePoint unlistedSince;
};

/// Endpoints of one service.
struct ServiceEndpoints {
    std::vector<EndpointRow> rows;
    /// Directory node whose updates are applied, and its version up to which they were received.
    NodeName directory;
    uint64_t directoryIncarnation = 0;
    uint64_t seenVersion = 0;
};

/// Endpoints of the services that this node calls.
struct EndpointTable {
    RoutingSettings settings;
    NodeName node;
    DomainName domain;
    std::unordered_map<ServiceName, ServiceEndpoints> services;
};

/// Returns the subscription to send to this directory node, now and every second. Changing the directory node fetches
/// all records again; the current endpoints stay in use meanwhile.
auto makeSubscription(EndpointTable &table, const ServiceName &service, const NodeName &directory) -> SubscribeMessage;

/// Merges an update. A record is applied only if it is newer than the current one, so lost, duplicate, reordered and
/// stale updates never revert a record.
void applyUpdate(EndpointTable &table, const UpdateMessage &update, TimePoint now);

/// An ejection or its end, for logging.
struct EjectionChange {
    ServiceName service;
    EndpointId endpoint;
    bool ejected = false;
};

/// Outcome of a call to an endpoint, as far as it concerns the endpoint.
enum class CallEvidence {
    /// The endpoint responded with any status that is not an error of the target.
    Success,
    /// Connection failure, timeout, malformed response or an error of the target (5xx).
    Failure,
    /// The home node refused the call as overloaded. This does not count as a failure; it lowers this node's limit for
    /// the endpoint.
    Overloaded,
    /// The home node refused the call because the target is leaving or is not on that node.
    Leaving,
    /// The caller cancelled, or the outcome does not depend on the endpoint.
    None,
};

/// Counts the start of a call. Has no effect for an unknown endpoint.
void beginCall(EndpointTable &table, const ServiceName &service, const EndpointId &endpoint);

/// Counts the end of a call. Returns true if the endpoint was ejected because of it.
auto endCall(EndpointTable &table, const ServiceName &service, const EndpointId &endpoint, CallEvidence evidence, TimePoint now) -> bool;

/// Ends ejections that expired or that exceed half of a service, and removes endpoints that left, stay suspect or stay
/// unlisted.
auto tickEndpoints(EndpointTable &table, TimePoint now) -> std::vector<EjectionChange>;

/// Returns whether the endpoint may get new requests at all.
auto isUsable(const EndpointRow &row) -> bool;

/// Returns whether the endpoint is ejected.
auto isEjected(const EndpointRow &row, TimePoint now) -> bool;

} // namespace snipestream
