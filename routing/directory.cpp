#include "routing/directory.h"

#include "routing/local_targets.h"

#include <algorithm>

namespace snipestream
{

namespace
{

void markChanged(DirectoryService &service, DirectoryRow &row)
{
    row.changedVersion = ++service.version;
}

auto changesSince(const DirectoryTable &table, const ServiceName &name, const DirectoryService &service, uint64_t from, TimePoint now) -> UpdateMessage
{
    UpdateMessage message;
    message.service = name;
    message.directory = table.node;
    message.directoryIncarnation = table.incarnation;
    message.fromVersion = from;
    message.toVersion = service.version;
    message.complete = from == 0 && now - table.startedAt >= kTargetLease;
    for (const auto &[id, row] : service.rows) {
        if (row.changedVersion > from) {
            message.records.push_back(row.record);
        }
    }
    return message;
}

} // namespace

void applyAnnouncement(DirectoryTable &table, const AnnounceMessage &message, TimePoint now)
{
    for (auto record : message.records) {
        // Only the directory itself decides whether renewals stopped.
        record.suspect = false;
        auto &service = table.services[record.service];
        const auto found = service.rows.find(record.id);
        if (found == service.rows.end()) {
            auto &row = service.rows[record.id];
            row.record = record;
            row.renewedAt = now;
            markChanged(service, row);
            continue;
        }
        auto &row = found->second;
        if (!isNewer(record, row.record)) {
            continue;
        }
        const bool differs = differsForCallers(record, row.record);
        row.record = record;
        row.renewedAt = now;
        if (differs) {
            markChanged(service, row);
        }
    }
}

auto subscribe(DirectoryTable &table, const SubscribeMessage &message, TimePoint now) -> UpdateMessage
{
    auto &service = table.services[message.service];
    const bool isSeenVersionValid = message.directoryIncarnation == table.incarnation && message.seenVersion <= service.version;
    service.subscribers[message.subscriber] = Subscriber{now + kSubscriptionLease, service.version};
    return changesSince(table, message.service, service, isSeenVersionValid ? message.seenVersion : 0, now);
}

auto tickDirectory(DirectoryTable &table, TimePoint now) -> std::vector<DirectoryUpdate>
{
    std::vector<DirectoryUpdate> updates;
    for (auto entry = table.services.begin(); entry != table.services.end();) {
        auto &service = entry->second;
        for (auto row = service.rows.begin(); row != service.rows.end();) {
            auto &target = row->second;
            const bool hasLeft = target.record.state == EndpointState::Left;
            if (now - target.renewedAt >= (hasLeft ? kTombstoneRetention : kSuspectRetention)) {
                row = service.rows.erase(row);
                continue;
            }
            if (!hasLeft && !target.record.suspect && now - target.renewedAt >= kTargetLease) {
                target.record.suspect = true;
                markChanged(service, target);
            }
            ++row;
        }
        for (auto subscriber = service.subscribers.begin(); subscriber != service.subscribers.end();) {
            if (now >= subscriber->second.expiresAt) {
                subscriber = service.subscribers.erase(subscriber);
                continue;
            }
            if (subscriber->second.sentVersion < service.version) {
                updates.push_back({subscriber->first, changesSince(table, entry->first, service, subscriber->second.sentVersion, now)});
                subscriber->second.sentVersion = service.version;
            }
            ++subscriber;
        }
        // A service whose version was ever increased is kept even without targets, so that a subscriber never sees its
        // version decrease.
        entry = service.rows.empty() && service.subscribers.empty() && service.version == 0 ? table.services.erase(entry) : std::next(entry);
    }
    return updates;
}

} // namespace snipestream
