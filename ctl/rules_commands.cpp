#include "ctl/rules_commands.h"

#include "config/change_check.h"
#include "config/keys.h"
#include "config/rules_parser.h"
#include "config/text.h"
#include "ctl/publisher.h"
#include "ctl/wait.h"

#include <algorithm>
#include <fstream>
#include <optional>
#include <sstream>

namespace snipestream
{

namespace
{

using Json = nlohmann::json;

/// Maximum number of attempts to withdraw a key while other operators change the same rule.
constexpr int kMaxWithdrawalAttempts = 5;

/// A parsed rules file, or the report with all its errors.
struct RulesFile {
    ParsedRules parsed;
    std::optional<CtlReport> failed;
};

auto readRules(const std::string &file) -> RulesFile
{
    RulesFile result;
    std::ifstream stream(file);
    std::stringstream text;
    text << stream.rdbuf();
    if (!stream) {
        result.failed = failedReport(ExitCode::Refused, "the rules file " + inQuotes(file) + " cannot be read");
        return result;
    }
    result.parsed = parseRules(text.str());
    if (result.parsed.errors.empty()) {
        return result;
    }
    CtlReport report;
    report.exit = ExitCode::Refused;
    Json errors = Json::array();
    for (const RuleError &error : result.parsed.errors) {
        errors.push_back({{"line", error.line}, {"column", error.column}, {"message", error.message}, {"fix", error.fix}});
        report.text.append(file).append(":").append(toString(error)).append("\n");
    }
    const size_t count = result.parsed.errors.size();
    report.text.append(std::to_string(count)).append(count == 1 ? " error\n" : " errors\n");
    report.document = {{"ok", false}, {"errors", std::move(errors)}};
    result.failed = std::move(report);
    return result;
}

auto baseOf(const CtlOptions &options, const ParsedRules &parsed, const ConfigState &state) -> uint64_t
{
    if (options.base >= 0) {
        return static_cast<uint64_t>(options.base);
    }
    return parsed.baseRevision.value_or(state.revision);
}

/// Adds the added, changed and removed rules to a report, as lines of text and as JSON.
void describeChange(const ConfigState &state, const ChangeRecord &change, CtlReport &report)
{
    Json added = Json::array();
    Json changed = Json::array();
    Json removed = Json::array();
    for (const Rule &rule : change.upserts) {
        const auto current = state.rules.find(ruleId(rule));
        if (current != state.rules.end()) {
            const std::string before = formatRule(current->second.rule);
            report.text.append("- ").append(before).append("\n");
            changed.push_back({{"before", before}, {"after", formatRule(rule)}});
        } else {
            added.push_back(formatRule(rule));
        }
        report.text.append("+ ").append(formatRule(rule)).append("\n");
    }
    for (const std::string &id : change.removals) {
        const std::string before = formatRule(state.rules.at(id).rule);
        report.text.append("- ").append(before).append("\n");
        removed.push_back(before);
    }
    report.document["added"] = std::move(added);
    report.document["changed"] = std::move(changed);
    report.document["removed"] = std::move(removed);
}

/// With --wait, waits until the nodes have the revision in force, and adds the result to the report.
void waitAndReport(const CtlContext &context, const CtlOptions &options, uint64_t revision, CtlReport &report)
{
    if (!options.wait) {
        return;
    }
    const WaitOutcome outcome = waitForRevision(context, options, revision);
    const int64_t elapsedMs = toMsRoundedUp(outcome.elapsed);
    report.document["nodesReady"] = outcome.ready;
    report.document["nodesBehind"] = outcome.behind;
    report.document["waitedMs"] = elapsedMs;
    report.text.append("in force on ").append(std::to_string(outcome.ready)).append(" of ");
    report.text.append(std::to_string(context.nodes.size())).append(" nodes after ");
    report.text.append(std::to_string(elapsedMs)).append(" ms\n");
    for (const std::string &node : outcome.behind) {
        report.text.append("behind: ").append(node).append("\n");
    }
    if (!outcome.behind.empty()) {
        report.exit = ExitCode::Unavailable;
    }
}

/// Creates the report on the verdict of a change that is on the log.
auto verdictReport(const ChangeRecord &change, const PublishResult &published) -> CtlReport
{
    CtlReport report;
    report.document = {{"change", change.id},
                       {"verdict", verdictName(published.verdict)},
                       {"offset", published.offset},
                       {"revision", published.revision},
                       {"base", change.baseRevision}};
    if (published.verdict == ChangeVerdict::Applied) {
        report.text = "change " + change.id + " is in force on the log at revision " + std::to_string(published.revision) + " (offset "
            + std::to_string(published.offset) + ")\n";
        return report;
    }
    report.exit = ExitCode::Refused;
    report.document["detail"] = published.detail;
    report.text = "change " + change.id + " was not applied (" + std::string(verdictName(published.verdict)) + "): " + published.detail + "\n";
    return report;
}

/// Creates the report on a change that is not appended, because it would not be applied.
auto notPublishedReport(const ChangeCheck &check) -> CtlReport
{
    CtlReport report;
    report.exit = ExitCode::Refused;
    report.document = {{"verdict", verdictName(check.verdict)}, {"detail", check.detail}};
    report.text = "nothing was published (" + std::string(verdictName(check.verdict)) + "): " + check.detail + "\n";
    if (check.verdict == ChangeVerdict::Conflict) {
        report.text.append("run \"snipestreamctl export\", repeat your edits on its output and publish that\n");
    }
    return report;
}

/// Creates the report of a command that failed to read the rules in force and therefore appended nothing.
auto readFailureReport(const Error &error) -> CtlReport
{
    return failedReport(Error{error.code, "nothing was published: " + error.message});
}

auto unchangedReport(const ConfigState &state) -> CtlReport
{
    CtlReport report;
    report.document = {{"verdict", "unchanged"}, {"revision", state.revision}};
    report.text = "the rules are in force already, at revision " + std::to_string(state.revision) + "\n";
    return report;
}

auto publishAndReport(const CtlContext &context, const CtlOptions &options, ConfigFold &fold, const ChangeRecord &change) -> CtlReport
{
    const auto published = publishChange(context, fold, change, options.publishTimeout);
    if (!published) {
        CtlReport report = failedReport(published.error());
        report.document["change"] = change.id;
        return report;
    }
    CtlReport report = verdictReport(change, published.value());
    if (published.value().verdict == ChangeVerdict::Applied) {
        waitAndReport(context, options, published.value().revision, report);
    }
    return report;
}

} // namespace

auto checkCommand(const std::string &file) -> CtlReport
{
    RulesFile rules = readRules(file);
    if (rules.failed) {
        return std::move(*rules.failed);
    }
    CtlReport report;
    report.document = {{"ok", true}, {"rules", rules.parsed.rules.size()}};
    report.text = file + ": " + std::to_string(rules.parsed.rules.size()) + " rules are valid\n";
    return report;
}

auto diffCommand(const CtlContext &context, const CtlOptions &options, const std::string &file) -> CtlReport
{
    RulesFile rules = readRules(file);
    if (rules.failed) {
        return std::move(*rules.failed);
    }
    auto fold = readInForce(context);
    if (!fold) {
        return failedReport(fold.error());
    }
    const ConfigState &state = fold.value().state;
    const auto change = planChange(state, rules.parsed.rules, baseOf(options, rules.parsed, state), "diff", "diff");
    if (!change) {
        return change.error().code == ErrorCode::NotFound ? unchangedReport(state) : failedReport(change.error());
    }
    CtlReport report;
    report.document = {{"revision", state.revision}, {"base", change.value().baseRevision}};
    describeChange(state, change.value(), report);
    const ChangeCheck check = checkChange(state, change.value());
    report.document["verdict"] = verdictName(check.verdict);
    if (check.verdict != ChangeVerdict::Applied) {
        report.exit = ExitCode::Refused;
        report.document["detail"] = check.detail;
        report.text.append("would not be applied (").append(verdictName(check.verdict)).append("): ").append(check.detail).append("\n");
    }
    return report;
}

auto publishCommand(const CtlContext &context, const CtlOptions &options, const std::string &file) -> CtlReport
{
    RulesFile rules = readRules(file);
    if (rules.failed) {
        return std::move(*rules.failed);
    }
    auto fold = readInForce(context);
    if (!fold) {
        return readFailureReport(fold.error());
    }
    const ConfigState &state = fold.value().state;
    const std::string id = options.changeId.empty() ? context.newId() : options.changeId;
    ChangeRecord identified;
    identified.id = id;
    if (const AuditEntry *earlier = findVerdict(state, id)) {
        CtlReport report = verdictReport(identified, PublishResult{earlier->verdict, earlier->offset, earlier->revision, earlier->detail});
        report.document.erase("base");
        if (earlier->verdict == ChangeVerdict::Applied) {
            waitAndReport(context, options, earlier->revision, report);
        }
        return report;
    }
    const auto change = planChange(state, rules.parsed.rules, baseOf(options, rules.parsed, state), id, options.by);
    if (!change && change.error().code == ErrorCode::NotFound) {
        CtlReport report = unchangedReport(state);
        waitAndReport(context, options, state.revision, report);
        return report;
    }
    if (!change) {
        return failedReport(change.error());
    }
    const ChangeCheck check = checkChange(state, change.value());
    if (check.verdict != ChangeVerdict::Applied) {
        return notPublishedReport(check);
    }
    return publishAndReport(context, options, fold.value(), change.value());
}

auto withdrawKeyCommand(const CtlContext &context, const CtlOptions &options, const std::string &keyId) -> CtlReport
{
    auto fold = readInForce(context);
    if (!fold) {
        return readFailureReport(fold.error());
    }
    const std::string id = "key " + keyId;
    CtlReport report;
    for (int attempt = 0; attempt < kMaxWithdrawalAttempts; ++attempt) {
        const ConfigState &state = fold.value().state;
        const auto withdrawn = state.removedKeys.revisions.find(id);
        if (withdrawn != state.removedKeys.revisions.end()) {
            const uint64_t revision = withdrawn->second;
            report = CtlReport();
            report.document = {{"verdict", "applied"}, {"revision", revision}};
            report.text = "key " + keyId + " is withdrawn since revision " + std::to_string(revision) + "\n";
            waitAndReport(context, options, revision, report);
            return report;
        }
        if (state.rules.count(id) == 0) {
            return failedReport(ExitCode::Refused, "there is no key " + inQuotes(keyId) + " in force");
        }
        ChangeRecord change;
        change.id = options.changeId.empty() || attempt > 0 ? context.newId() : options.changeId;
        change.baseRevision = state.revision;
        change.by = options.by;
        change.removals.push_back(id);
        report = publishAndReport(context, options, fold.value(), change);
        if (report.document.value("verdict", "") != "conflict") {
            return report;
        }
        // Another operator has changed the rule in the meantime. A withdrawal applies regardless of the other
        // contents of the rule, so it is retried.
    }
    return report;
}

auto newKeyCommand(const CtlOptions &options, const std::string &team, const std::string &keyId) -> CtlReport
{
    if (!isValidName(team) || !isValidKeyId(keyId)) {
        return failedReport(ExitCode::Usage,
                            "team " + inQuotes(team) + " or key id " + inQuotes(keyId)
                                + " is not valid; use letters, digits, '-' and '_', starting with a letter or digit");
    }
    const NewKey key = createKey(TeamName(team), KeyId(keyId), RequestedBy{options.by, options.reason});
    const std::string line = formatRule(key.rule);
    const auto readable = parseRuleLine(line);
    if (!readable || !(readable.value() == Rule(key.rule))) {
        return failedReport(ExitCode::Usage,
                            "--by or --reason does not fit into \"# asked by <who>: <why>\"; use one line and no ':' or "
                            "'#' in --by");
    }
    CtlReport report;
    report.document = {{"authorization", "Bearer " + key.bearer}, {"rule", line}};
    report.text = "Give this header to the team; it is shown only now:\nAuthorization: Bearer " + key.bearer
        + "\n\nAdd this line to the rules file and publish it:\n" + line + "\n";
    return report;
}

auto exportCommand(const CtlContext &context) -> CtlReport
{
    auto fold = readInForce(context);
    if (!fold) {
        return failedReport(fold.error());
    }
    const ConfigState &state = fold.value().state;
    const std::vector<Rule> rules = rulesInForce(state);
    CtlReport report;
    report.text = formatRules(rules, state.revision);
    Json lines = Json::array();
    for (const Rule &rule : rules) {
        lines.push_back(formatRule(rule));
    }
    report.document = {{"revision", state.revision}, {"offset", state.nextOffset}, {"rules", std::move(lines)}};
    return report;
}

} // namespace snipestream
