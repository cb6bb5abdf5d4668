#include "mesh/report_codec.h"

#include "core/cbor_item.h"
#include "core/json_fields.h"
#include "mesh/admission_control.h"

#include <algorithm>
#include <limits>
#include <utility>

#include <nlohmann/json.hpp>

namespace snipestream
{

namespace
{

using nlohmann::json;

constexpr int64_t kMaxIntervalMs = duration_cast<milliseconds>(kMaxReportInterval).count();
/// Maximum of the slots, running and queued requests in a report.
constexpr int64_t kMaxSlots = 1000000;

/// Reads a number from 0 to the maximum of int.
auto readAmount(const json &object, const char *name, JsonFields &fields) -> double
{
    const auto found = object.find(name);
    if (found == object.end() || !found->is_number()) {
        fields.reject(std::string(name) + " is not a number");
        return 0;
    }
    const double value = found->get<double>();
    if (!(value >= 0) || value > std::numeric_limits<int>::max()) {
        fields.reject(std::string(name) + " is out of range");
        return 0;
    }
    return value;
}

auto isAmount(const json &value) -> bool
{
    return value.is_number() && value.get<double>() >= 0 && value.get<double>() <= std::numeric_limits<int>::max();
}

auto isKind(const json &value) -> bool
{
    return value.is_number_unsigned() && value.get<uint64_t>() <= std::numeric_limits<WorkKind>::max();
}

auto toJson(const std::vector<KindReport> &kinds) -> json
{
    json rows = json::array();
    for (const auto &row : kinds) {
        json calls = json::array();
        for (const auto &[called, perRun] : row.callsPerRun) {
            calls.push_back({called, static_cast<float>(perRun)});
        }
        rows.push_back({row.kind, static_cast<float>(row.runsPerSecond), static_cast<float>(row.secondsPerRun), std::move(calls)});
    }
    return rows;
}

/// Reads `[kind, runs per second, seconds per run, [[called kind, calls per run], ...]]` of each kind of work.
auto readKinds(const json &object, JsonFields &fields) -> std::vector<KindReport>
{
    std::vector<KindReport> kinds;
    const auto rows = object.find("k");
    if (rows == object.end() || !rows->is_array()) {
        fields.reject("k is not an array");
        return kinds;
    }
    for (const auto &row : *rows) {
        if (!row.is_array() || row.size() != 4 || !isKind(row[0]) || !isAmount(row[1]) || !isAmount(row[2]) || !row[3].is_array()) {
            fields.reject("invalid kind of work: " + row.dump(-1, ' ', false, json::error_handler_t::replace));
            return kinds;
        }
        KindReport kind{row[0].get<WorkKind>(), row[1].get<double>(), row[2].get<double>(), {}};
        for (const auto &call : row[3]) {
            if (!call.is_array() || call.size() != 2 || !isKind(call[0]) || !isAmount(call[1])) {
                fields.reject("invalid call of a kind of work: " + call.dump(-1, ' ', false, json::error_handler_t::replace));
                return kinds;
            }
            kind.callsPerRun[call[0].get<WorkKind>()] = call[1].get<double>();
        }
        kinds.push_back(std::move(kind));
    }
    return kinds;
}

/// Reads the slots by class.
auto readSlots(const json &object, const char *name, JsonFields &fields) -> std::vector<double>
{
    const auto slots = object.find(name);
    if (slots == object.end() || !slots->is_array() || slots->size() > kMaxSheddingClasses || !std::all_of(slots->begin(), slots->end(), isAmount)) {
        fields.reject(std::string(name) + " is not a list of slots by class");
        return {};
    }
    return slots->get<std::vector<double>>();
}

auto toJson(const std::vector<double> &slots) -> json
{
    json values = json::array();
    for (const double value : slots) {
        values.push_back(static_cast<float>(value));
    }
    return values;
}

/// Field names are short since a node sends many of these messages.
auto toJson(const NodeReport &report) -> json
{
    json object{
        {"a", report.address},
        {"i", report.incarnation},
        {"q", report.sequence},
        {"s", report.target.service.value},
        {"t", report.target.instance},
        {"b", report.target.startedAtMs},
        {"on", report.serving},
        {"off", report.leaving},
        {"r", report.load.running},
        {"w", report.load.waiting},
        {"l", report.load.limit},
        {"ms", static_cast<float>(report.serviceMs)},
        {"c", duration_cast<milliseconds>(report.warmupLeft).count()},
        {"u", static_cast<float>(report.offeredLoad)},
        {"g", duration_cast<milliseconds>(report.queueDelay).count()},
        {"d", toJson(report.demand)},
        {"n", duration_cast<milliseconds>(report.interval).count()},
    };
    if (report.load.pace > 0) {
        object["p"] = static_cast<float>(report.load.pace);
    }
    if (!report.kinds.empty()) {
        object["k"] = toJson(report.kinds);
    }
    return object;
}

auto toBytes(const json &object) -> std::vector<uint8_t>
{
    return json::to_cbor(object);
}

} // namespace

auto encodeReport(const NodeReport &report) -> std::vector<uint8_t>
{
    return toBytes(toJson(report));
}

auto decodeReport(std::string_view bytes) -> Result<NodeReport>
{
    const json object = parseCborItem(bytes);
    if (!object.is_object()) {
        return failure(ErrorCode::InvalidInput, "report of " + std::to_string(bytes.size()) + " bytes is not a CBOR map");
    }
    JsonFields fields(object);
    NodeReport report;
    report.address = fields.shortText("a");
    report.incarnation = fields.unsignedInteger("i");
    report.sequence = fields.unsignedInteger("q");
    report.target.service = ServiceName(fields.shortText("s"));
    report.target.instance = fields.text("t");
    report.target.startedAtMs = fields.count("b");
    report.serving = fields.flag("on");
    report.leaving = fields.flag("off");
    report.load.running = static_cast<int>(fields.integer("r", 0, kMaxSlots));
    report.load.waiting = static_cast<int>(fields.integer("w", 0, kMaxSlots));
    report.load.limit = static_cast<int>(fields.integer("l", 1, kMaxSlots));
    report.serviceMs = readAmount(object, "ms", fields);
    report.load.pace = object.contains("p") ? readAmount(object, "p", fields) : 0;
    report.warmupLeft = milliseconds(fields.integer("c", 0, std::numeric_limits<int>::max()));
    report.offeredLoad = readAmount(object, "u", fields);
    report.queueDelay = milliseconds(fields.integer("g", 0, std::numeric_limits<int>::max()));
    report.demand = readSlots(object, "d", fields);
    report.interval = milliseconds(fields.integer("n", 1, kMaxIntervalMs));
    if (object.contains("k")) {
        report.kinds = readKinds(object, fields);
    }
    if (fields.failed()) {
        return fields.error();
    }
    return report;
}

auto encodeSubscription(const Subscription &subscription) -> std::vector<uint8_t>
{
    return toBytes(json{{"a", subscription.address},
                        {"s", subscription.service.value},
                        {"i", subscription.incarnation},
                        {"q", subscription.sequence},
                        {"d", toJson(subscription.demand)},
                        {"n", duration_cast<milliseconds>(subscription.interval).count()},
                        {"e", subscription.ends}});
}

auto decodeSubscription(std::string_view bytes) -> Result<Subscription>
{
    const json object = parseCborItem(bytes);
    if (!object.is_object()) {
        return failure(ErrorCode::InvalidInput, "subscription of " + std::to_string(bytes.size()) + " bytes is not a CBOR map");
    }
    JsonFields fields(object);
    Subscription subscription;
    subscription.address = fields.shortText("a");
    subscription.service = ServiceName(fields.shortText("s"));
    subscription.incarnation = fields.unsignedInteger("i");
    subscription.sequence = fields.unsignedInteger("q");
    subscription.demand = readSlots(object, "d", fields);
    subscription.interval = milliseconds(fields.integer("n", 1, kMaxIntervalMs));
    subscription.ends = fields.flag("e");
    if (fields.failed()) {
        return fields.error();
    }
    return subscription;
}

auto encodeKinds(const std::vector<KindReport> &kinds) -> std::string
{
    const auto bytes = json::to_cbor(json{{"k", toJson(kinds)}});
    return {bytes.begin(), bytes.end()};
}

auto decodeKinds(std::string_view bytes) -> Result<std::vector<KindReport>>
{
    const json object = parseCborItem(bytes);
    if (!object.is_object()) {
        return failure(ErrorCode::InvalidInput, "record of kinds of work with " + std::to_string(bytes.size()) + " bytes is not a CBOR map");
    }
    JsonFields fields(object);
    auto kinds = readKinds(object, fields);
    if (fields.failed()) {
        return fields.error();
    }
    return kinds;
}

} // namespace snipestream
