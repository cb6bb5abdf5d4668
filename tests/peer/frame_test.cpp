#include "peer/frame.h"

#include "core/cbor_item.h"
#include "tests/support/section.h"

#include <tuple>

#include <rapidcheck.h>

namespace snipestream
{

using nlohmann::json;
using testing::section;

namespace
{

auto text() -> std::string
{
    return *rc::gen::arbitrary<std::string>();
}

auto number() -> uint64_t
{
    return *rc::gen::oneOf(rc::gen::arbitrary<uint64_t>(), rc::gen::inRange<uint64_t>(0, 300));
}

auto headers() -> HeaderList
{
    return *rc::gen::container<HeaderList>(rc::gen::arbitrary<std::pair<std::string, std::string>>());
}

auto optionalNumber() -> std::optional<uint64_t>
{
    return *rc::gen::arbitrary<bool>() ? std::optional<uint64_t>(number()) : std::nullopt;
}

auto payload() -> json
{
    json value = json::array({text(), number(), -7, 2.5, nullptr, true});
    value.push_back({{text(), text()}, {"list", json::array()}});
    return value;
}

auto requestHead() -> RequestHead
{
    RequestHead head;
    head.id = {number(), number()};
    head.method = text();
    head.path = text();
    head.headers = headers();
    head.bodyLength = optionalNumber();
    head.route = RouteName(text());
    head.service = ServiceName(text());
    head.team = TeamName(text());
    head.priority = static_cast<Priority>(*rc::gen::inRange(0, kPriorityCount));
    head.idempotent = *rc::gen::arbitrary<bool>();
    head.timeLeft = Duration(*rc::gen::arbitrary<int64_t>());
    head.attemptsLeft = *rc::gen::inRange(-5, 100);
    head.depth = *rc::gen::inRange(0, 100);
    return head;
}

auto responseHead() -> ResponseHead
{
    ResponseHead head;
    head.status = *rc::gen::inRange(100, 1000);
    head.headers = headers();
    head.bodyLength = optionalNumber();
    if (*rc::gen::arbitrary<bool>()) {
        const auto reason = static_cast<RefusalReason>(*rc::gen::inRange(0, kRefusalReasonCount));
        const auto run = *rc::gen::arbitrary<bool>() ? RunState::NotRun : RunState::Unknown;
        head.refusal = Refusal{reason, run, Duration(*rc::gen::inRange<int64_t>(0, INT64_MAX)), text()};
    }
    if (*rc::gen::arbitrary<bool>()) {
        head.sheddingLevel = *rc::gen::inRange(0, 512);
    }
    return head;
}

auto error() -> Error
{
    return {static_cast<ErrorCode>(*rc::gen::inRange(0, static_cast<int>(ErrorCode::Internal) + 1)), text()};
}

/// Returns a frame of the kind with random fields.
auto anyFrame(size_t kind) -> Frame
{
    switch (kind) {
    case 0:
        return HelloFrame{1, text(), number(), text(), *rc::gen::inRange(1U, UINT32_MAX), text(), text()};
    case 1:
        return ProofFrame{text()};
    case 2:
        return RefuseFrame{text()};
    case 3:
        return GoodbyeFrame{};
    case 4:
        return CallFrame{number(), text(), payload()};
    case 5:
        return ReplyFrame{number(), payload()};
    case 6:
        return CallErrorFrame{number(), error()};
    case 7:
        return NoticeFrame{text(), payload()};
    case 8:
        return OpenFrame{number(), requestHead()};
    case 9:
        return HeadFrame{number(), responseHead()};
    case 10:
        return ChunkFrame{number(), number(), text()};
    case 11:
        return CreditFrame{number(), number()};
    case 12:
        return EndFrame{number(), number()};
    default:
        return AbortFrame{number(), error(), *rc::gen::arbitrary<bool>()};
    }
}

auto fields(const RequestHead &head)
{
    return std::tie(head.id, head.method, head.path, head.headers, head.bodyLength, head.route, head.service, head.team, head.priority, head.idempotent,
                    head.timeLeft, head.attemptsLeft, head.depth);
}

auto fields(const ResponseHead &head)
{
    return std::tie(head.status, head.headers, head.bodyLength, head.refusal, head.sheddingLevel);
}

struct SameFields {
    const Frame &other;

