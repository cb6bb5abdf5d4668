#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "mesh/peer_table.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace snipestream
{

/// Sent by a node to some of the nodes of a service, the homes, whose reports it wants to receive. It also divides the work
/// that callers' requests at the node would cause at the service among these homes. A home adds up what its subscribers
/// say, so that the demand for a service and its slots can be compared at any of its homes, without any node that knows
/// all of them.
struct Subscription {
    /// Address of the subscriber.
    std::string address;
    /// Service whose targets the subscriber wants to know. A node beside a target of another service, which has got the address
    /// of an earlier VM, ignores the message.
    ServiceName service;
    /// Random number drawn at each start of the subscriber's process.
    uint64_t incarnation = 0;
    /// Increases with each subscription message of an incarnation.
    uint64_t sequence = 0;
    /// Work in slots by class, in the order in which classes are shed.
    std::vector<double> demand;
    /// Interval at which the subscriber wants reports and renews the subscription.
    Duration interval = milliseconds(300);
    /// The subscriber wants no more reports.
    bool ends = false;

    friend auto operator==(const Subscription &a, const Subscription &b) -> bool
    {
        return a.address == b.address && a.service == b.service && a.incarnation == b.incarnation && a.sequence == b.sequence && a.demand == b.demand
            && a.interval == b.interval && a.ends == b.ends;
    }
};

/// Maximum interval of reports and subscriptions in messages between nodes.
inline constexpr Duration kMaxReportInterval = seconds(60);

/// Settings of the subscriptions, which bound the messages of a node whatever the size of the fleet.
struct SubscriptionSettings {
    /// Maximum number of homes of one service in the node's own failure domain and in all others.
    size_t maxLocalHomes = 8;
    size_t maxRemoteHomes = 4;
    /// Number of homes of all services together that the node aims at.
    size_t maxHomes = 96;
    /// Minimum number of homes of one service, even if the node needs many services.
    size_t minHomes = 4;
    /// Intervals of reports within a failure domain, and from and to other domains, where traffic costs more.
    Duration localInterval = milliseconds(300);
    Duration remoteInterval = milliseconds(800);
    /// Number of reports, and of subscriptions, that a node sends per second at most. Intervals grow to stay within it, up to
    /// `kMaxReportInterval`.
    double maxMessagesPerSecond = 120;
};

/// A home that this node subscribes to.
struct HomeSubscription {
    TimePoint since;
    TimePoint nextAt;
    /// Total demand that was sent last, in slots.
    double sentDemand = 0;
};

/// Subscriptions of this node.
struct SubscriptionTable {
    SubscriptionSettings settings;
    uint64_t sequence = 0;
    /// By service and address of the home.
    std::map<ServiceName, std::map<std::string, HomeSubscription>> services;
};

/// Returns the homes of the service that the node subscribes to: those with the lowest affinity, first in its own failure
/// domain. Homes that are silent or whose targets take no requests are replaced by others, but stay in the list, so that
/// their return is noticed.
auto chooseHomes(const PeerTable &peers, const SubscriptionTable &table, const ServiceName &service, size_t serviceCount, TimePoint now)
    -> std::vector<std::string>;

/// A home that this node no longer subscribes to.
struct EndedSubscription {
    ServiceName service;
    std::string home;

    friend auto operator==(const EndedSubscription &a, const EndedSubscription &b) -> bool
    {
        return a.service == b.service && a.home == b.home;
    }
};

/// Updates the homes of the services that the node needs. Returns the subscriptions that have ended.
auto updateSubscriptions(SubscriptionTable &table, PeerTable &peers, const std::vector<ServiceName> &needed, TimePoint now) -> std::vector<EndedSubscription>;

/// A subscription message and the home that it is sent to.
struct AddressedSubscription {
    std::string home;
    Subscription subscription;
};

/// Returns the subscription messages that are due. `demand` is the demand of callers at this node by service, in slots by
/// class. It is divided among the homes that serve, in proportion to their slots.
auto dueSubscriptions(SubscriptionTable &table, const PeerTable &peers, const std::map<ServiceName, std::vector<double>> &demand, uint64_t incarnation,
                      TimePoint now) -> std::vector<AddressedSubscription>;

/// A node that subscribes to this home.
struct Subscriber {
    Subscription latest;
    /// Incarnation before the current one, whose delayed messages are ignored.
    uint64_t previousIncarnation = 0;
    TimePoint expiresAt;
    TimePoint nextReportAt;
    TimePoint kindsSentAt;
};

/// Subscribers of this home, by address.
struct SubscriberTable {
    SubscriptionSettings settings;
    std::map<std::string, Subscriber> rows;
    /// Total demand in the reports that all subscribers got last, in slots, and when that was.
    double reportedDemand = 0;
    TimePoint reportedAt;
};

/// Stores a subscription to the targets of the service `own`, which is that of the local target, and ignores one to another
/// service. A new subscriber gets a report at once.
void applySubscription(SubscriberTable &table, const ServiceName &own, const Subscription &subscription, TimePoint now);

/// Removes the subscribers that have not renewed their subscription.
void expireSubscribers(SubscriberTable &table, TimePoint now);

/// Returns the sum of the subscribers' demand by class, in slots.
auto totalDemand(const SubscriberTable &table) -> std::vector<double>;

/// A subscriber that gets a report now.
struct DueReport {
    std::string address;
    Duration interval{};
    bool withKinds = false;
};

/// Returns the subscribers that get a report now: all of them if `all` is set, or if the demand has changed much.
auto dueReports(SubscriberTable &table, bool all, TimePoint now) -> std::vector<DueReport>;

} // namespace snipestream
