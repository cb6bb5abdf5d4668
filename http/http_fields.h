#pragma once

#include "core/exchange.h"

#include <string_view>

#include <boost/beast/http/fields.hpp>

namespace snipestream
{

/// Returns whether the field applies to a single connection (RFC 9110, section 7.6.1) or to the framing of the body. Such
/// fields are not forwarded.
auto isHopByHopField(std::string_view name) -> bool;

/// Returns the end-to-end fields of a parsed message.
auto copyEndToEndFields(const boost::beast::http::fields &fields) -> HeaderList;

/// Adds the end-to-end fields of `headers` to an outgoing message.
void appendEndToEndFields(const HeaderList &headers, boost::beast::http::fields &fields);

} // namespace snipestream
