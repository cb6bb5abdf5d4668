#include "lease/takeover.h"

#include "core/hash.h"

#include <algorithm>
#include <set>

namespace snipestream
{

namespace
{

auto rendezvousKey(const LeaseKey &key, const char *purpose) -> std::string
{
    return std::string(purpose) + "/" + key.domain.value + "/" + std::to_string(key.range);
}

/// Returns the live nodes in rendezvous order for the key.
auto orderNodes(const std::string &key, const LiveNodes &live) -> std::vector<NodeName>
{
    std::vector<std::string> names;
    for (const auto &[name, incarnation] : live) {
        names.push_back(name.value);
    }
    std::vector<NodeName> ordered;
    for (const size_t index : rendezvousOrder(key, names, names.size())) {
        ordered.emplace_back(names[index]);
    }
    return ordered;
}

auto isLive(const LiveNodes &live, const NodeName &node, uint64_t incarnation) -> bool
{
    const auto found = live.find(node);
    return found != live.end() && found->second == incarnation;
}

/// Returns whether the witness sets of earlier epochs can be dropped: the bits that they store are resolved, and the
/// bit of this epoch is clear.
auto maySettle(const HeldLease &lease) -> bool
{
    return lease.validFrom && lease.priorResolved && !lease.unlogged;
}

/// Returns the record that this holder appends for its own lease now: an abdication, a new witness set or a settled
/// epoch.
auto makeRenewalRecord(const LeaseHolder &holder, const HeldLease &lease, const LeaseEntry &entry, const LeaseParams &params, const LiveNodes &live,
                       TimePoint now) -> std::optional<LeaseRecord>
{
    LeaseRecord next = entry.record;
    ++next.epoch;
    if (!isLeaseValid(holder, lease.key, now)) {
        const TimePoint since = std::max(lease.epochSeenAt, lease.validUntil);
        LiveNodes others = live;
        others.erase(holder.self);
        if (now - since < params.abdicateAfter || others.empty()) {
            return std::nullopt;
        }
        next.holder = orderNodes(rendezvousKey(lease.key, "holder"), others).front();
        next.incarnation = others.at(next.holder);
        next.settled = maySettle(lease);
        next.witnesses = chooseWitnesses(lease.key, next.holder, others, entry.record.witnesses);
        return next;
    }
    if (lease.unlogged) {
        return std::nullopt;
    }
    std::vector<NodeName> unresponsive;
    for (const auto &witness : entry.record.witnesses) {
        if (now - lease.views.at(witness).lastResponseAt >= params.replaceWitnessAfter) {
            unresponsive.push_back(witness);
        }
    }
    next.settled = maySettle(lease);
    if (!unresponsive.empty()) {
        // Copied only if needed, because a copy for each held range in each tick took 3% of a core in a domain of 1,667
        // nodes.
        LiveNodes usable = live;
        for (const auto &witness : unresponsive) {
            usable.erase(witness);
        }
        next.witnesses = chooseWitnesses(lease.key, holder.self, usable, entry.record.witnesses);
        if (next.witnesses.size() >= std::min<size_t>(3, entry.record.witnesses.size())) {
            return next;
        }
        return std::nullopt;
    }
    if (next.settled && lease.sets.size() > 1 && now - lease.epochSeenAt >= params.settleAfter) {
        next.witnesses = entry.record.witnesses;
        return next;
    }
    return std::nullopt;
}

/// Returns the record with which this node replaces a missing holder, or empty if the takeover is not due.
auto makeTakeoverRecord(LeaseWatch &watch, const LeaseHolder &holder, const LeaseKey &key, const LeaseEntry *entry, const LeaseParams &params,
                        const LiveNodes &live, TimePoint now) -> std::optional<LeaseRecord>
{
    const uint64_t epoch = entry == nullptr ? 0 : entry->record.epoch;
    if (entry != nullptr && isLive(live, entry->record.holder, entry->record.incarnation)) {
        watch.missingSince.reset();
        return std::nullopt;
    }
    if (!watch.missingSince || watch.missingEpoch != epoch) {
        watch.missingSince = now;
        watch.missingEpoch = epoch;
    }
    const Duration missing = now - *watch.missingSince;
    if (missing < params.takeoverAfter || live.count(holder.self) == 0) {
        return std::nullopt;
    }
    const auto order = orderNodes(rendezvousKey(key, "holder"), live);
    const auto rank = std::find(order.begin(), order.end(), holder.self) - order.begin();
    if (missing < params.takeoverAfter + params.candidateDelay * rank) {
        return std::nullopt;
    }
    LeaseRecord record;
    record.key = key;
    record.epoch = epoch + 1;
    record.holder = holder.self;
    record.incarnation = holder.incarnation;
    record.witnesses = chooseWitnesses(key, holder.self, live, entry == nullptr ? std::vector<NodeName>{} : entry->record.witnesses);
    return record;
}

} // namespace

auto chooseWitnesses(const LeaseKey &key, const NodeName &holder, const LiveNodes &live, const std::vector<NodeName> &current) -> std::vector<NodeName>
{
    LiveNodes usable = live;
    if (usable.size() >= 4) {
        usable.erase(holder);
    }
    const size_t count = usable.size() >= kMaxWitnesses ? kMaxWitnesses : std::min<size_t>(usable.size(), 3);
    std::vector<NodeName> chosen;
    const auto add = [&](const NodeName &name) {
        const bool isChosen = std::find(chosen.begin(), chosen.end(), name) != chosen.end();
        if (chosen.size() < count && usable.count(name) != 0 && !isChosen) {
            chosen.push_back(name);
        }
    };
    std::for_each(current.begin(), current.end(), add);
    const auto ordered = orderNodes(rendezvousKey(key, "witness"), usable);
    std::for_each(ordered.begin(), ordered.end(), add);
    std::sort(chosen.begin(), chosen.end());
    return chosen;
}

auto tickLeaseCandidate(LeaseCandidate &candidate, const LeaseHolder &holder, const LeaseTable &leases, const LeaseParams &params, const LiveNodes &live,
                        TimePoint now) -> std::vector<LeaseRecord>
{
    std::vector<LeaseRecord> records;
    if (holder.stopping) {
        return records;
    }
    for (uint32_t range = 0; range < kRangeCount; ++range) {
        const LeaseKey key{candidate.domain, range};
        auto &watch = candidate.watches[key];
        const auto *entry = findLease(leases, key);
        if (watch.pending && entry != nullptr && entry->record.epoch >= watch.pending->epoch) {
            watch.pending.reset();
        }
        if (watch.pending && now - watch.appendedAt < params.appendRetryInterval) {
            continue;
        }
        watch.pending.reset();
        const auto *lease = findHeldLease(holder, key);
        auto record = lease != nullptr && entry != nullptr && lease->epoch == entry->record.epoch
            ? makeRenewalRecord(holder, *lease, *entry, params, live, now)
            : makeTakeoverRecord(watch, holder, key, entry, params, live, now);
        if (record && !record->witnesses.empty()) {
            watch.pending = record;
            watch.appendedAt = now;
            records.push_back(std::move(*record));
        }
    }
    return records;
}

auto handOverLeases(LeaseHolder &holder, const LiveNodes &live, TimePoint now) -> LeaseHandOver
{
    LeaseHandOver out;
    LiveNodes others = live;
    others.erase(holder.self);
    for (const auto &[key, lease] : holder.leases) {
        LeaseRelease release{key, lease.epoch, holder.self, holder.incarnation};
        for (const auto &[witness, view] : lease.views) {
            out.releases.emplace_back(witness, release);
        }
        if (others.empty()) {
            continue;
        }
        LeaseRecord record;
        record.key = key;
        record.epoch = lease.epoch + 1;
        record.holder = orderNodes(rendezvousKey(key, "holder"), others).front();
        record.incarnation = others.at(record.holder);
        record.witnesses = chooseWitnesses(key, record.holder, others, lease.sets.back());
        record.settled = maySettle(lease);
        out.records.push_back(std::move(record));
    }
    holder.stopping = true;
    return out;
}

} // namespace snipestream
