#include "config/snapshot.h"

#include "config/audit_json.h"
#include "config/json_reader.h"
#include "config/rules_parser.h"
#include "core/hash.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <limits>

#include <nlohmann/json.hpp>

namespace snipestream
{

namespace
{

using Json = nlohmann::json;

constexpr uint64_t kMaxNumber = std::numeric_limits<uint64_t>::max();
constexpr uint64_t kSnapshotVersion = 1;
/// Maximum text per part. JSON escapes quotes and backslashes, so the text may double in size within a record.
constexpr size_t kMaxPartBytes = kMaxRecordBytes / 2 - 1024;
/// Maximum number of incomplete snapshots in a SnapshotAssembly.
constexpr size_t kMaxAssemblies = 3;
/// Maximum number of parts of one snapshot, about 15 MB of text. Limits the memory that a damaged record can occupy.
constexpr uint32_t kMaxParts = 256;
/// If the time of a snapshot is further ahead of the local clock, its writer's clock is assumed to be wrong.
constexpr int64_t kMaxClockLeadMs = 60 * 1000;

auto hexOf(uint64_t value) -> std::string
{
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(value));
    return std::string(text.data());
}

auto dumpRemoved(const RemovedRules &removed) -> Json
{
    return Json{{"revisions", removed.revisions}, {"forgotten", removed.maxDroppedRevision}};
}

auto dumpAudit(const std::deque<AuditEntry> &audit) -> Json
{
    Json entries = Json::array();
    for (const AuditEntry &entry : audit) {
        entries.push_back(auditEntryJson(entry));
    }
    return entries;
}

auto readRemoved(JsonReader &state, const char *name, std::vector<JsonError> &errors) -> RemovedRules
{
    RemovedRules removed;
    const Json *value = state.value(name);
    if (value == nullptr) {
        return removed;
    }
    JsonReader reader(*value, state.pathOf(name), errors);
    removed.maxDroppedRevision = reader.number("forgotten", 0, kMaxNumber);
    const Json *revisions = reader.value("revisions");
    if (revisions == nullptr || !revisions->is_object()) {
        reader.addError("revisions", "is not an object");
        return removed;
    }
    for (const auto &field : revisions->items()) {
        JsonReader revision(*revisions, reader.pathOf("revisions"), errors);
        removed.revisions[field.key()] = revision.number(field.key(), 0, kMaxNumber);
    }
    return removed;
}

void readRules(JsonReader &reader, ConfigState &state, std::vector<JsonError> &errors)
{
    for (const auto &[element, path] : reader.list("rules")) {
        JsonReader entry(*element, path, errors);
        const auto rule = parseRuleLine(entry.text("line"));
        const uint64_t revision = entry.number("revision", 0, kMaxNumber);
        if (!rule) {
            entry.addError("line", rule.error().message);
            continue;
        }
        putRule(state, rule.value(), revision);
    }
}

void readAudit(JsonReader &reader, ConfigState &state, int64_t nowMs, std::vector<JsonError> &errors)
{
    for (const auto &[element, path] : reader.list("audit")) {
        JsonReader fields(*element, path, errors);
        AuditEntry entry;
        entry.offset = fields.number("offset", 0, kMaxNumber);
        entry.changeId = fields.text("change");
        entry.by = fields.text("by");
        const auto verdict = parseVerdict(fields.text("verdict"));
        if (!verdict) {
            fields.addError("verdict", "is not a verdict");
        }
        entry.verdict = verdict.value_or(ChangeVerdict::Unreadable);
        entry.revision = fields.number("revision", 0, kMaxNumber);
        entry.touched = fields.texts("touched");
        entry.detail = fields.text("detail");
        entry.inForceAtMs = nowMs;
        addAuditEntry(state, std::move(entry));
    }
}

auto readState(JsonReader &reader, int64_t nowMs, std::vector<JsonError> &errors) -> ConfigState
{
    ConfigState state;
    reader.number("version", kSnapshotVersion, kSnapshotVersion);
    state.nextOffset = reader.number("nextOffset", 0, kMaxNumber);
    state.revision = reader.number("revision", 0, kMaxNumber);
    readRules(reader, state, errors);
    state.removedKeys = readRemoved(reader, "removedKeys", errors);
    state.removedRules = readRemoved(reader, "removedRules", errors);
    readAudit(reader, state, nowMs, errors);
    state.unreadableRecords = reader.number("unreadableRecords", 0, kMaxNumber);
    state.snapshotOffset = reader.number("snapshotOffset", 0, kMaxNumber);
    state.snapshotEnd = reader.number("snapshotEnd", 0, kMaxNumber);
    state.snapshotAtMs = static_cast<int64_t>(reader.number("snapshotAtMs", 0, std::numeric_limits<int64_t>::max()));
    return state;
}

/// Loads all sections. After an error, the previous state of every section is restored.
auto loadSections(const std::vector<FoldSection> &sections, const Json &dumped) -> Result<void>
{
    std::vector<Json> previous;
    previous.reserve(sections.size());
    for (const FoldSection &section : sections) {
        previous.push_back(section.dump());
    }
    for (size_t i = 0; i < sections.size(); ++i) {
        const auto loaded = sections[i].load(dumped[sections[i].name]);
        if (loaded) {
            continue;
        }
        for (size_t j = 0; j <= i; ++j) {
            (void)sections[j].load(previous[j]);
        }
        return failure(ErrorCode::InvalidInput, "section " + sections[i].name + " of the snapshot: " + loaded.error().message);
    }
    return success();
}

} // namespace

