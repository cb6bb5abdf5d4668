#include "sidecar/roster.h"

#include "core/events.h"
#include "sidecar/store_access.h"

namespace snipestream
{

namespace
{

/// How often the roster is read again, for nodes whose first reports did not arrive. Reads are priced by the platform.
constexpr Duration kRosterInterval = seconds(30);
constexpr int kRosterSpreadMs = 5000;

} // namespace

void followRoster(SidecarState &state)
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
        state.reportSoon = true;
        state.rosterRead = true;
        logEvent(EventId::MembershipRead, {{"nodes", std::to_string(page.value().records.size())}});
        waitUnlessEnded(state, kRosterInterval + milliseconds(drawBelow(state.random, kRosterSpreadMs)));
    }
}

} // namespace snipestream
