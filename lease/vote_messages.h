#pragma once

#include "core/result.h"
#include "lease/votes.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace snipestream
{

/// Encodes a claim or vote as CBOR, to be sent in one datagram.
auto encodeClaim(const VoteClaim &claim) -> std::vector<uint8_t>;
auto encodeVote(const Vote &vote) -> std::vector<uint8_t>;

/// Decodes a claim or vote. Returns ErrorCode::InvalidInput if a field is missing, has another type or is out of range.
auto decodeClaim(std::string_view bytes) -> Result<VoteClaim>;
auto decodeVote(std::string_view bytes) -> Result<Vote>;

} // namespace snipestream