auto takeSnapshot(const ConfigFold &fold) -> Snapshot
{
    const ConfigState &state = fold.state;
    Json rules = Json::array();
    for (const auto &[id, entry] : state.rules) {
        rules.push_back(Json{{"line", formatRule(entry.rule)}, {"revision", entry.revision}});
    }
    Json sections = Json::object();
    for (const FoldSection &section : fold.sections) {
        sections[section.name] = section.dump();
    }
    const Json document = {{"version", kSnapshotVersion},
                           {"nextOffset", state.nextOffset},
                           {"revision", state.revision},
                           {"rules", std::move(rules)},
                           {"removedKeys", dumpRemoved(state.removedKeys)},
                           {"removedRules", dumpRemoved(state.removedRules)},
                           {"audit", dumpAudit(state.audit)},
                           {"unreadableRecords", state.unreadableRecords},
                           {"snapshotOffset", state.snapshotOffset},
                           {"snapshotEnd", state.snapshotEnd},
                           {"snapshotAtMs", state.snapshotAtMs},
                           {"sections", std::move(sections)}};
    return Snapshot{state.nextOffset, dumpJson(document)};
}

auto adoptSnapshot(ConfigFold &fold, const Snapshot &snapshot, int64_t nowMs) -> Result<SnapshotAdoption>
{
    if (snapshot.nextOffset <= fold.state.nextOffset) {
        return SnapshotAdoption{};
    }
    std::vector<JsonError> errors;
    const Json document = parseJsonText(snapshot.text, errors);
    JsonReader reader(document, "$", errors);
    ConfigState state = readState(reader, nowMs, errors);
    if (state.nextOffset != snapshot.nextOffset) {
        reader.addError("nextOffset", "differs from the announced " + std::to_string(snapshot.nextOffset));
    }
    const Json *sections = reader.value("sections");
    for (const FoldSection &section : fold.sections) {
        if (sections == nullptr || !sections->is_object() || !sections->contains(section.name)) {
            reader.addError("sections", "lacks " + section.name);
        }
    }
    if (!errors.empty()) {
        errors.resize(std::min<size_t>(errors.size(), 10));
        return failure(ErrorCode::InvalidInput, "the snapshot is invalid: " + joinErrors(errors, "; "));
    }
    const auto loaded = loadSections(fold.sections, *sections);
    if (!loaded) {
        return loaded.error();
    }
    SnapshotAdoption adoption;
    adoption.adopted = true;
    for (const auto &[id, key] : fold.state.index.keys) {
        if (state.index.keys.count(id) == 0) {
            adoption.withdrawnKeys.push_back(id);
        }
    }
    fold.state = std::move(state);
    clearKeyCache(fold.keyCache);
    return adoption;
}

