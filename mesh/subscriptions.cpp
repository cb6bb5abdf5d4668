#include "mesh/subscriptions.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace snipestream
{

namespace
{

/// A subscription ends if it is not renewed for this many intervals. Single datagrams get lost, but not four in a row.
constexpr int kMaxMissedIntervals = 4;
/// How often each subscriber gets the cost of requests by kind, which changes slowly.
constexpr Duration kKindsInterval = seconds(1);
/// A demand is sent again early if it has changed by this fraction and by this number of slots, and at most this often.
constexpr double kMinDemandChange = 0.25;
constexpr double kMinDemandChangeSlots = 0.5;
constexpr Duration kMinDemandInterval = milliseconds(100);

auto sumOf(const std::vector<double> &values) -> double
{
    return std::accumulate(values.begin(), values.end(), 0.0);
}

/// Returns the interval that keeps this many messages within the settings, as far as messages can carry it.
auto scaledInterval(Duration interval, size_t messages, const SubscriptionSettings &settings) -> Duration
{
    const double minSeconds = static_cast<double>(messages) / settings.maxMessagesPerSecond;
    return std::min(std::max(interval, duration_cast<Duration>(std::chrono::duration<double>(minSeconds))), kMaxReportInterval);
}

/// Returns whether a demand differs so much from the one that was sent that it is sent again at once.
auto hasChanged(double demand, double sent) -> bool
{
    const double change = std::abs(demand - sent);
    return change > kMinDemandChangeSlots && change > kMinDemandChange * sent;
}

auto isLocal(const PeerTable &peers, const PeerRow &row) -> bool
{
    return row.member.domain == peers.ownDomain;
}

/// Returns whether the home has sent no report although it had the time to, or has reported that its target takes no
/// requests.
auto isUnusable(const SubscriptionTable &table, const PeerRow &row, const std::map<std::string, HomeSubscription> &homes, TimePoint now) -> bool
{
    const auto home = homes.find(row.address);
    if (home == homes.end()) {
        return false;
    }
    if (isAlive(row, now)) {
        return !isServing(row);
    }
    return row.report || now - home->second.since > table.settings.remoteInterval * kMaxMissedIntervals;
}

auto countHomes(const SubscriptionTable &table) -> size_t
{
    size_t count = 0;
    for (const auto &[service, homes] : table.services) {
        count += homes.size();
    }
    return count;
}

/// Returns the slots of the homes that serve, by address.
auto servingSlots(const PeerTable &peers, const std::map<std::string, HomeSubscription> &homes, TimePoint now) -> std::map<std::string, double>
{
    std::map<std::string, double> slots;
    for (const auto &[address, home] : homes) {
        const auto row = peers.rows.find(address);
        if (row == peers.rows.end() || !isServing(row->second)) {
            continue;
        }
        if (address == peers.ownAddress || isAlive(row->second, now)) {
            slots[address] = row->second.report->load.limit;
        }
    }
    return slots;
}

} // namespace

auto chooseHomes(const PeerTable &peers, const SubscriptionTable &table, const ServiceName &service, size_t serviceCount, TimePoint now)
    -> std::vector<std::string>
{
    const auto &settings = table.settings;
    const size_t share = std::max(settings.minHomes, settings.maxHomes / std::max<size_t>(serviceCount, 1));
    const size_t maxLocal = std::min(settings.maxLocalHomes, (share + 1) / 2);
    const size_t maxRemote = std::min(settings.maxRemoteHomes, (share + 1) / 2);
    std::vector<const PeerRow *> members;
    const auto addresses = peers.members.find(service);
    if (addresses != peers.members.end()) {
        for (const auto &address : addresses->second) {
            members.push_back(&peers.rows.at(address));
        }
    }
    std::sort(members.begin(), members.end(), [](const PeerRow *a, const PeerRow *b) {
        return a->affinity != b->affinity ? a->affinity < b->affinity : a->address < b->address;
    });
    static const std::map<std::string, HomeSubscription> kNoHomes;
    const auto known = table.services.find(service);
    const auto &homes = known == table.services.end() ? kNoHomes : known->second;
    std::vector<std::string> chosen;
    const auto choose = [&](bool local, size_t max) {
        size_t position = 0;
        size_t usable = 0;
        for (const PeerRow *const row : members) {
            if (isLocal(peers, *row) != local || usable >= max) {
                continue;
            }
            // The first ones are kept although they are unusable, so that their return is noticed.
            const bool unusable = isUnusable(table, *row, homes, now);
            if (position < max || !unusable) {
                chosen.push_back(row->address);
            }
            usable += unusable ? 0 : 1;
            ++position;
        }
    };
    choose(true, maxLocal);
    choose(false, maxRemote);
    return chosen;
}

auto updateSubscriptions(SubscriptionTable &table, PeerTable &peers, const std::vector<ServiceName> &needed, TimePoint now) -> std::vector<EndedSubscription>
{
    std::map<ServiceName, std::map<std::string, HomeSubscription>> updated;
    for (const auto &service : needed) {
        auto &homes = updated[service];
        const auto known = table.services.find(service);
        for (const auto &address : chooseHomes(peers, table, service, needed.size(), now)) {
            HomeSubscription home{now, now, 0};
            if (known != table.services.end()) {
                const auto before = known->second.find(address);
                home = before == known->second.end() ? home : before->second;
            }
            homes.emplace(address, home);
        }
    }
    std::vector<EndedSubscription> ended;
    for (const auto &[service, homes] : table.services) {
        for (const auto &[address, home] : homes) {
            const auto current = updated.find(service);
            if (current != updated.end() && current->second.count(address) != 0) {
                continue;
            }
            ended.push_back({service, address});
            const auto row = peers.rows.find(address);
            if (row != peers.rows.end() && address != peers.ownAddress && row->second.member.service == service) {
                forgetReport(row->second);
            }
        }
    }
    table.services = std::move(updated);
    peers.homes.clear();
    for (const auto &[service, homes] : table.services) {
        for (const auto &[address, home] : homes) {
            peers.homes[service].push_back(address);
        }
    }
    return ended;
}

auto dueSubscriptions(SubscriptionTable &table, const PeerTable &peers, const std::map<ServiceName, std::vector<double>> &demand, uint64_t incarnation,
                      TimePoint now) -> std::vector<AddressedSubscription>
{
    std::vector<AddressedSubscription> due;
    const size_t homeCount = countHomes(table);
    for (auto &[service, homes] : table.services) {
        const auto found = demand.find(service);
        const std::vector<double> serviceDemand = found == demand.end() ? std::vector<double>() : found->second;
        const auto slots = servingSlots(peers, homes, now);
        const double totalSlots = std::accumulate(slots.begin(), slots.end(), 0.0, [](double sum, const auto &row) {
            return sum + row.second;
        });
        for (auto &[address, home] : homes) {
            const auto serving = slots.find(address);
            const double share = serving == slots.end() || totalSlots <= 0 ? 0 : serving->second / totalSlots;
            const double total = sumOf(serviceDemand) * share;
            const auto row = peers.rows.find(address);
            const bool local = row != peers.rows.end() && isLocal(peers, row->second);
            const Duration interval = scaledInterval(local ? table.settings.localInterval : table.settings.remoteInterval, homeCount, table.settings);
            const bool isEarly = hasChanged(total, home.sentDemand) && now >= home.nextAt - interval + kMinDemandInterval;
            if (now < home.nextAt && !isEarly) {
                continue;
            }
            home.nextAt = now + interval;
            home.sentDemand = total;
            Subscription subscription{peers.ownAddress, service, incarnation, ++table.sequence, serviceDemand, interval, false};
            for (double &value : subscription.demand) {
                value *= share;
            }
            due.push_back({address, std::move(subscription)});
        }
    }
    return due;
}

void applySubscription(SubscriberTable &table, const ServiceName &own, const Subscription &subscription, TimePoint now)
{
    if (subscription.service != own) {
        return;
    }
    const auto found = table.rows.find(subscription.address);
    const bool isKnown = found != table.rows.end();
    if (isKnown) {
        const Subscriber &row = found->second;
        const bool isOld = row.latest.incarnation == subscription.incarnation ? subscription.sequence <= row.latest.sequence
                                                                              : subscription.incarnation == row.previousIncarnation;
        if (isOld) {
            return;
        }
    }
    if (subscription.ends) {
        table.rows.erase(subscription.address);
        return;
    }
    Subscriber &row = table.rows[subscription.address];
    const bool isNew = !isKnown || row.latest.incarnation != subscription.incarnation;
    if (isNew) {
        row.previousIncarnation = row.latest.incarnation;
        row.nextReportAt = now;
        row.kindsSentAt = {};
    }
    row.latest = subscription;
    row.expiresAt = now + subscription.interval * kMaxMissedIntervals;
}

void expireSubscribers(SubscriberTable &table, TimePoint now)
{
    for (auto row = table.rows.begin(); row != table.rows.end();) {
        row = now >= row->second.expiresAt ? table.rows.erase(row) : std::next(row);
    }
}

auto totalDemand(const SubscriberTable &table) -> std::vector<double>
{
    std::vector<double> total;
    for (const auto &[address, row] : table.rows) {
        const auto &demand = row.latest.demand;
        total.resize(std::max(total.size(), demand.size()), 0);
        for (size_t i = 0; i < demand.size(); ++i) {
            total[i] += demand[i];
        }
    }
    return total;
}

auto dueReports(SubscriberTable &table, bool all, TimePoint now) -> std::vector<DueReport>
{
    const double demand = sumOf(totalDemand(table));
    all = all || (hasChanged(demand, table.reportedDemand) && now >= table.reportedAt + kMinDemandInterval);
    if (all || now >= table.reportedAt + table.settings.localInterval) {
        table.reportedDemand = demand;
        table.reportedAt = now;
    }
    std::vector<DueReport> due;
    for (auto &[address, row] : table.rows) {
        if (!all && now < row.nextReportAt) {
            continue;
        }
        const Duration interval = scaledInterval(row.latest.interval, table.rows.size(), table.settings);
        const bool withKinds = now - row.kindsSentAt >= kKindsInterval;
        row.nextReportAt = now + interval;
        row.kindsSentAt = withKinds ? now : row.kindsSentAt;
        due.push_back({address, interval, withKinds});
    }
    return due;
}

} // namespace snipestream
