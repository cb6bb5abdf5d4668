#pragma once

#include "peer/frame.h"
#include "peer/stream_table.h"

#include <string>
#include <string_view>

namespace snipestream
{

/// Returns the proof that one side knows the fleet secret: an HMAC-SHA256 over its role and both hellos. The fresh nonce
/// of each side prevents the replay of a recorded proof on another link. The role prevents a peer from sending a proof
/// back to the side that made it.
auto peerProof(std::string_view secret, LinkRole prover, const HelloFrame &dialler, const HelloFrame &acceptor) -> std::string;

/// Checks the version and the fields of a hello. The error message is logged and sent to the peer.
auto checkHello(const HelloFrame &hello, int ownVersion) -> Result<void>;

/// Checks the proof of the peer in constant time.
auto checkProof(std::string_view secret, LinkRole prover, const HelloFrame &dialler, const HelloFrame &acceptor, std::string_view proof) -> Result<void>;

} // namespace snipestream
