#include "sidecar/membership.h"

#include "core/events.h"
#include "mesh/member.h"
#include "sidecar/store_access.h"

namespace snipestream
{

namespace
{

/// Interval between reads of the membership, which find nodes whose first reports were lost. It is long because the
/// platform charges for reads.
constexpr Duration kMembershipReadInterval = seconds(30);
constexpr int kMaxMembershipReadJitterMs = 5000;

void applyMemberRecord(SidecarState &state, const KeyedRecord &record)
{
    if (record.value.empty()) {
        return;
    }
    const auto member = decodeMember(record.key, record.value);
    if (!member) {
        logEvent(EventId::MemberRecordInvalid, {{"address", record.key}, {"error", member.error().message}});
        return;
    }
    addMember(state.peers, member.value());
}

} // namespace

void followMembership(SidecarState &state)
{
    const StoreClient store = storeClient(state);
    bool written = false;
    while (!state.ended) {
        if (!written) {
            const auto result = writeRecord(store, nodesTopic(), state.settings.address, encodeMember(ownMember(state.settings)));
            written = result.has_value();
            if (!written) {
                pauseAfterFailure(state);
                continue;
            }
        }
        const auto page = readNewest(store, nodesTopic());
        if (!page) {
            pauseAfterFailure(state);
            continue;
        }
        for (const auto &record : page.value().records) {
            applyMemberRecord(state, record);
        }
        updateTokenMembers(state);
        state.reportDue = true;
        state.isMembershipRead = true;
        logEvent(EventId::MembershipRead, {{"nodes", std::to_string(page.value().records.size())}});
        waitUnlessEnded(state, kMembershipReadInterval + milliseconds(drawBelow(state.random, kMaxMembershipReadJitterMs)));
    }
}

} // namespace snipestream
