#pragma once

#include "core/exchange.h"
#include "peer/field_reader.h"

#include <nlohmann/json.hpp>

namespace snipestream
{

/// Returns the head as an array of its fields in a fixed order. The bytes of HTTP headers are kept unchanged, even if
/// they are not valid UTF-8.
auto encodeRequestHead(const RequestHead &head) -> nlohmann::json;
auto encodeResponseHead(const ResponseHead &head) -> nlohmann::json;

/// Decodes a head. The reader fails if a field is missing, has the wrong type or is out of range.
auto decodeRequestHead(FieldReader &fields) -> RequestHead;
auto decodeResponseHead(FieldReader &fields) -> ResponseHead;

} // namespace snipestream
