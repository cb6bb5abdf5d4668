#pragma once

#include "core/ids.h"
#include "core/result.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace snipestream
{

/// A node of the fleet as the log knows it.
struct NodeRow {
    DomainName domain;
    Endpoint endpoint;
    /// Grows with each start of the node.
    uint64_t incarnation = 0;
    /// False after a leave record. The row stays so that a late join of an older incarnation is recognised.
    bool isMember = true;

    friend auto operator==(const NodeRow &a, const NodeRow &b) -> bool
    {
        return a.domain == b.domain && a.endpoint == b.endpoint && a.incarnation == b.incarnation && a.isMember == b.isMember;
    }
};

/// All nodes, folded from the node records of the log in log order.
struct NodeTable {
    std::map<NodeName, NodeRow> nodes;
    /// Grows with each change; caches compare it.
    uint64_t revision = 0;
};

/// A join or leave record.
struct NodeRecord {
    NodeName name;
    bool join = true;
    DomainName domain;
    Endpoint endpoint;
    uint64_t incarnation = 0;
};

/// Returns the record as it is appended to the log, with "type": "node".
auto toJson(const NodeRecord &record) -> nlohmann::json;

/// Reads a node record; fails with InvalidInput if it is malformed.
auto nodeRecordFromJson(const nlohmann::json &json) -> Result<NodeRecord>;

/// Folds a record into the table. Returns true if the table changed; a record of an older incarnation changes nothing.
auto applyNodeRecord(NodeTable &table, const NodeRecord &record) -> bool;

/// Returns the table for a snapshot.
auto dumpNodeTable(const NodeTable &table) -> nlohmann::json;

/// Reads a snapshot; fails with InvalidInput if it is malformed.
auto loadNodeTable(const nlohmann::json &json) -> Result<NodeTable>;

/// Directory nodes of services, kept until the node table changes.
struct DirectoryCache {
    uint64_t revision = 0;
    bool filled = false;
    std::map<DomainName, std::vector<std::string>> nodesByDomain;
    std::map<ServiceName, std::map<DomainName, std::vector<NodeName>>> services;
};

/// Number of directory nodes per service and failure domain.
inline constexpr size_t kDirectoryNodesPerDomain = 2;

/// Returns the directory nodes of the service in each failure domain, best first.
auto directoryNodes(const NodeTable &table, DirectoryCache &cache, const ServiceName &service) -> const std::map<DomainName, std::vector<NodeName>> &;

} // namespace snipestream
