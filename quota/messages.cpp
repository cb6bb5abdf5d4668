#include "quota/messages.h"

#include "core/hash.h"
#include "core/json_fields.h"

namespace snipestream
{

namespace
{

template<typename T>
auto checked(const JsonFields &fields, T message) -> Result<T>
{
    if (fields.failed()) {
        return fields.error();
    }
    return message;
}

auto readRange(JsonFields &fields) -> uint32_t
{
    const auto range = fields.count("range");
    if (range >= kRangeCount) {
        fields.reject("range " + std::to_string(range) + " is not below " + std::to_string(kRangeCount));
        return 0;
    }
    return static_cast<uint32_t>(range);
}

auto readNumber(JsonFields &fields, const char *name) -> uint64_t
{
    return static_cast<uint64_t>(fields.count(name));
}

} // namespace

auto toJson(const QuotaRequest &request) -> nlohmann::json
{
    nlohmann::json reports = nlohmann::json::array();
    for (const auto &report : request.reports) {
        nlohmann::json row{{"grant", report.grantNumber}, {"spent", report.spent}, {"returned", report.returned}};
        if (report.refunded > 0) {
            row["refunded"] = report.refunded;
        }
        reports.push_back(std::move(row));
    }
    return {
        {"team", request.team.value},        {"from", request.from.value},     {"number", request.number},      {"minimum", request.minAmount},
        {"wanted", request.requestedAmount}, {"mayBorrow", request.mayBorrow}, {"reports", std::move(reports)},
    };
}

auto toJson(const QuotaResponse &response) -> nlohmann::json
{
    return {
        {"team", response.team.value},
        {"from", response.from.value},
        {"ask", response.requestNumber},
        {"outcome", static_cast<int>(response.outcome)},
        {"grant", response.grantNumber},
        {"amount", response.amount},
        {"lifetime", response.lifetime.count()},
        {"retryAfter", response.retryAfter.count()},
        {"tokenInterval", response.tokenInterval.count()},
        {"level", response.level},
    };
}

auto toJson(const WeightsRequest &request) -> nlohmann::json
{
    return {{"range", request.range}, {"version", request.version}, {"from", request.from.value}};
}

auto toJson(const WeightsAck &ack) -> nlohmann::json
{
    return {{"range", ack.range}, {"version", ack.version}, {"domain", ack.domain.value}};
}

auto quotaRequestFromJson(const nlohmann::json &json) -> Result<QuotaRequest>
{
    JsonFields fields(json);
    QuotaRequest request;
    fields.read("team", request.team);
    fields.read("from", request.from);
    request.number = readNumber(fields, "number");
    request.minAmount = fields.count("minimum");
    request.requestedAmount = fields.count("wanted");
    request.mayBorrow = fields.flag("mayBorrow");
    for (const auto &item : fields.array("reports")) {
        JsonFields report(item);
        const MicroTokens refunded = item.contains("refunded") ? report.count("refunded") : 0;
        request.reports.push_back(SpentReport{readNumber(report, "grant"), report.count("spent"), report.count("returned"), refunded});
        if (report.failed()) {
            fields.reject("a report is malformed: " + report.error().message);
            break;
        }
    }
    if (request.minAmount > request.requestedAmount) {
        fields.reject("minimum " + std::to_string(request.minAmount) + " is above wanted " + std::to_string(request.requestedAmount));
    }
    return checked(fields, std::move(request));
}

auto quotaResponseFromJson(const nlohmann::json &json) -> Result<QuotaResponse>
{
    JsonFields fields(json);
    QuotaResponse response;
    fields.read("team", response.team);
    fields.read("from", response.from);
    response.requestNumber = readNumber(fields, "ask");
    const auto outcome = fields.count("outcome");
    if (outcome > static_cast<int>(QuotaOutcome::Unavailable)) {
        fields.reject("outcome " + std::to_string(outcome) + " is not 0, 1 or 2");
        return fields.error();
    }
    response.outcome = static_cast<QuotaOutcome>(outcome);
    response.grantNumber = readNumber(fields, "grant");
    response.amount = fields.count("amount");
    response.lifetime = Duration(fields.count("lifetime"));
    response.retryAfter = Duration(fields.count("retryAfter"));
    response.tokenInterval = Duration(fields.count("tokenInterval"));
    response.level = fields.count("level");
    return checked(fields, std::move(response));
}

auto weightsRequestFromJson(const nlohmann::json &json) -> Result<WeightsRequest>
{
    JsonFields fields(json);
    WeightsRequest request;
    request.range = readRange(fields);
    request.version = readNumber(fields, "version");
    fields.read("from", request.from);
    return checked(fields, std::move(request));
}

auto weightsAckFromJson(const nlohmann::json &json) -> Result<WeightsAck>
{
    JsonFields fields(json);
    WeightsAck ack;
    ack.range = readRange(fields);
    ack.version = readNumber(fields, "version");
    fields.read("domain", ack.domain);
    return checked(fields, std::move(ack));
}

auto firstNumber(uint64_t incarnation) -> uint64_t
{
    // The low 31 bits of the incarnation stand above 32 bits for the numbers. The result stays below 2^63, the bound of
    // the message fields.
    return ((incarnation & 0x7FFFFFFFU) << 32U) + 1;
}

} // namespace snipestream
