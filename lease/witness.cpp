#include "lease/witness.h"

#include <algorithm>

namespace snipestream
{

namespace
{

/// Returns whether this witness may confirm the sender of the ping now.
auto mayVouch(const WitnessTable &witness, const WitnessRange &range, const LeaseParams &params, const LeasePing &ping, uint64_t epochOnLog, TimePoint now)
    -> bool
{
    if (!witness.logRead || now - witness.startedAt < params.restartDelay) {
        return false;
    }
    if (ping.epoch < range.epoch || ping.epoch < epochOnLog) {
        return false;
    }
    const bool sameProcess = ping.holder == range.holder && ping.incarnation == range.incarnation;
    if (range.epoch == 0 || ping.epoch == range.epoch || sameProcess || range.releasedEpoch >= range.epoch) {
        return true;
    }
    return now - range.vouchedAt >= params.vouchDelay;
}

/// Stores the unlogged state of the ping. Returns whether the state with this number is stored now.
auto storeBit(const WitnessTable &witness, WitnessRange &range, const LeasePing &ping, uint64_t epochOnLog) -> bool
{
    // Once this node has confirmed a later epoch, or a later epoch is on the log, the successor may already have read
    // the bit.
    if (ping.epoch < range.epoch || ping.epoch < epochOnLog) {
        return false;
    }
    const auto found = range.bits.find(ping.epoch);
    if (found != range.bits.end()) {
        if (ping.unloggedNumber > found->second.number) {
            found->second = StoredBit{ping.unloggedNumber, ping.unlogged};
        }
        return found->second.number == ping.unloggedNumber;
    }
    // A clear bit in a ping that was sent before this node restarted may be older than a set bit that the restart lost.
    if (!ping.unlogged && ping.witnessIncarnation != witness.incarnation) {
        return false;
    }
    range.bits[ping.epoch] = StoredBit{ping.unloggedNumber, ping.unlogged};
    return true;
}

/// Returns the unlogged bit of all epochs before that of the ping.
auto priorBit(const WitnessTable &witness, const WitnessRange &range, const LeasePing &ping) -> UnloggedBit
{
    const auto set = std::any_of(range.bits.begin(), range.bits.lower_bound(ping.epoch), [&range](const auto &item) {
        return item.first >= range.resolvedBelow && item.second.set;
    });
    if (set) {
        return UnloggedBit::Set;
    }
    if (ping.epoch <= range.resolvedBelow) {
        return UnloggedBit::Clear;
    }
    if (!witness.logRead) {
        return UnloggedBit::Unknown;
    }
    const auto atRead = witness.epochAtLogRead.find(ping.key);
    const uint64_t last = atRead == witness.epochAtLogRead.end() ? 0 : atRead->second;
    for (uint64_t epoch = range.resolvedBelow; epoch < ping.epoch && epoch <= last; ++epoch) {
        if (range.bits.count(epoch) == 0) {
            return UnloggedBit::Unknown;
        }
    }
    return UnloggedBit::Clear;
}

} // namespace

void markLogRead(WitnessTable &witness, const LeaseTable &leases)
{
    if (witness.logRead) {
        return;
    }
    witness.logRead = true;
    for (const auto &[key, entry] : leases.entries) {
        witness.epochAtLogRead[key] = entry.record.epoch;
    }
}

auto answerPing(WitnessTable &witness, const LeaseTable &leases, const LeaseParams &params, const LeasePing &ping, TimePoint now) -> LeasePong
{
    auto &range = witness.ranges[ping.key];
    const auto *entry = findLease(leases, ping.key);
    const uint64_t epochOnLog = entry == nullptr ? 0 : entry->record.epoch;
    LeasePong pong;
    pong.key = ping.key;
    pong.epoch = ping.epoch;
    pong.incarnation = ping.incarnation;
    pong.sentAt = ping.sentAt;
    pong.witness = witness.self;
    pong.witnessIncarnation = witness.incarnation;
    pong.unloggedNumber = ping.unloggedNumber;
    pong.stored = storeBit(witness, range, ping, epochOnLog);
    if (ping.priorResolved && ping.epoch > range.resolvedBelow) {
        range.resolvedBelow = ping.epoch;
        range.bits.erase(range.bits.begin(), range.bits.lower_bound(ping.epoch));
    }
    pong.prior = priorBit(witness, range, ping);
    pong.vouched = mayVouch(witness, range, params, ping, epochOnLog, now);
    if (pong.vouched) {
        range.epoch = ping.epoch;
        range.holder = ping.holder;
        range.incarnation = ping.incarnation;
        range.vouchedAt = now;
    }
    return pong;
}

void applyRelease(WitnessTable &witness, const LeaseRelease &release)
{
    const auto found = witness.ranges.find(release.key);
    if (found == witness.ranges.end()) {
        return;
    }
    auto &range = found->second;
    if (range.holder == release.holder && range.incarnation == release.incarnation) {
        range.releasedEpoch = std::max(range.releasedEpoch, release.epoch);
    }
}

} // namespace snipestream
