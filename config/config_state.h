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

/// Entries of the audit trail that are kept; about one day at the 4,100 changes a day of the required scale. The same
/// entries recognise repeated change ids.
inline constexpr size_t kMaxAuditEntries = 4096;

/// Withdrawn key ids that are kept and can not be used again; about 80 days at 400 withdrawals a day.
inline constexpr size_t kMaxRemovedKeys = 32768;

/// Ids of other removed rules that are kept.
inline constexpr size_t kMaxRemovedRules = 8192;

/// What the fold decided about a record.
enum class ChangeVerdict {
    Applied,
    Duplicate,
    Conflict,
    Invalid,
    Unreadable,
};

/// Returns the name of the verdict, such as "applied".
auto verdictName(ChangeVerdict verdict) -> std::string_view;

/// Parses a name such as "applied"; empty if there is no such verdict.
auto parseVerdict(std::string_view name) -> std::optional<ChangeVerdict>;

/// One entry of the audit trail: what became of one change record.
struct AuditEntry {
    uint64_t offset = 0;
    std::string changeId;
    std::string by;
    ChangeVerdict verdict = ChangeVerdict::Unreadable;
    /// Revision in force after the record.
    uint64_t revision = 0;
    /// Ids of the rules that the change touches; "-" marks a removal. At most kMaxAuditedRules, then "and <n> more".
    std::vector<std::string> touched;
    /// Why the change was not applied; empty if it was.
    std::string detail;
    /// Wall-clock time at which this node folded the record, in milliseconds since the Unix epoch. The only field that
    /// differs between nodes.
    int64_t inForceAtMs = 0;
};

/// Rules named in one audit entry.
inline constexpr size_t kMaxAuditedRules = 32;

/// A rule in force and the revision that last changed it.
struct RuleEntry {
    Rule rule;
    uint64_t revision = 0;
};

/// Lookups of the request path, derived from the rules.
struct RequestIndex {
    std::unordered_map<KeyId, KeyRule> keys;
    std::unordered_map<TeamName, TeamRule> teams;
    std::map<DomainName, uint32_t> domainWeights;
    /// Routes by "<METHOD> <path prefix>".
    std::unordered_map<std::string, RouteRule> routes;
};

/// Rules that were removed, as far as they are kept.
struct RemovedRules {
    /// Rule id -> revision that removed it.
    std::map<std::string, uint64_t> revisions;
    /// Highest revision of a removal that is no longer kept. A change with a lower base is rejected if it touches a
    /// rule that does not exist, so that the bound never lets a removed rule return unnoticed.
    uint64_t forgottenRevision = 0;
};

/// The configuration: the fold of all records below `nextOffset`. Nodes with the same `nextOffset` have the same state,
/// except for the times in the audit trail.
struct ConfigState {
    /// Offset of the next record to fold; only grows.
    uint64_t nextOffset = 0;
    /// Number of changes applied so far.
    uint64_t revision = 0;
    /// Rules in force by rule id.
    std::map<std::string, RuleEntry> rules;
    /// Keys that were withdrawn. Their ids cannot be used again.
    RemovedRules removedKeys;
    /// Other rules that were removed.
    RemovedRules removedRules;
    std::deque<AuditEntry> audit;
    /// Change id -> offset of its first record, for the entries in `audit`.
    std::unordered_map<std::string, uint64_t> changeOffsets;
    /// Records that did not parse.
    uint64_t unreadableRecords = 0;
    /// `nextOffset` of the newest complete snapshot seen on the log, and the wall-clock time its writer gave.
    uint64_t snapshotOffset = 0;
    /// Offset behind the last part of that snapshot.
    uint64_t snapshotEnd = 0;
    int64_t snapshotAtMs = 0;
    RequestIndex index;
};

/// Finds the route with the longest prefix of whole path segments; the query is ignored. ErrorCode::NotFound: no route.
/// ErrorCode::InvalidInput: the path has dot segments, empty segments, encoded slashes or control characters, which a
/// target could resolve to a path of another route. The pointer is valid until the next record is folded, so a fiber
/// that waits has to copy the rule.
auto matchRoute(const ConfigState &state, std::string_view method, std::string_view path) -> Result<const RouteRule *>;

/// Returns the rate and burst of a team, or null if there is no such team; valid until the next record is folded.
auto findTeam(const ConfigState &state, const TeamName &team) -> const TeamRule *;

/// Returns the weights of all failure domains that the rules name.
auto domainWeights(const ConfigState &state) -> const std::map<DomainName, uint32_t> &;

/// Returns the newest audit entry of a change that is not a duplicate, or null if it is not known (any more).
auto findVerdict(const ConfigState &state, const std::string &changeId) -> const AuditEntry *;

/// Returns all rules in force, sorted by rule id.
auto rulesInForce(const ConfigState &state) -> std::vector<Rule>;

/// Returns the removals that a rule id belongs to: those of keys or those of other rules.
auto removalsFor(const ConfigState &state, const std::string &id) -> const RemovedRules &;

/// Puts a rule into the state with the revision that changed it, index included. Used by the fold and by snapshots.
void putRule(ConfigState &state, const Rule &rule, uint64_t revision);

/// Takes a rule out of the state, index included, and remembers the removal. The oldest removal is forgotten above the
/// bound.
void removeRule(ConfigState &state, const std::string &id, uint64_t revision);

/// Adds an entry to the audit trail, dropping the oldest one above kMaxAuditEntries.
void addAuditEntry(ConfigState &state, AuditEntry entry);

} // namespace snipestream
