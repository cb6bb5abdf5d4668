#include "routing/node_table.h"

#include "core/hash.h"
#include "core/json_fields.h"

namespace snipestream
{

auto toJson(const NodeRecord &record) -> nlohmann::json
{
    return {{"type", "node"},
            {"action", record.join ? "join" : "leave"},
            {"node", record.name.value},
            {"domain", record.domain.value},
            {"address", record.endpoint.address},
            {"port", record.endpoint.port},
            {"incarnation", record.incarnation}};
}

auto nodeRecordFromJson(const nlohmann::json &json) -> Result<NodeRecord>
{
    JsonFields fields(json);
    if (fields.shortText("type") != "node") {
        fields.reject("the type is not \"node\"");
    }
    NodeRecord record;
    const std::string action = fields.shortText("action");
    if (action != "join" && action != "leave") {
        fields.reject("action \"" + action + "\" is not join or leave");
    }
    record.join = action == "join";
    record.name = NodeName(fields.shortText("node"));
    record.domain = DomainName(fields.shortText("domain"));
    record.endpoint.address = fields.shortText("address");
    record.endpoint.port = static_cast<uint16_t>(fields.integer("port", 1, 65535));
    record.incarnation = fields.unsignedInteger("incarnation");
    if (fields.failed()) {
        return fields.error();
    }
    return record;
}

auto applyNodeRecord(NodeTable &table, const NodeRecord &record) -> bool
{
    const auto found = table.nodes.find(record.name);
    // A leave is final within its incarnation; a join must have a higher incarnation than the current row.
    if (found != table.nodes.end()) {
        const auto &row = found->second;
        if (record.incarnation < row.incarnation || (record.incarnation == row.incarnation && record.join)
            || (!record.join && !row.isMember && record.incarnation == row.incarnation)) {
            return false;
        }
    }
    table.nodes[record.name] = NodeRow{record.domain, record.endpoint, record.incarnation, record.join};
    ++table.revision;
    return true;
}

auto dumpNodeTable(const NodeTable &table) -> nlohmann::json
{
    nlohmann::json rows = nlohmann::json::array();
    for (const auto &[name, row] : table.nodes) {
        rows.push_back(toJson(NodeRecord{name, row.isMember, row.domain, row.endpoint, row.incarnation}));
    }
    return {{"nodes", std::move(rows)}};
}

auto loadNodeTable(const nlohmann::json &json) -> Result<NodeTable>
{
    JsonFields fields(json);
    NodeTable table;
    for (const auto &row : fields.array("nodes")) {
        auto record = nodeRecordFromJson(row);
        if (!record) {
            return record.error();
        }
        applyNodeRecord(table, record.value());
    }
    if (fields.failed()) {
        return fields.error();
    }
    return table;
}

auto directoryNodes(const NodeTable &table, DirectoryCache &cache, const ServiceName &service) -> const std::map<DomainName, std::vector<NodeName>> &
{
    if (!cache.filled || cache.revision != table.revision) {
        cache = DirectoryCache{table.revision, true, {}, {}};
        for (const auto &[name, row] : table.nodes) {
            if (row.isMember) {
                cache.nodesByDomain[row.domain].push_back(name.value);
            }
        }
    }
    const auto found = cache.services.find(service);
    if (found != cache.services.end()) {
        return found->second;
    }
    auto &chosen = cache.services[service];
    for (const auto &[domain, names] : cache.nodesByDomain) {
        for (const size_t index : rendezvousOrder(service.value, names, kDirectoryNodesPerDomain)) {
            chosen[domain].emplace_back(names[index]);
        }
    }
    return chosen;
}

} // namespace snipestream