    template<typename T>
    auto as() const -> const T &
    {
        return std::get<T>(other);
    }
    auto operator()(const HelloFrame &a) const -> bool
    {
        const auto &b = as<HelloFrame>();
        return std::tie(a.version, a.node, a.incarnation, a.domain, a.window, a.nonce, a.proof)
            == std::tie(b.version, b.node, b.incarnation, b.domain, b.window, b.nonce, b.proof);
    }
    auto operator()(const ProofFrame &a) const -> bool
    {
        return a.proof == as<ProofFrame>().proof;
    }
    auto operator()(const RefuseFrame &a) const -> bool
    {
        return a.reason == as<RefuseFrame>().reason;
    }
    auto operator()(const GoodbyeFrame &) const -> bool
    {
        return true;
    }
    auto operator()(const CallFrame &a) const -> bool
    {
        const auto &b = as<CallFrame>();
        return std::tie(a.id, a.method, a.payload) == std::tie(b.id, b.method, b.payload);
    }
    auto operator()(const ReplyFrame &a) const -> bool
    {
        return a.id == as<ReplyFrame>().id && a.payload == as<ReplyFrame>().payload;
    }
    auto operator()(const CallErrorFrame &a) const -> bool
    {
        return a.id == as<CallErrorFrame>().id && a.error == as<CallErrorFrame>().error;
    }
    auto operator()(const NoticeFrame &a) const -> bool
    {
        return a.method == as<NoticeFrame>().method && a.payload == as<NoticeFrame>().payload;
    }
    auto operator()(const OpenFrame &a) const -> bool
    {
        return a.id == as<OpenFrame>().id && fields(a.head) == fields(as<OpenFrame>().head);
    }
    auto operator()(const HeadFrame &a) const -> bool
    {
        return a.id == as<HeadFrame>().id && fields(a.head) == fields(as<HeadFrame>().head);
    }
    auto operator()(const ChunkFrame &a) const -> bool
    {
        const auto &b = as<ChunkFrame>();
        return std::tie(a.id, a.offset, a.bytes) == std::tie(b.id, b.offset, b.bytes);
    }
    auto operator()(const CreditFrame &a) const -> bool
    {
        return a.id == as<CreditFrame>().id && a.limit == as<CreditFrame>().limit;
    }
    auto operator()(const EndFrame &a) const -> bool
    {
        return a.id == as<EndFrame>().id && a.length == as<EndFrame>().length;
    }
    auto operator()(const AbortFrame &a) const -> bool
    {
        const auto &b = as<AbortFrame>();
        return std::tie(a.id, a.error, a.notStarted) == std::tie(b.id, b.error, b.notStarted);
    }
};

/// Decodes every frame of the message until the first error.
void decodeAll(std::string_view message)
{
    while (!message.empty()) {
        const size_t before = message.size();
        if (!decodeFrame(message)) {
            return;
        }
        RC_ASSERT(message.size() < before);
    }
}

} // namespace

/// Guards against a decoder that crashes on bytes from a peer, and against fields that are lost or changed in transit.
class FrameTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FrameTest);
    CPPUNIT_TEST(testRoundTrip);
    CPPUNIT_TEST(testAnyBytes);
    CPPUNIT_TEST(testHostileBytes);
    CPPUNIT_TEST(testWrongTypes);
    CPPUNIT_TEST_SUITE_END();

