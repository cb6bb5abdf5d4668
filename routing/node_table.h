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

/// A node of the fleet, according to the log.
struct NodeRow {
    DomainName domain;
    Endpoint endpoint;
    /// Increases with each start of the node.
    uint64_t incarnation = 0;
    /// False after a leave record. The row is kept so that a late join of an older incarnation is recognised.
    bool isMember = true;

    friend auto operator==(const NodeRow &a, const NodeRow &b) -> bool
    {
        return a.domain == b.domain && a.endpoint == b.endpoint && a.incarnation == b.incarnation && a.isMember == b.isMember;
    }
};

/// All nodes, derived from the node records of the log in log order.
struct NodeTable {
    std::map<NodeName, NodeRow> nodes;
    /// Increases with each change; caches compare it.
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

/// Applies a record to the table. Returns true if the table changed; a record of an older incarnation changes nothing.
auto applyNodeRecord(NodeTable &table, const NodeRecord &record) -> bool;

/// Returns the table for a snapshot.
auto dumpNodeTable(const NodeTable &table) -> nlohmann::json;

/// Reads a snapshot; fails with InvalidInput if it is malformed.
auto loadNodeTable(const nlohmann::json &json) -> Result<NodeTable>;

/// Cached directory nodes of the services, valid until the node table changes.
struct DirectoryCache {
    uint64_t revision = 0;
    bool filled = false;
    std::map<DomainName, std::vector<std::string>> nodesByDomain;
    std::map<ServiceName, std::map<DomainName, std::vector<NodeName>>> services;
};

/// Number of directory nodes per service and failure domain.
inline constexpr size_t kDirectoryNodesPerDomain = 2;

/// Returns the directory nodes of the service in each failure domain, in order of preference by rendezvous hashing.
auto directoryNodes(const NodeTable &table, DirectoryCache &cache, const ServiceName &service) -> const std::map<DomainName, std::vector<NodeName>> &;

} // namespace snipestream
