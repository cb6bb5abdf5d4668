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

/// Timeouts of the node.
struct TimeoutSettings {
    /// Maximum duration of a request whose caller sets no deadline.
    Duration request = seconds(30);
    /// Time to open a connection to a target, a peer or the log.
    Duration connect = milliseconds(500);
    /// Time to read the head of a request after its first byte arrived.
    Duration readHead = seconds(10);
    /// Time after which a connection without a request is closed.
    Duration idle = seconds(60);
    /// One call to the log.
    Duration log = seconds(2);
    /// One call to a peer.
    Duration peer = seconds(1);
};

/// Limits on messages and connections.
struct LimitSettings {
    size_t maxHeaderBytes = 16 * 1024;
    uint64_t maxBodyBytes = 64ULL * 1024 * 1024;
    size_t maxConnections = 4096;
};

/// Settings of snipestreamd.
struct Settings {
    NodeName node;
    DomainName domain;
    /// Secret shared by all nodes of the fleet. A process without it cannot open a link to a node.
    std::string fleetSecret;
    /// Listener for callers.
    Endpoint callerListen;
    /// Listener for other nodes. It is also the address announced to them, so it must not be a wildcard address.
    Endpoint peerListen;
    /// Listener for the targets of this VM and for operators, on a loopback address.
    Endpoint targetListen;
    Endpoint log;
    /// Failure domains of the fleet, if they have to be known before the log has been read. May be empty.
    std::vector<DomainName> domains;
    /// Nodes from which the configuration is read while the log cannot be reached.
    std::vector<Endpoint> seedPeers;
    TimeoutSettings timeouts;
    LimitSettings limits;
    /// Retention of the configuration stream on the log; determines when snapshots are due.
    Retention retention{std::chrono::hours(48), 0};
    /// Time from the stop signal until requests in progress are aborted.
    Duration shutdownDeadline = seconds(30);
};

/// Settings and all errors of the file. The settings are valid only if there are no errors.
struct SettingsResult {
    Settings settings;
    std::vector<JsonError> errors;
};

/// Parses the text of a settings file. Unknown fields, missing required fields and values out of range are errors.
auto parseSettings(std::string_view text) -> SettingsResult;

/// Reads and parses a settings file. ErrorCode::NotFound: the file cannot be read. ErrorCode::InvalidInput: the message
/// lists all errors, one per line with its JSON path.
auto loadSettings(const std::string &path) -> Result<Settings>;

/// Parses an endpoint such as "127.0.0.1:7000" or "[::1]:7000", with a port from 1 to 65535.
auto parseEndpoint(std::string_view text) -> Result<Endpoint>;

} // namespace snipestream
