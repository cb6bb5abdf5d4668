#pragma once

#include "core/result.h"

#include <cstddef>
#include <string_view>

#include <nlohmann/json.hpp>

namespace snipestream
{

/// Returns the length in bytes of the first CBOR item, including all nested items. Returns ProtocolViolation if the
/// item is truncated, is nested more than 32 levels deep, or uses tags or indefinite lengths. Call this before the
/// CBOR parser, which recurses once per level and per string of indefinite length.
auto measureCborItem(std::string_view bytes) -> Result<size_t>;

/// Decodes bytes from another process that are a single CBOR item. Returns a discarded value if they are not, or if
/// measureCborItem() does not accept them.
auto parseCborItem(std::string_view bytes) -> nlohmann::json;

} // namespace snipestream
