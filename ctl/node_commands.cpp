#include "ctl/node_commands.h"

#include "config/audit_json.h"
#include "config/rule.h"
#include "config/text.h"
#include "core/events.h"
#include "ctl/node_calls.h"
#include "ctl/publisher.h"

#include <map>

namespace snipestream
{

namespace
{

using Json = nlohmann::json;

auto exitOf(ErrorCode code) -> ExitCode
{
    return code == ErrorCode::InvalidInput ? ExitCode::Refused : ExitCode::Unavailable;
}

/// Notes a node that did not answer as wanted. An unreachable node outweighs one that refused.
void addFailure(const Endpoint &node, const Error &error, CtlReport &report)
{
    report.document["failed"].push_back({{"endpoint", toString(node)}, {"error", error.message}});
    report.text.append("failed: ").append(toString(node)).append(" ").append(error.message).append("\n");
    report.exit = std::max(report.exit, exitOf(error.code));
}

auto startReport() -> CtlReport
{
    CtlReport report;
    report.document = {{"failed", Json::array()}};
    return report;
}

/// Sends a POST to each node and reports which did it.
auto postToNodes(const CtlContext &context, const CtlOptions &options, const std::string &path, const std::string &done) -> CtlReport
{
    CtlReport report = startReport();
    report.document["done"] = Json::array();
    for (const Endpoint &node : context.nodes) {
        const auto answer = callNode(context, node, "POST", path, options.callTimeout);
        if (!answer) {
            addFailure(node, answer.error(), report);
            continue;
        }
        report.document["done"].push_back(toString(node));
        report.text.append(toString(node)).append(" ").append(done).append("\n");
    }
    return report;
}

/// Sums of one team over nodes.
struct ShareSum {
    uint64_t admitted = 0;
    uint64_t completed = 0;
    uint64_t wasted = 0;
    std::map<std::string, uint64_t> refused;
    size_t nodes = 0;
};

void addShare(const Json &answer, const std::string &team, ShareSum &sum)
{
    const auto teams = answer.find("teams");
    if (teams == answer.end() || !teams->is_object() || !teams->contains(team) || !(*teams)[team].is_object()) {
        return;
    }
    const Json &counted = (*teams)[team];
    ++sum.nodes;
    sum.admitted += fieldNumber(counted, "admitted");
    sum.completed += fieldNumber(counted, "completed");
    sum.wasted += fieldNumber(counted, "wasted");
    const auto refused = counted.find("refused");
    if (refused == counted.end() || !refused->is_object()) {
        return;
    }
    for (const auto &reason : refused->items()) {
        sum.refused[reason.key()] += fieldNumber(*refused, reason.key().c_str());
    }
}

/// Returns what an entry touches, and why it was not applied.
auto whatText(const Json &entry) -> std::string
{
    std::vector<std::string> parts;
    const auto touched = entry.find("touched");
    for (const Json &rule : touched == entry.end() || !touched->is_array() ? Json::array() : *touched) {
        parts.push_back(rule.is_string() ? rule.get<std::string>() : "?");
    }
    const std::string detail = fieldText(entry, "detail");
    return joined(parts, ", ") + (detail.empty() || detail == "?" ? "" : " (" + detail + ")");
}

void addAuditTable(const Json &entries, bool withTimes, CtlReport &report)
{
    std::vector<std::vector<std::string>> rows = {{"OFFSET", "REVISION", "VERDICT", "BY", "RULES"}};
    if (withTimes) {
        rows.front().insert(rows.front().begin(), "IN FORCE HERE");
    }
    for (const Json &entry : entries) {
        if (!entry.is_object()) {
            continue;
        }
        rows.push_back({fieldText(entry, "offset"), fieldText(entry, "revision"), fieldText(entry, "verdict"), fieldText(entry, "by"), whatText(entry)});
        if (withTimes) {
            rows.back().insert(rows.back().begin(), formatUtc(static_cast<int64_t>(fieldNumber(entry, "inForceAtMs"))));
        }
    }
    report.text.append(formatTable(rows));
}

auto auditOfNodes(const CtlContext &context, const CtlOptions &options) -> CtlReport
{
    CtlReport report = startReport();
    report.document["nodes"] = Json::object();
    for (const Endpoint &node : context.nodes) {
        const auto answer = callNode(context, node, "GET", "/snipestream/v1/audit", options.callTimeout);
        if (!answer) {
            addFailure(node, answer.error(), report);
            continue;
        }
        const Json entries = answer.value().value("entries", Json::array());
        report.document["nodes"][toString(node)] = entries;
        report.text.append("node ").append(toString(node)).append("\n");
        addAuditTable(entries, true, report);
    }
    return report;
}

} // namespace

auto statusCommand(const CtlContext &context, const CtlOptions &options) -> CtlReport
{
    CtlReport report = startReport();
    report.document["nodes"] = Json::array();
    std::vector<std::vector<std::string>> rows = {{"NODE", "DOMAIN", "ENDPOINT", "REVISION", "OFFSET", "CONFIG AGE MS", "INCARNATION"}};
    for (const Endpoint &node : context.nodes) {
        const auto answer = callNode(context, node, "GET", "/snipestream/v1/status", options.callTimeout);
        if (!answer) {
            addFailure(node, answer.error(), report);
            continue;
        }
        const Json &status = answer.value();
        Json entry = status;
        entry["endpoint"] = toString(node);
        report.document["nodes"].push_back(std::move(entry));
        rows.push_back({fieldText(status, "node"), fieldText(status, "domain"), toString(node), fieldText(status, "revision"), fieldText(status, "offset"),
                        fieldText(status, "configAgeMs"), fieldText(status, "incarnation")});
    }
    report.text.insert(0, formatTable(rows));
    return report;
}

auto shareCommand(const CtlContext &context, const CtlOptions &options, const std::string &team) -> CtlReport
{
    CtlReport report = startReport();
    ShareSum sum;
    for (const Endpoint &node : context.nodes) {
        const auto answer = callNode(context, node, "GET", "/snipestream/v1/share", options.callTimeout);
        if (!answer) {
            addFailure(node, answer.error(), report);
            continue;
        }
        addShare(answer.value(), team, sum);
    }
    report.document["team"] = team;
    report.document["nodes"] = sum.nodes;
    report.document["admitted"] = sum.admitted;
    report.document["completed"] = sum.completed;
    report.document["wasted"] = sum.wasted;
    report.document["refused"] = sum.refused;
    std::vector<std::vector<std::string>> rows = {{"TEAM", team},
                                                  {"nodes that counted it", std::to_string(sum.nodes)},
                                                  {"admitted", std::to_string(sum.admitted)},
                                                  {"completed", std::to_string(sum.completed)},
                                                  {"wasted", std::to_string(sum.wasted)}};
    for (const auto &[reason, count] : sum.refused) {
        rows.push_back({"refused: " + reason, std::to_string(count)});
    }
    report.text.insert(0, formatTable(rows));
    if (report.exit != ExitCode::Ok) {
        report.text.append("the sums lack the nodes that failed\n");
    }
    return report;
}

auto drainNodesCommand(const CtlContext &context, const CtlOptions &options) -> CtlReport
{
    return postToNodes(context, options, "/snipestream/v1/drain", "drains");
}

auto drainTargetCommand(const CtlContext &context, const CtlOptions &options, const std::string &target) -> CtlReport
{
    if (!isValidName(target)) {
        return failedReport(ExitCode::Usage, inQuotes(target) + " is not the name of a target");
    }
    return postToNodes(context, options, "/snipestream/v1/targets/" + target + "/drain", "drains target " + target);
}

auto auditCommand(const CtlContext &context, const CtlOptions &options) -> CtlReport
{
    if (!context.nodes.empty()) {
        return auditOfNodes(context, options);
    }
    auto fold = readInForce(context);
    if (!fold) {
        return failedReport(fold.error());
    }
    CtlReport report;
    report.document["entries"] = Json::array();
    for (const AuditEntry &entry : fold.value().state.audit) {
        report.document["entries"].push_back(auditEntryJson(entry));
    }
    addAuditTable(report.document["entries"], false, report);
    return report;
}

auto eventsCommand() -> CtlReport
{
    CtlReport report;
    report.document["events"] = Json::array();
    std::vector<std::vector<std::string>> rows = {{"EVENT", "NAME", "MEANING"}};
    for (const EventRow &row : eventCatalogue()) {
        const std::string number = "SNS" + std::to_string(static_cast<int>(row.id));
        rows.push_back({number, std::string(row.name), std::string(row.meaning)});
        report.document["events"].push_back({{"event", number}, {"name", row.name}, {"meaning", row.meaning}});
    }
    report.text = formatTable(rows);
    return report;
}

} // namespace snipestream
