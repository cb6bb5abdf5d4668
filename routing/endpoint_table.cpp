#include "routing/endpoint_table.h"

#include "routing/local_targets.h"

#include <algorithm>

namespace snipestream
{

namespace
{

auto findRow(ServiceEndpoints &service, const EndpointId &id) -> EndpointRow *
{
    for (auto &row : service.rows) {
        if (row.record.id == id) {
            return &row;
        }
    }
    return nullptr;
}

auto findRow(EndpointTable &table, const ServiceName &service, const EndpointId &id) -> EndpointRow *
{
    const auto found = table.services.find(service);
    return found == table.services.end() ? nullptr : findRow(found->second, id);
}

/// Returns whether the row counts for the bound on ejections: only endpoints that could take work do.
auto countsForBound(const EndpointRow &row) -> bool
{
    return isUsable(row) && !row.record.suspect && !row.unlisted;
}

/// Returns how many more endpoints may be ejected; negative if too many are.
auto ejectionRoom(const ServiceEndpoints &service, TimePoint now) -> int
{
    int candidates = 0;
    int ejected = 0;
    for (const auto &row : service.rows) {
        if (countsForBound(row)) {
            ++candidates;
            ejected += isEjected(row, now) ? 1 : 0;
        }
    }
    return candidates / 2 - ejected;
}

void returnToService(EndpointRow &row, const RoutingSettings &settings, TimePoint now)
{
    row.ejectedUntil = TimePoint{};
    row.returnedAt = now;
    // One more failure is enough: the endpoint has to prove itself.
    row.failuresInRow = settings.ejectAfter - 1;
}

/// Ends the ejections that are nearest to their end until at most half of the endpoints are ejected.
void enforceEjectionBound(ServiceEndpoints &service, const RoutingSettings &settings, TimePoint now)
{
    while (ejectionRoom(service, now) < 0) {
        EndpointRow *first = nullptr;
        for (auto &row : service.rows) {
            const bool counts = countsForBound(row) && isEjected(row, now);
            if (counts && (first == nullptr || row.ejectedUntil < first->ejectedUntil)) {
                first = &row;
            }
        }
        returnToService(*first, settings, now);
        // A moment in the past instead of none lets the next tick report the return.
        first->ejectedUntil = now;
    }
}

void mergeRecord(ServiceEndpoints &service, const EndpointRecord &record, TimePoint now)
{
    EndpointRow *row = findRow(service, record.id);
    if (row == nullptr) {
        EndpointRow added;
        added.record = record;
        added.limit = record.slots;
        added.stateSince = now;
        service.rows.push_back(std::move(added));
        return;
    }
    if (!isNewer(record, row->record)) {
        return;
    }
    const bool isRestart = record.incarnation != row->record.incarnation;
    if (isRestart || record.slots != row->record.slots) {
        row->limit = record.slots;
    }
    if (isRestart) {
        row->failuresInRow = 0;
        row->ejections = 0;
        row->ejectedUntil = TimePoint{};
    }
    if (record.state != row->record.state || record.suspect != row->record.suspect) {
        row->stateSince = now;
    }
    // Within an incarnation a drain is final, so a record that is older than the home node's refusal changes nothing.
    row->refusedAsLeaving = row->refusedAsLeaving && !isRestart;
    row->record = record;
}

} // namespace

auto isUsable(const EndpointRow &row) -> bool
{
    return row.record.state == EndpointState::Active && !row.refusedAsLeaving;
}

auto isEjected(const EndpointRow &row, TimePoint now) -> bool
{
    return now < row.ejectedUntil;
}

auto makeSubscription(EndpointTable &table, const ServiceName &service, const NodeName &directory) -> SubscribeMessage
{
    auto &row = table.services[service];
    if (row.directory != directory) {
        row.directory = directory;
        row.directoryIncarnation = 0;
        row.knownVersion = 0;
    }
    return SubscribeMessage{service, table.node, row.directoryIncarnation, row.knownVersion};
}

void applyUpdate(EndpointTable &table, const UpdateMessage &update, TimePoint now)
{
    const auto found = table.services.find(update.service);
    if (found == table.services.end()) {
        return;
    }
    auto &service = found->second;
    for (const auto &record : update.records) {
        if (record.service == update.service) {
            mergeRecord(service, record, now);
        }
    }
    const bool isFollowed = update.directory == service.directory;
    const bool isSameRun = update.directoryIncarnation == service.directoryIncarnation;
    // An older run of the directory never replaces a newer one; the records above were merged either way.
    if (isFollowed && (isSameRun || update.directoryIncarnation > service.directoryIncarnation)) {
        const uint64_t known = isSameRun ? service.knownVersion : 0;
        const bool hasGap = update.fromVersion > known;
        const bool isStale = isSameRun && update.toVersion < service.knownVersion;
        if (!hasGap && !isStale) {
            service.directoryIncarnation = update.directoryIncarnation;
            service.knownVersion = update.toVersion;
        }
        if (update.complete && !isStale) {
            for (auto &row : service.rows) {
                const bool listed = std::any_of(update.records.begin(), update.records.end(), [&row](const EndpointRecord &record) {
                    return record.id == row.record.id;
                });
                if (!listed && !row.unlisted) {
                    row.unlistedSince = now;
                }
                row.unlisted = !listed;
            }
        }
    }
    for (auto &row : service.rows) {
        const bool listed = std::any_of(update.records.begin(), update.records.end(), [&row](const EndpointRecord &record) {
            return record == row.record;
        });
        row.unlisted = row.unlisted && !listed;
    }
    enforceEjectionBound(service, table.settings, now);
}

void beginCall(EndpointTable &table, const ServiceName &service, const EndpointId &endpoint)
{
    EndpointRow *row = findRow(table, service, endpoint);
    if (row != nullptr) {
        ++row->inFlight;
    }
}

auto endCall(EndpointTable &table, const ServiceName &service, const EndpointId &endpoint, CallEvidence evidence, TimePoint now) -> bool
{
    const auto found = table.services.find(service);
    EndpointRow *row = found == table.services.end() ? nullptr : findRow(found->second, endpoint);
    if (row == nullptr) {
        return false;
    }
    const int inFlight = row->inFlight;
    row->inFlight = std::max(0, row->inFlight - 1);
    switch (evidence) {
    case CallEvidence::None:
        return false;
    case CallEvidence::Success:
        row->failuresInRow = 0;
        // One more per limit of successes.
        row->limit = std::min<double>(row->record.slots, row->limit + 1 / row->limit);
        return false;
    case CallEvidence::Overloaded:
        row->limit = std::max(1.0, std::min<double>(row->limit, inFlight) * 0.9);
        return false;
    case CallEvidence::Leaving:
        row->refusedAsLeaving = true;
        enforceEjectionBound(found->second, table.settings, now);
        return false;
    case CallEvidence::Failure:
        break;
    }
    ++row->failuresInRow;
    const bool mayEject = countsForBound(*row) && ejectionRoom(found->second, now) > 0;
    if (row->failuresInRow < table.settings.ejectAfter || isEjected(*row, now) || !mayEject) {
        return false;
    }
    if (now - row->returnedAt >= table.settings.ejectForget) {
        row->ejections = 0;
    }
    const Duration time = table.settings.ejectFirst * (1 << std::min(row->ejections, 8));
    row->ejectedUntil = now + std::min(time, table.settings.ejectLongest);
    ++row->ejections;
    return true;
}

auto tickEndpoints(EndpointTable &table, TimePoint now) -> std::vector<EjectionChange>
{
    std::vector<EjectionChange> changes;
    const auto isOver = [&](const EndpointRow &row) {
        const bool isGone = row.record.state == EndpointState::Left || row.record.suspect;
        return (row.unlisted && now - row.unlistedSince >= table.settings.rowLifetime) || (isGone && now - row.stateSince >= table.settings.rowLifetime);
    };
    for (auto &[name, service] : table.services) {
        service.rows.erase(std::remove_if(service.rows.begin(), service.rows.end(), isOver), service.rows.end());
        enforceEjectionBound(service, table.settings, now);
        for (auto &row : service.rows) {
            if (row.ejectedUntil != TimePoint{} && !isEjected(row, now)) {
                returnToService(row, table.settings, now);
                changes.push_back({name, row.record.id, false});
            }
        }
    }
    return changes;
}

} // namespace snipestream
