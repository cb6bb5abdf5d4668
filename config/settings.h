#pragma once

#include "config/json_reader.h"
#include "config/snapshot.h"
#include "core/ids.h"
#include "core/result.h"
#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace snipestream
{

/// How long the node waits for others.
struct TimeoutSettings {
    /// Longest time for a request whose caller sets no deadline.
    Duration request = seconds(30);
    /// Opening a connection to a target, peer or the log.
    Duration connect = milliseconds(500);
    /// Reading the head of a request once its first byte arrived.
    Duration readHead = seconds(10);
    /// A connection without a request.
    Duration idle = seconds(60);
    /// One call to the log.
    Duration log = seconds(2);
    /// One call to a peer.
    Duration peer = seconds(1);
};

/// Bounds on what callers and targets may send.
struct LimitSettings {
    size_t maxHeaderBytes = 16 * 1024;
    uint64_t maxBodyBytes = 64ULL * 1024 * 1024;
    size_t maxConnections = 4096;
};

/// Settings of snipestreamd.
struct Settings {
    NodeName node;
    DomainName domain;
    /// Shared by all nodes of the fleet; a process without it cannot open a link to a node.
    std::string fleetSecret;
    /// Callers connect here.
    Endpoint callerListen;
    /// Other nodes connect here; also the address that other nodes are told, so it is no wildcard.
    Endpoint peerListen;
    /// Targets of this VM and operators connect here; a loopback address.
    Endpoint targetListen;
    Endpoint log;
    /// Failure domains, if they shall be known before the log was read.
    std::vector<DomainName> domains;
    /// Nodes to ask while the log cannot be reached.
    std::vector<Endpoint> seedPeers;
    TimeoutSettings timeouts;
    LimitSettings limits;
    /// How long the log keeps records; decides when snapshots are due.
    Retention retention{std::chrono::hours(48), 0};
    /// Time from the stop signal until requests that still run are cut.
    Duration shutdownDeadline = seconds(30);
};

/// Settings, or every error of the file at once.
struct SettingsResult {
    Settings settings;
    std::vector<JsonError> errors;
};

/// Parses the text of a settings file. Unknown fields, missing required fields and values out of range are errors.
auto parseSettings(std::string_view text) -> SettingsResult;

/// Reads and parses a settings file. ErrorCode::NotFound: the file cannot be read. ErrorCode::InvalidInput: the message
/// holds all errors, one per line with its JSON path.
auto loadSettings(const std::string &path) -> Result<Settings>;

/// Parses "127.0.0.1:7000" or "[::1]:7000"; ports from 1 to 65535.
auto parseEndpoint(std::string_view text) -> Result<Endpoint>;

} // namespace snipestream
