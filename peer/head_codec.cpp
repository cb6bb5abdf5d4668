#include "peer/head_codec.h"

#include <limits>
#include <utility>

namespace snipestream
{

using nlohmann::json;

namespace
{

constexpr size_t kRequestFields = 14;
constexpr size_t kResponseFields = 5;
constexpr int kMaxSmallNumber = 1'000'000;

auto encodeHeaders(const HeaderList &headers) -> json
{
    json::array_t list;
    list.reserve(headers.size() * 2);
    for (const auto &[name, value] : headers) {
        list.emplace_back(name);
        list.emplace_back(value);
    }
    return list;
}

auto decodeHeaders(FieldReader &fields) -> HeaderList
{
    HeaderList headers;
    const size_t count = fields.beginArray();
    if (count % 2 != 0) {
        fields.fail();
        return headers;
    }
    headers.reserve(count / 2);
    for (size_t i = 0; i < count; i += 2) {
        std::string name = fields.text();
        headers.emplace_back(std::move(name), fields.text());
    }
    return headers;
}

auto encodeRefusal(const std::optional<Refusal> &refusal) -> json
{
    if (!refusal) {
        return nullptr;
    }
    return json::array({refusalReasonName(refusal->reason), runStateName(refusal->run), refusal->retryAfter.count(), refusal->detail});
}

auto decodeRefusal(FieldReader &fields) -> std::optional<Refusal>
{
    if (fields.skipNull()) {
        return std::nullopt;
    }
    fields.beginArrayOf(4);
    Refusal refusal;
    const auto reason = parseRefusalReason(fields.text());
    const std::string run = fields.text();
    refusal.run = run == runStateName(RunState::NotRun) ? RunState::NotRun : RunState::Unknown;
    refusal.retryAfter = Duration(fields.signedNumber(0, std::numeric_limits<int64_t>::max()));
    refusal.detail = fields.text();
    if (!reason || run != runStateName(refusal.run)) {
        fields.fail();
        return std::nullopt;
    }
    refusal.reason = *reason;
    return refusal;
}

auto encodeOptional(const std::optional<uint64_t> &value) -> json
{
    return value ? json(*value) : json(nullptr);
}

} // namespace

auto encodeRequestHead(const RequestHead &head) -> json
{
    json::array_t fields;
    fields.reserve(kRequestFields);
    fields.emplace_back(head.id.high);
    fields.emplace_back(head.id.low);
    fields.emplace_back(head.method);
    fields.emplace_back(head.path);
    fields.emplace_back(encodeHeaders(head.headers));
    fields.emplace_back(encodeOptional(head.bodyLength));
    fields.emplace_back(head.route.value);
    fields.emplace_back(head.service.value);
    fields.emplace_back(head.team.value);
    fields.emplace_back(static_cast<uint64_t>(head.priority));
    fields.emplace_back(head.idempotent);
    fields.emplace_back(head.timeLeft.count());
    fields.emplace_back(head.attemptsLeft);
    fields.emplace_back(head.depth);
    return fields;
}

auto decodeRequestHead(FieldReader &fields) -> RequestHead
{
    RequestHead head;
    fields.beginArrayOf(kRequestFields);
    head.id.high = fields.number();
    head.id.low = fields.number();
    head.method = fields.text();
    head.path = fields.text();
    head.headers = decodeHeaders(fields);
    head.bodyLength = fields.optionalNumber();
    head.route = RouteName(fields.text());
    head.service = ServiceName(fields.text());
    head.team = TeamName(fields.text());
    head.priority = static_cast<Priority>(fields.number(kPriorityCount - 1));
    head.idempotent = fields.flag();
    head.timeLeft = Duration(fields.signedNumber(std::numeric_limits<int64_t>::min(), std::numeric_limits<int64_t>::max()));
    head.attemptsLeft = static_cast<int>(fields.signedNumber(-kMaxSmallNumber, kMaxSmallNumber));
    head.depth = static_cast<int>(fields.signedNumber(-kMaxSmallNumber, kMaxSmallNumber));
    return head;
}

auto encodeResponseHead(const ResponseHead &head) -> json
{
    json::array_t fields;
    fields.reserve(kResponseFields);
    fields.emplace_back(head.status);
    fields.emplace_back(encodeHeaders(head.headers));
    fields.emplace_back(encodeOptional(head.bodyLength));
    fields.emplace_back(encodeRefusal(head.refusal));
    fields.emplace_back(head.sheddingLevel ? json(*head.sheddingLevel) : json(nullptr));
    return fields;
}

auto decodeResponseHead(FieldReader &fields) -> ResponseHead
{
    ResponseHead head;
    fields.beginArrayOf(kResponseFields);
    head.status = static_cast<int>(fields.signedNumber(100, 999));
    head.headers = decodeHeaders(fields);
    head.bodyLength = fields.optionalNumber();
    head.refusal = decodeRefusal(fields);
    if (const auto level = fields.optionalNumber(kMaxSmallNumber)) {
        head.sheddingLevel = static_cast<int>(*level);
    }
    return head;
}

} // namespace snipestream
