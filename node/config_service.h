#pragma once

#include "node/node_state.h"

namespace snipestream
{

/// Adds the handlers for the record types of other modules (nodes, leases, domain weights) to the configuration fold.
/// Call before the first record is applied.
void addFoldSections(NodeState &state);

/// Registers the methods with which other nodes fetch records and snapshots from this one. Call before the links
/// listen.
void serveConfig(NodeState &state);

/// Reads the configuration once at the start: from the log, or from the seed peers if the log cannot be reached.
/// Returns whether one of them could be read. Blocks the calling fiber.
auto loadConfigAtStart(NodeState &state) -> bool;

/// Keeps the configuration up to date until the node ends: relays poll the log, other nodes send long polls to a relay.
/// Also appends this node's join record, and repeats that until the record has been read back. Runs in a fiber of its
/// own.
void runConfigSync(NodeState &state);

/// Returns the failure domains that the rules name, in the order of their names.
auto domainNames(const NodeState &state) -> std::vector<DomainName>;

/// Returns the revision of the last change of any domain rule; zero if there has been none.
auto domainListRevision(const NodeState &state) -> uint64_t;

/// Answers the pending long polls of other nodes at once, whether or not there are new records.
void endLongPolls(NodeState &state);

/// Appends this node's leave record. An error is ignored: the other nodes then notice the closed links,
/// which takes longer.
void appendLeave(NodeState &state);

} // namespace snipestream
