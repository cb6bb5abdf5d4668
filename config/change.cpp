#include "config/change.h"

#include "config/json_reader.h"
#include "config/rules_parser.h"
#include "config/text.h"
#include "core/random.h"

#include <limits>
#include <set>
#include <tuple>

#include <nlohmann/json.hpp>

namespace snipestream
{

namespace
{

using Json = nlohmann::json;

constexpr size_t kChangeIdBytes = 16;

} // namespace

auto operator==(const ChangeRecord &a, const ChangeRecord &b) -> bool
{
    return std::tie(a.id, a.baseRevision, a.by, a.upserts, a.removals) == std::tie(b.id, b.baseRevision, b.by, b.upserts, b.removals);
}

auto encodeChange(const ChangeRecord &change) -> std::string
{
    Json upserts = Json::array();
    for (const Rule &rule : change.upserts) {
        upserts.push_back(formatRule(rule));
    }
    return dumpJson(Json{{"type", "change"},
                         {"id", change.id},
                         {"base", change.baseRevision},
                         {"by", change.by},
                         {"upserts", std::move(upserts)},
                         {"removals", change.removals}});
}

auto decodeChange(std::string_view payload) -> Result<ChangeRecord>
{
    std::vector<JsonError> errors;
    const Json document = parseJsonText(payload, errors);
    JsonReader reader(document, "$", errors);
    ChangeRecord change;
    if (reader.text("type") != "change") {
        reader.addError("type", "is not \"change\"");
    }
    change.id = reader.text("id");
    if (change.id.empty() || change.id.size() > kMaxChangeIdBytes) {
        reader.addError("id", "has not 1 to 100 bytes");
    }
    change.baseRevision = reader.number("base", 0, std::numeric_limits<uint64_t>::max());
    change.by = reader.text("by");
    if (trimmed(change.by).empty() || change.by.size() > kMaxOperatorNameBytes || !isPrintableUtf8(change.by)) {
        reader.addError("by", "has not 1 to 200 printable bytes");
    }
    size_t index = 0;
    for (const std::string &line : reader.texts("upserts")) {
        auto rule = parseRuleLine(line);
        if (rule) {
            change.upserts.push_back(std::move(rule.value()));
        } else {
            errors.push_back(JsonError{reader.pathOf("upserts") + "[" + std::to_string(index) + "]", rule.error().message});
        }
        ++index;
    }
    change.removals = reader.texts("removals");
    reader.finish();
    if (!errors.empty()) {
        return failure(ErrorCode::InvalidInput, joinErrors(errors, "; "));
    }
    return change;
}

auto planChange(const ConfigState &state, const std::vector<Rule> &desired, uint64_t baseRevision, const std::string &id, const std::string &by)
    -> Result<ChangeRecord>
{
    ChangeRecord change;
    change.id = id;
    change.baseRevision = baseRevision;
    change.by = by;
    std::set<std::string> desiredIds;
    for (const Rule &rule : desired) {
        const std::string name = ruleId(rule);
        desiredIds.insert(name);
        const auto current = state.rules.find(name);
        if (current == state.rules.end() || !(current->second.rule == rule)) {
            change.upserts.push_back(rule);
        }
    }
    for (const auto &[name, entry] : state.rules) {
        if (desiredIds.count(name) == 0) {
            change.removals.push_back(name);
        }
    }
    if (change.upserts.empty() && change.removals.empty()) {
        return failure(ErrorCode::NotFound, "the rules are in force already, at revision " + std::to_string(state.revision));
    }
    const size_t bytes = encodeChange(change).size();
    if (bytes > kMaxRecordBytes) {
        return failure(ErrorCode::TooLarge,
                       "the change has " + std::to_string(bytes) + " bytes, more than the " + std::to_string(kMaxRecordBytes)
                           + " of one record; publish it in several steps");
    }
    return change;
}

auto newChangeId() -> std::string
{
    return secureRandomHex(kChangeIdBytes);
}

} // namespace snipestream