public:
    void testRoundTrip()
    {
        for (size_t kind = 0; kind < std::variant_size_v<Frame>; ++kind) {
            section("frame kind " + std::to_string(kind), [kind] {
                CPPUNIT_ASSERT(rc::check([kind] {
                    const Frame frame = anyFrame(kind);
                    RC_ASSERT(frame.index() == kind);
                    std::string bytes;
                    encodeFrame(frame, bytes);
                    encodeFrame(GoodbyeFrame{}, bytes);
                    std::string_view rest = bytes;
                    const auto decoded = decodeFrame(rest);
                    RC_ASSERT(decoded.has_value());
                    RC_ASSERT(decoded.value().index() == kind);
                    RC_ASSERT(std::visit(SameFields{decoded.value()}, frame));
                    const auto next = decodeFrame(rest);
                    RC_ASSERT(next.has_value() && std::holds_alternative<GoodbyeFrame>(next.value()));
                    RC_ASSERT(rest.empty());
                }));
            });
        }
    }

    void testAnyBytes()
    {
        section("random bytes", [] {
            CPPUNIT_ASSERT(rc::check([](const std::string &bytes) {
                decodeAll(bytes);
            }));
        });
        section("damaged frames", [] {
            CPPUNIT_ASSERT(rc::check([] {
                std::string bytes;
                encodeFrame(anyFrame(*rc::gen::inRange<size_t>(0, std::variant_size_v<Frame>)), bytes);
                const int damageCount = *rc::gen::inRange(1, 6);
                for (int i = 0; i < damageCount && !bytes.empty(); ++i) {
                    const size_t at = *rc::gen::inRange<size_t>(0, bytes.size());
                    switch (*rc::gen::inRange(0, 4)) {
                    case 0:
                        bytes[at] = *rc::gen::arbitrary<char>();
                        break;
                    case 1:
                        bytes.resize(at);
                        break;
                    case 2:
                        bytes.erase(at, 1);
                        break;
                    default:
                        bytes.insert(at, 1, *rc::gen::arbitrary<char>());
                    }
                }
                decodeAll(bytes);
            }));
        });
    }

    /// Each input would exhaust the stack or the memory of a parser that does not validate nesting and lengths.
    void testHostileBytes()
    {
        const size_t size = 256 * 1024;
        for (const unsigned byte : {0x81U, 0x9fU, 0x7fU, 0x5fU, 0xbfU, 0xc1U, 0xa1U, 0xd8U}) {
            section("repeated byte " + std::to_string(byte), [&] {
                const std::string bytes(size, static_cast<char>(byte));
                std::string_view rest = bytes;
                CPPUNIT_ASSERT(decodeFrame(rest).error().code == ErrorCode::ProtocolViolation);
            });
        }
        for (const unsigned byte : {0x9bU, 0xbbU, 0x5bU, 0x7bU}) {
            section("huge length after byte " + std::to_string(byte), [&] {
                const std::string bytes = std::string("\x83\x0a\x01", 3) + static_cast<char>(byte) + std::string(8, '\x7f') + std::string(100, '\x01');
                std::string_view rest = bytes;
                CPPUNIT_ASSERT(decodeFrame(rest).error().code == ErrorCode::ProtocolViolation);
            });
        }
        section("map whose doubled count overflows", [&] {
            const std::string bytes = std::string("\xbb\x80\0\0\0\0\0\0\0", 9);
            CPPUNIT_ASSERT(measureCborItem(bytes).has_error());
        });
    }

    void testWrongTypes()
    {
        const std::vector<json> wrong{
            nullptr,
            42,
            json::array(),
            json::array({10, 1}),
            json::array({10, -1, json::array({"m", 1})}),
            json::array({10, 1, json::array({"m"})}),
            json::array({10, 1, json::array({"m", 1, 2})}),
            json::array({99, 1, nullptr}),
            json::array({0, 1, nullptr}),
            json::array({300, 1, nullptr}),
            json::array({22, 1, json::array({0, "text, not a length"})}),
            json::array({22, 1, json::array({0, 1})}),
            json::array({23, 1, "limit"}),
            json::array({24, 1, -1}),
            json::array({25, 1, json::array({4096, "code", false})}),
            json::array({20, 1, json::array({1, 2})}),
            json::array({21, 1, json::array({99, json::array(), nullptr, nullptr, nullptr})}),
            json::array({21, 1, json::array({200, json::array({"odd"}), nullptr, nullptr, nullptr})}),
            json::array({21, 1, json::array({200, json::array(), nullptr, json::array({"no", "no"}), nullptr})}),
            json::array({1, 0, json::array({1, "node"})}),
            json::array({3, 0, "reason", "more"}),
            json::array({4, 0, 0}),
            json::array({11, 1.5, nullptr}),
            json::array({23, 1, json::binary({1})}),
            json::array({24, 1, json::object({{"limit", 1}})}),
        };
        for (const json &value : wrong) {
            section(value.dump(-1, ' ', false), [&] {
                std::string bytes;
                json::to_cbor(value, bytes);
                std::string_view rest = bytes;
                const auto decoded = decodeFrame(rest);
                CPPUNIT_ASSERT(decoded.has_error());
                CPPUNIT_ASSERT(decoded.error().code == ErrorCode::ProtocolViolation);
            });
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FrameTest);

} // namespace snipestream
