#include "config/change_check.h"

#include "config/text.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>

namespace snipestream
{

namespace
{

/// Describes the change that won the conflict on a rule, with its operator if the audit trail still has the entry.
auto describeWinner(const ConfigState &state, const std::string &id, uint64_t revision, const char *action) -> std::string
{
    std::string text = "rule \"" + id + "\" was " + action + " at revision " + std::to_string(revision);
    const auto entry = std::find_if(state.audit.rbegin(), state.audit.rend(), [revision](const AuditEntry &candidate) {
        return candidate.verdict == ChangeVerdict::Applied && candidate.revision == revision;
    });
    return entry == state.audit.rend() ? text : text + " by " + entry->by;
}

/// Returns why a change with base revision `base` conflicts on one rule; empty if it does not.
auto findConflict(const ConfigState &state, const std::string &id, uint64_t base) -> std::string
{
    const auto current = state.rules.find(id);
    if (current != state.rules.end()) {
        return current->second.revision > base ? describeWinner(state, id, current->second.revision, "changed") : std::string();
    }
    const RemovedRules &removed = removalsFor(state, id);
    const auto removal = removed.revisions.find(id);
    if (removal != removed.revisions.end()) {
        return removal->second > base ? describeWinner(state, id, removal->second, "removed") : std::string();
    }
    if (removed.maxDroppedRevision > base) {
        return "rule \"" + id + "\" may have been removed up to revision " + std::to_string(removed.maxDroppedRevision) + ", which is no longer recorded";
    }
    return {};
}

/// The rules that would be in force after the change, looked up without copying the state.
class ChangedRules
{
public:
    ChangedRules(const ConfigState &state, const ChangeRecord &change)
        : state_(state)
        , removals_(change.removals.begin(), change.removals.end())
    {
        for (const Rule &rule : change.upserts) {
            upserts_[ruleId(rule)] = &rule;
        }
    }

    [[nodiscard]] auto find(const std::string &id) const -> const Rule *
    {
        const auto upsert = upserts_.find(id);
        if (upsert != upserts_.end()) {
            return upsert->second;
        }
        const auto current = state_.rules.find(id);
        return removals_.count(id) != 0 || current == state_.rules.end() ? nullptr : &current->second.rule;
    }

private:
    const ConfigState &state_;
    std::set<std::string> removals_;
    std::map<std::string, const Rule *> upserts_;
};

auto checkKey(const ConfigState &state, const ChangedRules &rulesAfter, const KeyRule &key) -> std::string
{
    const std::string id = "key " + key.id.value;
    const auto withdrawn = state.removedKeys.revisions.find(id);
    if (withdrawn != state.removedKeys.revisions.end()) {
        return "key id " + key.id.value + " was withdrawn at revision " + std::to_string(withdrawn->second)
            + " and cannot be used again; make a key with a new id";
    }
    const auto current = state.index.keys.find(key.id);
    if (current != state.index.keys.end() && (current->second.team != key.team || current->second.salt != key.salt || current->second.hmac != key.hmac)) {
        return "key " + key.id.value + " cannot change its hash or team; make a key with a new id and remove this one";
    }
    if (rulesAfter.find("team " + key.team.value) == nullptr) {
        return "key " + key.id.value + " names the team " + key.team.value + ", which has no rule";
    }
    return {};
}

auto checkRoutes(const ConfigState &state, const ChangeRecord &change, const ChangedRules &rulesAfter) -> std::string
{
    std::map<std::string, RouteName> newPaths;
    for (const Rule &rule : change.upserts) {
        const auto *route = std::get_if<RouteRule>(&rule);
        if (route == nullptr) {
            continue;
        }
        const std::string path = route->method + " " + route->pathPrefix;
        const auto [first, isNewPath] = newPaths.emplace(path, route->name);
        if (!isNewPath) {
            return "routes " + first->second.value + " and " + route->name.value + " both match " + path;
        }
        const auto current = state.index.routes.find(path);
        if (current == state.index.routes.end() || current->second.name == route->name) {
            continue;
        }
        const Rule *other = rulesAfter.find("route " + current->second.name.value);
        if (other != nullptr && std::get<RouteRule>(*other).method + " " + std::get<RouteRule>(*other).pathPrefix == path) {
            return "routes " + current->second.name.value + " and " + route->name.value + " both match " + path;
        }
    }
    return {};
}

auto checkRemovedTeams(const ConfigState &state, const ChangeRecord &change, const ChangedRules &rulesAfter) -> std::string
{
    const bool removesTeam = std::any_of(change.removals.begin(), change.removals.end(), [](const std::string &id) {
        return id.compare(0, 5, "team ") == 0;
    });
    if (!removesTeam) {
        return {};
    }
    // Iterates over the sorted rules instead of the unordered index, because all nodes must write the same text into
    // the audit trail.
    for (const auto &[id, entry] : state.rules) {
        const auto *key = std::get_if<KeyRule>(&entry.rule);
        if (key != nullptr && rulesAfter.find(id) != nullptr && rulesAfter.find("team " + key->team.value) == nullptr) {
            return "team " + key->team.value + " still has the " + id + "; remove both in one change";
        }
    }
    return {};
}

auto findInvalid(const ConfigState &state, const ChangeRecord &change) -> std::string
{
    const ChangedRules rulesAfter(state, change);
    for (const std::string &id : change.removals) {
        if (state.rules.count(id) == 0) {
            return "there is no rule " + inQuotes(id) + " to remove";
        }
    }
    for (const Rule &rule : change.upserts) {
        const auto *key = std::get_if<KeyRule>(&rule);
        std::string reason = key == nullptr ? std::string() : checkKey(state, rulesAfter, *key);
        if (!reason.empty()) {
            return reason;
        }
    }
    std::string routes = checkRoutes(state, change, rulesAfter);
    return routes.empty() ? checkRemovedTeams(state, change, rulesAfter) : routes;
}

} // namespace

auto checkChange(const ConfigState &state, const ChangeRecord &change) -> ChangeCheck
{
    if (change.baseRevision > state.revision) {
        return ChangeCheck{ChangeVerdict::Invalid,
                           "base revision " + std::to_string(change.baseRevision) + " is above the revision " + std::to_string(state.revision) + " in force"};
    }
    std::vector<std::string> touched = change.removals;
    for (const Rule &rule : change.upserts) {
        touched.push_back(ruleId(rule));
    }
    if (touched.empty()) {
        return ChangeCheck{ChangeVerdict::Invalid, "the change touches no rule"};
    }
    std::set<std::string> distinct;
    for (const std::string &id : touched) {
        if (!distinct.insert(id).second) {
            return ChangeCheck{ChangeVerdict::Invalid, "the change touches " + inQuotes(id) + " twice"};
        }
    }
    for (const std::string &id : touched) {
        const std::string conflict = findConflict(state, id, change.baseRevision);
        if (!conflict.empty()) {
            return ChangeCheck{ChangeVerdict::Conflict, conflict + ", after base revision " + std::to_string(change.baseRevision)};
        }
    }
    const std::string invalid = findInvalid(state, change);
    return ChangeCheck{invalid.empty() ? ChangeVerdict::Applied : ChangeVerdict::Invalid, invalid};
}

} // namespace snipestream
