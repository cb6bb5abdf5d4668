#pragma once

#include "core/result.h"

#include <cstddef>
#include <string_view>

namespace snipestream
{

/// Returns the length of the first CBOR item of the bytes, with everything nested in it. ProtocolViolation if the item
/// is cut, nested more than 32 levels deep, or uses tags or lengths given by a break byte. The parser behind it
/// recurses once per level and per string of unknown length, so input must pass here first.
auto measureCborItem(std::string_view bytes) -> Result<size_t>;

} // namespace snipestream
