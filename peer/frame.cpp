#include "peer/frame.h"

#include "peer/cbor_item.h"
#include "peer/head_codec.h"

#include <utility>

namespace snipestream {

using nlohmann::json;

namespace {

constexpr uint64_t kMaxErrorCode = static_cast<uint64_t>(ErrorCode::Internal);

auto errorFields(const Error &error) -> json
{
    return json::array({ static_cast<uint64_t>(error.code), error.message });
}

auto readError(FieldReader &fields) -> Error
{
    const auto code = static_cast<ErrorCode>(fields.number(kMaxErrorCode));
    return Error { code, fields.text() };
}

/// Type, id and payload of each kind of frame, as they are put into the array.
struct Parts
{
    FrameType type;
    uint64_t id;
    json payload;
};

struct PartsOf
{
    auto operator()(const HelloFrame &frame) const -> Parts
    {
        return { FrameType::Hello, 0,
                 json::array({ frame.version, frame.node, frame.incarnation, frame.domain, frame.window, frame.nonce,
                               frame.proof }) };
    }
    auto operator()(const ProofFrame &frame) const -> Parts
    {
        return { FrameType::Proof, 0, frame.proof };
    }
    auto operator()(const RefuseFrame &frame) const -> Parts
    {
        return { FrameType::Refuse, 0, frame.reason };
    }
    auto operator()(const GoodbyeFrame &) const -> Parts
    {
        return { FrameType::Goodbye, 0, nullptr };
    }
    auto operator()(const CallFrame &frame) const -> Parts
    {
        return { FrameType::Call, frame.id, json::array({ frame.method, frame.payload }) };
    }
    auto operator()(const ReplyFrame &frame) const -> Parts
    {
        return { FrameType::Reply, frame.id, frame.payload };
    }
    auto operator()(const CallErrorFrame &frame) const -> Parts
    {
        return { FrameType::CallError, frame.id, errorFields(frame.error) };
    }
    auto operator()(const NoticeFrame &frame) const -> Parts
    {
        return { FrameType::Notice, 0, json::array({ frame.method, frame.payload }) };
    }
    auto operator()(const OpenFrame &frame) const -> Parts
    {
        return { FrameType::Open, frame.id, encodeRequestHead(frame.head) };
    }
    auto operator()(const HeadFrame &frame) const -> Parts
    {
        return { FrameType::Head, frame.id, encodeResponseHead(frame.head) };
    }
    auto operator()(const ChunkFrame &frame) const -> Parts
    {
        json::array_t payload;
        payload.reserve(2);
        payload.emplace_back(frame.offset);
        payload.emplace_back(frame.bytes.size());
        return { FrameType::Chunk, frame.id, std::move(payload) };
    }
    auto operator()(const CreditFrame &frame) const -> Parts
    {
        return { FrameType::Credit, frame.id, frame.limit };
    }
    auto operator()(const EndFrame &frame) const -> Parts
    {
        return { FrameType::End, frame.id, frame.length };
    }
    auto operator()(const AbortFrame &frame) const -> Parts
    {
        json payload = errorFields(frame.error);
        payload.push_back(frame.notStarted);
        return { FrameType::Abort, frame.id, std::move(payload) };
    }
};

auto wrongFields(const char *name) -> Error
{
    return Error { ErrorCode::ProtocolViolation, std::string(name) + " frame has a wrong field" };
}

/// A hello of another version may have other fields behind the version; they are not read.
auto decodeHello(json &payload) -> Result<Frame>
{
    FieldReader fields(payload);
    HelloFrame frame;
    frame.version = static_cast<int>(fields.number(INT32_MAX));
    if (fields.isOk() && frame.version != kPeerProtocolVersion) {
        return Frame(std::move(frame));
    }
    frame.node = fields.text();
    frame.incarnation = fields.number();
    frame.domain = fields.text();
    frame.window = fields.number(UINT32_MAX);
    frame.nonce = fields.text();
    frame.proof = fields.text();
    if (!fields.isComplete()) {
        return wrongFields("hello");
    }
    return Frame(std::move(frame));
}

template<typename T>
auto decodeMethod(T frame, json &payload, const char *name) -> Result<Frame>
{
    FieldReader fields(payload);
    frame.method = fields.text();
    frame.payload = std::move(fields.any());
    if (!fields.isComplete()) {
        return wrongFields(name);
    }
    return Frame(std::move(frame));
}

/// Decodes the payload; `rest` is what follows the frame and begins with the bytes of a chunk.
auto decodePayload(FrameType type, uint64_t id, json &payload, FieldReader &outer, std::string_view &rest)
    -> Result<Frame>
{
    // Frames whose payload is one scalar read it from the outer array.
    switch (type) {
    case FrameType::Proof:
        return Frame(ProofFrame { outer.text() });
    case FrameType::Refuse:
        return Frame(RefuseFrame { outer.text() });
    case FrameType::Credit:
        return Frame(CreditFrame { id, outer.number() });
    case FrameType::End:
        return Frame(EndFrame { id, outer.number() });
    default:
        break;
    }
    outer.any();
    switch (type) {
    case FrameType::Hello:
        return decodeHello(payload);
    case FrameType::Goodbye:
        return Frame(GoodbyeFrame {});
    case FrameType::Call: {
        CallFrame frame;
        frame.id = id;
        return decodeMethod(std::move(frame), payload, "call");
    }
    case FrameType::Notice:
        return decodeMethod(NoticeFrame {}, payload, "notice");
    case FrameType::Reply:
        return Frame(ReplyFrame { id, std::move(payload) });
    case FrameType::Open: {
        BOOST_OUTCOME_TRY(RequestHead head, decodeRequestHead(payload));
        return Frame(OpenFrame { id, std::move(head) });
    }
    case FrameType::Head: {
        BOOST_OUTCOME_TRY(ResponseHead head, decodeResponseHead(payload));
        return Frame(HeadFrame { id, std::move(head) });
    }
    default:
        break;
    }
    FieldReader fields(payload);
    Frame frame;
    if (type == FrameType::Chunk) {
        const uint64_t offset = fields.number();
        const uint64_t length = fields.number(rest.size());
        if (fields.isComplete()) {
            frame = ChunkFrame { id, offset, std::string(rest.substr(0, length)) };
            rest.remove_prefix(length);
        }
    } else if (type == FrameType::CallError) {
        frame = CallErrorFrame { id, readError(fields) };
    } else if (type == FrameType::Abort) {
        Error error = readError(fields);
        frame = AbortFrame { id, std::move(error), fields.flag() };
    } else {
        return failure(ErrorCode::ProtocolViolation,
                       "unknown frame type " + std::to_string(static_cast<unsigned>(type)));
    }
    if (!fields.isComplete()) {
        return wrongFields("chunk, error or abort");
    }
    return frame;
}

} // namespace

void encodeFrame(const Frame &frame, std::string &out)
{
    Parts parts = std::visit(PartsOf {}, frame);
    json::array_t array;
    array.reserve(3);
    array.emplace_back(static_cast<uint64_t>(parts.type));
    array.emplace_back(parts.id);
    array.emplace_back(std::move(parts.payload));
    json::to_cbor(json(std::move(array)), out);
    if (const auto *chunk = std::get_if<ChunkFrame>(&frame)) {
        out.append(chunk->bytes);
    }
}

auto decodeFrame(std::string_view &bytes) -> Result<Frame>
{
    BOOST_OUTCOME_TRY(const size_t length, measureCborItem(bytes));
    json value = json::from_cbor(bytes.data(), bytes.data() + length, true, false);
    bytes.remove_prefix(length);
    if (!value.is_array() || value.size() != 3) {
        return failure(ErrorCode::ProtocolViolation, "frame is not a CBOR array of three fields");
    }
    FieldReader fields(value);
    const auto type = static_cast<FrameType>(fields.number(UINT8_MAX));
    const uint64_t id = fields.number();
    if (!fields.isOk()) {
        return failure(ErrorCode::ProtocolViolation, "frame has no type and id");
    }
    BOOST_OUTCOME_TRY(Frame frame, decodePayload(type, id, value[2], fields, bytes));
    if (!fields.isComplete()) {
        return failure(ErrorCode::ProtocolViolation, "frame has a payload of the wrong type");
    }
    return frame;
}

} // namespace snipestream
