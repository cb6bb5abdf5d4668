#include "node/failure_detector.h"

#include "core/events.h"
#include "core/hash.h"
#include "node/node_state.h"

#include <algorithm>
#include <set>
#include <utility>

namespace snipestream
{

namespace
{

constexpr const char *kCheckMethod = "node.check";
constexpr Duration kCheckInterval = seconds(1);
constexpr Duration kReportInterval = seconds(5);

void checkNode(NodeState &state, const NodeName &name, const NodeRow &row)
{
    const auto response = state.peers->call(row.endpoint, kCheckMethod, nlohmann::json::object(), kCheckInterval);
    // A response with a lower incarnation comes from another process at this address, so the one in the log has ended.
    const bool answered = response && response.value().is_object() && response.value().value("incarnation", uint64_t{0}) >= row.incarnation;
    if (!recordCheck(state.failureDetector, name, row.incarnation, answered, BootClock::now())) {
        return;
    }
    logEvent(EventId::NodeReportedDead, {{"node", name.value}, {"incarnation", std::to_string(row.incarnation)}});
    const NodeRecord record{name, false, row.domain, row.endpoint, row.incarnation};
    static_cast<void>(state.log.append(kConfigStream, toJson(record).dump()));
}

} // namespace

auto monitoredNodes(const NodeTable &table, const NodeName &self) -> std::vector<NodeName>
{
    const auto own = table.nodes.find(self);
    if (own == table.nodes.end()) {
        return {};
    }
    std::vector<std::pair<uint64_t, NodeName>> ring;
    for (const auto &[name, row] : table.nodes) {
        if (row.isMember && row.domain == own->second.domain) {
            ring.emplace_back(stableHash(name.value), name);
        }
    }
    std::sort(ring.begin(), ring.end());
    const auto position = std::find_if(ring.begin(), ring.end(), [&self](const auto &entry) {
        return entry.second == self;
    });
    std::vector<NodeName> names;
    if (position == ring.end()) {
        return names;
    }
    const auto start = static_cast<size_t>(position - ring.begin());
    for (size_t i = 1; i < ring.size() && names.size() < kMonitoredNodes; ++i) {
        names.push_back(ring[(start + i) % ring.size()].second);
    }
    return names;
}

auto recordCheck(FailureDetector &detector, const NodeName &node, uint64_t incarnation, bool answered, TimePoint now) -> bool
{
    auto &row = detector.rows[node];
    if (answered || row.incarnation != incarnation) {
        row = FailureDetector::Row{};
        row.incarnation = incarnation;
        row.missed = answered ? 0 : 1;
        return false;
    }
    ++row.missed;
    if (row.missed < kMissedChecksUntilDead || (row.reported && now - row.reportedAt < kReportInterval)) {
        return false;
    }
    row.reported = true;
    row.reportedAt = now;
    return true;
}

void serveChecks(NodeState &state)
{
    state.peers->onCall(kCheckMethod, [&state](const PeerIdentity &, const nlohmann::json &) -> Result<nlohmann::json> {
        return nlohmann::json{{"incarnation", state.incarnation}};
    });
}

void runFailureDetector(NodeState &state)
{
    while (!state.ending) {
        const auto names = monitoredNodes(state.nodes, state.settings.node);
        const std::set<NodeName> monitored(names.begin(), names.end());
        for (auto row = state.failureDetector.rows.begin(); row != state.failureDetector.rows.end();) {
            row = monitored.count(row->first) == 0 ? state.failureDetector.rows.erase(row) : std::next(row);
        }
        for (const auto &name : names) {
            state.runtime.spawn([&state, name, row = state.nodes.nodes.at(name)] {
                checkNode(state, name, row);
            });
        }
        state.runtime.sleepFor(kCheckInterval);
    }
}

} // namespace snipestream
