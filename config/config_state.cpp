#include "config/config_state.h"

#include "config/path.h"
#include "config/text.h"

#include <algorithm>
#include <array>

namespace snipestream
{

namespace
{

constexpr std::array<std::string_view, 5> kVerdictNames = {"applied", "duplicate", "conflict", "invalid", "unreadable"};

auto routeKey(std::string_view method, std::string_view path) -> std::string
{
    return std::string(method).append(" ").append(path);
}

void addToIndex(RequestIndex &index, const Rule &rule)
{
    if (const auto *domain = std::get_if<DomainRule>(&rule)) {
        index.domainWeights[domain->name] = domain->weight;
    } else if (const auto *team = std::get_if<TeamRule>(&rule)) {
        index.teams[team->name] = *team;
    } else if (const auto *key = std::get_if<KeyRule>(&rule)) {
        index.keys[key->id] = *key;
    } else if (const auto *route = std::get_if<RouteRule>(&rule)) {
        index.routes[routeKey(route->method, route->pathPrefix)] = *route;
    }
}

void removeFromIndex(RequestIndex &index, const Rule &rule)
{
    if (const auto *domain = std::get_if<DomainRule>(&rule)) {
        index.domainWeights.erase(domain->name);
    } else if (const auto *team = std::get_if<TeamRule>(&rule)) {
        index.teams.erase(team->name);
    } else if (const auto *key = std::get_if<KeyRule>(&rule)) {
        index.keys.erase(key->id);
    } else if (const auto *route = std::get_if<RouteRule>(&rule)) {
        // Another route may have been moved to this path by the same change.
        const auto entry = index.routes.find(routeKey(route->method, route->pathPrefix));
        if (entry != index.routes.end() && entry->second.name == route->name) {
            index.routes.erase(entry);
        }
    }
}

auto isKeyRule(const std::string &id) -> bool
{
    return id.compare(0, 4, "key ") == 0;
}

void recordRemoval(RemovedRules &removed, const std::string &id, uint64_t revision, size_t maxRemovals)
{
    removed.revisions[id] = revision;
    if (removed.revisions.size() <= maxRemovals) {
        return;
    }
    const auto oldest = std::min_element(removed.revisions.begin(), removed.revisions.end(), [](const auto &a, const auto &b) {
        return a.second < b.second;
    });
    removed.maxDroppedRevision = std::max(removed.maxDroppedRevision, oldest->second);
    removed.revisions.erase(oldest);
}

} // namespace

auto verdictName(ChangeVerdict verdict) -> std::string_view
{
    return kVerdictNames[static_cast<size_t>(verdict)];
}

auto parseVerdict(std::string_view name) -> std::optional<ChangeVerdict>
{
    const auto *const found = std::find(kVerdictNames.begin(), kVerdictNames.end(), name);
    if (found == kVerdictNames.end()) {
        return std::nullopt;
    }
    return static_cast<ChangeVerdict>(found - kVerdictNames.begin());
}

auto matchRoute(const ConfigState &state, std::string_view method, std::string_view path) -> Result<const RouteRule *>
{
    auto normalized = normalizePath(path);
    if (!normalized) {
        return normalized.error();
    }
    std::string key = routeKey(method, normalized.value());
    const size_t root = method.size() + 1;
    for (;;) {
        const auto found = state.index.routes.find(key);
        if (found != state.index.routes.end()) {
            return &found->second;
        }
        if (key.size() <= root + 1) {
            return failure(ErrorCode::NotFound, "no route matches " + inQuotes(method) + " " + inQuotes(path.substr(0, path.find('?'))));
        }
        key.resize(std::max(key.rfind('/'), root + 1));
    }
}

auto findTeam(const ConfigState &state, const TeamName &team) -> const TeamRule *
{
    const auto found = state.index.teams.find(team);
    return found == state.index.teams.end() ? nullptr : &found->second;
}

auto domainWeights(const ConfigState &state) -> const std::map<DomainName, uint32_t> &
{
    return state.index.domainWeights;
}

auto findVerdict(const ConfigState &state, const std::string &changeId) -> const AuditEntry *
{
    const auto offset = state.changeOffsets.find(changeId);
    if (offset == state.changeOffsets.end()) {
        return nullptr;
    }
    const auto entry = std::lower_bound(state.audit.begin(), state.audit.end(), offset->second, [](const AuditEntry &candidate, uint64_t searchedOffset) {
        return candidate.offset < searchedOffset;
    });
    return entry == state.audit.end() || entry->offset != offset->second ? nullptr : &*entry;
}

auto rulesInForce(const ConfigState &state) -> std::vector<Rule>
{
    std::vector<Rule> rules;
    rules.reserve(state.rules.size());
    for (const auto &[id, entry] : state.rules) {
        rules.push_back(entry.rule);
    }
    return rules;
}

auto removalsFor(const ConfigState &state, const std::string &id) -> const RemovedRules &
{
    return isKeyRule(id) ? state.removedKeys : state.removedRules;
}

void putRule(ConfigState &state, const Rule &rule, uint64_t revision)
{
    const std::string id = ruleId(rule);
    const auto [entry, isNew] = state.rules.try_emplace(id, RuleEntry{rule, revision});
    if (!isNew) {
        removeFromIndex(state.index, entry->second.rule);
        entry->second = RuleEntry{rule, revision};
    }
    state.removedRules.revisions.erase(id);
    addToIndex(state.index, rule);
}

void removeRule(ConfigState &state, const std::string &id, uint64_t revision)
{
    const auto entry = state.rules.find(id);
    if (entry == state.rules.end()) {
        return;
    }
    removeFromIndex(state.index, entry->second.rule);
    state.rules.erase(entry);
    if (isKeyRule(id)) {
        recordRemoval(state.removedKeys, id, revision, kMaxRemovedKeys);
    } else {
        recordRemoval(state.removedRules, id, revision, kMaxRemovedRules);
    }
}

void addAuditEntry(ConfigState &state, AuditEntry entry)
{
    if (!entry.changeId.empty()) {
        state.changeOffsets.emplace(entry.changeId, entry.offset);
    }
    state.audit.push_back(std::move(entry));
    if (state.audit.size() <= kMaxAuditEntries) {
        return;
    }
    const AuditEntry &oldest = state.audit.front();
    const auto first = state.changeOffsets.find(oldest.changeId);
    if (first != state.changeOffsets.end() && first->second == oldest.offset) {
        state.changeOffsets.erase(first);
    }
    state.audit.pop_front();
}

} // namespace snipestream
