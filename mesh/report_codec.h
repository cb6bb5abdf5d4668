#pragma once

#include "core/result.h"
#include "mesh/peer_table.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace snipestream
{

/// Returns the report as CBOR, for one datagram.
auto encodeReport(const NodeReport &report) -> std::vector<uint8_t>;

/// Reads a report. Returns ErrorCode::InvalidInput if a field is missing, of another type or out of range.
auto decodeReport(std::string_view bytes) -> Result<NodeReport>;

/// Returns what requests of each kind cause as CBOR, to be kept by the store.
auto encodeKinds(const std::vector<KindReport> &kinds) -> std::string;

/// Reads what `encodeKinds` wrote. Returns ErrorCode::InvalidInput for anything else.
auto decodeKinds(std::string_view bytes) -> Result<std::vector<KindReport>>;

} // namespace snipestream
