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
    return encodeMemberRecord({ownMember(state.settings), state.target.departures, state.ownRecord.hasLeft});
}

void writeUntilStored(SidecarState &state)
{
    const StoreClient store = storeClient(state);
    int failures = 0;
    while (!state.ended && !isOwnRecordStored(state)) {
        const std::string value = ownRecordValue(state);
        state.ownRecord.stored.reset();
        const auto written = writeRecord(store, nodesTopic(), state.settings.address, value);
        if (written) {
            state.ownRecord.stored = value;
            failures = 0;
            continue;
        }
        if (++failures == 1) {
            const EventId event = state.ownRecord.hasLeft ? EventId::MemberRecordNotRemoved : EventId::MemberRecordNotWritten;
            logEvent(event, {{"address", state.settings.address}, {"error", written.error().message}});
        }
        pauseAfterFailure(state, failures);
    }
}

} // namespace

auto isOwnRecordStored(const SidecarState &state) -> bool
{
    return state.ownRecord.stored == ownRecordValue(state);
}

void storeOwnRecord(SidecarState &state)
{
    if (state.ownRecord.isWriting || !state.ownRecord.isWritable || isOwnRecordStored(state)) {
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
    const std::string instance = state.target.latest ? state.target.latest->instance : std::string();
    if (record && restoreDepartures(state.target, record.value().departures)) {
        logEvent(EventId::TargetLeft, {{"instance", instance}});
        drainLimiterQueue(state);
        state.reportDue = true;
    }
    if (!state.ownRecord.isWriting) {
        state.ownRecord.stored = value;
        storeOwnRecord(state);
    }
}

} // namespace snipestream
