#include "mesh/store_readers.h"

#include "core/hash.h"

#include <algorithm>

namespace snipestream
{

namespace
{

auto membersByDomain(const PeerTable &peers) -> std::map<DomainName, std::vector<std::string>>
{
    std::map<DomainName, std::vector<std::string>> members;
    for (const auto &[address, row] : peers.rows) {
        if (!row.member.domain.empty()) {
            members[row.member.domain].push_back(address);
        }
    }
    return members;
}

/// Returns the names in the order of their rendezvous hash for the key, at most `count` of them.
auto inRendezvousOrder(const std::string &key, const std::vector<std::string> &names, size_t count) -> std::vector<std::string>
{
    std::vector<std::string> ordered;
    for (const size_t index : rendezvousOrder(key, names, std::min(count, names.size()))) {
        ordered.push_back(names[index]);
    }
    return ordered;
}

} // namespace

auto readersOf(const std::vector<std::string> &members, const ReaderSettings &settings) -> std::vector<std::string>
{
    const size_t count = (members.size() + settings.membersPerReader - 1) / settings.membersPerReader;
    return inRendezvousOrder("store-reader", members, count);
}

auto isReader(const PeerTable &peers, const ReaderSettings &settings) -> bool
{
    const auto members = membersByDomain(peers);
    const auto own = members.find(peers.ownDomain);
    if (own == members.end()) {
        return true;
    }
    const auto readers = readersOf(own->second, settings);
    return std::find(readers.begin(), readers.end(), peers.ownAddress) != readers.end();
}

auto readerCandidates(const PeerTable &peers, const ReaderSettings &settings) -> std::vector<std::string>
{
    std::vector<std::string> own;
    std::vector<std::string> others;
    for (const auto &[domain, members] : membersByDomain(peers)) {
        const auto readers = readersOf(members, settings);
        const auto ordered = inRendezvousOrder("follower-" + peers.ownAddress, readers, readers.size());
        if (domain == peers.ownDomain) {
            own = ordered;
        } else if (!ordered.empty()) {
            others.push_back(ordered.front());
        }
    }
    others = inRendezvousOrder("follower-" + peers.ownAddress, others, others.size());
    own.insert(own.end(), others.begin(), others.end());
    own.erase(std::remove(own.begin(), own.end(), peers.ownAddress), own.end());
    return own;
}

namespace
{

/// Returns the reader that is asked while it answers, or an empty string if all are avoided.
auto chooseReader(ReaderPolls &polls, const ReaderSettings &settings, TimePoint now) -> std::string
{
    if (polls.missed >= settings.maxMissedPolls) {
        polls.avoidedUntil[polls.current] = now + settings.avoidDuration;
        polls.missed = 0;
    }
    const auto found = std::find_if(polls.candidates.begin(), polls.candidates.end(), [&](const std::string &candidate) {
        const auto avoided = polls.avoidedUntil.find(candidate);
        return avoided == polls.avoidedUntil.end() || now >= avoided->second;
    });
    if (found == polls.candidates.end()) {
        return {};
    }
    if (*found != polls.current) {
        polls.current = *found;
        polls.missed = 0;
    }
    ++polls.missed;
    return *found;
}

/// Returns the candidates without those of the node's own failure domain that are too many to ask at once.
auto boundedCandidates(const ReaderPolls &polls, const PeerTable &peers, const ReaderSettings &settings) -> std::vector<std::string>
{
    std::vector<std::string> bounded;
    size_t own = 0;
    for (const auto &candidate : polls.candidates) {
        const auto row = peers.rows.find(candidate);
        const bool isOwn = row != peers.rows.end() && row->second.member.domain == peers.ownDomain;
        if (!isOwn || ++own <= settings.maxOwnCandidates) {
            bounded.push_back(candidate);
        }
    }
    return bounded;
}

} // namespace

auto freshnessLimits(Duration policyApply, Duration keyWithdrawal, double spread) -> FreshnessLimits
{
    // A read confirms the configuration as of its start when it ends, so the confirmation of a follower gets as old as two reads
    // and one poll. The limits leave that much, and enough time after them to ask, to read and to fetch a large configuration.
    constexpr double kReadWaitFraction = 0.2;
    constexpr double kAskAllFraction = 0.63;
    constexpr double kOwnReadFraction = 0.68;
    constexpr double kOwnReadSpread = 0.06;
    // The own read starts at most at 0.74 of the bound and half a tick interval or so later, so that it is known before the bound
    // whether the store answers.
    constexpr double kAnswerFraction = 0.2;
    // A read is given up after 700 ms.
    constexpr Duration kMaxAnswerTime = milliseconds(600);
    constexpr Duration kMinReadWait = milliseconds(50);
    constexpr Duration kMaxReadWait = milliseconds(1700);
    const Duration shortest = std::min(policyApply, keyWithdrawal);
    const auto fraction = [shortest](double part) {
        return duration_cast<Duration>(std::chrono::duration<double>(shortest) * part);
    };
    FreshnessLimits limits;
    limits.readWait = std::clamp(fraction(kReadWaitFraction), kMinReadWait, kMaxReadWait);
    limits.askAllAge = fraction(kAskAllFraction);
    limits.ownReadAge = fraction(kOwnReadFraction + kOwnReadSpread * spread);
    limits.answerTime = std::min(fraction(kAnswerFraction), kMaxAnswerTime);
    return limits;
}

auto duePolls(ReaderPolls &polls, const PeerTable &peers, const ReaderSettings &settings, bool isFresh, TimePoint now) -> std::vector<std::string>
{
    const bool hasAged = !isFresh && !polls.asksAll;
    if (now < polls.nextPollAt && !hasAged) {
        return {};
    }
    polls.asksAll = !isFresh;
    polls.nextPollAt = now + settings.pollInterval;
    if (polls.revision != peers.revision) {
        polls.revision = peers.revision;
        polls.candidates = readerCandidates(peers, settings);
    }
    if (!isFresh) {
        if (!polls.current.empty()) {
            // The reader may answer, but what it answers does not renew the confirmation.
            polls.avoidedUntil[polls.current] = now + settings.avoidDuration;
            polls.current.clear();
        }
        return boundedCandidates(polls, peers, settings);
    }
    const std::string reader = chooseReader(polls, settings, now);
    return reader.empty() ? std::vector<std::string>() : std::vector<std::string>{reader};
}

void observeAnswer(ReaderPolls &polls, const std::string &reader)
{
    if (reader == polls.current) {
        polls.missed = 0;
    }
}

} // namespace snipestream
