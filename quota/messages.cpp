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

auto toJson(const QuotaAsk &ask) -> nlohmann::json
{
    nlohmann::json reports = nlohmann::json::array();
    for (const auto &report : ask.reports) {
        reports.push_back({{"grant", report.grant}, {"spent", report.spent}, {"returned", report.returned}});
    }
    return {
        {"team", ask.team.value}, {"from", ask.from.value},     {"number", ask.number},          {"minimum", ask.minimum},
        {"wanted", ask.wanted},   {"mayBorrow", ask.mayBorrow}, {"reports", std::move(reports)},
    };
}

auto toJson(const QuotaAnswer &answer) -> nlohmann::json
{
    return {
        {"team", answer.team.value},
        {"from", answer.from.value},
        {"ask", answer.ask},
        {"outcome", static_cast<int>(answer.outcome)},
        {"grant", answer.grant},
        {"amount", answer.amount},
        {"lifetime", answer.lifetime.count()},
        {"retryAfter", answer.retryAfter.count()},
        {"tokenInterval", answer.tokenInterval.count()},
        {"level", answer.level},
    };
}

auto toJson(const WeightsAsk &ask) -> nlohmann::json
{
    return {{"range", ask.range}, {"version", ask.version}, {"from", ask.from.value}};
}

auto toJson(const WeightsAck &ack) -> nlohmann::json
{
    return {{"range", ack.range}, {"version", ack.version}, {"domain", ack.domain.value}};
}

auto quotaAskFromJson(const nlohmann::json &json) -> Result<QuotaAsk>
{
    JsonFields fields(json);
    QuotaAsk ask;
    fields.read("team", ask.team);
    fields.read("from", ask.from);
    ask.number = readNumber(fields, "number");
    ask.minimum = fields.count("minimum");
    ask.wanted = fields.count("wanted");
    ask.mayBorrow = fields.flag("mayBorrow");
    for (const auto &item : fields.array("reports")) {
        JsonFields report(item);
        ask.reports.push_back(SpentReport{readNumber(report, "grant"), report.count("spent"), report.count("returned")});
        if (report.failed()) {
            fields.reject("a report is malformed: " + report.error().message);
            break;
        }
    }
    if (ask.minimum > ask.wanted) {
        fields.reject("minimum " + std::to_string(ask.minimum) + " is above wanted " + std::to_string(ask.wanted));
    }
    return checked(fields, std::move(ask));
}

auto quotaAnswerFromJson(const nlohmann::json &json) -> Result<QuotaAnswer>
{
    JsonFields fields(json);
    QuotaAnswer answer;
    fields.read("team", answer.team);
    fields.read("from", answer.from);
    answer.ask = readNumber(fields, "ask");
    const auto outcome = fields.count("outcome");
    if (outcome > static_cast<int>(QuotaOutcome::Unavailable)) {
        fields.reject("outcome " + std::to_string(outcome) + " is not 0, 1 or 2");
        return fields.error();
    }
    answer.outcome = static_cast<QuotaOutcome>(outcome);
    answer.grant = readNumber(fields, "grant");
    answer.amount = fields.count("amount");
    answer.lifetime = Duration(fields.count("lifetime"));
    answer.retryAfter = Duration(fields.count("retryAfter"));
    answer.tokenInterval = Duration(fields.count("tokenInterval"));
    answer.level = fields.count("level");
    return checked(fields, std::move(answer));
}

auto weightsAskFromJson(const nlohmann::json &json) -> Result<WeightsAsk>
{
    JsonFields fields(json);
    WeightsAsk ask;
    ask.range = readRange(fields);
    ask.version = readNumber(fields, "version");
    fields.read("from", ask.from);
    return checked(fields, std::move(ask));
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
    // 31 bits of the incarnation above 2^32 numbers; the result stays below 2^63, the bound of the message fields.
    return ((incarnation & 0x7FFFFFFFU) << 32U) + 1;
}

} // namespace snipestream
