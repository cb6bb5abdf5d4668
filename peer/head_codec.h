#pragma once

#include "core/exchange.h"
#include "peer/field_reader.h"

#include <nlohmann/json.hpp>

namespace snipestream
{

/// Returns the head as an array of its fields in a fixed order. Header fields keep their bytes, even where they are not
/// UTF-8.
auto encodeRequestHead(const RequestHead &head) -> nlohmann::json;
auto encodeResponseHead(const ResponseHead &head) -> nlohmann::json;

/// Reads a head back. A field that is missing, of the wrong type or out of range makes the reader fail.
auto decodeRequestHead(FieldReader &fields) -> RequestHead;
auto decodeResponseHead(FieldReader &fields) -> ResponseHead;

} // namespace snipestream
