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

auto exitCodeFor(ErrorCode code) -> ExitCode
{
    return code == ErrorCode::InvalidInput ? ExitCode::Refused : ExitCode::Unavailable;
}

/// Adds a failed call to the report. In the exit code an unreachable node takes precedence over one that refused.
void addFailure(const Endpoint &node, const Error &error, CtlReport &report)
{
    report.document["failed"].push_back({{"endpoint", toString(node)}, {"error", error.message}});
    report.text.append("failed: ").append(toString(node)).append(" ").append(error.message).append("\n");
    report.exit = std::max(report.exit, exitCodeFor(error.code));
}

auto startReport() -> CtlReport
{
    CtlReport report;
    report.document = {{"failed", Json::array()}};
    return report;
}

/// Sends a POST to each node and reports which of them accepted it.
auto postToNodes(const CtlContext &context, const CtlOptions &options, const std::string &path, const std::string &done) -> CtlReport
{
    CtlReport report = startReport();
    report.document["done"] = Json::array();
    for (const Endpoint &node : context.nodes) {
        const auto response = callNode(context, node, "POST", path, options.callTimeout);
        if (!response) {
            addFailure(node, response.error(), report);
            continue;
        }
        report.document["done"].push_back(toString(node));
        report.text.append(toString(node)).append(" ").append(done).append("\n");
    }
    return report;
}

/// Request counts of one team, summed over nodes.
struct TeamTotals {
    uint64_t admitted = 0;
    uint64_t completed = 0;
    uint64_t wasted = 0;
    std::map<std::string, uint64_t> refused;
    size_t nodes = 0;
};

void addTeamTotals(const Json &response, const std::string &team, TeamTotals &totals)
{
    const auto teams = response.find("teams");
    if (teams == response.end() || !teams->is_object() || !teams->contains(team) || !(*teams)[team].is_object()) {
        return;
    }
    const Json &counted = (*teams)[team];
    ++totals.nodes;
    totals.admitted += fieldNumber(counted, "admitted");
    totals.completed += fieldNumber(counted, "completed");
    totals.wasted += fieldNumber(counted, "wasted");
    const auto refused = counted.find("refused");
    if (refused == counted.end() || !refused->is_object()) {
        return;
    }
    for (const auto &reason : refused->items()) {
        totals.refused[reason.key()] += fieldNumber(*refused, reason.key().c_str());
    }
}

/// Returns the rules that an audit entry changes, and the reason if it was not applied.
auto describeRules(const Json &entry) -> std::string
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
        rows.push_back({fieldText(entry, "offset"), fieldText(entry, "revision"), fieldText(entry, "verdict"), fieldText(entry, "by"), describeRules(entry)});
        if (withTimes) {
            rows.back().insert(rows.back().begin(), formatUtc(static_cast<int64_t>(fieldNumber(entry, "inForceAtMs"))));
        }
    }
    report.text.append(formatTable(rows));
}

auto auditNodesReport(const CtlContext &context, const CtlOptions &options) -> CtlReport
{
    CtlReport report = startReport();
    report.document["nodes"] = Json::object();
    for (const Endpoint &node : context.nodes) {
        const auto response = callNode(context, node, "GET", "/snipestream/v1/audit", options.callTimeout);
        if (!response) {
            addFailure(node, response.error(), report);
            continue;
        }
        const Json entries = response.value().value("entries", Json::array());
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
        const auto response = callNode(context, node, "GET", "/snipestream/v1/status", options.callTimeout);
        if (!response) {
            addFailure(node, response.error(), report);
            continue;
        }
        const Json &status = response.value();
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
    TeamTotals totals;
    for (const Endpoint &node : context.nodes) {
        const auto response = callNode(context, node, "GET", "/snipestream/v1/share", options.callTimeout);
        if (!response) {
            addFailure(node, response.error(), report);
            continue;
        }
        addTeamTotals(response.value(), team, totals);
    }
    report.document["team"] = team;
    report.document["nodes"] = totals.nodes;
    report.document["admitted"] = totals.admitted;
    report.document["completed"] = totals.completed;
    report.document["wasted"] = totals.wasted;
    report.document["refused"] = totals.refused;
    std::vector<std::vector<std::string>> rows = {{"TEAM", team},
                                                  {"nodes that counted it", std::to_string(totals.nodes)},
                                                  {"admitted", std::to_string(totals.admitted)},
                                                  {"completed", std::to_string(totals.completed)},
                                                  {"wasted", std::to_string(totals.wasted)}};
    for (const auto &[reason, count] : totals.refused) {
        rows.push_back({"refused: " + reason, std::to_string(count)});
    }
    report.text.insert(0, formatTable(rows));
    if (report.exit != ExitCode::Ok) {
        report.text.append("the sums lack the nodes that failed\n");
    }
    return report;
}

namespace
{

/// Adds one line for each target of a service, in the order in which the node prefers them.
void addTargetRows(const Json &service, std::vector<std::vector<std::string>> &rows)
{
    const auto targets = service.find("targets");
    for (const Json &target : targets == service.end() || !targets->is_array() ? Json::array() : *targets) {
        const bool isExcluded = target.is_object() && target.contains("excluded");
        rows.push_back({fieldText(service, "service"), fieldText(target, "node"), fieldText(target, "domain"),
                        isExcluded ? fieldText(target, "excluded") : fieldText(target, "total"), fieldText(target, "running"), fieldText(target, "waiting"),
                        fieldText(target, "limit"), fieldText(target, "serviceMs"), fieldText(target, "reportAgeMs")});
    }
}

auto explainRows(const Json &explained) -> std::vector<std::vector<std::string>>
{
    std::vector<std::vector<std::string>> rows = {{"SERVICE", "NODE", "DOMAIN", "TOTAL", "RUNNING", "WAITING", "LIMIT", "SERVICE MS", "REPORT AGE MS"}};
    const auto services = explained.find("services");
    for (const Json &service : services == explained.end() || !services->is_array() ? Json::array() : *services) {
        if (service.is_object()) {
            addTargetRows(service, rows);
        }
    }
    return rows;
}

} // namespace

auto explainCommand(const CtlContext &context, const CtlOptions &options, const std::string &host, const std::string &path) -> CtlReport
{
    CtlReport report = startReport();
    report.document["nodes"] = Json::array();
    std::string question = "/explain?host=";
    question.append(host).append("&path=").append(path);
    for (const Endpoint &node : context.nodes) {
        const auto response = callNode(context, node, "GET", question, options.callTimeout);
        if (!response) {
            addFailure(node, response.error(), report);
            continue;
        }
        const Json &explained = response.value();
        report.document["nodes"].push_back(explained);
        report.text.append(toString(node)).append(" route ").append(fieldText(explained.value("route", Json::object()), "name"));
        report.text.append(", shed ").append(fieldText(explained.value("shedding", Json::object()), "fraction")).append("\n");
        report.text.append(formatTable(explainRows(explained)));
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
        return auditNodesReport(context, options);
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
