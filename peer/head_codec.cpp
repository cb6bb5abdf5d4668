#include "peer/head_codec.h"

#include <limits>
#include <utility>

namespace snipestream {

using nlohmann::json;

namespace {

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

auto decodeHeaders(json &value, FieldReader &outer) -> HeaderList
{
    HeaderList headers;
    FieldReader fields(value);
    const size_t count = value.is_array() ? value.size() : 0;
    headers.reserve(count / 2);
    for (size_t i = 0; i + 1 < count; i += 2) {
        std::string name = fields.text();
        headers.emplace_back(std::move(name), fields.text());
    }
    if (!fields.isComplete()) {
        outer.fail();
    }
    return headers;
}

auto encodeRefusal(const std::optional<Refusal> &refusal) -> json
{
    if (!refusal) {
        return nullptr;
    }
    return json::array({ refusalReasonName(refusal->reason), runStateName(refusal->run), refusal->retryAfter.count(),
                         refusal->detail });
}

auto decodeRefusal(json &value, FieldReader &outer) -> std::optional<Refusal>
{
    if (value.is_null()) {
        return std::nullopt;
    }
    FieldReader fields(value);
    Refusal refusal;
    const auto reason = parseRefusalReason(fields.text());
    const std::string run = fields.text();
    refusal.run = run == runStateName(RunState::NotRun) ? RunState::NotRun : RunState::Unknown;
    refusal.retryAfter = Duration(fields.signedNumber(0, std::numeric_limits<int64_t>::max()));
    refusal.detail = fields.text();
    if (!fields.isComplete() || !reason || run != runStateName(refusal.run)) {
        outer.fail();
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

auto FieldReader::any() -> json &
{
    static json none;
    if (!ok_ || next_ >= fields_->size()) {
        ok_ = false;
        none = nullptr;
        return none;
    }
    return (*fields_)[next_++];
}

auto FieldReader::text() -> std::string
{
    json &field = any();
    if (!field.is_string()) {
        ok_ = false;
        return {};
    }
    return std::move(field.get_ref<std::string &>());
}

auto FieldReader::flag() -> bool
{
    json &field = any();
    if (!field.is_boolean()) {
        ok_ = false;
        return false;
    }
    return field.get<bool>();
}

auto FieldReader::number(uint64_t max) -> uint64_t
{
    json &field = any();
    if (!field.is_number_unsigned() || field.get<uint64_t>() > max) {
        ok_ = false;
        return 0;
    }
    return field.get<uint64_t>();
}

auto FieldReader::signedNumber(int64_t min, int64_t max) -> int64_t
{
    json &field = any();
    const bool fits = !field.is_number_unsigned()
        || field.get<uint64_t>() <= static_cast<uint64_t>(std::numeric_limits<int64_t>::max());
    if (!field.is_number_integer() || !fits || field.get<int64_t>() < min || field.get<int64_t>() > max) {
        ok_ = false;
        return 0;
    }
    return field.get<int64_t>();
}

auto FieldReader::optionalNumber(uint64_t max) -> std::optional<uint64_t>
{
    if (ok_ && next_ < fields_->size() && (*fields_)[next_].is_null()) {
        ++next_;
        return std::nullopt;
    }
    return number(max);
}

auto encodeRequestHead(const RequestHead &head) -> json
{
    json::array_t fields;
    fields.reserve(14);
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

auto decodeRequestHead(json &value) -> Result<RequestHead>
{
    FieldReader fields(value);
    RequestHead head;
    head.id.high = fields.number();
    head.id.low = fields.number();
    head.method = fields.text();
    head.path = fields.text();
    head.headers = decodeHeaders(fields.any(), fields);
    head.bodyLength = fields.optionalNumber();
    head.route = RouteName(fields.text());
    head.service = ServiceName(fields.text());
    head.team = TeamName(fields.text());
    head.priority = static_cast<Priority>(fields.number(kPriorityCount - 1));
    head.idempotent = fields.flag();
    head.timeLeft
        = Duration(fields.signedNumber(std::numeric_limits<int64_t>::min(), std::numeric_limits<int64_t>::max()));
    head.attemptsLeft = static_cast<int>(fields.signedNumber(-kMaxSmallNumber, kMaxSmallNumber));
    head.depth = static_cast<int>(fields.signedNumber(-kMaxSmallNumber, kMaxSmallNumber));
    if (!fields.isComplete()) {
        return failure(ErrorCode::ProtocolViolation, "request head has a wrong field");
    }
    return head;
}

auto encodeResponseHead(const ResponseHead &head) -> json
{
    json::array_t fields;
    fields.reserve(5);
    fields.emplace_back(head.status);
    fields.emplace_back(encodeHeaders(head.headers));
    fields.emplace_back(encodeOptional(head.bodyLength));
    fields.emplace_back(encodeRefusal(head.refusal));
    fields.emplace_back(head.sheddingLevel ? json(*head.sheddingLevel) : json(nullptr));
    return fields;
}

auto decodeResponseHead(json &value) -> Result<ResponseHead>
{
    FieldReader fields(value);
    ResponseHead head;
    head.status = static_cast<int>(fields.signedNumber(100, 999));
    head.headers = decodeHeaders(fields.any(), fields);
    head.bodyLength = fields.optionalNumber();
    head.refusal = decodeRefusal(fields.any(), fields);
    if (const auto level = fields.optionalNumber(kMaxSmallNumber)) {
        head.sheddingLevel = static_cast<int>(*level);
    }
    if (!fields.isComplete()) {
        return failure(ErrorCode::ProtocolViolation, "response head has a wrong field");
    }
    return head;
}

} // namespace snipestream
