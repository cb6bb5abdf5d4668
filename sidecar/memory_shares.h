#pragma once

namespace snipestream
{

/// Shares of the process's memory limit. What is left is for code and the tables of members and teams.
namespace memory_shares
{

/// Requests in progress, with their heads, bodies and fibers.
inline constexpr double kRequests = 0.25;
/// The part of it that requests of other nodes may use. It is lower, so that these do not use up what this node's own callers need.
inline constexpr double kPeerRequests = 0.2;
/// A request that is the only one in progress.
inline constexpr double kSingleRequest = 0.55;
/// Connections of all servers apart from their whole requests: parts of heads and bodies.
inline constexpr double kConnections = 0.2;
/// A single connection while the others take little, so that in calm a request of the largest size that operators allow fits.
inline constexpr double kSingleConnection = 0.45;
/// Responses until they have been sent.
inline constexpr double kResponses = 0.15;
/// A single response while it is received.
inline constexpr double kLargestResponse = 0.1;

static_assert(kPeerRequests < kRequests && kLargestResponse < kResponses);
static_assert(kRequests + kConnections + kResponses < 0.65);

} // namespace memory_shares

} // namespace snipestream
