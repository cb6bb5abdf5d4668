#include "peer/frame.h"

#include "core/cbor_item.h"
#include "peer/head_codec.h"

#include <optional>
#include <utility>
#include <vector>

namespace snipestream
{

using nlohmann::json;

namespace
{

constexpr size_t kHelloFields = 7;
constexpr uint64_t kMaxErrorCode = static_cast<uint64_t>(ErrorCode::Internal);

auto errorFields(const Error &error) -> json
{
    return json::array({static_cast<uint64_t>(error.code), error.message});
}

auto readError(FieldReader &fields) -> Error
{
    const auto code = static_cast<ErrorCode>(fields.number(kMaxErrorCode));
    return Error{code, fields.text()};
}

/// Type, id and payload of a frame, the three elements of its CBOR array.
struct FrameElements {
    FrameType type;
    uint64_t id;
    json payload;
};

struct GetFrameElements {
    auto operator()(const HelloFrame &frame) const -> FrameElements
    {
        return {FrameType::Hello, 0, json::array({frame.version, frame.node, frame.incarnation, frame.domain, frame.window, frame.nonce, frame.proof})};
    }
    auto operator()(const ProofFrame &frame) const -> FrameElements
    {
        return {FrameType::Proof, 0, frame.proof};
    }
    auto operator()(const RefuseFrame &frame) const -> FrameElements
    {
        return {FrameType::Refuse, 0, frame.reason};
    }
    auto operator()(const GoodbyeFrame &) const -> FrameElements
    {
        return {FrameType::Goodbye, 0, nullptr};
    }
    auto operator()(const CallFrame &frame) const -> FrameElements
    {
        return {FrameType::Call, frame.id, json::array({frame.method, frame.payload})};
    }
    auto operator()(const ReplyFrame &frame) const -> FrameElements
    {
        return {FrameType::Reply, frame.id, frame.payload};
    }
    auto operator()(const CallErrorFrame &frame) const -> FrameElements
    {
        return {FrameType::CallError, frame.id, errorFields(frame.error)};
    }
    auto operator()(const NoticeFrame &frame) const -> FrameElements
    {
        return {FrameType::Notice, 0, json::array({frame.method, frame.payload})};
    }
    auto operator()(const OpenFrame &frame) const -> FrameElements
    {
        return {FrameType::Open, frame.id, encodeRequestHead(frame.head)};
    }
    auto operator()(const HeadFrame &frame) const -> FrameElements
    {
        return {FrameType::Head, frame.id, encodeResponseHead(frame.head)};
    }
    auto operator()(const ChunkFrame &frame) const -> FrameElements
    {
        json::array_t payload;
        payload.reserve(2);
        payload.emplace_back(frame.offset);
        payload.emplace_back(frame.bytes.size());
        return {FrameType::Chunk, frame.id, std::move(payload)};
    }
    auto operator()(const CreditFrame &frame) const -> FrameElements
    {
        return {FrameType::Credit, frame.id, frame.limit};
    }
    auto operator()(const EndFrame &frame) const -> FrameElements
    {
        return {FrameType::End, frame.id, frame.length};
    }
    auto operator()(const AbortFrame &frame) const -> FrameElements
    {
        json payload = errorFields(frame.error);
        payload.push_back(frame.notStarted);
        return {FrameType::Abort, frame.id, std::move(payload)};
    }
};

/// Decodes a hello. Only the version is read from a hello of another version, because its other fields may differ.
auto decodeHello(FieldReader &fields) -> Frame
{
    HelloFrame frame;
    const size_t length = fields.beginArray();
    frame.version = static_cast<int>(fields.number(INT32_MAX));
    if (!fields.isOk() || frame.version != kPeerProtocolVersion) {
        return frame;
    }
    frame.node = fields.text();
    frame.incarnation = fields.number();
    frame.domain = fields.text();
    frame.window = fields.number(UINT32_MAX);
    frame.nonce = fields.text();
    frame.proof = fields.text();
    if (length != kHelloFields) {
        fields.fail();
    }
    return frame;
}

/// Decodes the payload of a frame with a fixed list of fields. `rest` holds the bytes after the frame's array and starts
/// with the bytes of a chunk. Returns nothing if the type is unknown.
auto decodeFields(FrameType type, uint64_t id, FieldReader &fields, std::string_view &rest) -> std::optional<Frame>
{
    switch (type) {
    case FrameType::Hello:
        return decodeHello(fields);
    case FrameType::Proof:
        return ProofFrame{fields.text()};
    case FrameType::Refuse:
        return RefuseFrame{fields.text()};
    case FrameType::Goodbye:
        if (!fields.skipNull()) {
            fields.fail();
        }
        return GoodbyeFrame{};
    case FrameType::CallError:
        fields.beginArrayOf(2);
        return CallErrorFrame{id, readError(fields)};
    case FrameType::Open:
        return OpenFrame{id, decodeRequestHead(fields)};
    case FrameType::Head:
        return HeadFrame{id, decodeResponseHead(fields)};
    case FrameType::Chunk: {
        fields.beginArrayOf(2);
        const uint64_t offset = fields.number();
        const uint64_t length = fields.number(rest.size());
        ChunkFrame frame{id, offset, std::string(rest.substr(0, length))};
        rest.remove_prefix(length);
        return frame;
    }
    case FrameType::Credit:
        return CreditFrame{id, fields.number()};
    case FrameType::End:
        return EndFrame{id, fields.number()};
    case FrameType::Abort: {
        fields.beginArrayOf(3);
        Error error = readError(fields);
        return AbortFrame{id, std::move(error), fields.flag()};
    }
    default:
        return std::nullopt;
    }
}

/// Returns the type of a frame with an arbitrary JSON payload (call, reply or notice) from its first two bytes, or
/// nothing for other frames.
auto jsonPayloadType(std::string_view item) -> std::optional<FrameType>
{
    // CBOR encodes numbers below 24 in one byte, so the type is the byte after the head of the three-element array.
    constexpr char kArrayOfThree = '\x83';
    if (item.size() < 2 || item[0] != kArrayOfThree) {
        return std::nullopt;
    }
    const auto type = static_cast<FrameType>(item[1]);
    if (type == FrameType::Call || type == FrameType::Reply || type == FrameType::Notice) {
        return type;
    }
    return std::nullopt;
}

auto decodeJsonPayload(FrameType type, std::string_view item) -> Result<Frame>
{
    json value = json::from_cbor(item.data(), item.data() + item.size(), true, false);
    if (!value.is_array() || !value[1].is_number_unsigned()) {
        return failure(ErrorCode::ProtocolViolation, "call, reply or notice frame without an id");
    }
    const auto id = value[1].get<uint64_t>();
    json &payload = value[2];
    if (type == FrameType::Reply) {
        return Frame(ReplyFrame{id, std::move(payload)});
    }
    if (!payload.is_array() || payload.size() != 2 || !payload[0].is_string()) {
        return failure(ErrorCode::ProtocolViolation, "call or notice frame without a method and a payload");
    }
    std::string method = std::move(payload[0].get_ref<std::string &>());
    if (type == FrameType::Call) {
        return Frame(CallFrame{id, std::move(method), std::move(payload[1])});
    }
    return Frame(NoticeFrame{std::move(method), std::move(payload[1])});
}

} // namespace

void encodeFrame(const Frame &frame, std::string &out)
{
    FrameElements elements = std::visit(GetFrameElements{}, frame);
    json::array_t array;
    array.reserve(3);
    array.emplace_back(static_cast<uint64_t>(elements.type));
    array.emplace_back(elements.id);
    array.emplace_back(std::move(elements.payload));
    json::to_cbor(json(std::move(array)), out);
    if (const auto *chunk = std::get_if<ChunkFrame>(&frame)) {
        out.append(chunk->bytes);
    }
}

auto decodeFrame(std::string_view &bytes) -> Result<Frame>
{
    BOOST_OUTCOME_TRY(const size_t length, measureCborItem(bytes));
    const std::string_view item = bytes.substr(0, length);
    bytes.remove_prefix(length);
    if (const auto type = jsonPayloadType(item)) {
        return decodeJsonPayload(*type, item);
    }
    // Reused between calls to avoid allocations.
    thread_local std::vector<Field> flat;
    BOOST_OUTCOME_TRY(flattenCbor(item, flat));
    FieldReader fields(flat);
    fields.beginArrayOf(3);
    const auto type = static_cast<FrameType>(fields.number(UINT8_MAX));
    const uint64_t id = fields.number();
    if (!fields.isOk()) {
        return failure(ErrorCode::ProtocolViolation, "frame is not an array of type, id and payload");
    }
    auto frame = decodeFields(type, id, fields, bytes);
    if (!frame) {
        return failure(ErrorCode::ProtocolViolation, "unknown frame type " + std::to_string(static_cast<unsigned>(type)));
    }
    const auto *const hello = std::get_if<HelloFrame>(&*frame);
    const bool isOtherVersion = hello != nullptr && fields.isOk() && hello->version != kPeerProtocolVersion;
    if (!fields.isComplete() && !isOtherVersion) {
        return failure(ErrorCode::ProtocolViolation, "frame of type " + std::to_string(static_cast<unsigned>(type)) + " has a wrong field");
    }
    return std::move(*frame);
}

} // namespace snipestream
