#include "mesh/report_codec.h"

#include "core/json_fields.h"

#include <limits>

#include <nlohmann/json.hpp>

namespace snipestream
{

namespace
{

using nlohmann::json;

/// Format of the report; a node ignores reports of another one.
constexpr int kReportVersion = 1;
constexpr int64_t kMostSlots = 1000000;

auto finite(const json &object, const char *name, JsonFields &fields) -> double
{
    const auto found = object.find(name);
    if (found == object.end() || !found->is_number()) {
        fields.reject(std::string(name) + " is no number");
        return 0;
    }
    const double value = found->get<double>();
    if (!(value >= 0) || value > std::numeric_limits<int>::max()) {
        fields.reject(std::string(name) + " is out of range");
        return 0;
    }
    return value;
}

/// Reports are sent a few times a second to every node, so their field names are short.
auto toJson(const NodeReport &report) -> json
{
    json demand = json::object();
    for (const auto &row : report.demand) {
        demand[row.team.value] = {static_cast<float>(row.perSecond), static_cast<float>(row.share)};
    }
    json called = json::array();
    for (const auto &service : report.calledServices) {
        called.push_back(service.value);
    }
    return json{
        {"v", kReportVersion},
        {"n", report.node.value},
        {"a", report.address},
        {"i", report.incarnation},
        {"q", report.sequence},
        {"d", report.domain.value},
        {"s", report.service.value},
        {"t", report.instance},
        {"on", report.serving},
        {"off", report.leaving},
        {"r", report.load.running},
        {"w", report.load.waiting},
        {"l", report.load.limit},
        {"ms", static_cast<float>(report.serviceMs)},
        {"c", duration_cast<milliseconds>(report.coldLeft).count()},
        {"u", static_cast<float>(report.offeredLoad)},
        {"o", std::move(called)},
        {"pv", report.policyVersion},
        {"m", std::move(demand)},
    };
}

} // namespace

auto encodeReport(const NodeReport &report) -> std::vector<uint8_t>
{
    return json::to_cbor(toJson(report));
}

auto decodeReport(std::string_view bytes) -> Result<NodeReport>
{
    const json object = json::from_cbor(bytes.begin(), bytes.end(), true, false);
    if (!object.is_object()) {
        return failure(ErrorCode::InvalidInput, "a report of " + std::to_string(bytes.size()) + " bytes is no CBOR map");
    }
    JsonFields fields(object);
    NodeReport report;
    fields.integer("v", kReportVersion, kReportVersion);
    report.node = NodeName(fields.shortText("n"));
    report.address = fields.shortText("a");
    report.incarnation = fields.unsignedInteger("i");
    report.sequence = fields.unsignedInteger("q");
    fields.read("d", report.domain);
    fields.read("s", report.service);
    report.instance = fields.text("t");
    report.serving = fields.flag("on");
    report.leaving = fields.flag("off");
    report.load.running = static_cast<int>(fields.integer("r", 0, kMostSlots));
    report.load.waiting = static_cast<int>(fields.integer("w", 0, kMostSlots));
    report.load.limit = static_cast<int>(fields.integer("l", 1, kMostSlots));
    report.serviceMs = finite(object, "ms", fields);
    report.coldLeft = milliseconds(fields.integer("c", 0, std::numeric_limits<int>::max()));
    report.offeredLoad = finite(object, "u", fields);
    for (const auto &service : fields.array("o")) {
        if (service.is_string()) {
            report.calledServices.emplace_back(service.get<std::string>());
        }
    }
    report.policyVersion = fields.unsignedInteger("pv");
    const auto demand = object.find("m");
    if (demand == object.end() || !demand->is_object()) {
        fields.reject("m is no map");
    } else {
        for (const auto &[team, row] : demand->items()) {
            if (!row.is_array() || row.size() != 2 || !row[0].is_number() || !row[1].is_number() || row[0] < 0 || row[1] < 0) {
                fields.reject("the demand of " + team + " is no pair of numbers");
                break;
            }
            report.demand.push_back({TeamName(team), row[0].get<double>(), row[1].get<double>()});
        }
    }
    if (fields.failed()) {
        return fields.error();
    }
    return report;
}

} // namespace snipestream
