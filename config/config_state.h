#pragma once

#include "config/rule.h"
#include "core/result.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace snipestream
{

/// Maximum number of entries in the audit trail, about one day at the required scale of 4,100 changes a day. Duplicate
/// change ids are recognized only while the first change is among these entries.
inline constexpr size_t kMaxAuditEntries = 4096;

/// Maximum number of withdrawn key ids that are stored so that they cannot be used again, about 80 days at 400
/// withdrawals a day.
inline constexpr size_t kMaxRemovedKeys = 32768;

/// Maximum number of stored ids of other removed rules.
inline constexpr size_t kMaxRemovedRules = 8192;

/// Outcome of folding a record.
enum class ChangeVerdict {
    Applied,
    Duplicate,
    Conflict,
    Invalid,
    Unreadable,
};

/// Returns the name of a verdict in JSON documents, such as "applied".
auto verdictName(ChangeVerdict verdict) -> std::string_view;

/// Parses a name such as "applied"; empty if there is no such verdict.
auto parseVerdict(std::string_view name) -> std::optional<ChangeVerdict>;

/// One entry of the audit trail: the outcome of one change record.
struct AuditEntry {
    uint64_t offset = 0;
    std::string changeId;
    std::string by;
    ChangeVerdict verdict = ChangeVerdict::Unreadable;
    /// Revision in force after the record.
    uint64_t revision = 0;
    /// Ids of the rules that the change touches; a leading "-" marks a removal. If there are more than
    /// kMaxAuditedRules ids, "and <n> more" replaces the rest.
    std::vector<std::string> touched;
    /// Why the change was not applied; empty if it was.
    std::string detail;
    /// Wall-clock time at which this node folded the record, in milliseconds since the Unix epoch. The only field that
    /// differs between nodes.
    int64_t inForceAtMs = 0;
};

/// Maximum number of rule ids in one audit entry.
inline constexpr size_t kMaxAuditedRules = 32;

/// A rule in force and the revision that last changed it.
struct RuleEntry {
    Rule rule;
    uint64_t revision = 0;
};

/// Lookup tables for request handling, derived from the rules.
struct RequestIndex {
    std::unordered_map<KeyId, KeyRule> keys;
    std::unordered_map<TeamName, TeamRule> teams;
    std::map<DomainName, uint32_t> domainWeights;
    /// Routes by "<METHOD> <path prefix>".
    std::unordered_map<std::string, RouteRule> routes;
};

/// Rules that were removed. The number of stored removals is bounded.
struct RemovedRules {
    /// Rule id -> revision that removed it.
    std::map<std::string, uint64_t> revisions;
    /// Highest revision of a removal that was dropped because of the bound. A change with a lower base revision is
    /// rejected if it touches a rule that does not exist, so that it cannot restore a rule whose removal was dropped.
    uint64_t maxDroppedRevision = 0;
};

/// The configuration that results from folding all records below `nextOffset`. Nodes with the same `nextOffset` have
/// the same state, except for the times in the audit trail.
struct ConfigState {
    /// Offset of the next record to fold. It never decreases.
    uint64_t nextOffset = 0;
    /// Number of changes applied so far.
    uint64_t revision = 0;
    /// Rules in force by rule id.
    std::map<std::string, RuleEntry> rules;
    /// Withdrawn keys. Their ids cannot be used again.
    RemovedRules removedKeys;
    /// Removed rules of the other kinds.
    RemovedRules removedRules;
    std::deque<AuditEntry> audit;
    /// Change id -> offset of its first record, for the entries in `audit`.
    std::unordered_map<std::string, uint64_t> changeOffsets;
    /// Number of records that could not be parsed.
    uint64_t unreadableRecords = 0;
    /// `nextOffset` of the newest complete snapshot that was read from the log.
    uint64_t snapshotOffset = 0;
    /// Offset after the last part of that snapshot.
    uint64_t snapshotEnd = 0;
    /// Wall-clock time that the writer of that snapshot gave, in milliseconds since the Unix epoch.
    int64_t snapshotAtMs = 0;
    RequestIndex index;
};

/// Finds the route whose prefix of whole path segments is the longest match; the query is ignored. ErrorCode::NotFound:
/// no route matches. ErrorCode::InvalidInput: the path has dot segments, empty segments, encoded slashes or control
/// characters, which a target could resolve to the path of another route. The pointer is valid until the next record is
/// folded, so a fiber that blocks has to copy the rule.
auto matchRoute(const ConfigState &state, std::string_view method, std::string_view path) -> Result<const RouteRule *>;

/// Returns the rule of a team, or null if there is no such team. The pointer is valid until the next record is folded.
auto findTeam(const ConfigState &state, const TeamName &team) -> const TeamRule *;

/// Returns the weights of all failure domains that have a rule.
auto domainWeights(const ConfigState &state) -> const std::map<DomainName, uint32_t> &;

/// Returns the newest audit entry of a change that is not a duplicate, or null if the audit trail does not have one or
/// no longer has it.
auto findVerdict(const ConfigState &state, const std::string &changeId) -> const AuditEntry *;

/// Returns all rules in force, sorted by rule id.
auto rulesInForce(const ConfigState &state) -> std::vector<Rule>;

/// Returns the removed keys if the id is that of a key, otherwise the other removed rules.
auto removalsFor(const ConfigState &state, const std::string &id) -> const RemovedRules &;

/// Adds or replaces a rule in the state and its index. `revision` is the revision that changed the rule. Used by the
/// fold and when a snapshot is read.
void putRule(ConfigState &state, const Rule &rule, uint64_t revision);

/// Removes a rule from the state and its index and stores the removal. Above the bound, the oldest removal is dropped.
void removeRule(ConfigState &state, const std::string &id, uint64_t revision);

/// Adds an entry to the audit trail. Above kMaxAuditEntries, the oldest entry is dropped.
void addAuditEntry(ConfigState &state, AuditEntry entry);

} // namespace snipestream
