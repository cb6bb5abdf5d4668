#include "sidecar/own_record.h"

#include "core/events.h"
#include "mesh/member.h"
#include "sidecar/home.h"
#include "sidecar/state.h"
#include "sidecar/store_access.h"

namespace snipestream
{

namespace
{

constexpr Duration kStoredCheckInterval = milliseconds(10);

auto ownRecordValue(const SidecarState &state) -> std::string
{
    return encodeMemberRecord({ownMember(state.settings), {}, state.ownRecord.hasLeft});
}

/// Key and value of a record to write; an empty value removes the key.
struct RecordWrite {
    std::string key;
    std::string value;
};

/// Returns the departure's or member's record to write next. Departures come first, because the member's record of an older
/// version may contain them.
auto missingRecord(const SidecarState &state) -> std::optional<RecordWrite>
{
    for (const auto &departed : state.target.departures) {
        const std::string key = departureKey(state.settings.address, departed);
        if (state.ownRecord.storedDepartures.count(key) == 0) {
            return RecordWrite{key, encodeDeparture(departed)};
        }
    }
    const std::string value = ownRecordValue(state);
    return state.ownRecord.stored == value ? std::nullopt : std::make_optional(RecordWrite{state.settings.address, value});
}

/// Returns the removal of a departure that is no longer kept.
auto obsoleteDeparture(const SidecarState &state) -> std::optional<RecordWrite>
{
    std::set<std::string> kept;
    for (const auto &departed : state.target.departures) {
        kept.insert(departureKey(state.settings.address, departed));
    }
    for (const auto &key : state.ownRecord.storedDepartures) {
        if (kept.count(key) == 0) {
            return RecordWrite{key, {}};
        }
    }
    return std::nullopt;
}

auto nextWrite(const SidecarState &state) -> std::optional<RecordWrite>
{
    auto missing = missingRecord(state);
    return missing ? missing : obsoleteDeparture(state);
}

void noteWritten(OwnRecord &own, const std::string &address, const RecordWrite &written)
{
    if (written.key == address) {
        own.stored = written.value;
    } else if (written.value.empty()) {
        own.storedDepartures.erase(written.key);
    } else {
        own.storedDepartures.insert(written.key);
    }
}

void writeUntilStored(SidecarState &state)
{
    const StoreClient store = storeClient(state);
    const std::string &address = state.settings.address;
    int failures = 0;
    while (!state.ended) {
        const auto next = nextWrite(state);
        if (!next) {
            return;
        }
        if (next->key == address) {
            state.ownRecord.stored.reset();
        }
        const auto written = writeRecord(store, nodesTopic(), next->key, next->value);
        if (written) {
            noteWritten(state.ownRecord, address, *next);
            failures = 0;
            continue;
        }
        if (++failures == 1) {
            const EventId event = state.ownRecord.hasLeft ? EventId::MemberRecordNotRemoved : EventId::MemberRecordNotWritten;
            logEvent(event, {{"address", address}, {"key", next->key}, {"error", written.error().message}});
        }
        pauseAfterFailure(state, failures);
    }
}

/// Adds departures to those of the target on this VM.
void restore(SidecarState &state, const std::vector<DepartedTarget> &departures)
{
    const std::string instance = state.target.latest ? state.target.latest->instance : std::string();
    if (restoreDepartures(state.target, departures)) {
        logEvent(EventId::TargetLeft, {{"instance", instance}});
        drainLimiterQueue(state);
        state.reportDue = true;
    }
}

} // namespace

auto isOwnRecordStored(const SidecarState &state) -> bool
{
    return !missingRecord(state);
}

void storeOwnRecord(SidecarState &state)
{
    if (state.ownRecord.isWriting || !state.ownRecord.isWritable || !nextWrite(state)) {
        return;
    }
    state.ownRecord.isWriting = true;
    state.runtime.spawn([&state] {
        writeUntilStored(state);
        state.ownRecord.isWriting = false;
    });
}

auto awaitOwnRecord(SidecarState &state, Duration timeout) -> bool
{
    const TimePoint end = BootClock::now() + timeout;
    storeOwnRecord(state);
    while (!state.ended && !isOwnRecordStored(state) && BootClock::now() < end) {
        state.runtime.sleepFor(kStoredCheckInterval);
        storeOwnRecord(state);
    }
    return isOwnRecordStored(state);
}

void applyOwnRecord(SidecarState &state, const std::string &value)
{
    const auto record = decodeMemberRecord(state.settings.address, value);
    if (record) {
        restore(state, record.value().departures);
    }
    if (!state.ownRecord.isWriting) {
        state.ownRecord.stored = value;
        storeOwnRecord(state);
    }
}

void applyOwnDepartures(SidecarState &state, const std::vector<StoredDeparture> &records)
{
    std::vector<DepartedTarget> departures;
    for (const auto &record : records) {
        if (record.departed) {
            state.ownRecord.storedDepartures.insert(record.key);
            departures.push_back(*record.departed);
        } else {
            state.ownRecord.storedDepartures.erase(record.key);
        }
    }
    restore(state, departures);
    storeOwnRecord(state);
}

} // namespace snipestream
