#include "routing/local_targets.h"

#include "core/json_fields.h"

#include <algorithm>

namespace snipestream
{

namespace
{

auto makeRow(const TargetAnnouncement &announcement, uint64_t incarnation, TimePoint now) -> LocalTarget
{
    LocalTarget row;
    row.announcement = announcement;
    row.incarnation = incarnation;
    row.version = 1;
    row.leaseUntil = now + kTargetLease;
    return row;
}

} // namespace

auto toJson(const TargetAnnouncement &announcement) -> nlohmann::json
{
    return {{"target", announcement.target.value},
            {"service", announcement.service.value},
            {"address", announcement.endpoint.address},
            {"port", announcement.endpoint.port},
            {"slots", announcement.slots},
            {"connections", announcement.connections},
            {"cold", announcement.isWarmingUp},
            {"state", endpointStateName(announcement.state)},
            {"instance", announcement.instance}};
}

auto targetAnnouncementFromJson(const nlohmann::json &json) -> Result<TargetAnnouncement>
{
    JsonFields fields(json);
    TargetAnnouncement announcement;
    announcement.target = TargetName(fields.shortText("target"));
    announcement.service = ServiceName(fields.shortText("service"));
    announcement.endpoint.address = fields.shortText("address");
    announcement.endpoint.port = static_cast<uint16_t>(fields.integer("port", 1, 65535));
    announcement.slots = static_cast<int>(fields.integer("slots", 1, 1'000'000));
    announcement.connections = static_cast<int>(fields.integer("connections", 1, 1'000'000));
    if (json.is_object() && json.contains("cold")) {
        announcement.isWarmingUp = fields.flag("cold");
    }
    if (json.is_object() && json.contains("instance")) {
        announcement.instance = fields.unsignedInteger("instance");
    }
    if (json.is_object() && json.contains("state")) {
        const std::string state = fields.shortText("state");
        if (state == "draining") {
            announcement.state = EndpointState::Draining;
        } else if (state == "left") {
            announcement.state = EndpointState::Left;
        } else if (state != "active") {
            fields.reject("state \"" + state + "\" is not active, draining or left");
        }
    }
    if (fields.failed()) {
        return fields.error();
    }
    return announcement;
}

auto announceTarget(LocalTargetTable &table, const TargetAnnouncement &announcement, uint64_t wallMs, TimePoint now) -> AnnounceEffect
{
    const auto found = table.targets.find(announcement.target);
    const bool isActive = announcement.state == EndpointState::Active;
    if (found == table.targets.end()) {
        if (!isActive) {
            // Stored as left, so that a late renewal of the same process is recognised.
            auto &left = table.targets[announcement.target] = makeRow(announcement, wallMs, now);
            left.announcement.state = EndpointState::Left;
            left.leftVoluntarily = true;
            left.leftAt = now;
            return AnnounceEffect::Ignored;
        }
        table.targets[announcement.target] = makeRow(announcement, wallMs, now);
        return AnnounceEffect::Started;
    }
    auto &row = found->second;
    const auto &current = row.announcement;
    if (announcement.instance < current.instance) {
        return AnnounceEffect::Ignored;
    }
    const bool hasMoved = current.endpoint != announcement.endpoint || current.service != announcement.service || current.instance != announcement.instance;
    const bool wasActive = current.state == EndpointState::Active;
    if (isActive && (hasMoved || !wasActive)) {
        // A late renewal of the same process does not bring back a target that drained or left. Without an instance
        // number a restart looks the same, so it is accepted once a renewal can no longer be in transit.
        const bool mayBeRestart = current.instance == 0 && now - row.leftAt >= kTargetLease;
        const bool mayReturn = current.state == EndpointState::Left && (!row.leftVoluntarily || mayBeRestart);
        if (!hasMoved && !mayReturn) {
            return AnnounceEffect::Ignored;
        }
        row = makeRow(announcement, std::max(wallMs, row.incarnation + 1), now);
        return AnnounceEffect::Started;
    }
    if (hasMoved || current.state == EndpointState::Left) {
        row.leftVoluntarily = row.leftVoluntarily || current.state == EndpointState::Left;
        return AnnounceEffect::Ignored;
    }
    const bool hasChanged = current.slots != announcement.slots || current.connections != announcement.connections;
    const bool hasStateChanged = current.state != announcement.state;
    row.announcement = announcement;
    ++row.version;
    row.leaseUntil = now + kTargetLease;
    if (announcement.state == EndpointState::Left) {
        row.leftAt = now;
        row.leftVoluntarily = true;
        return AnnounceEffect::Left;
    }
    if (hasStateChanged) {
        return AnnounceEffect::Draining;
    }
    return hasChanged ? AnnounceEffect::Changed : AnnounceEffect::Renewed;
}

auto localRecord(const LocalTargetTable &table, const TargetName &target) -> std::optional<EndpointRecord>
{
    const auto found = table.targets.find(target);
    if (found == table.targets.end()) {
        return std::nullopt;
    }
    const auto &row = found->second;
    return EndpointRecord{EndpointId{table.node, target},
                          row.announcement.service,
                          table.domain,
                          row.announcement.slots,
                          row.announcement.state,
                          false,
                          row.incarnation,
                          row.version};
}

auto tickLocalTargets(LocalTargetTable &table, TimePoint now, std::vector<TargetName> &expired) -> std::vector<EndpointRecord>
{
    std::vector<EndpointRecord> records;
    for (auto row = table.targets.begin(); row != table.targets.end();) {
        auto &target = row->second;
        if (target.announcement.state != EndpointState::Left && now >= target.leaseUntil) {
            target.leftVoluntarily = target.announcement.state == EndpointState::Draining;
            target.announcement.state = EndpointState::Left;
            target.leftAt = now;
            ++target.version;
            expired.push_back(row->first);
        }
        if (target.announcement.state == EndpointState::Left && now - target.leftAt >= kTombstoneRetention) {
            row = table.targets.erase(row);
            continue;
        }
        records.push_back(*localRecord(table, row->first));
        ++row;
    }
    return records;
}

} // namespace snipestream
