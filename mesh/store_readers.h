#pragma once

#include "core/time.h"
#include "mesh/peer_table.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace snipestream
{

/// How old the confirmation of the configuration may become. A confirmation is as old as the read of the store on which it is
/// based, whoever sent it, so an answer of a node that cannot read the store renews nothing.
struct FreshnessLimits {
    /// How long a read of the store waits for a change.
    Duration readWait{};
    /// Age from which a node asks all its candidates at once instead of one reader.
    Duration askAllAge{};
    /// Age from which a node that is no reader reads the store itself.
    Duration ownReadAge{};
    /// Time from a read without a wait to its answer, beyond which the store counts as unreachable.
    Duration answerTime{};

    friend auto operator==(const FreshnessLimits &a, const FreshnessLimits &b) -> bool
    {
        return a.readWait == b.readWait && a.askAllAge == b.askAllAge && a.ownReadAge == b.ownReadAge && a.answerTime == b.answerTime;
    }
};

/// Returns the limits for a fleet in which a change must be in force `policyApply` after its acknowledgement, and a withdrawn
/// key must not work longer than `keyWithdrawal`. `spread`, from 0 to 1, differs between nodes, so that they do not all read
/// the store at the same time.
auto freshnessLimits(Duration policyApply, Duration keyWithdrawal, double spread) -> FreshnessLimits;

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
    /// Number of readers of its own failure domain that a node asks when it asks all candidates.
    size_t maxOwnCandidates = 4;
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
    /// The last poll found the confirmation too old.
    bool asksAll = false;
};

/// Returns the readers to ask now: none if no poll is due, and all candidates if the confirmation is too old. `isFresh` says
/// that it is not.
auto duePolls(ReaderPolls &polls, const PeerTable &peers, const ReaderSettings &settings, bool isFresh, TimePoint now) -> std::vector<std::string>;

/// Records an answer of a reader.
void observeAnswer(ReaderPolls &polls, const std::string &reader);

} // namespace snipestream
