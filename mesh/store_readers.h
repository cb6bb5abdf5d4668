#pragma once

#include "core/time.h"
#include "mesh/peer_table.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace snipestream
{

/// Settings of the readers: the nodes that read the configuration and the members from the store, and that the other nodes,
/// the followers, ask for what they have read. Their number is bounded, so the calls to the store do not grow with every
/// node.
struct ReaderSettings {
    /// Number of members of a failure domain that one reader serves.
    size_t membersPerReader = 64;
    /// How often a follower asks its reader. Together with the time of a read, it must stay well below the time for which a
    /// withdrawn key may work.
    Duration pollInterval = milliseconds(400);
    /// Polls without an answer after which a follower asks another reader, and for how long it does not ask the former one.
    int maxMissedPolls = 2;
    Duration avoidDuration = seconds(2);
};

/// Returns the readers among the members of one failure domain.
auto readersOf(const std::vector<std::string> &members, const ReaderSettings &settings) -> std::vector<std::string>;

/// Returns whether the node itself is a reader.
auto isReader(const PeerTable &peers, const ReaderSettings &settings) -> bool;

/// Returns the readers that the node can ask, in order: those of its own failure domain, then one of each other domain. The
/// order differs between nodes, so that they spread over the readers.
auto readerCandidates(const PeerTable &peers, const ReaderSettings &settings) -> std::vector<std::string>;

/// Polls of a follower.
struct ReaderPolls {
    std::vector<std::string> candidates;
    /// Revision of the members from which the candidates were taken.
    uint64_t revision = 0;
    TimePoint nextPollAt;
    /// Reader that was asked last, and the number of polls that it has not answered.
    std::string current;
    int missed = 0;
    /// Readers that did not answer, and until when they are not asked.
    std::map<std::string, TimePoint> avoidedUntil;
};

/// Returns the reader to ask now, if a poll is due and there is one.
auto nextPoll(ReaderPolls &polls, const PeerTable &peers, const ReaderSettings &settings, TimePoint now) -> std::optional<std::string>;

/// Records an answer of a reader.
void observeAnswer(ReaderPolls &polls, const std::string &reader);

} // namespace snipestream
