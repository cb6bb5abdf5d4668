#pragma once

#include "core/result.h"
#include "mesh/peer_table.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace snipestream
{

/// Returns the report as CBOR, for one datagram.
auto encodeReport(const NodeReport &report) -> std::vector<uint8_t>;

/// Reads a report. Returns ErrorCode::InvalidInput if a field is missing, of another type or out of range.
auto decodeReport(std::string_view bytes) -> Result<NodeReport>;

} // namespace snipestream
