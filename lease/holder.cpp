#include "lease/holder.h"

#include <algorithm>

namespace snipestream
{

namespace
{

/// Starts the epoch of the entry. If this process held the lease in the previous epoch, its validity continues, since
/// the witnesses do not confirm another process until `vouchDelay` after they last confirmed this one.
void enterEpoch(HeldLease &lease, const LeaseEntry &entry, TimePoint now)
{
    std::map<NodeName, WitnessView> views;
    for (const auto &set : entry.sets) {
        for (const auto &witness : set) {
            WitnessView view;
            view.lastResponseAt = now;
            const auto old = lease.views.find(witness);
            if (old != lease.views.end()) {
                view.lastResponseAt = old->second.lastResponseAt;
                view.incarnation = old->second.incarnation;
            }
            views[witness] = view;
        }
    }
    lease.key = entry.record.key;
    lease.epoch = entry.record.epoch;
    lease.sets = entry.sets;
    lease.views = std::move(views);
    lease.epochSeenAt = now;
    lease.nextPingAt = now;
}

template<typename Predicate>
auto majorityOfEachSet(const HeldLease &lease, Predicate agrees) -> bool
{
    return !lease.sets.empty() && std::all_of(lease.sets.begin(), lease.sets.end(), [&](const auto &set) {
        const auto count = std::count_if(set.begin(), set.end(), [&](const NodeName &name) {
            return agrees(lease.views.at(name));
        });
        return static_cast<size_t>(count) * 2 > set.size();
    });
}

/// Returns the time until which a majority of each set confirms the lease, or empty if a set has no such majority.
auto confirmedUntil(const HeldLease &lease, const LeaseParams &params) -> std::optional<TimePoint>
{
    std::optional<TimePoint> earliest;
    for (const auto &set : lease.sets) {
        std::vector<TimePoint> since;
        for (const auto &name : set) {
            const auto &view = lease.views.at(name);
            if (view.vouchedSince) {
                since.push_back(*view.vouchedSince);
            }
        }
        const size_t majority = set.size() / 2 + 1;
        if (since.size() < majority) {
            return std::nullopt;
        }
        std::sort(since.begin(), since.end(), std::greater<>());
        const TimePoint until = since[majority - 1] + params.confirmationLifetime;
        earliest = earliest ? std::min(*earliest, until) : until;
    }
    return earliest;
}

auto makePing(const LeaseHolder &holder, const HeldLease &lease, const WitnessView &view, TimePoint now) -> LeasePing
{
    LeasePing ping;
    ping.key = lease.key;
    ping.epoch = lease.epoch;
    ping.holder = holder.self;
    ping.incarnation = holder.incarnation;
    ping.sentAt = now.time_since_epoch().count();
    ping.witnessIncarnation = view.incarnation;
    ping.unloggedNumber = lease.unloggedNumber;
    ping.unlogged = lease.unlogged;
    ping.priorResolved = lease.priorResolved;
    return ping;
}

/// Removes the leases whose record no longer names this process, and enters the new epochs of the others.
void updateHeldLeases(LeaseHolder &holder, const LeaseTable &leases, TimePoint now, LeaseHolderOutputs &out)
{
    for (auto lease = holder.leases.begin(); lease != holder.leases.end();) {
        const auto *entry = findLease(leases, lease->first);
        const bool isHeldHere = entry != nullptr && entry->record.holder == holder.self && entry->record.incarnation == holder.incarnation;
        if (isHeldHere) {
            ++lease;
            continue;
        }
        if (lease->second.wasValid) {
            out.lost.push_back(lease->first);
        }
        lease = holder.leases.erase(lease);
    }
    for (const auto &[key, entry] : leases.entries) {
        if (entry.record.holder == holder.self && entry.record.incarnation == holder.incarnation) {
            auto &lease = holder.leases[key];
            if (lease.epoch < entry.record.epoch) {
                enterEpoch(lease, entry, now);
            }
        }
    }
}

} // namespace

auto tickLeaseHolder(LeaseHolder &holder, const LeaseTable &leases, const LeaseParams &params, TimePoint now) -> LeaseHolderOutputs
{
    LeaseHolderOutputs out;
    if (holder.stopping) {
        return out;
    }
    updateHeldLeases(holder, leases, now, out);
    for (auto &[key, lease] : holder.leases) {
        const bool valid = isLeaseValid(holder, key, now);
        if (valid != lease.wasValid) {
            (valid ? out.acquired : out.lost).push_back(key);
            lease.wasValid = valid;
        }
        if (now < lease.nextPingAt) {
            continue;
        }
        lease.nextPingAt = now + params.pingInterval;
        for (const auto &[witness, view] : lease.views) {
            out.pings.emplace_back(witness, makePing(holder, lease, view, now));
        }
    }
    return out;
}

void applyPong(LeaseHolder &holder, const LeaseParams &params, const LeasePong &pong, TimePoint now)
{
    const auto found = holder.leases.find(pong.key);
    if (found == holder.leases.end() || holder.stopping || pong.incarnation != holder.incarnation || pong.epoch != found->second.epoch) {
        return;
    }
    auto &lease = found->second;
    const auto witness = lease.views.find(pong.witness);
    const TimePoint sentAt{Duration(pong.sentAt)};
    if (witness == lease.views.end() || sentAt > now) {
        return;
    }
    auto &view = witness->second;
    if (pong.witnessIncarnation < view.incarnation) {
        return;
    }
    if (pong.witnessIncarnation > view.incarnation) {
        // The witness has restarted and lost the bit that it stored.
        view.storedNumber.reset();
        view.prior = UnloggedBit::Unknown;
        view.incarnation = pong.witnessIncarnation;
    }
    view.lastResponseAt = now;
    if (pong.stored && (!view.storedNumber || pong.unloggedNumber > *view.storedNumber)) {
        view.storedNumber = pong.unloggedNumber;
    }
    if (!pong.vouched) {
        return;
    }
    const TimePoint since = params.ageFromReceipt ? now : sentAt;
    if (!view.vouchedSince || since > *view.vouchedSince) {
        view.vouchedSince = since;
        view.prior = pong.prior;
    }
    const auto until = confirmedUntil(lease, params);
    if (until && *until > lease.validUntil) {
        lease.validUntil = *until;
        if (!lease.validFrom && now < *until) {
            lease.validFrom = now;
        }
    }
}

auto isLeaseValid(const LeaseHolder &holder, const LeaseKey &key, TimePoint now) -> bool
{
    const auto found = holder.leases.find(key);
    return found != holder.leases.end() && now < found->second.validUntil && !holder.stopping;
}

auto findHeldLease(const LeaseHolder &holder, const LeaseKey &key) -> const HeldLease *
{
    const auto found = holder.leases.find(key);
    return found == holder.leases.end() ? nullptr : &found->second;
}

auto setUnlogged(LeaseHolder &holder, const LeaseKey &key, bool unlogged, TimePoint now) -> bool
{
    const auto found = holder.leases.find(key);
    if (found == holder.leases.end()) {
        return false;
    }
    auto &lease = found->second;
    if (lease.unlogged != unlogged) {
        lease.unlogged = unlogged;
        ++lease.unloggedNumber;
        lease.nextPingAt = now;
    }
    return true;
}

auto isUnloggedStored(const LeaseHolder &holder, const LeaseKey &key) -> bool
{
    const auto *lease = findHeldLease(holder, key);
    return lease != nullptr && majorityOfEachSet(*lease, [lease](const WitnessView &view) {
               return view.storedNumber == lease->unloggedNumber;
           });
}

auto priorUnlogged(const LeaseHolder &holder, const LeaseParams &params, const LeaseKey &key, TimePoint now) -> UnloggedBit
{
    const auto *lease = findHeldLease(holder, key);
    if (lease == nullptr) {
        return UnloggedBit::Unknown;
    }
    const auto isFresh = [&](const WitnessView &view) {
        return view.vouchedSince && now < *view.vouchedSince + params.confirmationLifetime;
    };
    const bool anySet = std::any_of(lease->views.begin(), lease->views.end(), [&](const auto &item) {
        return isFresh(item.second) && item.second.prior == UnloggedBit::Set;
    });
    if (anySet) {
        return UnloggedBit::Set;
    }
    const bool clear = majorityOfEachSet(*lease, [&](const WitnessView &view) {
        return isFresh(view) && view.prior == UnloggedBit::Clear;
    });
    return clear ? UnloggedBit::Clear : UnloggedBit::Unknown;
}

void markPriorResolved(LeaseHolder &holder, const LeaseKey &key)
{
    const auto found = holder.leases.find(key);
    if (found != holder.leases.end()) {
        found->second.priorResolved = true;
    }
}

} // namespace snipestream