auto splitSnapshot(const Snapshot &snapshot, const std::string &id, int64_t atMs) -> std::vector<SnapshotPart>
{
    std::vector<std::string> texts;
    for (size_t begin = 0; begin < snapshot.text.size() || texts.empty();) {
        size_t end = std::min(begin + kMaxPartBytes, snapshot.text.size());
        // Each part must be valid UTF-8, so the end is moved back to the start of a sequence that it would split.
        while (end < snapshot.text.size() && (static_cast<unsigned char>(snapshot.text[end]) & 0xC0U) == 0x80U) {
            --end;
        }
        texts.push_back(snapshot.text.substr(begin, end - begin));
        begin = end;
    }
    std::vector<SnapshotPart> parts;
    for (std::string &text : texts) {
        SnapshotPart part;
        part.id = id;
        part.nextOffset = snapshot.nextOffset;
        part.part = static_cast<uint32_t>(parts.size());
        part.parts = static_cast<uint32_t>(texts.size());
        part.hash = stableHash(snapshot.text);
        part.atMs = atMs;
        part.text = std::move(text);
        parts.push_back(std::move(part));
    }
    return parts;
}

auto encodeSnapshotPart(const SnapshotPart &part) -> std::string
{
    return dumpJson(Json{{"type", "snapshot"},
                         {"id", part.id},
                         {"nextOffset", part.nextOffset},
                         {"part", part.part},
                         {"parts", part.parts},
                         {"hash", hexOf(part.hash)},
                         {"atMs", part.atMs},
                         {"text", part.text}});
}

auto decodeSnapshotPart(std::string_view payload) -> Result<SnapshotPart>
{
    std::vector<JsonError> errors;
    const Json document = parseJsonText(payload, errors);
    JsonReader reader(document, "$", errors);
    SnapshotPart part;
    if (reader.text("type") != "snapshot") {
        reader.addError("type", "is not \"snapshot\"");
    }
    part.id = reader.text("id");
    part.nextOffset = reader.number("nextOffset", 0, kMaxNumber);
    part.parts = static_cast<uint32_t>(reader.number("parts", 1, kMaxParts, 1));
    part.part = static_cast<uint32_t>(reader.number("part", 0, part.parts - 1));
    const std::string hash = reader.text("hash");
    const auto parsed = std::from_chars(hash.data(), hash.data() + hash.size(), part.hash, 16);
    if (hash.size() != 16 || parsed.ptr != hash.data() + hash.size()) {
        reader.addError("hash", "is not 16 hexadecimal digits");
    }
    part.atMs = static_cast<int64_t>(reader.number("atMs", 0, std::numeric_limits<int64_t>::max()));
    part.text = reader.text("text");
    reader.finish();
    if (!errors.empty()) {
        return failure(ErrorCode::InvalidInput, joinErrors(errors, "; "));
    }
    return part;
}

auto addSnapshotPart(SnapshotAssembly &assembly, SnapshotPart part) -> std::optional<Snapshot>
{
    auto &parts = assembly.parts[part.id];
    if (!parts.empty() && (parts.begin()->second.parts != part.parts || parts.begin()->second.hash != part.hash)) {
        parts.clear();
    }
    const std::string id = part.id;
    const SnapshotPart lastPart = part;
    parts[part.part] = std::move(part);
    if (parts.size() < lastPart.parts) {
        if (assembly.parts.size() > kMaxAssemblies) {
            const auto evicted = std::min_element(assembly.parts.begin(), assembly.parts.end(), [](const auto &a, const auto &b) {
                return a.second.size() < b.second.size();
            });
            assembly.parts.erase(evicted);
        }
        return std::nullopt;
    }
    Snapshot snapshot;
    snapshot.nextOffset = lastPart.nextOffset;
    for (const auto &[number, piece] : parts) {
        snapshot.text.append(piece.text);
    }
    assembly.parts.erase(id);
    if (stableHash(snapshot.text) != lastPart.hash) {
        return std::nullopt;
    }
    return snapshot;
}

auto isSnapshotDue(const ConfigState &state, const Retention &retention, int64_t nowMs) -> bool
{
    if (state.nextOffset == 0) {
        return false;
    }
    if (state.snapshotAtMs == 0) {
        return true;
    }
    const int64_t age = nowMs - state.snapshotAtMs;
    const int64_t halfAge = duration_cast<milliseconds>(retention.age).count() / 2;
    // The snapshot's own parts are not counted, because a large snapshot would make the next one due immediately.
    const uint64_t records = state.nextOffset - std::min(state.snapshotEnd, state.nextOffset);
    return age < -kMaxClockLeadMs || age >= halfAge || (retention.records != 0 && records >= retention.records / 2);
}

} // namespace snipestream
