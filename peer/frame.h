#pragma once

#include "core/exchange.h"
#include "core/result.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include <nlohmann/json.hpp>

namespace snipestream
{

/// Version of the protocol between nodes; a node accepts only peers with the same version.
inline constexpr int kPeerProtocolVersion = 1;

/// Types of frames. The numbers are part of the wire format and must not change.
enum class FrameType : uint8_t {
    Hello = 1,
    Proof = 2,
    Refuse = 3,
    Goodbye = 4,
    Call = 10,
    Reply = 11,
    CallError = 12,
    Notice = 13,
    Open = 20,
    Head = 21,
    Chunk = 22,
    Credit = 23,
    End = 24,
    Abort = 25,
};

/// First frame of each side. The acceptor's hello includes its proof; the dialler sends its proof in a separate frame.
struct HelloFrame {
    int version = kPeerProtocolVersion;
    std::string node;
    uint64_t incarnation = 0;
    std::string domain;
    /// Maximum bytes of one body that this side accepts before it grants more credit.
    uint64_t window = 0;
    std::string nonce;
    std::string proof;
};

/// The dialler's response to the nonce in the acceptor's hello.
struct ProofFrame {
    std::string proof;
};

/// The acceptor's reason for closing a link during the handshake.
struct RefuseFrame {
    std::string reason;
};

/// States that the acceptor accepts no new calls or streams on this link; running ones continue.
struct GoodbyeFrame {
};

struct CallFrame {
    uint64_t id = 0;
    std::string method;
    nlohmann::json payload;
};

struct ReplyFrame {
    uint64_t id = 0;
    nlohmann::json payload;
};

struct CallErrorFrame {
    uint64_t id = 0;
    Error error;
};

struct NoticeFrame {
    std::string method;
    nlohmann::json payload;
};

struct OpenFrame {
    uint64_t id = 0;
    RequestHead head;
};

struct HeadFrame {
    uint64_t id = 0;
    ResponseHead head;
};

/// A piece of a body. The offset is the number of body bytes before it, which reveals duplicate or reordered pieces.
struct ChunkFrame {
    uint64_t id = 0;
    uint64_t offset = 0;
    std::string bytes;
};

/// Allows the sender to send body bytes up to this total. The limit is absolute, so a duplicate frame has no effect.
struct CreditFrame {
    uint64_t id = 0;
    uint64_t limit = 0;
};

/// Marks the regular end of a body of `length` bytes.
struct EndFrame {
    uint64_t id = 0;
    uint64_t length = 0;
};

/// Aborts a stream. `notStarted` is set if the acceptor never passed the request to its handler.
struct AbortFrame {
    uint64_t id = 0;
    Error error;
    bool notStarted = false;
};

using Frame = std::variant<HelloFrame, ProofFrame, RefuseFrame, GoodbyeFrame, CallFrame, ReplyFrame, CallErrorFrame, NoticeFrame, OpenFrame, HeadFrame,
                           ChunkFrame, CreditFrame, EndFrame, AbortFrame>;

/// Appends the frame as the CBOR array [type, id, payload]. The bytes of a chunk follow the array unencoded, because the
/// CBOR library reads byte strings one byte at a time.
void encodeFrame(const Frame &frame, std::string &out);

/// Decodes the first frame of `bytes` and removes it from `bytes`. A message is a sequence of frames. Returns
/// ProtocolViolation if the bytes are not CBOR, the frame type is unknown, or a field has a wrong type or value.
auto decodeFrame(std::string_view &bytes) -> Result<Frame>;

} // namespace snipestream
