#include "config/fold.h"

#include "config/change_check.h"
#include "config/json_reader.h"
#include "config/snapshot.h"
#include "config/text.h"
#include "core/events.h"

#include <algorithm>

#include <glog/logging.h>
#include <nlohmann/json.hpp>

namespace snipestream
{

namespace
{

using Json = nlohmann::json;

/// Returns a text field for the audit trail. Empty if the field is missing, not a string, not printable UTF-8 or longer
/// than 200 bytes.
auto textOf(const Json &document, const char *name) -> std::string
{
    static constexpr size_t kMaxBytes = 200;
    if (!document.is_object() || !document.contains(name) || !document[name].is_string()) {
        return {};
    }
    const std::string text = document[name].get<std::string>();
    return text.size() > kMaxBytes || !isPrintableUtf8(text) ? std::string() : text;
}

auto touchedRules(const ChangeRecord &change) -> std::vector<std::string>
{
    std::vector<std::string> touched;
    for (const Rule &rule : change.upserts) {
        touched.push_back(ruleId(rule));
    }
    for (const std::string &id : change.removals) {
        touched.push_back("-" + id.substr(0, 100));
    }
    if (touched.size() > kMaxAuditedRules) {
        const size_t more = touched.size() - kMaxAuditedRules;
        touched.resize(kMaxAuditedRules);
        touched.push_back("and " + std::to_string(more) + " more");
    }
    return touched;
}

void applyChange(ConfigFold &fold, const ChangeRecord &change, FoldOutcome &outcome)
{
    ConfigState &state = fold.state;
    ++state.revision;
    for (const std::string &id : change.removals) {
        const auto entry = state.rules.find(id);
        if (const auto *key = std::get_if<KeyRule>(&entry->second.rule)) {
            outcome.withdrawnKeys.push_back(key->id);
        }
        removeRule(state, id, state.revision);
    }
    for (const Rule &rule : change.upserts) {
        putRule(state, rule, state.revision);
    }
    for (const KeyId &id : outcome.withdrawnKeys) {
        evictKey(fold.keyCache, id);
    }
}

/// Folds a record of kind "change" and returns the rules it touches.
auto foldChange(ConfigFold &fold, const LogRecord &record, const Json &document, FoldOutcome &outcome) -> std::vector<std::string>
{
    outcome.changeId = textOf(document, "id");
    outcome.by = textOf(document, "by");
    const auto decoded = decodeChange(record.payload);
    if (!decoded) {
        outcome.verdict = outcome.changeId.empty() ? ChangeVerdict::Unreadable : ChangeVerdict::Invalid;
        outcome.detail = decoded.error().message.substr(0, 1000);
        return {};
    }
    const ChangeRecord &change = decoded.value();
    if (const AuditEntry *earlier = findVerdict(fold.state, change.id)) {
        outcome.verdict = ChangeVerdict::Duplicate;
        outcome.detail = "the change was " + std::string(verdictName(earlier->verdict)) + " at offset " + std::to_string(earlier->offset);
        return touchedRules(change);
    }
    const ChangeCheck check = checkChange(fold.state, change);
    outcome.verdict = check.verdict;
    outcome.detail = check.detail;
    if (check.verdict == ChangeVerdict::Applied) {
        applyChange(fold, change, outcome);
    }
    return touchedRules(change);
}

void foldSnapshotPart(ConfigState &state, const LogRecord &record, FoldOutcome &outcome)
{
    const auto part = decodeSnapshotPart(record.payload);
    if (!part) {
        outcome.verdict = ChangeVerdict::Invalid;
        outcome.detail = part.error().message;
        return;
    }
    outcome.verdict = ChangeVerdict::Applied;
    // Parts are appended in order and the writer stops at the first error, so the last part implies that all parts are
    // on the log.
    if (part.value().part + 1 == part.value().parts && part.value().nextOffset <= record.offset) {
        state.snapshotOffset = part.value().nextOffset;
        state.snapshotEnd = record.offset + 1;
        state.snapshotAtMs = part.value().atMs;
    }
}

void foldSection(const ConfigFold &fold, const LogRecord &record, const Json &document, FoldOutcome &outcome)
{
    const auto section = std::find_if(fold.sections.begin(), fold.sections.end(), [&outcome](const FoldSection &candidate) {
        return candidate.name == outcome.kind;
    });
    if (section == fold.sections.end()) {
        outcome.verdict = ChangeVerdict::Unreadable;
        outcome.detail = "no section folds records of kind " + inQuotes(outcome.kind);
        return;
    }
    const auto applied = section->apply(record.offset, document);
    outcome.verdict = applied ? ChangeVerdict::Applied : ChangeVerdict::Invalid;
    outcome.detail = applied ? std::string() : applied.error().message;
}

void audit(ConfigState &state, const FoldOutcome &outcome, std::vector<std::string> touched, int64_t nowMs)
{
    AuditEntry entry;
    entry.offset = outcome.offset;
    entry.changeId = outcome.changeId;
    entry.by = outcome.by;
    entry.verdict = outcome.verdict;
    entry.revision = state.revision;
    entry.touched = std::move(touched);
    entry.detail = outcome.detail;
    entry.inForceAtMs = nowMs;
    addAuditEntry(state, std::move(entry));
}

} // namespace

auto applyRecord(ConfigFold &fold, const LogRecord &record, int64_t nowMs) -> FoldOutcome
{
    CHECK_EQ(record.offset, fold.state.nextOffset) << "records must be folded in the order of the log";
    FoldOutcome outcome;
    outcome.offset = record.offset;
    const Json document = record.payload.size() > kMaxRecordBytes ? Json(Json::value_t::discarded) : Json::parse(record.payload, nullptr, false);
    outcome.kind = textOf(document, "type");
    fold.state.nextOffset = record.offset + 1;
    if (outcome.kind == "snapshot") {
        foldSnapshotPart(fold.state, record, outcome);
    } else if (outcome.kind == "change") {
        std::vector<std::string> touched = foldChange(fold, record, document, outcome);
        fold.state.unreadableRecords += outcome.verdict == ChangeVerdict::Unreadable ? 1 : 0;
        audit(fold.state, outcome, std::move(touched), nowMs);
    } else if (!outcome.kind.empty()) {
        foldSection(fold, record, document, outcome);
    } else {
        outcome.verdict = ChangeVerdict::Unreadable;
        outcome.detail = "the record is larger than " + std::to_string(kMaxRecordBytes) + " bytes or no JSON object with a field \"kind\"";
        ++fold.state.unreadableRecords;
        audit(fold.state, outcome, {}, nowMs);
    }
    outcome.revision = fold.state.revision;
    return outcome;
}

void logOutcome(const FoldOutcome &outcome)
{
    const std::string offset = std::to_string(outcome.offset);
    const std::string revision = std::to_string(outcome.revision);
    if (outcome.verdict == ChangeVerdict::Unreadable) {
        logEvent(EventId::ConfigRecordUnreadable, {{"offset", offset}, {"detail", outcome.detail}});
    } else if (outcome.verdict != ChangeVerdict::Applied) {
        logEvent(EventId::ConfigChangeRejected,
                 {{"offset", offset},
                  {"type", outcome.kind},
                  {"change", outcome.changeId},
                  {"by", outcome.by},
                  {"verdict", std::string(verdictName(outcome.verdict))},
                  {"detail", outcome.detail}});
    } else if (outcome.kind == "change") {
        logEvent(EventId::ConfigChangeApplied, {{"offset", offset}, {"revision", revision}, {"change", outcome.changeId}, {"by", outcome.by}});
    }
}

} // namespace snipestream
