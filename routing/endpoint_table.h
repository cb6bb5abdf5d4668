#pragma once

#include "routing/directory.h"
#include "routing/endpoint.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace snipestream
{

/// Constants of endpoint selection and ejection.
struct RoutingSettings {
    /// Failures in a row that eject an endpoint.
    int ejectAfter = 5;
    Duration ejectFirst = seconds(5);
    Duration ejectLongest = seconds(60);
    /// Time without ejection after which the next one is short again.
    Duration ejectForget = seconds(60);
    /// Time for which endpoints that left, are suspect or are no longer listed are kept. It exceeds the time for which
    /// a directory node keeps its own rows, so that a directory that was cut off cannot bring an older state back.
    Duration rowLifetime = seconds(660);
};

/// A target in the table of a node that calls its service.
struct EndpointRow {
    EndpointRecord record;
    /// Requests of this node that are in flight there.
    int inFlight = 0;
    /// Requests that this node sends there at once; falls when the endpoint refuses for overload.
    double limit = 1;
    int failuresInRow = 0;
    int ejections = 0;
    TimePoint ejectedUntil;
    TimePoint returnedAt;
    /// The home node said that the target leaves; valid until the target starts again with a new incarnation.
    bool refusedAsLeaving = false;
    /// When the record last changed state or became suspect, for its removal.
    TimePoint stateSince;
    /// A complete update did not contain it.
    bool unlisted = false;
    TimePoint unlistedSince;
};

/// Endpoints of one service.
struct ServiceEndpoints {
    std::vector<EndpointRow> rows;
    /// Directory node whose updates are followed, and how far.
    NodeName directory;
    uint64_t directoryIncarnation = 0;
    uint64_t knownVersion = 0;
};

/// Endpoints of the services that this node calls.
struct EndpointTable {
    RoutingSettings settings;
    NodeName node;
    DomainName domain;
    std::unordered_map<ServiceName, ServiceEndpoints> services;
};

/// Returns the subscription to send to this directory node, now and every second. Changing the directory node fetches
/// everything anew; the endpoints known so far stay in use.
auto makeSubscription(EndpointTable &table, const ServiceName &service, const NodeName &directory) -> SubscribeMessage;

/// Merges an update. Each record is taken only if it is newer than the known one, so lost, repeated, reordered and
/// stale updates never revert anything.
void applyUpdate(EndpointTable &table, const UpdateMessage &update, TimePoint now);

/// An ejection or its end, for the log.
struct EjectionChange {
    ServiceName service;
    EndpointId endpoint;
    bool ejected = false;
};

/// How a call to an endpoint ended, as evidence about the endpoint.
enum class CallEvidence {
    /// The endpoint answered, whatever the answer was.
    Success,
    /// Connection failure, timeout, broken answer or an error of the target (5xx).
    Failure,
    /// The home node refused for overload. This is no failure; it lowers this node's limit for the endpoint.
    Overloaded,
    /// The home node refused because the target leaves or is not there.
    Leaving,
    /// The caller cancelled, so the end says nothing about the endpoint.
    None,
};

/// Counts a call that starts. Unknown endpoints have no effect.
void beginCall(EndpointTable &table, const ServiceName &service, const EndpointId &endpoint);

/// Counts the end of a call. Returns true if the endpoint was ejected because of it.
auto endCall(EndpointTable &table, const ServiceName &service, const EndpointId &endpoint, CallEvidence evidence, TimePoint now) -> bool;

/// Ends ejections whose time is over or that exceed half of a service, and drops endpoints that left or stay unlisted.
auto tickEndpoints(EndpointTable &table, TimePoint now) -> std::vector<EjectionChange>;

/// Returns whether the endpoint may get new work at all.
auto isUsable(const EndpointRow &row) -> bool;

/// Returns whether the endpoint is ejected.
auto isEjected(const EndpointRow &row, TimePoint now) -> bool;

} // namespace snipestream
