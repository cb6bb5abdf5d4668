#pragma once

#include "node/node_state.h"

namespace snipestream
{

/// Adds the sections of other packages (nodes, leases) to the fold. Call before the first record is folded.
void addFoldSections(NodeState &state);

/// Registers the methods by which other nodes of the domain learn of records. Call before the links listen.
void serveConfig(NodeState &state);

/// Reads the configuration once at the start: from the log, or from the seed peers if the log cannot be reached.
/// Returns whether either answered. Blocks the calling fiber.
auto loadConfigAtStart(NodeState &state) -> bool;

/// Appends this node's join record until it is folded, and then follows the configuration until the node ends: relays
/// poll the log, other nodes ask a relay. Runs in a fiber of its own.
void followConfig(NodeState &state);

/// Returns the failure domains that the rules name, in the order of their names.
auto domainNames(const NodeState &state) -> std::vector<DomainName>;

/// Returns the revision of the last change of any domain rule; zero if there has been none.
auto domainListRevision(const NodeState &state) -> uint64_t;
/// Answers the long polls of other nodes now, whether or not there is anything new.
void endLongPolls(NodeState &state);

/// Appends this node's leave record; an error only delays what others learn from the closed links.
void appendLeave(NodeState &state);

} // namespace snipestream
