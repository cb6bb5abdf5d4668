#include "sidecar/membership.h"

#include "core/events.h"
#include "mesh/member.h"
#include "sidecar/own_record.h"
#include "sidecar/state.h"
#include "sidecar/store_access.h"

#include <algorithm>

namespace snipestream
{

namespace
{

/// How long a reader waits for a change of the members.
constexpr Duration kLongPollWait = seconds(20);
/// Time without an answer of a reader after which a node reads the members itself.
constexpr Duration kFollowTimeout = seconds(15);
constexpr Duration kFollowCheckInterval = seconds(1);
/// Time in which all nodes write their records when the whole system starts for the first time.
constexpr Duration kFirstStartDelay = seconds(1);
constexpr int kMaxJitterMs = 500;
/// Passed on to other nodes in place of a value that is not the record of a member.
constexpr const char *kUnreadableRecord = "unreadable";
/// How often a node that joins checks whether its record has been written.
constexpr Duration kWriteCheckInterval = seconds(1);

/// Counts the failures in a row and pauses after each of them. Returns whether the call succeeded.
template<typename T>
auto checkCall(SidecarState &state, const Result<T> &result, int &failures) -> bool
{
    failures = result ? 0 : failures + 1;
    if (!result) {
        pauseAfterFailure(state, failures);
    }
    return result.has_value();
}

/// Logs that a record names another service for an address than the one that is known.
void logReplacement(const SidecarState &state, const Member &member)
{
    const auto row = state.peers.rows.find(member.address);
    if (row == state.peers.rows.end() || row->second.member.service.empty() || row->second.member.service == member.service) {
        return;
    }
    logEvent(EventId::MemberReplaced,
             {{"address", member.address},
              {"service", row->second.member.service.value},
              {"new-service", member.service.value},
              {"new-node", member.node.value},
              {"own", member.address == state.settings.address ? "1" : "0"}});
}

void applyMember(SidecarState &state, const MemberRecord &record)
{
    const std::string &address = record.member.address;
    if (address == state.settings.address) {
        // Until this node has written its record, the one under its address is of an earlier VM.
        return;
    }
    if (record.hasLeft) {
        removeMember(state.peers, address);
    } else if (addMember(state.peers, record.member)) {
        state.peerPool.closeIdle({address, state.settings.peerListen.port});
    }
}

/// Reads all records. Returns false after a failure.
auto readMembers(SidecarState &state, const StoreClient &store, int &failures) -> bool
{
    const auto page = readNewest(store, nodesTopic());
    if (!checkCall(state, page, failures)) {
        return false;
    }
    applyMemberRecords(state, page.value().records, page.value().nextOffset);
    return true;
}

/// Reads the members and makes sure that this node is among them.
void joinMembership(SidecarState &state, const StoreClient &store)
{
    int failures = 0;
    bool isWritten = false;
    bool isRead = false;
    // When the whole system starts for the first time, no earlier process has recorded departures.
    state.ownRecord.isWritable = state.settings.isFirstStart;
    while (!state.ended && !(isWritten && isRead)) {
        // A node that starts again is usually recorded. When all nodes start for the first time, none is.
        if (!isRead && (isWritten || !state.settings.isFirstStart)) {
            isRead = readMembers(state, store, failures);
            state.ownRecord.isWritable = state.ownRecord.isWritable || isRead;
            isWritten = isWritten || isOwnRecordStored(state);
            continue;
        }
        isWritten = awaitOwnRecord(state, kWriteCheckInterval);
        if (isWritten && state.settings.isFirstStart) {
            state.runtime.sleepFor(kFirstStartDelay + milliseconds(drawBelow(state.random, kMaxJitterMs)));
        }
    }
}

/// Waits for changes of the members as a reader.
void awaitChanges(SidecarState &state, const StoreClient &store, int &failures)
{
    const auto page = readChanges(store, nodesTopic(), state.storeView.membersOffset, kLongPollWait);
    if (!page && page.error().code == ErrorCode::Expired) {
        readMembers(state, store, failures);
    } else if (checkCall(state, page, failures)) {
        applyMemberRecords(state, page.value().records, page.value().nextOffset);
    }
}

/// Drops the oldest departures of a VM above the number that its own node keeps.
void dropOldDepartures(StoreView &view, const std::string &address)
{
    std::vector<std::pair<uint64_t, std::string>> departures;
    for (auto record = view.memberRecords.upper_bound(address); record != view.memberRecords.end(); ++record) {
        if (addressOfDeparture(record->first) != address) {
            break;
        }
        departures.emplace_back(record->second.offset, record->first);
    }
    std::sort(departures.begin(), departures.end());
    for (size_t i = 0; i + kMaxDepartures < departures.size(); ++i) {
        view.memberRecords.erase(departures[i].second);
    }
}

/// Applies the record of a departure, which has an address as the owner. One of this node is added to `own`.
void applyDepartureRecord(SidecarState &state, const KeyedRecord &record, const std::string &owner, std::map<uint64_t, StoredDeparture> &own)
{
    auto &records = state.storeView.memberRecords;
    const auto known = records.find(record.key);
    if (known != records.end() && known->second.offset >= record.offset) {
        return;
    }
    const auto departed = decodeDeparture(record.key, record.value);
    if (record.value.empty()) {
        records.erase(record.key);
    } else {
        // The node at that address writes the record again when it learns that it is unreadable.
        records[record.key] = {record.key, departed ? record.value : kUnreadableRecord, record.offset};
        dropOldDepartures(state.storeView, owner);
    }
    if (!departed && !record.value.empty()) {
        logEvent(EventId::MemberRecordInvalid, {{"address", owner}, {"error", departed.error().message}});
    }
    if (owner == state.settings.address) {
        own[record.offset] = {record.key, departed ? std::make_optional(departed.value()) : std::nullopt};
    }
}

} // namespace

void applyMemberRecords(SidecarState &state, const std::vector<KeyedRecord> &records, uint64_t offset)
{
    auto &view = state.storeView;
    const uint64_t revision = state.peers.revision;
    std::map<uint64_t, StoredDeparture> ownDepartures;
    for (const auto &record : records) {
        if (const auto owner = addressOfDeparture(record.key)) {
            applyDepartureRecord(state, record, *owner, ownDepartures);
            continue;
        }
        if (!isMemberAddress(record.key)) {
            logEvent(EventId::MemberRecordInvalid, {{"key-bytes", std::to_string(record.key.size())}, {"error", "the key is not an address"}});
            continue;
        }
        auto &known = view.memberRecords[record.key];
        if (!known.key.empty() && known.offset >= record.offset) {
            continue;
        }
        known = record;
        if (record.key == state.settings.address) {
            applyOwnRecord(state, record.value);
        }
        if (record.value.empty()) {
            removeMember(state.peers, record.key);
            continue;
        }
        const auto decoded = decodeMemberRecord(record.key, record.value);
        if (!decoded) {
            logEvent(EventId::MemberRecordInvalid, {{"address", record.key}, {"error", decoded.error().message}});
            // The node at that address writes its record again when it learns that it is unreadable.
            known.value = kUnreadableRecord;
            continue;
        }
        logReplacement(state, decoded.value().member);
        applyMember(state, decoded.value());
    }
    if (!ownDepartures.empty()) {
        std::vector<StoredDeparture> oldestFirst;
        oldestFirst.reserve(ownDepartures.size());
        for (auto &[recordOffset, departure] : ownDepartures) {
            oldestFirst.push_back(std::move(departure));
        }
        applyOwnDepartures(state, oldestFirst);
    }
    view.membersOffset = std::max(view.membersOffset, offset);
    view.membersConfirmedAt = BootClock::now();
    const bool isFirst = !state.isMembershipRead;
    state.isMembershipRead = true;
    if (!isFirst && revision == state.peers.revision) {
        return;
    }
    logEvent(EventId::MembershipRead, {{"nodes", std::to_string(state.peers.rows.size())}, {"offset", std::to_string(view.membersOffset)}});
    state.isStoreReader = isReader(state.peers, view.readerSettings);
    updateTokenMembers(state);
    notifyFollowers(state);
}

void followMembership(SidecarState &state)
{
    const StoreClient store = storeClient(state);
    joinMembership(state, store);
    int failures = 0;
    while (!state.ended) {
        if (state.isStoreReader) {
            awaitChanges(state, store, failures);
        } else if (BootClock::now() - state.storeView.membersConfirmedAt > kFollowTimeout) {
            readMembers(state, store, failures);
        } else {
            waitUnlessEnded(state, kFollowCheckInterval);
        }
    }
}

void leaveMembership(SidecarState &state)
{
    state.ownRecord.hasLeft = true;
    storeOwnRecord(state);
}

} // namespace snipestream
