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

/// Returns whether the row counts towards the ejection limit: only endpoints that could take requests do.
auto countsForEjectionLimit(const EndpointRow &row) -> bool
{
    return isUsable(row) && !row.record.suspect && !row.unlisted;
}

/// Returns how many more endpoints may be ejected; negative if too many are ejected.
auto remainingEjections(const ServiceEndpoints &service, TimePoint now) -> int
{
    int candidates = 0;
    int ejected = 0;
    for (const auto &row : service.rows) {
        if (countsForEjectionLimit(row)) {
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
    // Until a call to the endpoint succeeds, one more failure ejects it again.
    row.consecutiveFailures = settings.consecutiveFailureThreshold - 1;
}

/// Ends ejections, starting with those that would expire first, until at most half of the endpoints are ejected.
void enforceEjectionLimit(ServiceEndpoints &service, const RoutingSettings &settings, TimePoint now)
{
    while (remainingEjections(service, now) < 0) {
        EndpointRow *first = nullptr;
        for (auto &row : service.rows) {
            const bool counts = countsForEjectionLimit(row) && isEjected(row, now);
            if (counts && (first == nullptr || row.ejectedUntil < first->ejectedUntil)) {
                first = &row;
            }
        }
        returnToService(*first, settings, now);
        // Set to `now`, not to the empty value, so that the next tick reports the return.
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
        added.stateChangedAt = now;
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
        row->consecutiveFailures = 0;
        row->ejections = 0;
        row->ejectedUntil = TimePoint{};
    }
    if (record.state != row->record.state || record.suspect != row->record.suspect) {
        row->stateChangedAt = now;
    }
    // A drain is final within an incarnation, so a record of the same incarnation does not clear what the home node
    // reported.
    row->reportedLeaving = row->reportedLeaving && !isRestart;
    row->record = record;
}

} // namespace

auto isUsable(const EndpointRow &row) -> bool
{
    return row.record.state == EndpointState::Active && !row.reportedLeaving;
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
        row.seenVersion = 0;
    }
    return SubscribeMessage{service, table.node, row.directoryIncarnation, row.seenVersion};
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
    const bool isCurrentDirectory = update.directory == service.directory;
    const bool isSameIncarnation = update.directoryIncarnation == service.directoryIncarnation;
    // An older incarnation of the directory never replaces a newer one; the records above are merged in either case.
    if (isCurrentDirectory && (isSameIncarnation || update.directoryIncarnation > service.directoryIncarnation)) {
        const uint64_t seenVersion = isSameIncarnation ? service.seenVersion : 0;
        const bool hasGap = update.fromVersion > seenVersion;
        const bool isStale = isSameIncarnation && update.toVersion < service.seenVersion;
        if (!hasGap && !isStale) {
            service.directoryIncarnation = update.directoryIncarnation;
            service.seenVersion = update.toVersion;
        }
        if (update.complete && !isStale) {
            for (auto &row : service.rows) {
                const bool isListed = std::any_of(update.records.begin(), update.records.end(), [&row](const EndpointRecord &record) {
                    return record.id == row.record.id;
                });
                if (!isListed && !row.unlisted) {
                    row.unlistedSince = now;
                }
                row.unlisted = !isListed;
            }
        }
    }
    for (auto &row : service.rows) {
        const bool isListed = std::any_of(update.records.begin(), update.records.end(), [&row](const EndpointRecord &record) {
            return record == row.record;
        });
        row.unlisted = row.unlisted && !isListed;
    }
    enforceEjectionLimit(service, table.settings, now);
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
        row->consecutiveFailures = 0;
        // Additive increase: one per `limit` successes.
        row->limit = std::min<double>(row->record.slots, row->limit + 1 / row->limit);
        return false;
    case CallEvidence::Overloaded:
        row->limit = std::max(1.0, std::min<double>(row->limit, inFlight) * 0.9);
        return false;
    case CallEvidence::Leaving:
        row->reportedLeaving = true;
        enforceEjectionLimit(found->second, table.settings, now);
        return false;
    case CallEvidence::Failure:
        break;
    }
    ++row->consecutiveFailures;
    const bool mayEject = countsForEjectionLimit(*row) && remainingEjections(found->second, now) > 0;
    if (row->consecutiveFailures < table.settings.consecutiveFailureThreshold || isEjected(*row, now) || !mayEject) {
        return false;
    }
    if (now - row->returnedAt >= table.settings.ejectionResetTime) {
        row->ejections = 0;
    }
    const Duration ejectionTime = table.settings.baseEjectionTime * (1 << std::min(row->ejections, 8));
    row->ejectedUntil = now + std::min(ejectionTime, table.settings.maxEjectionTime);
    ++row->ejections;
    return true;
}

auto tickEndpoints(EndpointTable &table, TimePoint now) -> std::vector<EjectionChange>
{
    std::vector<EjectionChange> changes;
    const auto isExpired = [&](const EndpointRow &row) {
        const bool isUnavailable = row.record.state == EndpointState::Left || row.record.suspect;
        return (row.unlisted && now - row.unlistedSince >= table.settings.rowRetention)
            || (isUnavailable && now - row.stateChangedAt >= table.settings.rowRetention);
    };
    for (auto &[name, service] : table.services) {
        service.rows.erase(std::remove_if(service.rows.begin(), service.rows.end(), isExpired), service.rows.end());
        enforceEjectionLimit(service, table.settings, now);
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
