#include "config/rules_parser.h"

#include "config/rule_line.h"
#include "config/text.h"

#include <algorithm>
#include <limits>
#include <map>
#include <set>

namespace snipestream
{

namespace
{

constexpr std::string_view kBaseLabel = "# base revision:";

/// A rule with its position in the file, for errors that concern several rules.
struct LocatedRule {
    Rule rule;
    size_t line = 0;
    size_t column = 0;
};

void checkTeamsOfKeys(const std::vector<LocatedRule> &located, std::vector<RuleError> &errors)
{
    std::set<TeamName> teams;
    for (const LocatedRule &entry : located) {
        if (const auto *team = std::get_if<TeamRule>(&entry.rule)) {
            teams.insert(team->name);
        }
    }
    for (const LocatedRule &entry : located) {
        const auto *key = std::get_if<KeyRule>(&entry.rule);
        if (key != nullptr && teams.count(key->team) == 0) {
            errors.push_back(RuleError{entry.line, entry.column, "the key " + key->id.value + " names the team " + key->team.value + ", which has no rule",
                                       "add a line \"team " + key->team.value + " rate=<n>/s burst=<n>\""});
        }
    }
}

void checkUniqueness(const std::vector<LocatedRule> &located, std::vector<RuleError> &errors)
{
    std::map<std::string, size_t> lineOfId;
    std::map<std::string, size_t> lineOfPath;
    for (const LocatedRule &entry : located) {
        const std::string id = ruleId(entry.rule);
        const auto [first, isNew] = lineOfId.emplace(id, entry.line);
        if (!isNew) {
            errors.push_back(RuleError{entry.line, entry.column, "the rule \"" + id + "\" is already defined in line " + std::to_string(first->second),
                                       "remove or rename one of them"});
        }
        const auto *route = std::get_if<RouteRule>(&entry.rule);
        if (route == nullptr || !isNew) {
            continue;
        }
        const auto [same, isFree] = lineOfPath.emplace(route->method + " " + route->pathPrefix, entry.line);
        if (!isFree) {
            errors.push_back(RuleError{entry.line, entry.column, "the route in line " + std::to_string(same->second) + " also matches " + same->first,
                                       "change method or path prefix of one of them"});
        }
    }
}

void parseComment(std::string_view line, size_t lineNumber, ParsedRules &parsed)
{
    if (line.substr(0, kBaseLabel.size()) != kBaseLabel) {
        return;
    }
    const auto revision = parseDecimal(trimmed(line.substr(kBaseLabel.size())), std::numeric_limits<uint64_t>::max());
    if (!revision || parsed.baseRevision) {
        parsed.errors.push_back(RuleError{lineNumber, 1, revision ? "the base revision is given twice" : inQuotes(line) + " has no valid revision",
                                          "keep one line \"# base revision: <n>\" as exported"});
        return;
    }
    parsed.baseRevision = revision;
}

} // namespace

auto toString(const RuleError &error) -> std::string
{
    return std::to_string(error.line) + ":" + std::to_string(error.column) + ": " + error.message + "; " + error.fix;
}

auto parseRules(std::string_view text) -> ParsedRules
{
    ParsedRules parsed;
    std::vector<LocatedRule> located;
    size_t lineNumber = 0;
    while (!text.empty()) {
        ++lineNumber;
        const size_t end = std::min(text.find('\n'), text.size());
        const std::string_view line = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
        const std::string_view content = trimmed(line);
        if (content.empty()) {
            continue;
        }
        if (content.front() == '#') {
            parseComment(content, lineNumber, parsed);
            continue;
        }
        const auto rule = RuleLineParser(line, lineNumber, parsed.errors).parse();
        if (rule) {
            located.push_back(LocatedRule{*rule, lineNumber, line.find(content) + 1});
        }
    }
    checkUniqueness(located, parsed.errors);
    checkTeamsOfKeys(located, parsed.errors);
    std::stable_sort(parsed.errors.begin(), parsed.errors.end(), [](const RuleError &a, const RuleError &b) {
        return std::tie(a.line, a.column) < std::tie(b.line, b.column);
    });
    for (LocatedRule &entry : located) {
        parsed.rules.push_back(std::move(entry.rule));
    }
    return parsed;
}

auto parseRuleLine(std::string_view line) -> Result<Rule>
{
    std::vector<RuleError> errors;
    if (line.find('\n') != std::string_view::npos) {
        return failure(ErrorCode::InvalidInput, "the rule " + inQuotes(line) + " has more than one line");
    }
    auto rule = RuleLineParser(line, 1, errors).parse();
    if (rule) {
        return std::move(*rule);
    }
    std::vector<std::string> messages;
    messages.reserve(errors.size());
    for (const RuleError &error : errors) {
        messages.push_back(error.message);
    }
    return failure(ErrorCode::InvalidInput, "the rule " + inQuotes(line) + " is invalid: " + joined(messages, "; "));
}

auto formatRules(const std::vector<Rule> &rules, uint64_t revision) -> std::string
{
    std::vector<Rule> sorted = rules;
    std::sort(sorted.begin(), sorted.end(), [](const Rule &a, const Rule &b) {
        return std::make_pair(a.index(), ruleId(a)) < std::make_pair(b.index(), ruleId(b));
    });
    std::string text = std::string(kBaseLabel) + " " + std::to_string(revision) + "\n";
    size_t kind = std::variant_npos;
    for (const Rule &rule : sorted) {
        if (rule.index() != kind) {
            text.append("\n");
            kind = rule.index();
        }
        text.append(formatRule(rule)).append("\n");
    }
    return text;
}

} // namespace snipestream
