#include "peer/handshake.h"

#include "core/hash.h"

namespace snipestream
{

namespace
{

/// Appends a field with its length as prefix, so that two different field lists never give the same message.
void appendField(std::string &message, std::string_view field)
{
    message.append(std::to_string(field.size())).append(":").append(field);
}

void appendHello(std::string &message, const HelloFrame &hello)
{
    appendField(message, std::to_string(hello.version));
    appendField(message, hello.node);
    appendField(message, std::to_string(hello.incarnation));
    appendField(message, hello.domain);
    appendField(message, std::to_string(hello.window));
    appendField(message, hello.nonce);
}

constexpr size_t kMinNonceHexDigits = 32;

} // namespace

auto peerProof(std::string_view secret, LinkRole prover, const HelloFrame &dialler, const HelloFrame &acceptor) -> std::string
{
    std::string message = "snipestream-peer";
    appendField(message, prover == LinkRole::Dialler ? "dialler" : "acceptor");
    appendHello(message, dialler);
    appendHello(message, acceptor);
    return hmacSha256Hex(secret, message);
}

auto checkHello(const HelloFrame &hello, int ownVersion) -> Result<void>
{
    if (hello.version != ownVersion) {
        return failure(ErrorCode::ProtocolViolation, "protocol version " + std::to_string(hello.version) + " instead of " + std::to_string(ownVersion));
    }
    if (hello.node.empty() || hello.nonce.size() < kMinNonceHexDigits || hello.window == 0) {
        return failure(ErrorCode::ProtocolViolation, "hello without node name, nonce or window");
    }
    return success();
}

auto checkProof(std::string_view secret, LinkRole prover, const HelloFrame &dialler, const HelloFrame &acceptor, std::string_view proof) -> Result<void>
{
    if (!equalsConstantTime(peerProof(secret, prover, dialler, acceptor), proof)) {
        return failure(ErrorCode::ProtocolViolation, "the proof does not fit the fleet secret");
    }
    return success();
}

} // namespace snipestream
