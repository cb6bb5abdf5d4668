#pragma once

#include "peer/frame.h"
#include "peer/stream_table.h"

#include <string>
#include <string_view>

namespace snipestream
{

/// Returns the proof that the sender of one hello knows the fleet secret: an HMAC-SHA256 over its role and both hellos.
/// Each side's nonce is fresh, so a recorded proof does not fit another link; the role keeps a proof from being sent
/// back to its author.
auto peerProof(std::string_view secret, LinkRole prover, const HelloFrame &dialler, const HelloFrame &acceptor) -> std::string;

/// Checks the version and the fields of a hello; the error says what is wrong, for the log and for the peer.
auto checkHello(const HelloFrame &hello, int ownVersion) -> Result<void>;

/// Checks the proof of the peer in constant time.
auto checkProof(std::string_view secret, LinkRole prover, const HelloFrame &dialler, const HelloFrame &acceptor, std::string_view proof) -> Result<void>;

} // namespace snipestream
