#include "sidecar/membership.h"

#include "core/events.h"
#include "sidecar/store_access.h"

namespace snipestream
{

namespace
{

/// Interval between reads of the membership, which find nodes whose first reports were lost. It is long because the
/// platform charges for reads.
constexpr Duration kMembershipReadInterval = seconds(30);
constexpr int kMaxMembershipReadJitterMs = 5000;

} // namespace

void followMembership(SidecarState &state)
{
    const StoreClient store = storeClient(state);
    bool written = false;
    while (!state.ended) {
        if (!written) {
            const auto result = writeRecord(store, nodesTopic(), state.settings.address, state.settings.node.value);
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
            if (!record.value.empty()) {
                addAddress(state.peers, record.key);
            }
        }
        state.reportDue = true;
        state.isMembershipRead = true;
        logEvent(EventId::MembershipRead, {{"nodes", std::to_string(page.value().records.size())}});
        waitUnlessEnded(state, kMembershipReadInterval + milliseconds(drawBelow(state.random, kMaxMembershipReadJitterMs)));
    }
}

} // namespace snipestream
